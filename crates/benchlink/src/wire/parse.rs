//! Parses lines into messages.

use super::fields::{parse_number, unknown, Fields, WireError};
use super::Message;
use aniseyoke_decision::api::{server_id, Entry, Event, ListKind, Nanos, Outcome, Request, State};
use aniseyoke_settings::parse_settings;

/// Bit of an arrival's flags that marks a retry by the client.
const RETRY_FLAG: u64 = 2;
/// Bit of an arrival's flags that marks a write.
const WRITE_FLAG: u64 = 4;

/// Parses one line, given without its line ending.
///
/// # Errors
/// Returns an error if the line is not a valid message.
pub fn parse(line: &str) -> Result<Message, WireError> {
    let mut fields = Fields::of(line);
    let name = fields.text("message name")?;
    let fields = &mut fields;
    match name {
        "frame" => Ok(Message::BatchStart(fields.number("clock")?)),
        "go" => Ok(Message::BatchEnd),
        "page" => {
            Ok(Message::PageStart { number: fields.number("buffer")?, count: fields.number("records")? })
        }
        "entry" => entry(fields),
        "new_instance" => instance_start(fields),
        "shutdown" => Ok(Message::InstanceStop(fields.instance()?)),
        "backends_changed" => endpoint_list(fields),
        "arrival" => arrival(fields),
        "report_back" => outcome(fields),
        "first" => first_byte(fields),
        "tick_due" => {
            let instance = fields.instance()?;
            Ok(Message::Event { instance, event: Event::Timer(fields.number("handle")?) })
        }
        "expired" => {
            let instance = fields.instance()?;
            Ok(Message::Event { instance, event: Event::ClientLeft(fields.number("corr")?) })
        }
        "sampled" => health_check(fields),
        "peer" => gossip(fields),
        value => Err(unknown("message", value)),
    }
}

fn arrival(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let instance = fields.instance()?;
    let mut request = Request {
        id: fields.number("corr")?,
        class: fields.number("grade")?,
        tenant: fields.optional("user_group")?,
        key: fields.optional_hex("path_key")?,
        remaining: fields.time("remaining_ns")?,
        ..Request::default()
    };
    let _estimate: Option<Nanos> = fields.optional("estimate_ns")?;
    let _size: Option<f64> = fields.optional("object_size")?;
    let flags: u64 = fields.optional("flags")?.unwrap_or(0);
    request.write = flags & WRITE_FLAG != 0;
    request.retry = flags & RETRY_FLAG != 0;
    Ok(Message::Event { instance, event: Event::Arrival(request) })
}

fn outcome(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let instance = fields.instance()?;
    let outcome = Outcome {
        id: fields.number("corr")?,
        attempt: fields.number("n")?,
        server: server_id(fields.text("node")?),
        status: fields.status()?,
        elapsed: fields.time("elapsed_ns")?,
        last: fields.flag("final")?,
        hit: fields.optional::<u32>("note")?.filter(|note| *note > 0).map(|note| note == 1),
    };
    Ok(Message::Outcome { instance, outcome, load_report: fields.load_report()? })
}

fn first_byte(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let instance = fields.instance()?;
    let event = Event::AnswerBegun(fields.number("corr")?);
    let _attempt: u64 = fields.number("n")?;
    let (_server, _elapsed) = (fields.text("node")?, fields.text("elapsed_ns")?);
    Ok(Message::Event { instance, event })
}

/// Validates the result of a health check. The adapter requests none (docs/design.md), so it is not used.
fn health_check(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let _instance = fields.instance()?;
    let (_server, _status) = (fields.text("node")?, fields.status()?);
    let _elapsed = fields.time("elapsed_ns")?;
    fields.load_report()?;
    Ok(Message::Ignored)
}

/// Validates a gossip message. No decision depends on other proxies' messages (docs/design.md), so it is not
/// used.
fn gossip(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let _instance = fields.instance()?;
    let _author: u64 = fields.number("author")?;
    let _message = fields.text("msg")?;
    Ok(Message::Ignored)
}

fn endpoint_list(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let instance = fields.instance()?;
    let kind = match fields.text("scope")? {
        "D" => ListKind::Delta,
        "F" => ListKind::Full,
        "C" => ListKind::Cached,
        "X" => ListKind::Failed,
        value => return Err(unknown("scope", value)),
    };
    let _version = fields.text("index")?;
    let page = match (kind, fields.next()) {
        (ListKind::Failed, _) => 0,
        (_, Some(value)) => parse_number("buffer", value)?,
        (_, None) => return Err(WireError::Missing("buffer")),
    };
    Ok(Message::EndpointList { instance, kind, page })
}

fn entry(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let name = fields.text("node")?.to_owned();
    let server = server_id(&name);
    let zone = fields.optional("failure_domain")?.unwrap_or(0);
    let kind = fields.optional("generation_hw")?.unwrap_or(0);
    let cell = fields.optional("cluster")?.unwrap_or(0);
    let state = match fields.text("state")? {
        "IN" => State::Ready,
        "LAME" => State::Draining,
        "OUT" => State::Gone,
        value => return Err(unknown("state", value)),
    };
    let weight = fields.optional("share")?.unwrap_or(1.0);
    let started = fields.optional("launched_ns")?.unwrap_or(0);
    Ok(Message::PageEntry(name, Entry { server, zone, kind, cell, state, weight, started }))
}

fn instance_start(fields: &mut Fields<'_>) -> Result<Message, WireError> {
    let instance = fields.instance()?;
    let seed = fields.number("salt")?;
    let settings = Box::new(parse_settings(fields.rest())?);
    Ok(Message::InstanceStart { instance, seed, settings })
}
