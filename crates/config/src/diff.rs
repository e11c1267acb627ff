//! What differs between two configurations, and what each change takes.

use crate::explain::takes_restart;
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
    /// And after.
    pub after: Option<Value>,
    /// Whether it takes a restart.
    pub restart: bool,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: &Option<Value>| value.as_ref().map_or("-".into(), Value::to_string);
        let takes = if self.restart { "restart" } else { "reload" };
        write!(f, "{}: {} -> {} ({takes})", self.key, show(&self.before), show(&self.after))
    }
}

/// All keys whose values differ, in the order of their names.
pub fn diff(before: &Operator, after: &Operator) -> Vec<Change> {
    let (mut before, mut after) = (leaves(before), leaves(after));
    let mut keys: Vec<String> = before.keys().chain(after.keys()).cloned().collect();
    keys.sort();
    keys.dedup();
    let change = |key: String| {
        let (before, after) = (before.remove(&key), after.remove(&key));
        (before != after).then(|| Change { restart: takes_restart(&key), key, before, after })
    };
    keys.into_iter().filter_map(change).collect()
}

fn leaves(operator: &Operator) -> BTreeMap<String, Value> {
    let mut found = BTreeMap::new();
    let whole = serde_json::to_value(operator).unwrap_or_default();
    collect(String::new(), whole, &mut found);
    found
}

fn collect(path: String, value: Value, found: &mut BTreeMap<String, Value>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(members) => members.into_iter().for_each(|(name, v)| collect(below(&name), v, found)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items.into_iter().enumerate().for_each(|(n, v)| collect(below(&n.to_string()), v, found));
        }
        value => drop(found.insert(path, value)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::layers::{resolve, Source};

    fn read(text: &str) -> Operator {
        resolve([Source::File("f".into(), text.into())]).expect("sound").operator
    }

    #[test]
    fn changes_are_named_with_what_they_take() {
        let before = read("[log]\nlevel = \"warn\"\nburst = 3");
        let after = read("[log]\nburst = 3\n[log.targets]\ndiscovery = \"debug\"\n[tenants.a]\nshare = 5.0");
        let told: Vec<String> = diff(&before, &after).iter().map(ToString::to_string).collect();
        let wanted = [
            "log.level: \"warn\" -> \"info\" (reload)",
            "log.targets.discovery: - -> \"debug\" (reload)",
            "tenants.a.share: - -> 5.0 (restart)",
        ];
        assert_eq!(told, wanted);
    }

    #[test]
    fn what_says_the_same_does_not_differ() {
        assert_eq!(diff(&read(""), &read("[log]\nformat = \"plain\"")), []);
    }
}
