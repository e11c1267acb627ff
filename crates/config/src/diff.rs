//! Differences between two configurations, and whether applying them requires a restart or a reload.

use crate::explain::needs_restart;
use crate::model::Operator;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// A key with different values.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The path of the key.
    pub key: String,
    /// The old value, if there is one.
    pub before: Option<Value>,
    /// The new value, if there is one.
    pub after: Option<Value>,
    /// Whether the change requires a restart.
    pub restart: bool,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: &Option<Value>| value.as_ref().map_or("-".into(), Value::to_string);
        let needs = if self.restart { "restart" } else { "reload" };
        write!(f, "{}: {} -> {} ({needs})", self.key, show(&self.before), show(&self.after))
    }
}

/// Returns all keys whose values differ, sorted by path.
pub fn diff(before: &Operator, after: &Operator) -> Vec<Change> {
    let (mut before, mut after) = (values_by_key(before), values_by_key(after));
    let mut keys: Vec<String> = before.keys().chain(after.keys()).cloned().collect();
    keys.sort();
    keys.dedup();
    let change = |key: String| {
        let (before, after) = (before.remove(&key), after.remove(&key));
        (before != after).then(|| Change { restart: needs_restart(&key), key, before, after })
    };
    keys.into_iter().filter_map(change).collect()
}

/// Returns each value that is neither a table nor a list of tables, by its path.
fn values_by_key(operator: &Operator) -> BTreeMap<String, Value> {
    let mut found = BTreeMap::new();
    let tree = serde_json::to_value(operator).unwrap_or_default();
    collect(String::new(), tree, &mut found);
    found
}

fn collect(path: String, value: Value, found: &mut BTreeMap<String, Value>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(members) => {
            for (name, value) in members {
                collect(below(&name), value, found);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, value) in items.into_iter().enumerate() {
                collect(below(&index.to_string()), value, found);
            }
        }
        value => {
            found.insert(path, value);
        }
    }
}

#[cfg(test)]
mod tests;
