//! Layers of configuration on top of each other: defaults, the file, the environment, what a control service says. The later
//! one takes precedence; tables are merged key by key, lists and values are replaced as a whole.

use crate::check::{check_text, check_tree, Checked, ConfigError, Position};
use crate::model::Operator;
use serde::Deserialize;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use toml::Table;

/// Variables that begin so set a key each: `ANISEYOKE__LOG__LEVEL` sets `log.level`.
pub const PREFIX: &str = "ANISEYOKE__";
/// The table that a control service may not set.
const CONTROL: &str = "control";

/// One layer as it was given.
#[derive(Clone, Debug, PartialEq)]
pub enum Layer {
    /// A file's name and text.
    File(String, String),
    /// A variable's name and value.
    Variable(String, String),
    /// The number and the body of a control service's version.
    Service(u64, Value),
}

/// Which layer a value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Nothing sets it.
    Default,
    /// A file, and where in it.
    File(String, Position),
    /// A variable.
    Variable(String),
    /// A control service's version.
    Service(u64),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Default => f.write_str("default"),
            Origin::File(name, Position { line, column }) => write!(f, "{name}:{line}:{column}"),
            Origin::Variable(name) => write!(f, "${name}"),
            Origin::Service(version) => write!(f, "control service, version {version}"),
        }
    }
}

/// What all layers together say.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// The configuration that applies.
    pub operator: Operator,
    /// The keys that are set, and by which layer.
    pub origins: BTreeMap<String, Origin>,
}

impl Resolved {
    /// Where a key's value comes from: the layer that sets it, or a table or list around it.
    pub fn origin(&self, key: &str) -> Origin {
        origin(&self.origins, key)
    }

    /// SHA-256 over the configuration, defaults included, in hex: the same for two configurations that say the same.
    pub fn digest(&self) -> String {
        let text = serde_json::to_string(&self.operator).unwrap_or_default();
        Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

fn origin(origins: &BTreeMap<String, Origin>, key: &str) -> Origin {
    let mut key = key;
    loop {
        if let Some(origin) = origins.get(key) {
            return origin.clone();
        }
        match key.rsplit_once('.') {
            Some((parent, _)) => key = parent,
            None => return Origin::Default,
        }
    }
}

/// The layers of the environment: each variable that begins with [`PREFIX`], in the order of their names.
pub fn environment(variables: impl IntoIterator<Item = (String, String)>) -> Vec<Layer> {
    let mut own: Vec<_> = variables.into_iter().filter(|(name, _)| name.starts_with(PREFIX)).collect();
    // Sorted by name alone: the order of a name's own repeats is that of the environment.
    own.sort_by(|a, b| a.0.cmp(&b.0));
    own.into_iter().map(|(name, value)| Layer::Variable(name, value)).collect()
}

/// A variable as TOML: its path from its name, its value as it is, or in quotes where it is no TOML value.
fn assignment(name: &str, value: &str) -> String {
    let path = name.strip_prefix(PREFIX).unwrap_or(name).to_lowercase();
    let quoted = |text: &str| toml::Value::String(text.to_owned()).to_string();
    let steps: Vec<String> = path.split("__").map(quoted).collect();
    let path = steps.join(".");
    let plain = format!("{path} = {value}");
    if !value.contains('\n') && plain.parse::<Table>().is_ok() {
        plain
    } else {
        format!("{path} = {}", quoted(value))
    }
}

/// Puts layers on top of each other, the first at the bottom.
///
/// # Errors
/// All that is wrong in any layer; and, where each layer by itself is valid, all contradictions in what they say together,
/// with the location that set it.
pub fn resolve(layers: impl IntoIterator<Item = Layer>) -> Result<Resolved, Vec<ConfigError>> {
    let mut merged = Merged::default();
    for layer in layers {
        merged.add(layer);
    }
    merged.refuse_control_settings_of_service();
    if !merged.errors.is_empty() {
        return Err(merged.errors);
    }
    let Merged { values, origins, .. } = merged;
    let operator = Operator::deserialize(Value::Object(values)).map_err(|error| {
        vec![ConfigError { location: "all layers".into(), key: String::new(), reason: error.to_string() }]
    })?;
    let contradictions = operator.contradictions().into_iter().map(|contradiction| {
        let location = origin(&origins, &contradiction.key).to_string();
        ConfigError { location, key: contradiction.key, reason: contradiction.reason }
    });
    let errors: Vec<ConfigError> = contradictions.collect();
    if errors.is_empty() {
        Ok(Resolved { operator, origins })
    } else {
        Err(errors)
    }
}

/// The layers that were added so far.
#[derive(Default)]
struct Merged {
    values: Map<String, Value>,
    origins: BTreeMap<String, Origin>,
    errors: Vec<ConfigError>,
}

impl Merged {
    /// Puts a layer on top.
    fn add(&mut self, layer: Layer) {
        match layer {
            Layer::File(name, text) => {
                let (value, checked) = check_text(&text, &name, true);
                self.take(value, checked, |position| Origin::File(name.clone(), position));
            }
            Layer::Variable(name, value) => {
                let (value, checked) = check_text(&assignment(&name, &value), &format!("${name}"), false);
                self.take(value, checked, |_| Origin::Variable(name.clone()));
            }
            Layer::Service(version, body) => {
                let origin = Origin::Service(version);
                let checked = check_tree(&body, &origin.to_string());
                self.take(body, checked, |_| origin.clone());
            }
        }
    }

    fn take(&mut self, value: Value, checked: Checked, origin: impl Fn(Position) -> Origin) {
        self.errors.extend(checked.errors);
        let set = checked.positions.into_iter().map(|(key, position)| (key, origin(position)));
        self.origins.extend(set);
        if let Value::Object(above) = value {
            merge(&mut self.values, above);
        }
    }

    /// Danger: a version that says which control services are followed could cut its proxies off from all of them.
    fn refuse_control_settings_of_service(&mut self) {
        let from_control = self.origins.range(CONTROL.to_owned()..);
        let mut by_service = from_control.filter(|(key, origin)| {
            key.split('.').next() == Some(CONTROL) && matches!(origin, Origin::Service(_))
        });
        if let Some((key, origin)) = by_service.next() {
            let (location, key) = (origin.to_string(), key.clone());
            let reason = "a control service may not set which services are followed".to_owned();
            self.errors.push(ConfigError { location, key, reason });
        }
    }
}

/// Lays one table over another.
pub fn merge(below: &mut Map<String, Value>, above: Map<String, Value>) {
    for (key, value) in above {
        match (below.get_mut(&key), value) {
            (Some(Value::Object(below)), Value::Object(above)) => merge(below, above),
            (_, value) => {
                below.insert(key, value);
            }
        }
    }
}

#[cfg(test)]
mod tests;
