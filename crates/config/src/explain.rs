//! Explanations of configuration keys for `config explain`.

use crate::check::number_range;
use crate::model::Operator;
use crate::schema::{allowed_values, keys, type_name, Key};
use serde_json::Value;

/// The error for a key that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no key {key}{}", .nearest.as_ref().map_or(String::new(), |nearest| format!("; did you mean {nearest}?")))]
pub struct UnknownKey {
    /// The given key.
    pub key: String,
    /// The most similar key.
    pub nearest: Option<String>,
}

/// Whether a pattern such as `pools.*.zones` or `routes.N.pool` matches a key.
pub fn matches(pattern: &str, key: &str) -> bool {
    let (mut pattern, mut key) = (pattern.split('.'), key.split('.'));
    loop {
        match (pattern.next(), key.next()) {
            (None, None) => return true,
            (Some("*"), Some(_)) => {}
            (Some("N"), Some(index)) if index == "N" || index.parse::<usize>().is_ok() => {}
            (Some(wanted), Some(given)) if wanted == given => {}
            _ => return false,
        }
    }
}

/// Whether a change of a key requires a restart, which is assumed for an unknown key.
pub fn needs_restart(key: &str) -> bool {
    let found = keys().into_iter().find(|known| matches(&known.path, key));
    found.is_none_or(|known| known.property("x-apply").is_none_or(|apply| apply != "reload"))
}

/// Returns the default of a key, if it has one.
fn default_value(key: &Key) -> Option<Value> {
    // Optional tables are absent by default; their keys have defaults once the table is present.
    let (limits, control) = (Some(Default::default()), Some(Default::default()));
    let with_optional_tables = Operator { limits, control, ..Operator::default() };
    let mut value = &serde_json::to_value(with_optional_tables).ok()?;
    for step in key.path.split('.') {
        value = value.get(step)?;
    }
    Some(value.clone())
}

/// Describes the type of a key's value, or lists the allowed strings.
fn describe_type(key: &Key) -> String {
    let kind = key.property("x-kind").and_then(Value::as_str);
    let allowed = allowed_values(key.value_schema);
    match kind {
        Some(kind) => kind.to_owned(),
        None if !allowed.is_empty() => format!("one of {}", allowed.join(", ")),
        None => type_name(key.value_schema).to_owned(),
    }
}

/// Describes the range of a key's value, if it has one.
fn describe_range(key: &Key) -> Option<String> {
    let number = |name| key.property(name).and_then(Value::as_f64);
    let duration = |name| key.property(name).and_then(Value::as_str);
    match (number("minimum"), number("maximum"), duration("x-least"), duration("x-most")) {
        (None, None, None, None) => None,
        (None, None, min, max) => Some(format!("{} to {}", min.unwrap_or("any"), max.unwrap_or("any"))),
        (min, max, ..) => Some(number_range(min, max)),
    }
}

/// Formats the explanation of one key.
fn explanation(key: &Key) -> String {
    let text = |name| key.property(name).and_then(Value::as_str);
    let mut lines = vec![("type", describe_type(key))];
    lines.extend(text("x-unit").map(|unit| ("unit", unit.to_owned())));
    lines.push(("default", default_value(key).map_or("none".into(), |value| value.to_string())));
    lines.extend(describe_range(key).map(|range| ("range", range)));
    lines.extend(text("x-since").map(|since| ("since", since.to_owned())));
    let change = if needs_restart(&key.path) { "requires a restart" } else { "requires a reload" };
    lines.push(("change", change.to_owned()));
    let description = text("description").map(|text| text.split_whitespace().collect::<Vec<_>>().join(" "));
    lines.extend(description.map(|description| ("meaning", description)));
    let lines = lines.into_iter().map(|(name, value)| format!("  {name:<9} {value}\n"));
    std::iter::once(format!("{}\n", key.path)).chain(lines).collect()
}

/// Explains a key, or all keys of a table; an empty `key` explains all keys.
///
/// # Errors
/// If the key does not exist.
pub fn explain(key: &str) -> Result<String, UnknownKey> {
    let all = keys();
    let prefix = format!("{key}.");
    let below = |known: &&Key| key.is_empty() || known.path == key || known.path.starts_with(&prefix);
    let found: Vec<&Key> = match all.iter().find(|known| matches(&known.path, key)) {
        Some(one) => vec![one],
        None => all.iter().filter(below).collect(),
    };
    if found.is_empty() {
        let similarity = |known: &Key| strsim::jaro_winkler(&known.path, key);
        let nearest = all.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
        return Err(UnknownKey { key: key.to_owned(), nearest: nearest.map(|known| known.path.clone()) });
    }
    Ok(found.into_iter().map(explanation).collect::<Vec<_>>().join("\n"))
}

#[cfg(test)]
mod tests;
