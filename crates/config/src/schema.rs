//! The JSON Schema of the operator's file, and ways to look things up in it.

use crate::model::Operator;
use serde_json::Value;
use std::sync::OnceLock;

/// The schema, made from the model once.
pub fn schema() -> &'static Value {
    static SCHEMA: OnceLock<Value> = OnceLock::new();
    SCHEMA.get_or_init(|| schemars::schema_for!(Operator).to_value())
}

/// The schema that a node of the whole schema stands for: references are followed, and of an optional value the schema of
/// the value is taken.
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

/// The first type that a schema names, other than null.
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

/// The texts that a value may be, if only some are allowed.
pub fn allowed_values(node: &Value) -> Vec<&str> {
    let mut allowed = texts(&node["enum"]);
    for alternative in node["oneOf"].as_array().into_iter().flatten() {
        allowed.extend(alternative["const"].as_str());
        allowed.extend(texts(&alternative["enum"]));
    }
    allowed
}

/// The texts of a list.
fn texts(list: &Value) -> Vec<&str> {
    list.as_array().into_iter().flatten().filter_map(Value::as_str).collect()
}

/// The schema of a member of a table: that of its key, or that of any key where keys are names.
pub fn member_schema(node: &'static Value, key: &str) -> Option<&'static Value> {
    node["properties"].get(key).or_else(|| additional_members(node))
}

/// The schema of members whose keys are names.
fn additional_members(node: &'static Value) -> Option<&'static Value> {
    node.get("additionalProperties").filter(|schema| schema.is_object())
}

/// One key of the file, with `*` for a name and `N` for an index in a list.
#[derive(Clone, Debug)]
pub struct Key {
    /// Its path.
    pub path: String,
    /// Its own schema, which has description and unit.
    pub schema: &'static Value,
    /// The schema that this refers to.
    pub value_schema: &'static Value,
}

impl Key {
    /// A property of the key: its own schema takes precedence.
    pub fn property(&self, name: &str) -> Option<&'static Value> {
        property(self.schema, self.value_schema, name)
    }
}

/// A property of a value, by its own schema and the one that it refers to; the own one takes precedence.
pub fn property<'a>(own: &'a Value, referred: &'a Value, name: &str) -> Option<&'a Value> {
    own.get(name).or_else(|| referred.get(name))
}

/// All keys that have a value, in the order of the model.
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
                // What is said of the table holds for each value in it.
                _ => found.push(Key { path: below("*"), schema, value_schema: dereferenced(any) }),
            }
        }
        "array" if type_name(dereferenced(&value_schema["items"])) == "object" => {
            collect(below("N"), &value_schema["items"], found);
        }
        _ => found.push(Key { path, schema, value_schema }),
    }
}
