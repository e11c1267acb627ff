//! What can be wrong with the platform's variables and file.

use aniseyoke_settings::SettingsError;
use serde_json::Value;
use std::io;
use thiserror::Error;

/// Why the platform's configuration can't be read. Each text names the variable.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The variable that names the file is not set.
    #[error("PROXY_CONFIG is not set")]
    NotSet,
    /// The file can't be read.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file or a variable says something that can't be used.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong.
        source: ParseError,
    },
}

/// What is wrong in the platform's file or its variables. Each text names the field or the variable.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A field must be a value of some kind.
    #[error("{field} is not {expected}: {value}")]
    WrongKind {
        /// The field.
        field: String,
        /// The kind.
        expected: &'static str,
        /// What stands there.
        value: Value,
    },
    /// An address is not written as one.
    #[error("{variable} ({field}) is not an address: {text:?}")]
    BadAddress {
        /// The variable that may set it.
        variable: &'static str,
        /// The field that may set it.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// An address is set nowhere.
    #[error("{field} is missing, and {variable} is not set")]
    NoAddress {
        /// The variable that may set it.
        variable: &'static str,
        /// The field that may set it.
        field: &'static str,
    },
    /// A field is missing, or as good as missing.
    #[error("{field} is missing{}", .or.map_or_else(String::new, |or| format!(" or {or}")))]
    Missing {
        /// The field.
        field: String,
        /// What counts as missing as well.
        or: Option<&'static str>,
    },
    /// The decision module's settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The list that is known at the start is no endpoint list.
    #[error("known: {0}")]
    Known(#[source] serde_json::Error),
    /// The seed is not hexadecimal.
    #[error("seed is not hex: {0:?}")]
    BadSeed(String),
    /// A field must be a list.
    #[error("{field} is not a list")]
    NotAList {
        /// The field.
        field: String,
    },
}

impl ParseError {
    pub(super) fn missing(field: impl Into<String>) -> Self {
        ParseError::Missing { field: field.into(), or: None }
    }

    pub(super) fn missing_or(field: impl Into<String>, or: &'static str) -> Self {
        ParseError::Missing { field: field.into(), or: Some(or) }
    }

    pub(super) fn not_a_number(field: impl Into<String>, value: &Value) -> Self {
        ParseError::WrongKind { field: field.into(), expected: "a number", value: value.clone() }
    }
}
