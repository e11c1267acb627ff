//! What the core is to work by: the platform's settings with the operator's word laid over them.

use crate::config::{Config, Names};
use aniseyoke_config::layers::Resolved;
use aniseyoke_config::model::{Features, Overlay as Said, Pool as Part, Route};
use aniseyoke_config::ConfigError;
use aniseyoke_core::EngineConfig;
use aniseyoke_decision::api::{server_id, Pool, Settings};
use aniseyoke_routes::overlay::{NodeOverride, NodeSelector, Overlay};
use aniseyoke_routes::{RouteRule, Routing, RoutingTable};
use rustc_hash::FxHashMap;

/// So many names that the platform does not know are told at once. Danger: ten thousand routes to a class with a slip in
/// its name would be ten thousand lines.
const UNKNOWN_MOST: usize = 100;

/// Looks names up, and gathers those that the platform does not know.
struct Lookup<'a> {
    resolved: &'a Resolved,
    faults: Vec<ConfigError>,
    left_out: usize,
}

/// Names of one sort, by number.
struct Known<'a> {
    what: &'static str,
    names: &'a [String],
    numbers: FxHashMap<&'a str, u32>,
}

impl<'a> Known<'a> {
    fn new(what: &'static str, names: &'a [String]) -> Self {
        let numbers = names.iter().enumerate().map(|(n, name)| (name.as_str(), n as u32)).collect();
        Known { what, names, numbers }
    }
}

impl Lookup<'_> {
    fn number(&mut self, known: &Known<'_>, name: &str, key: impl FnOnce() -> String) -> Option<u32> {
        let found = known.numbers.get(name).copied();
        if found.is_none() && self.faults.len() < UNKNOWN_MOST {
            let key = key();
            let listed = if known.names.is_empty() { "none".into() } else { known.names.join(", ") };
            let why = format!("the platform names no {} {name:?}; it names {listed}", known.what);
            self.faults.push(ConfigError {
                location: self.resolved.origin(&key).to_string(),
                key,
                reason: why,
            });
        } else if found.is_none() {
            self.left_out += 1;
        }
        found
    }

    fn pool(&mut self, zones: &Known<'_>, kinds: &Known<'_>, name: &str, part: &Part) -> Pool {
        let mut numbers = |known: &Known<'_>, given: &[String], field: &str| {
            let key = || format!("pools.{name}.{field}");
            let found: Vec<u32> = given.iter().filter_map(|g| self.number(known, g, key)).collect();
            (!given.is_empty()).then_some(found)
        };
        Pool { zones: numbers(zones, &part.zones, "zones"), kinds: numbers(kinds, &part.kinds, "kinds") }
    }

    fn rule(
        &mut self,
        (classes, tenants): (&Known<'_>, &Known<'_>),
        n: usize,
        route: &Route,
        pool: u32,
    ) -> RouteRule<u32> {
        let mut number = |known: &Known<'_>, name: &Option<String>, field: &str| {
            name.as_ref().and_then(|name| self.number(known, name, || format!("routes.{n}.{field}")))
        };
        let (class, tenant) =
            (number(classes, &route.class, "class"), number(tenants, &route.tenant, "tenant"));
        RouteRule { class, tenant, prefix: route.rule(pool).prefix, pool }
    }

    fn remark(&mut self, (zones, kinds): (&Known<'_>, &Known<'_>), n: usize, said: &Said) -> NodeOverride {
        let mut number = |known: &Known<'_>, name: &Option<String>, field: &str| {
            name.as_ref().and_then(|name| self.number(known, name, || format!("overlays.{n}.{field}")))
        };
        let (zone, kind) = (number(zones, &said.zone, "zone"), number(kinds, &said.kind, "kind"));
        let node = said.node.as_deref().map(server_id);
        NodeOverride { selector: NodeSelector { node, zone, kind }, weight: said.weight, drain: said.drain }
    }
}

/// What is turned off stays off for requests that come from now on.
fn turn_off(settings: &mut Settings, features: &Features) {
    if !features.retries {
        settings.max_attempts = 1;
    }
    settings.second_copies &= features.second_copies;
    settings.cancel &= features.cancelling;
}

/// Lays what the operator sets over what the platform says.
///
/// # Errors
/// All that names a tenant, class, zone or kind that the platform does not, with the place that says so.
pub fn plan(resolved: &Resolved, platform: &Config) -> Result<EngineConfig, Vec<ConfigError>> {
    let operator = &resolved.operator;
    let mut settings = platform.settings.clone();
    let Names { classes, tenants, zones, kinds } = &platform.names;
    let (classes, tenants) = (Known::new("class", classes), Known::new("tenant", tenants));
    let (zones, kinds) = (Known::new("zone", zones), Known::new("kind", kinds));
    let mut lookup = Lookup { resolved, faults: Vec::new(), left_out: 0 };
    for (name, tenant) in &operator.tenants {
        let number = lookup.number(&tenants, name, || format!("tenants.{name}"));
        if let (Some(n), Some(share)) = (number, tenant.share) {
            settings.tenants[n as usize].quota_rps = share;
        }
    }
    let pools = operator.pools.iter();
    settings.pools = pools.map(|(name, part)| lookup.pool(&zones, &kinds, name, part)).collect();
    let numbers: FxHashMap<&str, u32> =
        operator.pools.keys().enumerate().map(|(n, name)| (name.as_str(), n as u32)).collect();
    let mut rules = Vec::with_capacity(operator.routes.len());
    for (n, route) in operator.routes.iter().enumerate() {
        // That it is there was checked when the layers were put together.
        let pool = numbers.get(route.pool.as_str()).copied().unwrap_or_default();
        rules.push(lookup.rule((&classes, &tenants), n, route, pool));
    }
    let remarks = operator.overlays.iter().enumerate();
    let remarks: Vec<NodeOverride> =
        remarks.map(|(n, said)| lookup.remark((&zones, &kinds), n, said)).collect();
    turn_off(&mut settings, &operator.features);
    let Lookup { mut faults, left_out, .. } = lookup;
    if left_out > 0 {
        let why = format!("{left_out} more names that the platform does not know");
        faults.push(ConfigError { location: "all layers".into(), key: String::new(), reason: why });
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let table = RoutingTable::new(&rules).map_err(|faults| {
        let told = faults.into_iter().map(|(n, fault)| {
            let key = format!("routes.{n}");
            ConfigError { location: resolved.origin(&key).to_string(), key, reason: format!("{fault:?}") }
        });
        told.collect::<Vec<_>>()
    })?;
    let routing = Routing { table, overlay: Overlay::new(remarks) };
    Ok(EngineConfig { settings, limits: operator.limits.clone(), routing })
}

#[cfg(test)]
mod tests {
    use super::*;
    use aniseyoke_config::layers::{resolve, Layer};
    use aniseyoke_decision::api::{Entry, State};

    const PLATFORM: &str = r#"{
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "settings": {
            "categories": [
                {"name": "look", "deadline_ns": 1000000000, "allowed_in": [0]},
                {"name": "book", "deadline_ns": 1000000000}
            ],
            "customers": [{"name": "a", "quota_rps": 5.0}],
            "localities": ["east", "west"], "machine_types": ["fast", "slow"]
        }
    }"#;

    fn planned(text: &str) -> Result<EngineConfig, Vec<ConfigError>> {
        let platform = Config::parse(PLATFORM, |_| None).expect("sound");
        let resolved = resolve([Layer::File("f.toml".into(), text.into())]).expect("sound by itself");
        plan(&resolved, &platform)
    }

    #[test]
    fn an_operator_who_sets_nothing_changes_nothing() {
        let (with, without) =
            (planned("").expect("sound"), Config::parse(PLATFORM, |_| None).expect("sound"));
        assert_eq!(format!("{:?}", with.settings), format!("{:?}", without.settings));
        assert!(with.limits.is_none() && with.routing.table.is_empty() && with.routing.overlay.is_empty());
    }

    #[test]
    fn shares_pools_routes_and_remarks_are_laid_over_what_the_platform_says() {
        let text = "[tenants.a]\nshare = 9.0\n[pools.p]\nzones = [\"east\", \"west\"]\nkinds = [\"slow\"]\n\
                    [pools.q]\nzones = [\"west\"]\n[[routes]]\nclass = \"look\"\nprefix = \"k/\"\npool = \"q\"\n\
                    [[routes]]\ntenant = \"a\"\npool = \"p\"\n[[overlays]]\nzone = \"west\"\nweight = 0.5\n\
                    [[overlays]]\nnode = \"n1\"\ndrain = true\n";
        let plan = planned(text).expect("sound");
        assert_eq!(plan.settings.tenants[0].quota_rps, 9.0);
        assert_eq!(plan.settings.classes[0].only.zones, Some(vec![0]), "the platform's word stays");
        let pool = |zones: &[u32], kinds: Option<Vec<u32>>| Pool { zones: Some(zones.to_vec()), kinds };
        assert_eq!(plan.settings.pools, [pool(&[0, 1], Some(vec![1])), pool(&[1], None)]);
        let table = &plan.routing.table;
        assert_eq!(table.pool(Some(&0), Some(&0), b"k/7"), Some(1));
        assert_eq!(table.pool(Some(&1), Some(&0), b"k/7"), Some(0));
        assert_eq!(table.pool(Some(&1), None, b"k/7"), None);
        let entry =
            |name: &str, zone| Entry { server: server_id(name), zone, weight: 1.0, ..Entry::default() };
        let laid = |name: &str, zone| plan.routing.overlay.apply(&entry(name, zone));
        assert_eq!((laid("n2", 1).weight, laid("n1", 0).state), (0.5, State::Draining));
        assert_eq!(laid("n2", 0), entry("n2", 0));
    }

    #[test]
    fn what_is_turned_off_is_off_and_nothing_is_turned_on() {
        let caps =
            "\"caps\": {\"attempts_cap\": 4, \"cancelling\": true, \"second_copies\": false}, \"localities\"";
        let platform = Config::parse(&PLATFORM.replace("\"localities\"", caps), |_| None).expect("sound");
        let caps = |text: &str| {
            let resolved = resolve([Layer::File("f.toml".into(), text.into())]).expect("sound by itself");
            let s = plan(&resolved, &platform).expect("sound").settings;
            (s.max_attempts, s.cancel, s.second_copies)
        };
        assert_eq!(caps(""), (4, true, false));
        assert_eq!(caps("[features]\nretries = false\ncancelling = false"), (1, false, false));
        assert_eq!(caps("[features]\nsecond_copies = true"), (4, true, false));
    }

    #[test]
    fn names_that_the_platform_does_not_know_are_all_told() {
        let text = "[tenants.b]\nshare = 1.0\n[pools.p]\nzones = [\"north\"]\nkinds = [\"tiny\"]\n\
                    [[routes]]\nclass = \"sell\"\ntenant = \"c\"\npool = \"p\"\n[[overlays]]\nkind = \"huge\"\ndrain = true\n";
        let faults = planned(text).expect_err("six");
        let keys: Vec<&str> = faults.iter().map(|f| f.key.as_str()).collect();
        let wanted = [
            "tenants.b",
            "pools.p.zones",
            "pools.p.kinds",
            "routes.0.class",
            "routes.0.tenant",
            "overlays.0.kind",
        ];
        assert_eq!(keys, wanted);
        assert!(faults.iter().all(|f| f.location.starts_with("f.toml:")), "{faults:?}");
        assert!(faults[0].reason.contains("it names a"), "{}", faults[0]);
    }

    /// Danger: one slip in a name that ten thousand routes use would fill the log, and every answer to the service.
    #[test]
    fn of_very_many_unknown_names_the_first_are_told_and_the_rest_counted() {
        let routes: String = (0..500)
            .map(|n| format!("[[routes]]\nclass = \"sell\"\nprefix = \"{n}/\"\npool = \"p\"\n"))
            .collect();
        let faults = planned(&format!("[pools.p]\nzones = [\"east\"]\n{routes}")).expect_err("many");
        assert_eq!(faults.len(), 101);
        assert!(faults[100].reason.starts_with("400 more"), "{}", faults[100]);
    }
}
