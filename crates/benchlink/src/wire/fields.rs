//! Parses the fields of a line in order.

use aniseyoke_decision::api::{Nanos, Status};
use aniseyoke_settings::SettingsError;
use std::str::{FromStr, Split};

/// Upper limit of a duration; longer ones are clamped so that sums of durations don't overflow.
const MAX_TIME: Nanos = u64::MAX / 4;

/// Why a line is not a valid message. Fields are named as in the protocol's documentation.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WireError {
    /// The line ends before a field, or the field is empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field is not a number of its type.
    #[error("{field} is not a number: {value:?}")]
    NotANumber {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A field is not a flag.
    #[error("{field} is neither 1 nor 0: {value:?}")]
    NotAFlag {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A field is not a hexadecimal number.
    #[error("{field} is not hex: {value:?}")]
    NotHex {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A field is not a list of numbers.
    #[error("{field} is not a row of numbers: {value:?}")]
    NotARow {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A field has a value that is not defined for it.
    #[error("{field} is unknown: {value:?}")]
    Unknown {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The fields of a line that have not been read yet.
pub struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// Splits a line into its fields.
    pub fn of(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    /// Returns the next field, if any.
    pub fn next(&mut self) -> Option<&'a str> {
        self.0.next()
    }

    /// Returns the next field as text, which must not be empty.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        self.0.next().filter(|value| !value.is_empty()).ok_or(WireError::Missing(field))
    }

    /// Reads the name of an instance.
    pub fn instance(&mut self) -> Result<String, WireError> {
        self.text("instance").map(str::to_owned)
    }

    /// Reads a number.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, WireError> {
        parse_number(field, self.text(field)?)
    }

    /// Reads a number, or `None` for `-`.
    pub fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, WireError> {
        match self.text(field)? {
            "-" => Ok(None),
            value => parse_number(field, value).map(Some),
        }
    }

    /// Reads a hexadecimal number, or `None` for `-`.
    pub fn optional_hex(&mut self, field: &'static str) -> Result<Option<u64>, WireError> {
        match self.text(field)? {
            "-" => Ok(None),
            value => match u64::from_str_radix(value, 16) {
                Ok(number) => Ok(Some(number)),
                Err(_) => Err(WireError::NotHex { field, value: value.to_owned() }),
            },
        }
    }

    /// Reads a flag; `-` is false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            value => Err(WireError::NotAFlag { field, value: value.to_owned() }),
        }
    }

    /// Reads a duration in nanoseconds. A negative one, of a deadline that has already passed, is read as 0.
    pub fn time(&mut self, field: &'static str) -> Result<Nanos, WireError> {
        Ok(self.number::<i128>(field)?.clamp(0, i128::from(MAX_TIME)) as Nanos)
    }

    /// Reads how an attempt ended.
    pub fn status(&mut self) -> Result<Status, WireError> {
        Ok(match self.text("reason")? {
            "done" => Status::Ok,
            "err" => Status::Error,
            "busy" => Status::Rejected,
            "etimedout" => Status::Timeout,
            "econnrefused" => Status::ConnectFailed,
            "econnreset" => Status::Reset,
            "ecanceled" => Status::Cancelled,
            "skipped" => Status::NotSent,
            "enoent" => Status::Miss,
            value => return Err(unknown("reason", value)),
        })
    }

    /// Reads the columns of a load report; `-` stands for an absent report or column.
    pub fn load_report(&mut self) -> Result<Vec<Option<f64>>, WireError> {
        let field = "load";
        let row = self.text(field)?;
        let column = |value: &str| if value == "-" { Ok(None) } else { value.parse().map(Some) };
        let columns: Result<_, std::num::ParseFloatError> = row.split(',').map(column).collect();
        columns.map_err(|_| WireError::NotARow { field, value: row.to_owned() })
    }

    /// Returns the remaining fields.
    pub fn rest(&mut self) -> &mut Split<'a, char> {
        &mut self.0
    }
}

/// Returns the error for a value that is not defined for a field.
pub fn unknown(field: &'static str, value: &str) -> WireError {
    WireError::Unknown { field, value: value.to_owned() }
}

/// Parses the value of a numeric field.
pub fn parse_number<T: FromStr>(field: &'static str, value: &str) -> Result<T, WireError> {
    value.parse().map_err(|_| WireError::NotANumber { field, value: value.to_owned() })
}
