//! Layers on top of each other: defaults, the file, the environment, what a control service says. The later one counts;
//! tables are merged key by key, lists and values are replaced as a whole.

use crate::check::{check, check_tree, Fault};
use crate::model::Operator;
use serde::Deserialize;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use toml::Table;

/// Variables that begin so set a key each: `ANISEYOKE__LOG__LEVEL` sets `log.level`.
pub const PREFIX: &str = "ANISEYOKE__";

/// One layer as it came.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
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
    /// A file, with line and column.
    File(String, (usize, usize)),
    /// A variable.
    Variable(String),
    /// A control service's version.
    Service(u64),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Default => f.write_str("default"),
            Origin::File(name, (line, column)) => write!(f, "{name}:{line}:{column}"),
            Origin::Variable(name) => write!(f, "${name}"),
            Origin::Service(version) => write!(f, "control service, version {version}"),
        }
    }
}

/// What all layers come to.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// What counts.
    pub operator: Operator,
    /// What is set, and by which layer.
    pub origins: BTreeMap<String, Origin>,
}

impl Resolved {
    /// Where a key's value comes from: the layer that sets it, or a table or list around it.
    pub fn origin(&self, key: &str) -> Origin {
        origin(&self.origins, key)
    }

    /// SHA-256 over what counts, defaults included, in hex: alike for two configurations that say the same.
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
            Some((around, _)) => key = around,
            None => return Origin::Default,
        }
    }
}

/// The layers of the environment: each variable that begins with [`PREFIX`], in the order of their names.
pub fn environment(all: impl IntoIterator<Item = (String, String)>) -> Vec<Source> {
    let own = all.into_iter().filter(|(name, _)| name.starts_with(PREFIX));
    let mut own: Vec<_> = own.map(|(name, value)| Source::Variable(name, value)).collect();
    own.sort_by(|a, b| match (a, b) {
        (Source::Variable(a, _), Source::Variable(b, _)) => a.cmp(b),
        _ => std::cmp::Ordering::Equal,
    });
    own
}

/// A variable as TOML: its path from its name, its value as it stands, or in quotes where that is no value.
fn assignment(name: &str, value: &str) -> String {
    let path = name.strip_prefix(PREFIX).unwrap_or(name).to_lowercase();
    let quoted = |text: &str| toml::Value::String(text.to_owned()).to_string();
    let path: Vec<String> = path.split("__").map(quoted).collect();
    let path = path.join(".");
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
/// All that is wrong in any layer; and, where no layer by itself is at fault, all that contradicts itself in what they
/// come to, with the place that set it.
pub fn resolve(layers: impl IntoIterator<Item = Source>) -> Result<Resolved, Vec<Fault>> {
    let (mut all, mut origins, mut faults) = (Map::new(), BTreeMap::new(), Vec::new());
    for layer in layers {
        let (value, checked) = match &layer {
            Source::File(name, text) => check(text, name, true),
            Source::Variable(name, value) => check(&assignment(name, value), &format!("${name}"), false),
            Source::Service(version, body) => {
                (Value::Null, check_tree(body, &Origin::Service(*version).to_string()))
            }
        };
        faults.extend(checked.faults);
        let (value, of) = match layer {
            Source::File(name, _) => (value, Origin::File(name, (0, 0))),
            Source::Variable(name, _) => (value, Origin::Variable(name)),
            Source::Service(version, body) => (body, Origin::Service(version)),
        };
        for (key, at) in checked.places {
            let origin = match &of {
                Origin::File(name, _) => Origin::File(name.clone(), at),
                other => other.clone(),
            };
            origins.insert(key, origin);
        }
        if let Value::Object(above) = value {
            merge(&mut all, above);
        }
    }
    // Danger: a version that says which services are followed could cut its proxies off from all of them.
    for (key, origin) in origins.range("control".to_owned()..) {
        if let ("control", Origin::Service(_)) = (key.split('.').next().unwrap_or_default(), origin) {
            let why = "a control service may not set which services are followed".to_owned();
            faults.push(Fault { place: origin.to_string(), key: key.clone(), why });
            break;
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let read = Operator::deserialize(Value::Object(all));
    let operator =
        read.map_err(|e| vec![Fault { place: "all layers".into(), key: String::new(), why: e.to_string() }])?;
    let faults = operator.faults().into_iter().map(|(key, why)| {
        let place = origin(&origins, &key).to_string();
        Fault { place, key, why }
    });
    let faults: Vec<Fault> = faults.collect();
    if faults.is_empty() {
        Ok(Resolved { operator, origins })
    } else {
        Err(faults)
    }
}

/// Lays one table over another.
pub fn merge(below: &mut Map<String, Value>, above: Map<String, Value>) {
    for (key, value) in above {
        match (below.get_mut(&key), value) {
            (Some(Value::Object(below)), Value::Object(above)) => merge(below, above),
            (_, value) => drop(below.insert(key, value)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::Level;
    use proptest::prelude::*;
    use serde_json::json;

    fn file(text: &str) -> Source {
        Source::File("f.toml".into(), text.into())
    }

    fn variable(name: &str, value: &str) -> Source {
        Source::Variable(name.into(), value.into())
    }

    #[test]
    fn nothing_set_is_the_default() {
        let resolved = resolve([]).expect("sound");
        assert_eq!(resolved.operator, Operator::default());
        assert_eq!(resolved.origin("log.level"), Origin::Default);
    }

    #[test]
    fn the_later_layer_counts_and_each_value_knows_where_it_comes_from() {
        let layers = [
            file("[log]\nlevel = \"warn\"\nburst = 5\n"),
            variable("ANISEYOKE__LOG__LEVEL", "debug"),
            Source::Service(7, json!({ "log": { "per_second": 9 } })),
        ];
        let resolved = resolve(layers).expect("sound");
        let log = &resolved.operator.log;
        assert_eq!((log.level, log.burst, log.per_second), (Level::Debug, 5, 9));
        assert_eq!(resolved.origin("log.level"), Origin::Variable("ANISEYOKE__LOG__LEVEL".into()));
        assert_eq!(resolved.origin("log.burst"), Origin::File("f.toml".into(), (3, 1)));
        assert_eq!(resolved.origin("log.per_second"), Origin::Service(7));
    }

    #[test]
    fn a_contradiction_between_layers_is_told_at_the_place_that_set_it() {
        let layers =
            [file("[limits.node]\nceiling = 10.0\n"), variable("ANISEYOKE__LIMITS__NODE__FLOOR", "20")];
        let faults = resolve(layers).expect_err("the floor is above the ceiling");
        let floor = faults.iter().find(|f| f.key == "limits.node.floor").expect("named");
        assert_eq!(floor.place, "$ANISEYOKE__LIMITS__NODE__FLOOR");
        assert!(floor.why.contains("above the ceiling"), "{floor}");
    }

    #[test]
    fn faults_of_all_layers_are_told_at_once() {
        let layers =
            [file("[lag]"), variable("ANISEYOKE__LOG__BURST", "many"), variable("ANISEYOKE__X", "1")];
        let faults = resolve(layers).expect_err("three");
        let places: Vec<&str> = faults.iter().map(|f| f.place.as_str()).collect();
        assert_eq!(places, ["f.toml:1:2", "$ANISEYOKE__LOG__BURST", "$ANISEYOKE__X"]);
    }

    #[test]
    fn a_route_to_no_pool_and_a_route_that_none_reaches_are_refused() {
        let text = "[pools.a]\nkinds = [\"k\"]\n[[routes]]\nclass = \"c\"\npool = \"b\"\n[[routes]]\nclass = \"c\"\npool = \"a\"\n";
        let faults = resolve([file(text)]).expect_err("two");
        let keys: Vec<&str> = faults.iter().map(|f| f.key.as_str()).collect();
        assert_eq!(keys, ["routes.0.pool", "routes.1"]);
        assert!(faults.iter().all(|f| f.place.starts_with("f.toml:")), "{faults:?}");
    }

    #[test]
    fn routes_and_overlays_that_say_nothing_or_too_much_are_all_told() {
        let long = "x".repeat(257);
        let text = format!(
            "[pools.a]\nzones = [\"z\"]\n[[routes]]\npool = \"a\"\n[[routes]]\nprefix = \"{long}\"\npool = \"a\"\n\
             [[routes]]\nprefix = \"k/\"\npool = \"a\"\n[[routes]]\ntenant = \"t\"\nprefix = \"k/7\"\npool = \"a\"\n\
             [[overlays]]\ndrain = true\n[[overlays]]\nnode = \"n\"\n[[overlays]]\nnode = \"n\"\nweight = 0.5\n\
             [[overlays]]\nzone = \"z\"\nweight = 200\n"
        );
        let told = |faults: Vec<Fault>| faults.into_iter().map(|f| f.key).collect::<Vec<_>>();
        assert_eq!(told(resolve([file(&text)]).expect_err("by itself")), ["overlays.3.weight"]);
        let text = text.replace("200", "2.0");
        let keys = told(resolve([file(&text)]).expect_err("six"));
        let wanted = ["routes.0", "routes.1.prefix", "routes.3", "overlays.0", "overlays.1", "overlays.2"];
        assert_eq!(keys, wanted);
    }

    #[test]
    fn more_pools_than_can_be_told_apart_are_refused() {
        let pools = |n: usize| (0..n).map(|n| format!("[pools.p{n}]\nzones = [\"z\"]\n")).collect::<String>();
        assert!(resolve([file(&pools(63))]).is_ok());
        let faults = resolve([file(&pools(64))]).expect_err("one too many");
        assert_eq!((faults.len(), faults[0].key.as_str()), (1, "pools"));
    }

    #[test]
    fn the_digest_tells_what_is_said_and_not_how() {
        let digest = |text: &str| resolve([file(text)]).expect("sound").digest();
        assert_eq!(digest(""), digest("[log]\nlevel = \"info\""));
        assert_eq!(digest("log.burst = 7"), digest("[log] # seven\nburst = 7"));
        assert_ne!(digest(""), digest("log.burst = 7"));
    }

    /// A version says the same as a file with the same keys, and its faults are those of the file.
    #[test]
    fn a_tree_is_checked_as_a_text_is() {
        let text = "[log]\nlevl = \"info\"\nburst = 0\nformat = \"xml\"\n[limits.queue]\ninterval = 5\ntarget = \"5\"\n\
                    [[routes]]\npool = 7\n[[overlays]]\ndrain = 1\nweight = 0.001\n[nothing]\n";
        let tree: Value = toml::from_str(text).expect("TOML");
        let told = |faults: Vec<Fault>| {
            faults.into_iter().map(|f| (f.key, f.why)).collect::<std::collections::BTreeSet<_>>()
        };
        let by_text = told(resolve([file(text)]).expect_err("nine"));
        assert_eq!(
            (by_text.len(), by_text),
            (9, told(resolve([Source::Service(1, tree)]).expect_err("nine")))
        );
        let null = resolve([Source::Service(1, json!({ "log": { "burst": null } }))]).expect_err("null");
        assert!(null[0].why.contains("not nothing"), "{}", null[0]);
        assert!(resolve([Source::Service(1, json!([1]))]).is_err_and(|f| f[0].why.contains("not a list")));
    }

    #[test]
    fn a_control_service_may_not_say_which_services_are_followed() {
        let text = "[control]\nservices = [\"127.0.0.1:1\"]";
        assert!(resolve([file(text)]).is_ok());
        let faults = resolve([Source::Service(3, json!({ "control": { "services": ["127.0.0.1:1"] } }))])
            .expect_err("refused");
        assert_eq!((faults[0].key.as_str(), faults.len()), ("control", 1));
    }

    fn some_log() -> impl Strategy<Value = String> {
        let level = prop::option::of(prop::sample::select(vec!["off", "error", "warn", "info"]));
        let number = || prop::option::of(1u32..1000);
        (level, number(), number()).prop_map(|(level, burst, per_second)| {
            let mut text = String::from("[log]\n");
            level.into_iter().for_each(|l| text += &format!("level = \"{l}\"\n"));
            burst.into_iter().for_each(|b| text += &format!("burst = {b}\n"));
            per_second.into_iter().for_each(|p| text += &format!("per_second = {p}\n"));
            text
        })
    }

    proptest! {
        #[test]
        fn layers_may_be_put_together_in_any_grouping(texts in prop::collection::vec(some_log(), 0..5), cut in 0usize..5) {
            let table = |texts: &[String]| {
                let mut all = Map::new();
                texts.iter().for_each(|t| merge(&mut all, toml::from_str(t).expect("TOML")));
                all
            };
            let cut = cut.min(texts.len());
            let mut grouped = table(&texts[..cut]);
            merge(&mut grouped, table(&texts[cut..]));
            prop_assert_eq!(grouped, table(&texts));
        }

        #[test]
        fn a_layer_says_no_more_when_said_twice(below in some_log(), above in some_log()) {
            let once = resolve([file(&below), file(&above)]).expect("sound").operator;
            let twice = resolve([file(&below), file(&above), file(&above)]).expect("sound").operator;
            prop_assert_eq!(once, twice);
        }

        #[test]
        fn no_text_is_a_panic(text in ".{0,200}") {
            let _ = resolve([file(&text), variable("ANISEYOKE__LOG__LEVEL", &text)]);
        }
    }
}
