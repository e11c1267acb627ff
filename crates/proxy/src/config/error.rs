//! Errors of the platform's environment variables and file.

use aniseyoke_settings::SettingsError;
use serde_json::Value;
use std::io;
use thiserror::Error;

/// Errors reading the platform's configuration. Each message names the variable.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The variable that names the file is not set.
    #[error("PROXY_CONFIG is not set")]
    NotSet,
    /// The file can't be read.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// The file or a variable has an invalid value.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// Cause.
        source: ParseError,
    },
}

/// Errors in the platform's file or variables. Each message names the field or the variable.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A field has a value of the wrong type.
    #[error("{field} is not {expected}: {value}")]
    WrongKind {
        /// The field.
        field: String,
        /// Expected type.
        expected: &'static str,
        /// Actual value.
        value: Value,
    },
    /// An address is malformed.
    #[error("{variable} ({field}) is not an address: {text:?}")]
    BadAddress {
        /// Variable that can set the address.
        variable: &'static str,
        /// Field that can set the address.
        field: &'static str,
        /// Actual value.
        text: String,
    },
    /// Neither the variable nor the field sets an address.
    #[error("{field} is missing, and {variable} is not set")]
    NoAddress {
        /// Variable that can set the address.
        variable: &'static str,
        /// Field that can set the address.
        field: &'static str,
    },
    /// A field is missing, or has a value that is treated as missing.
    #[error("{field} is missing{}", .or.map_or_else(String::new, |or| format!(" or {or}")))]
    Missing {
        /// The field.
        field: String,
        /// Value that is treated as missing, in words.
        or: Option<&'static str>,
    },
    /// The decision module's settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The initial endpoint list is invalid.
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
