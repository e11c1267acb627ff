//! The JSON Schema of the operator's file, and the ways through it.

use crate::model::Operator;
use serde_json::Value;
use std::sync::OnceLock;

/// The schema, made from the model once.
pub fn schema() -> &'static Value {
    static SCHEMA: OnceLock<Value> = OnceLock::new();
    SCHEMA.get_or_init(|| schemars::schema_for!(Operator).to_value())
}

/// What a schema that is found in the whole one stands for: references followed, and of "this or nothing" this.
pub fn meant(node: &'static Value) -> &'static Value {
    let mut node = node;
    loop {
        if let Some(name) = node["$ref"].as_str().and_then(|r| r.strip_prefix("#/$defs/")) {
            node = &schema()["$defs"][name];
        } else if let Some(some) =
            node["anyOf"].as_array().and_then(|a| a.iter().find(|s| s["type"] != "null"))
        {
            node = some;
        } else {
            return node;
        }
    }
}

/// The first type that a schema names, but for null.
pub fn kind(node: &Value) -> &str {
    match &node["type"] {
        Value::String(kind) => kind,
        Value::Array(kinds) => {
            kinds.iter().filter_map(Value::as_str).find(|k| *k != "null").unwrap_or_default()
        }
        _ if node["oneOf"].is_array() || node["enum"].is_array() => "string",
        _ => "",
    }
}

/// The texts that a value may be, if only some may.
pub fn choices(node: &Value) -> Vec<&str> {
    let plain = node["enum"].as_array().into_iter().flatten().filter_map(Value::as_str);
    let told = node["oneOf"].as_array().into_iter().flatten();
    let told = told.flat_map(|one| {
        let listed = one["enum"].as_array().into_iter().flatten().filter_map(Value::as_str);
        one["const"].as_str().into_iter().chain(listed)
    });
    plain.chain(told).collect()
}

/// The schema of a member of a table: that of its key, or that of any key where keys are names.
pub fn member(node: &'static Value, key: &str) -> Option<&'static Value> {
    let named = node["properties"].get(key);
    named.or_else(|| node.get("additionalProperties").filter(|any| any.is_object()))
}

/// One key of the file, with `*` for a name and `N` for a place in a list.
#[derive(Clone, Debug)]
pub struct Key {
    /// Its path.
    pub path: String,
    /// Its own schema, which holds meaning and unit.
    pub own: &'static Value,
    /// What that stands for.
    pub meant: &'static Value,
}

/// All keys that hold a value, in the order of the model.
pub fn keys() -> Vec<Key> {
    let mut found = Vec::new();
    collect(String::new(), schema(), &mut found);
    found
}

fn collect(path: String, own: &'static Value, found: &mut Vec<Key>) {
    let node = meant(own);
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match kind(node) {
        "object" => {
            for (name, member) in node["properties"].as_object().into_iter().flatten() {
                collect(below(name), member, found);
            }
            if let Some(any) = node.get("additionalProperties").filter(|any| any.is_object()) {
                match kind(meant(any)) {
                    "object" => collect(below("*"), any, found),
                    // What is said of the table holds for each value in it.
                    _ => found.push(Key { path: below("*"), own, meant: meant(any) }),
                }
            }
        }
        "array" if kind(meant(&node["items"])) == "object" => collect(below("N"), &node["items"], found),
        _ => found.push(Key { path, own, meant: node }),
    }
}

/// A property of a key: its own schema counts before what that stands for.
pub fn told<'a>(key: &'a Key, name: &str) -> Option<&'a Value> {
    key.own.get(name).or_else(|| key.meant.get(name))
}
