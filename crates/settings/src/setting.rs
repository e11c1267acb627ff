//! One setting as text, and the ways to read its value.

use std::str::FromStr;

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A pair without `=`.
    #[error("setting has no value: {0:?}")]
    MissingValue(String),
    /// A value that is not of the path's type.
    #[error("{path} has a bad value: {value:?}")]
    BadValue {
        /// The path.
        path: String,
        /// The value.
        value: String,
    },
    /// A number of classes or tenants beyond what is supported.
    #[error("{path} is too large: {count}")]
    TooLarge {
        /// The path.
        path: String,
        /// The number.
        count: usize,
    },
}

/// The path and the value of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// Steps separated by dots.
    pub path: &'a str,
    /// As it was given.
    pub value: &'a str,
}

impl<'a> Setting<'a> {
    /// Splits a `path=value` pair.
    pub fn parse(pair: &'a str) -> Result<Self, SettingsError> {
        let parts = pair.split_once('=').ok_or_else(|| SettingsError::MissingValue(pair.to_owned()))?;
        Ok(Setting { path: parts.0, value: parts.1 })
    }

    /// Sets a field to the value.
    pub fn read_into<T: FromStr>(&self, field: &mut T) -> Result<(), SettingsError> {
        *field = self.value.parse().map_err(|_| self.bad_value())?;
        Ok(())
    }

    /// The value as whole numbers separated by commas; empty text is an empty list.
    pub fn numbers(&self) -> Result<Vec<u32>, SettingsError> {
        let numbers = self.value.split(',').filter(|number| !number.is_empty()).map(str::parse);
        numbers.collect::<Result<_, _>>().map_err(|_| self.bad_value())
    }

    /// The value as a number of items, at most `max`.
    pub fn count(&self, max: usize) -> Result<usize, SettingsError> {
        let mut count = 0usize;
        self.read_into(&mut count)?;
        if count > max {
            return Err(SettingsError::TooLarge { path: self.path.to_owned(), count });
        }
        Ok(count)
    }

    fn bad_value(&self) -> SettingsError {
        SettingsError::BadValue { path: self.path.to_owned(), value: self.value.to_owned() }
    }
}
