//! Formats an event as one line of text.

use serde_json::{Map, Value};
use std::fmt::{self, Write as _};
use std::time::SystemTime;
use tracing::field::{Field, Visit};
use tracing::Metadata;

/// The maximum length of a line in bytes; longer lines are truncated.
pub const MAX_LINE_BYTES: usize = 4096;
/// The maximum length of a field's value in bytes; longer values are truncated.
const MAX_VALUE_BYTES: usize = MAX_LINE_BYTES / 2;
/// The program name at the start of each plain line.
const PROGRAM_NAME: &str = "aniseyoke";

/// The format of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// The program's name, the message, and its fields.
    #[default]
    Plain,
    /// A JSON object with `time` (RFC 3339), `level`, `target`, `message`, the fields, and `left_out`, the
    /// number of lines that were suppressed, if any.
    Json,
}

/// The message of an event and its other fields.
#[derive(Default)]
pub struct EventFields {
    message: String,
    others: Map<String, Value>,
}

impl EventFields {
    /// Creates a message without fields.
    pub fn message(message: String) -> Self {
        EventFields { message, others: Map::new() }
    }

    fn insert(&mut self, field: &Field, value: Value) {
        match (field.name(), value) {
            ("message", Value::String(text)) => self.message = text,
            (name, value) => {
                self.others.insert(name.to_owned(), value);
            }
        }
    }
}

impl Visit for EventFields {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.insert(field, Value::String(truncated_value(format!("{value:?}"))));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.insert(field, Value::String(truncated_value(value.to_owned())));
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.insert(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.insert(field, value.into());
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.insert(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.insert(field, value.into());
    }
}

/// Truncates a text that is too long for a field, and marks it with `...`.
fn truncated_value(mut text: String) -> String {
    if text.len() > MAX_VALUE_BYTES {
        truncate(&mut text, MAX_VALUE_BYTES);
        text.push_str("...");
    }
    text
}

/// Truncates a text to at most `max` bytes, at a character boundary.
fn truncate(text: &mut String, max: usize) {
    let end = (0..=max.min(text.len())).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    text.truncate(end);
}

/// Formats an event as a line with its line end; `suppressed` is the number of suppressed lines of its call
/// site since the last one that was written.
pub fn format(format: Format, metadata: &Metadata<'_>, fields: EventFields, suppressed: u64) -> String {
    let line = match format {
        Format::Plain => plain(fields, suppressed),
        Format::Json => json(metadata, fields, suppressed),
    };
    // Text from a client must not be able to forge a log line.
    let mut line = line.replace(['\n', '\r'], " ");
    truncate(&mut line, MAX_LINE_BYTES);
    line.push('\n');
    line
}

fn plain(fields: EventFields, suppressed: u64) -> String {
    let mut line = format!("{PROGRAM_NAME}: {}", fields.message);
    for (name, value) in &fields.others {
        // Writing to a string can't fail.
        let _ = write!(line, " {name}={value}");
    }
    if suppressed > 0 {
        let _ = write!(line, " ({suppressed} similar lines suppressed)");
    }
    line
}

fn json(metadata: &Metadata<'_>, fields: EventFields, suppressed: u64) -> String {
    let level = metadata.level().as_str().to_lowercase();
    let mut object = Map::new();
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    object.insert("time".into(), time.into());
    object.insert("level".into(), level.as_str().into());
    object.insert("target".into(), metadata.target().into());
    object.insert("message".into(), fields.message.into());
    if suppressed > 0 {
        object.insert("left_out".into(), suppressed.into());
    }
    // A field does not replace a standard key of the same name.
    for (name, value) in fields.others {
        object.entry(name).or_insert(value);
    }
    let line = Value::Object(object).to_string();
    if line.len() <= MAX_LINE_BYTES {
        return line;
    }
    // Truncated JSON can't be parsed: a line that is too long is replaced by a message without its fields.
    let message = format!("a log line of {} bytes was too long and was dropped", line.len());
    serde_json::json!({ "level": level, "target": metadata.target(), "message": message }).to_string()
}
