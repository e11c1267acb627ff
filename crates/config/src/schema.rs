//! The JSON Schema of the operator's file, and lookups in it.

use crate::model::Operator;
use serde_json::Value;
use std::sync::OnceLock;

/// Returns the schema, which is generated from the model on the first call.
pub fn schema() -> &'static Value {
    static SCHEMA: OnceLock<Value> = OnceLock::new();
    SCHEMA.get_or_init(|| schemars::schema_for!(Operator).to_value())
}

/// Follows references, and for an optional value returns the schema of the value.
pub fn dereferenced(node: &'static Value) -> &'static Value {
    let mut node = node;
    loop {
        let reference = node["$ref"].as_str().and_then(|path| path.strip_prefix("#/$defs/"));
        if let Some(name) = reference {
            node = &schema()["$defs"][name];
            continue;
        }
        let alternatives = node["anyOf"].as_array();
        match alternatives.and_then(|all| all.iter().find(|one| one["type"] != "null")) {
            Some(value) => node = value,
            None => return node,
        }
    }
}

/// Returns the first type of a schema other than null.
pub fn type_name(node: &Value) -> &str {
    match &node["type"] {
        Value::String(name) => name,
        Value::Array(names) => {
            names.iter().filter_map(Value::as_str).find(|name| *name != "null").unwrap_or_default()
        }
        _ if node["oneOf"].is_array() || node["enum"].is_array() => "string",
        _ => "",
    }
}

/// Returns the allowed strings of a value; empty if any is allowed.
pub fn allowed_values(node: &Value) -> Vec<&str> {
    let mut allowed = strings(&node["enum"]);
    for alternative in node["oneOf"].as_array().into_iter().flatten() {
        allowed.extend(alternative["const"].as_str());
        allowed.extend(strings(&alternative["enum"]));
    }
    allowed
}

/// Returns the strings in a list.
fn strings(list: &Value) -> Vec<&str> {
    list.as_array().into_iter().flatten().filter_map(Value::as_str).collect()
}

/// Returns the schema of a member of a table: that of its key or, for a map, that of all members.
pub fn member_schema(node: &'static Value, key: &str) -> Option<&'static Value> {
    node["properties"].get(key).or_else(|| additional_members(node))
}

/// Returns the schema of the members of a map, whose keys the operator chooses.
fn additional_members(node: &'static Value) -> Option<&'static Value> {
    node.get("additionalProperties").filter(|schema| schema.is_object())
}

/// A key of the file.
#[derive(Clone, Debug)]
pub struct Key {
    /// The path, with `*` for a name that the operator chooses and `N` for an index in a list.
    pub path: String,
    /// The schema of the key, with description and unit.
    pub schema: &'static Value,
    /// The schema of the value, to which `schema` refers.
    pub value_schema: &'static Value,
}

impl Key {
    /// Returns a property of the key; `schema` takes precedence over `value_schema`.
    pub fn property(&self, name: &str) -> Option<&'static Value> {
        property(self.schema, self.value_schema, name)
    }
}

/// Returns a property of a value; its own schema takes precedence over the one that it refers to.
pub fn property<'a>(own: &'a Value, referred: &'a Value, name: &str) -> Option<&'a Value> {
    own.get(name).or_else(|| referred.get(name))
}

/// Returns all keys that have a value, in the order of the model.
pub fn keys() -> Vec<Key> {
    let mut found = Vec::new();
    collect(String::new(), schema(), &mut found);
    found
}

fn collect(path: String, schema: &'static Value, found: &mut Vec<Key>) {
    let value_schema = dereferenced(schema);
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match type_name(value_schema) {
        "object" => {
            for (name, member) in value_schema["properties"].as_object().into_iter().flatten() {
                collect(below(name), member, found);
            }
            let Some(any) = additional_members(value_schema) else { return };
            match type_name(dereferenced(any)) {
                "object" => collect(below("*"), any, found),
                // The table's description applies to each value in it.
                _ => found.push(Key { path: below("*"), schema, value_schema: dereferenced(any) }),
            }
        }
        "array" if type_name(dereferenced(&value_schema["items"])) == "object" => {
            collect(below("N"), &value_schema["items"], found);
        }
        _ => found.push(Key { path, schema, value_schema }),
    }
}
