//! The engine's configuration: the platform's settings, overridden by the operator's.

use crate::config::{Config, Names};
use aniseyoke_config::layers::Resolved;
use aniseyoke_config::model::{Features, Overlay as OverlayRule, Pool as PoolRule, Route};
use aniseyoke_config::ConfigError;
use aniseyoke_core::EngineConfig;
use aniseyoke_decision::api::{server_id, Pool, Settings};
use aniseyoke_routes::overlay::{NodeOverride, NodeSelector, Overlay};
use aniseyoke_routes::{RouteRule, Routing, RoutingTable};
use rustc_hash::FxHashMap;

/// Most unknown names that are reported one by one: ten thousand routes with a misspelled class would
/// otherwise be ten thousand lines.
const MAX_UNKNOWN_NAMES: usize = 100;

/// Resolves names to numbers, and collects an error for each name that the platform does not know.
struct Lookup<'a> {
    resolved: &'a Resolved,
    errors: Vec<ConfigError>,
    /// Number of unknown names without an error of their own.
    omitted: usize,
}

/// The platform's names of one sort, such as zones, with their numbers.
struct NameIndex<'a> {
    entity: &'static str,
    names: &'a [String],
    numbers: FxHashMap<&'a str, u32>,
}

impl<'a> NameIndex<'a> {
    fn new(entity: &'static str, names: &'a [String]) -> Self {
        let numbers = names.iter().enumerate().map(|(n, name)| (name.as_str(), n as u32)).collect();
        NameIndex { entity, names, numbers }
    }
}

impl Lookup<'_> {
    fn number(&mut self, index: &NameIndex<'_>, name: &str, key: impl FnOnce() -> String) -> Option<u32> {
        let found = index.numbers.get(name).copied();
        if found.is_none() && self.errors.len() < MAX_UNKNOWN_NAMES {
            let key = key();
            let listed = if index.names.is_empty() { "none".into() } else { index.names.join(", ") };
            let reason = format!("the platform names no {} {name:?}; it names {listed}", index.entity);
            self.errors.push(ConfigError { location: self.resolved.origin(&key).to_string(), key, reason });
        } else if found.is_none() {
            self.omitted += 1;
        }
        found
    }

    fn pool(&mut self, zones: &NameIndex<'_>, kinds: &NameIndex<'_>, name: &str, rule: &PoolRule) -> Pool {
        let mut numbers = |index: &NameIndex<'_>, given: &[String], field: &str| {
            let key = || format!("pools.{name}.{field}");
            let found: Vec<u32> = given.iter().filter_map(|g| self.number(index, g, key)).collect();
            (!given.is_empty()).then_some(found)
        };
        Pool { zones: numbers(zones, &rule.zones, "zones"), kinds: numbers(kinds, &rule.kinds, "kinds") }
    }

    fn route_rule(
        &mut self,
        (classes, tenants): (&NameIndex<'_>, &NameIndex<'_>),
        n: usize,
        route: &Route,
        pool: u32,
    ) -> RouteRule<u32> {
        let mut number = |index: &NameIndex<'_>, name: &Option<String>, field: &str| {
            name.as_ref().and_then(|name| self.number(index, name, || format!("routes.{n}.{field}")))
        };
        let (class, tenant) =
            (number(classes, &route.class, "class"), number(tenants, &route.tenant, "tenant"));
        RouteRule { class, tenant, prefix: route.rule(pool).prefix, pool }
    }

    fn node_override(
        &mut self,
        (zones, kinds): (&NameIndex<'_>, &NameIndex<'_>),
        n: usize,
        rule: &OverlayRule,
    ) -> NodeOverride {
        let mut number = |index: &NameIndex<'_>, name: &Option<String>, field: &str| {
            name.as_ref().and_then(|name| self.number(index, name, || format!("overlays.{n}.{field}")))
        };
        let (zone, kind) = (number(zones, &rule.zone, "zone"), number(kinds, &rule.kind, "kind"));
        let node = rule.node.as_deref().map(server_id);
        NodeOverride { selector: NodeSelector { node, zone, kind }, weight: rule.weight, drain: rule.drain }
    }
}

/// Disables the features that the operator turned off; features that the platform disables stay disabled.
fn disable_features(settings: &mut Settings, features: &Features) {
    if !features.retries {
        settings.max_attempts = 1;
    }
    settings.hedging &= features.second_copies;
    settings.cancellation &= features.cancelling;
}

/// Overrides the platform's settings by the operator's.
///
/// # Errors
/// All names of tenants, classes, zones and kinds that the platform does not know, with their locations.
pub fn engine_config(resolved: &Resolved, platform: &Config) -> Result<EngineConfig, Vec<ConfigError>> {
    let operator = &resolved.operator;
    let mut settings = platform.settings.clone();
    let Names { classes, tenants, zones, kinds } = &platform.names;
    let (classes, tenants) = (NameIndex::new("class", classes), NameIndex::new("tenant", tenants));
    let (zones, kinds) = (NameIndex::new("zone", zones), NameIndex::new("kind", kinds));
    let mut lookup = Lookup { resolved, errors: Vec::new(), omitted: 0 };
    for (name, tenant) in &operator.tenants {
        let number = lookup.number(&tenants, name, || format!("tenants.{name}"));
        if let (Some(n), Some(share)) = (number, tenant.share) {
            settings.tenants[n as usize].quota_rps = share;
        }
    }
    let pools = operator.pools.iter();
    settings.pools = pools.map(|(name, rule)| lookup.pool(&zones, &kinds, name, rule)).collect();
    let numbers: FxHashMap<&str, u32> =
        operator.pools.keys().enumerate().map(|(n, name)| (name.as_str(), n as u32)).collect();
    let mut rules = Vec::with_capacity(operator.routes.len());
    for (n, route) in operator.routes.iter().enumerate() {
        // The pool exists: that was checked when the layers were resolved.
        let pool = numbers.get(route.pool.as_str()).copied().unwrap_or_default();
        rules.push(lookup.route_rule((&classes, &tenants), n, route, pool));
    }
    let overrides = operator.overlays.iter().enumerate();
    let overrides: Vec<NodeOverride> =
        overrides.map(|(n, rule)| lookup.node_override((&zones, &kinds), n, rule)).collect();
    disable_features(&mut settings, &operator.features);
    let Lookup { mut errors, omitted, .. } = lookup;
    if omitted > 0 {
        let reason = format!("{omitted} more names that the platform does not know");
        errors.push(ConfigError { location: "all layers".into(), key: String::new(), reason });
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    let table = RoutingTable::new(&rules).map_err(|errors| {
        let located = errors.into_iter().map(|(n, error)| {
            let key = format!("routes.{n}");
            ConfigError { location: resolved.origin(&key).to_string(), key, reason: format!("{error:?}") }
        });
        located.collect::<Vec<_>>()
    })?;
    let routing = Routing { table, overlay: Overlay::new(overrides) };
    Ok(EngineConfig { settings, limits: operator.limits.clone(), routing })
}

#[cfg(test)]
mod tests;
