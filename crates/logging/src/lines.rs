//! Turns events into lines.

use crate::rate::{Admitted, Rate, Rates};
use serde_json::{Map, Value};
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime};
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::layer::Context;

/// A line is cut at this length, in bytes.
pub const LINE_MOST: usize = 4096;
/// What each bare line begins with.
const NAME: &str = "aniseyoke";

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// The program's name, the text, and its fields.
    #[default]
    Plain,
    /// A JSON object with `time` (RFC 3339), `level`, `target`, `message`, the fields, and `left_out` where lines were.
    Json,
}

/// What is written, by whom, and how often.
pub struct Lines {
    format: Format,
    start: Instant,
    rates: Mutex<Rates<Identifier>>,
    writer: NonBlocking,
}

/// [`Lines`] as a layer of a subscriber.
pub struct Layer(pub std::sync::Arc<Lines>);

impl<S: Subscriber> tracing_subscriber::Layer<S> for Layer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let admitted = self.0.rates().admit(self.0.now(), event.metadata().callsite());
        if let Admitted::Written { left_out } = admitted {
            let mut fields = Fields::default();
            event.record(&mut fields);
            self.0.write(event.metadata(), fields, left_out);
        }
    }
}

#[derive(Default)]
struct Fields {
    message: String,
    others: Map<String, Value>,
}

impl Fields {
    fn put(&mut self, field: &Field, value: Value) {
        match (field.name(), value) {
            ("message", Value::String(text)) => self.message = text,
            (name, value) => drop(self.others.insert(name.to_owned(), value)),
        }
    }
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.put(field, Value::String(cut(format!("{value:?}"))));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.put(field, Value::String(cut(value.to_owned())));
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.put(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.put(field, value.into());
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.put(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.put(field, value.into());
    }
}

/// Cuts a text that is too long, at a whole character.
fn cut(mut text: String) -> String {
    if text.len() > LINE_MOST / 2 {
        let at = (0..=LINE_MOST / 2).rev().find(|n| text.is_char_boundary(*n)).unwrap_or(0);
        text.truncate(at);
        text.push_str("...");
    }
    text
}

impl Lines {
    pub fn new(format: Format, rate: Rate, writer: NonBlocking) -> Self {
        Lines { format, start: Instant::now(), rates: Mutex::new(Rates::new(rate)), writer }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    fn rates(&self) -> std::sync::MutexGuard<'_, Rates<Identifier>> {
        self.rates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn tell_left_out(&self) {
        let told = self.rates().left_out();
        for (site, left_out) in told {
            let metadata = site.0.metadata();
            let message = format!("{left_out} lines from {} were left out", place(metadata));
            self.write(metadata, Fields { message, others: Map::new() }, 0);
        }
    }

    fn write(&self, metadata: &Metadata<'_>, fields: Fields, left_out: u64) {
        let mut line = match self.format {
            Format::Plain => plain(fields, left_out),
            Format::Json => json(metadata, fields, left_out),
        };
        // Danger: a text from elsewhere could pass for lines of its own.
        line = line.replace(['\n', '\r'], " ");
        if line.len() > LINE_MOST {
            let at = (0..=LINE_MOST).rev().find(|n| line.is_char_boundary(*n)).unwrap_or(0);
            line.truncate(at);
        }
        line.push('\n');
        // A full queue drops it, and counts.
        let _ = self.writer.clone().write_all(line.as_bytes());
    }
}

fn place(metadata: &Metadata<'_>) -> String {
    format!("{}:{}", metadata.target(), metadata.line().unwrap_or(0))
}

fn plain(fields: Fields, left_out: u64) -> String {
    let mut line = format!("{NAME}: {}", fields.message);
    for (name, value) in &fields.others {
        // Writing to a text can't fail.
        let _ = write!(line, " {name}={value}");
    }
    if left_out > 0 {
        let _ = write!(line, " ({left_out} like it left out)");
    }
    line
}

fn json(metadata: &Metadata<'_>, fields: Fields, left_out: u64) -> String {
    let mut object = Map::new();
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    object.insert("time".into(), time.into());
    object.insert("level".into(), metadata.level().as_str().to_lowercase().into());
    object.insert("target".into(), metadata.target().into());
    object.insert("message".into(), fields.message.into());
    if left_out > 0 {
        object.insert("left_out".into(), left_out.into());
    }
    // Danger: a field of the same name must not stand in for what every line says.
    for (name, value) in fields.others {
        object.entry(name).or_insert(value);
    }
    let line = Value::Object(object).to_string();
    if line.len() <= LINE_MOST {
        return line;
    }
    // Cut JSON can't be read: what is too long goes without its fields.
    let short = serde_json::json!({ "level": metadata.level().as_str().to_lowercase(), "target": metadata.target(),
        "message": format!("a line of {} bytes was too long", line.len()) });
    short.to_string()
}
