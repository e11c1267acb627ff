//! One setting as text, and conversions of its value.

use std::str::FromStr;

/// Why settings can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A pair without `=`.
    #[error("setting has no value: {0:?}")]
    MissingValue(String),
    /// A value that can't be parsed as the type of its path.
    #[error("{path} has a bad value: {value:?}")]
    BadValue {
        /// The path of the setting.
        path: String,
        /// The rejected value.
        value: String,
    },
    /// A number of classes or tenants above the supported maximum.
    #[error("{path} is too large: {count}")]
    TooLarge {
        /// The path of the setting.
        path: String,
        /// The rejected number.
        count: usize,
    },
}

/// The path and the value of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// The path: steps separated by dots.
    pub path: &'a str,
    /// The value as text.
    pub value: &'a str,
}

impl<'a> Setting<'a> {
    /// Splits a `path=value` pair.
    pub fn parse(pair: &'a str) -> Result<Self, SettingsError> {
        let path_and_value =
            pair.split_once('=').ok_or_else(|| SettingsError::MissingValue(pair.to_owned()))?;
        Ok(Setting { path: path_and_value.0, value: path_and_value.1 })
    }

    /// Parses the value into a field.
    pub fn read_into<T: FromStr>(&self, field: &mut T) -> Result<(), SettingsError> {
        *field = self.value.parse().map_err(|_| self.bad_value())?;
        Ok(())
    }

    /// Parses the value as integers separated by commas; an empty value is an empty list.
    pub fn numbers(&self) -> Result<Vec<u32>, SettingsError> {
        let numbers = self.value.split(',').filter(|number| !number.is_empty()).map(str::parse);
        numbers.collect::<Result<_, _>>().map_err(|_| self.bad_value())
    }

    /// Parses the value as a number of items, at most `max`.
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
