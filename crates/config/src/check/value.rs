//! Validates a single value against its schema.

use crate::node::Shape;
use crate::schema::{allowed_values, property, type_name};
use serde_json::Value;
use std::time::Duration;

/// Why a value is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// The value has the wrong type.
    #[error("{wanted} is wanted, not {given}")]
    WrongType {
        /// The expected type.
        wanted: &'static str,
        /// The type of the value.
        given: &'static str,
    },
    /// The value is not one of the allowed strings.
    #[error("{value:?} is none of {allowed}")]
    NotAllowed {
        /// The value.
        value: String,
        /// The allowed strings, separated by commas.
        allowed: String,
    },
    /// The value is not a duration.
    #[error("{value:?} is no time with a unit: {cause}")]
    NotADuration {
        /// The value.
        value: String,
        /// The parse error.
        cause: humantime::DurationError,
    },
    /// The integer is out of the supported range.
    #[error("the number is too large")]
    NumberTooLarge,
    /// The value is NaN.
    #[error("it is not a number")]
    NotANumber,
    /// The value is below the minimum or above the maximum.
    #[error("{value} lies outside of {range}{reason}")]
    OutOfRange {
        /// The value.
        value: String,
        /// The valid range.
        range: String,
        /// The reason for the range, after a colon; empty if the schema gives none.
        reason: String,
    },
}

/// Validates a value that is neither a table nor a list, by its own schema and the one that it refers to.
pub fn check(schema: &Value, value_schema: &Value, shape: &Shape<'_>) -> Result<(), ValueError> {
    let is_duration = property(schema, value_schema, "x-kind").is_some_and(|kind| kind == "duration");
    match (type_name(value_schema), shape) {
        ("string", Shape::Text(text)) if is_duration => check_duration(text, schema, value_schema),
        ("string", Shape::Text(text)) => check_text(text, value_schema),
        ("boolean", Shape::Boolean) => Ok(()),
        ("integer" | "number", Shape::Integer(number)) | ("number", Shape::Float(number)) => {
            check_number(*number, schema, value_schema)
        }
        (wanted, given) => {
            let wanted = if is_duration { DURATION } else { describe_type(wanted) };
            Err(ValueError::WrongType { wanted, given: given.name() })
        }
    }
}

const DURATION: &str = "a text with a time and its unit, such as \"100ms\"";

/// Returns the name of a schema type, for messages.
fn describe_type(type_name: &str) -> &'static str {
    match type_name {
        "object" => "a table",
        "array" => "a list",
        "string" => "a text in quotes",
        "boolean" => "true or false",
        "integer" => "a whole number",
        _ => "a number",
    }
}

fn check_text(text: &str, value_schema: &Value) -> Result<(), ValueError> {
    let allowed = allowed_values(value_schema);
    if allowed.is_empty() || allowed.contains(&text) {
        return Ok(());
    }
    Err(ValueError::NotAllowed { value: text.to_owned(), allowed: allowed.join(", ") })
}

fn check_number(number: Option<f64>, schema: &Value, value_schema: &Value) -> Result<(), ValueError> {
    let bound = |name| property(schema, value_schema, name).and_then(Value::as_f64);
    let (min, max) = (bound("minimum"), bound("maximum"));
    let number = number.ok_or(ValueError::NumberTooLarge)?;
    if number.is_nan() {
        return Err(ValueError::NotANumber);
    }
    if min.is_some_and(|min| number < min) || max.is_some_and(|max| number > max) {
        let (value, range) = (number.to_string(), number_range(min, max));
        return Err(ValueError::OutOfRange { value, range, reason: String::new() });
    }
    Ok(())
}

/// Describes a range of numbers.
pub fn number_range(min: Option<f64>, max: Option<f64>) -> String {
    match (min, max) {
        (Some(min), Some(max)) => format!("{min} to {max}"),
        (Some(min), None) => format!("{min} and up"),
        (None, Some(max)) => format!("up to {max}"),
        (None, None) => "any number".into(),
    }
}

fn check_duration(text: &str, schema: &Value, value_schema: &Value) -> Result<(), ValueError> {
    let given = humantime::parse_duration(text)
        .map_err(|cause| ValueError::NotADuration { value: text.to_owned(), cause })?;
    let text_property = |name| property(schema, value_schema, name).and_then(Value::as_str);
    let bound = |name| text_property(name).and_then(|bound| humantime::parse_duration(bound).ok());
    let (min, max) = (bound("x-least"), bound("x-most"));
    if min.is_none_or(|min| given >= min) && max.is_none_or(|max| given <= max) {
        return Ok(());
    }
    let show = |bound: Option<Duration>| {
        bound.map_or("any".to_owned(), |bound| humantime::format_duration(bound).to_string())
    };
    let range = format!("{} to {}", show(min), show(max));
    let reason = text_property("x-why").map_or(String::new(), |why| format!(": {why}"));
    Err(ValueError::OutOfRange { value: text.to_owned(), range, reason })
}
