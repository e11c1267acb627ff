//! Parses the platform's file and variables, and flattens its settings to the format of the simulator's
//! protocol.

use super::{Config, EndpointList, Names, ParseError, DISCOVERY, LISTEN, MGMT};
use aniseyoke_decision::api::Settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Default limit of sockets.
const DEFAULT_SOCKETS: usize = 1024;
/// Default memory limit.
const DEFAULT_MEMORY_MB: usize = 64;
/// Default timeout for connecting to a node.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Config {
    /// Parses the text of the platform's file; `variable` looks up environment variables, which override its
    /// addresses.
    ///
    /// # Errors
    /// If a variable or field is invalid; the error names it.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ParseError> {
        let root: Value = serde_json::from_str(text).map_err(ParseError::NotJson)?;
        let optional = |name, field| address(&root, variable(name), name, field);
        let required =
            |name, field| optional(name, field)?.ok_or(ParseError::NoAddress { variable: name, field });
        let mgmt = optional(MGMT, "mgmt")?;
        let (listen, discovery) = (required(LISTEN, "listen")?, required(DISCOVERY, "discovery")?);
        let object = root.get("settings").filter(|settings| settings.is_object());
        let object = object.ok_or_else(|| ParseError::missing("settings"))?;
        let mut settings = settings(object)?;
        // Only the simulator's protocol delivers pushed lists without a request. On sockets a proxy without
        // an open watch receives no changes, although they count as notified, so it always subscribes.
        let lists_pushed = !std::mem::replace(&mut settings.subscribes, true);
        let names = names(object)?;
        check_classes(&settings, &names)?;
        Ok(Config {
            listen,
            discovery,
            mgmt,
            initial_list: initial_list(&root)?,
            seed: seed(&root["seed"])?,
            sockets: limit(&root, "sockets", DEFAULT_SOCKETS)?,
            memory: limit(&root, "memory_mb", DEFAULT_MEMORY_MB)?.saturating_mul(1 << 20),
            connect_timeout: connect_timeout(object)?,
            settings,
            lists_pushed,
            names,
        })
    }
}

/// Returns the address from its variable, or else from its field; `None` if neither is set.
fn address(
    root: &Value,
    variable_value: Option<String>,
    variable: &'static str,
    field: &'static str,
) -> Result<Option<SocketAddr>, ParseError> {
    let text = match (variable_value, &root[field]) {
        (Some(text), _) => text,
        (None, Value::Null) => return Ok(None),
        (None, Value::String(text)) => text.clone(),
        (None, other) => {
            let (field, value) = (field.to_owned(), other.clone());
            return Err(ParseError::WrongKind { field, expected: "an address", value });
        }
    };
    let addr = text.parse().map_err(|_| ParseError::BadAddress { variable, field, text })?;
    Ok(Some(addr))
}

fn settings(object: &Value) -> Result<Settings, ParseError> {
    let mut pairs = Vec::new();
    flatten("", object, &mut pairs);
    Ok(aniseyoke_settings::parse_settings(pairs.iter().map(String::as_str))?)
}

fn names(settings: &Value) -> Result<Names, ParseError> {
    Ok(Names {
        classes: names_in(settings, "categories")?,
        tenants: names_in(settings, "customers")?,
        zones: names_in(settings, "localities")?,
        kinds: names_in(settings, "machine_types")?,
    })
}

fn check_classes(settings: &Settings, names: &Names) -> Result<(), ParseError> {
    if names.classes.is_empty() {
        return Err(ParseError::missing_or("settings.categories", "empty"));
    }
    match settings.classes.iter().position(|class| class.deadline == 0) {
        None => Ok(()),
        Some(n) => Err(ParseError::missing_or(format!("settings.categories.{n}.deadline_ns"), "0")),
    }
}

/// Parses the endpoint list that is known at the start, if any.
fn initial_list(root: &Value) -> Result<Option<EndpointList>, ParseError> {
    let known = root.get("known").filter(|known| !known.is_null());
    known.map(|known| EndpointList::deserialize(known).map_err(ParseError::Known)).transpose()
}

fn seed(value: &Value) -> Result<u64, ParseError> {
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).map_err(|_| ParseError::BadSeed(text.clone())),
        Value::Null => Ok(0),
        other => other.as_u64().ok_or_else(|| ParseError::not_a_number("seed", other)),
    }
}

fn limit(root: &Value, name: &str, default: usize) -> Result<usize, ParseError> {
    match &root["limits"][name] {
        Value::Null => Ok(default),
        other => {
            let number = other.as_f64().filter(|number| *number >= 0.0);
            let number = number.ok_or_else(|| ParseError::not_a_number(format!("limits.{name}"), other))?;
            Ok(number as usize)
        }
    }
}

fn connect_timeout(settings: &Value) -> Result<Duration, ParseError> {
    match &settings["caps"]["connect_timeout_ns"] {
        Value::Null => Ok(DEFAULT_CONNECT_TIMEOUT),
        other => {
            let nanos = integer(other);
            let field = "settings.caps.connect_timeout_ns";
            nanos.map(Duration::from_nanos).ok_or_else(|| ParseError::not_a_number(field, other))
        }
    }
}

/// Returns the value as an integer, also if it is written with an exponent or a zero fraction.
fn integer(value: &Value) -> Option<u64> {
    let float = || value.as_f64().filter(|f| f.fract() == 0.0 && (0.0..9e15).contains(f)).map(|f| f as u64);
    value.as_u64().or_else(float)
}

/// Returns the names in a list of strings, or of objects with a `name`.
fn names_in(settings: &Value, field: &str) -> Result<Vec<String>, ParseError> {
    let Some(list) = settings.get(field) else { return Ok(Vec::new()) };
    let not_a_list = || ParseError::NotAList { field: format!("settings.{field}") };
    let list = list.as_array().ok_or_else(not_a_list)?;
    let name = |(n, value): (usize, &Value)| {
        let name = value.as_str().or_else(|| value["name"].as_str());
        name.map(str::to_owned).ok_or_else(|| ParseError::missing(format!("settings.{field}.{n}.name")))
    };
    list.iter().enumerate().map(name).collect()
}

/// Flattens nested settings to the `path=value` pairs of the simulator's protocol, so that both programs
/// parse them with the same code.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<String>) {
    let nested = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&nested(name), v, pairs)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            pairs.push(format!("{}={}", nested("count"), list.len()));
            list.iter().enumerate().for_each(|(n, v)| flatten(&nested(&n.to_string()), v, pairs));
        }
        Value::Array(list) => {
            let row: Vec<String> = list.iter().map(scalar).collect();
            pairs.push(format!("{path}={}", row.join(",")));
        }
        value => pairs.push(format!("{path}={}", scalar(value))),
    }
}

fn scalar(value: &Value) -> String {
    match (value, integer(value)) {
        (_, Some(number)) => number.to_string(),
        (Value::String(text), _) => text.clone(),
        (other, _) => other.to_string(),
    }
}
