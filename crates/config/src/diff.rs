//! What differs between two configurations, and what it takes to apply each difference.

use crate::explain::needs_restart;
use crate::model::Operator;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// A key whose value differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its path.
    pub key: String,
    /// Its value before, if it had one.
    pub before: Option<Value>,
    /// Its value after, if it has one.
    pub after: Option<Value>,
    /// Whether it takes a restart.
    pub restart: bool,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: &Option<Value>| value.as_ref().map_or("-".into(), Value::to_string);
        let needs = if self.restart { "restart" } else { "reload" };
        write!(f, "{}: {} -> {} ({needs})", self.key, show(&self.before), show(&self.after))
    }
}

/// All keys whose values differ, in the order of their names.
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

/// Every value that is neither a table nor a list of tables, by its path.
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
