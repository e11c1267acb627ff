//! Merges the layers of the configuration: defaults, the file, the environment and the versions of a control
//! service. Later layers take precedence; tables are merged key by key, lists and values are replaced as a
//! whole.

use crate::check::{check_text, check_tree, Checked, ConfigError, Position};
use crate::model::Operator;
use serde::Deserialize;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use toml::Table;

/// Prefix of environment variables that set a key: `ANISEYOKE__LOG__LEVEL` sets `log.level`.
pub const PREFIX: &str = "ANISEYOKE__";
/// The table that a control service must not set.
const CONTROL: &str = "control";

/// One layer, before it is checked.
#[derive(Clone, Debug, PartialEq)]
pub enum Layer {
    /// Name and text of a file.
    File(String, String),
    /// Name and value of an environment variable.
    Variable(String, String),
    /// Number and body of a version from a control service.
    Service(u64, Value),
}

/// The layer that a value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// No layer sets the value.
    Default,
    /// A file, with the position in it.
    File(String, Position),
    /// An environment variable.
    Variable(String),
    /// A version from a control service.
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

/// The result of merging all layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// The effective configuration.
    pub operator: Operator,
    /// The keys that are set, with the layer that sets them.
    pub origins: BTreeMap<String, Origin>,
}

impl Resolved {
    /// Returns the layer that sets a key, or a table or list around it.
    pub fn origin(&self, key: &str) -> Origin {
        origin(&self.origins, key)
    }

    /// Returns the SHA-256 of the effective configuration in hex. It includes defaults and does not depend on
    /// spelling.
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

/// Returns a layer for each environment variable that begins with [`PREFIX`], in the order of their names.
pub fn environment(variables: impl IntoIterator<Item = (String, String)>) -> Vec<Layer> {
    let mut matching: Vec<_> = variables.into_iter().filter(|(name, _)| name.starts_with(PREFIX)).collect();
    // Sorted by name only: variables with the same name keep their order in the environment.
    matching.sort_by(|a, b| a.0.cmp(&b.0));
    matching.into_iter().map(|(name, value)| Layer::Variable(name, value)).collect()
}

/// Converts a variable to a TOML assignment. The path follows from its name; a value that is not valid TOML
/// is quoted.
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

/// Merges layers, of which later ones take precedence.
///
/// # Errors
/// All errors of all layers. If each layer is valid by itself, all contradictions in the merged
/// configuration, with the location that set the key.
pub fn resolve(layers: impl IntoIterator<Item = Layer>) -> Result<Resolved, Vec<ConfigError>> {
    let mut merged = Merged::default();
    for layer in layers {
        merged.add(layer);
    }
    merged.reject_control_settings_of_service();
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

/// The layers merged so far.
#[derive(Default)]
struct Merged {
    values: Map<String, Value>,
    origins: BTreeMap<String, Origin>,
    errors: Vec<ConfigError>,
}

impl Merged {
    /// Checks a layer, and merges it over the previous ones.
    fn add(&mut self, layer: Layer) {
        match layer {
            Layer::File(name, text) => {
                let (value, checked) = check_text(&text, &name, true);
                self.add_checked(value, checked, |position| Origin::File(name.clone(), position));
            }
            Layer::Variable(name, value) => {
                let (value, checked) = check_text(&assignment(&name, &value), &format!("${name}"), false);
                self.add_checked(value, checked, |_| Origin::Variable(name.clone()));
            }
            Layer::Service(version, body) => {
                let origin = Origin::Service(version);
                let checked = check_tree(&body, &origin.to_string());
                self.add_checked(body, checked, |_| origin.clone());
            }
        }
    }

    /// Adds the values, origins and errors of a checked layer.
    fn add_checked(&mut self, value: Value, checked: Checked, origin: impl Fn(Position) -> Origin) {
        self.errors.extend(checked.errors);
        let origins = checked.positions.into_iter().map(|(key, position)| (key, origin(position)));
        self.origins.extend(origins);
        if let Value::Object(above) = value {
            merge(&mut self.values, above);
        }
    }

    /// Rejects a version that sets the control services: it could disconnect its proxies from all of them.
    fn reject_control_settings_of_service(&mut self) {
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

/// Merges the table `above` over the table `below`.
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
