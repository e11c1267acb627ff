//! Contradictions between keys whose values are valid by themselves.

use super::{Operator, Overlay, Route};
use aniseyoke_decision::api::MAX_POOLS;
use aniseyoke_routes::overlay::{MAX_GENERAL_OVERRIDES, MAX_NODE_OVERRIDES};
use aniseyoke_routes::{RouteError, RouteRule, RoutingTable};
use std::collections::BTreeSet;

/// A key that contradicts another key, or has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// The key.
    pub key: String,
    /// The reason, for the error message.
    pub reason: String,
}

impl Contradiction {
    fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        Contradiction { key: key.into(), reason: reason.into() }
    }
}

impl Operator {
    /// Returns all contradictions between the keys.
    pub fn contradictions(&self) -> Vec<Contradiction> {
        let mut found = Vec::new();
        if let Some(limits) = &self.limits {
            let errors = limits.validate().into_iter();
            found.extend(
                errors.map(|error| Contradiction::new(format!("limits.{}", error.key), error.reason)),
            );
        }
        if self.control.as_ref().is_some_and(|control| control.services.is_empty()) {
            found.push(Contradiction::new("control.services", "no service is named"));
        }
        self.pool_contradictions(&mut found);
        self.route_contradictions(&mut found);
        self.overlay_contradictions(&mut found);
        found
    }

    fn pool_contradictions(&self, found: &mut Vec<Contradiction>) {
        for (name, pool) in &self.pools {
            if pool.zones.is_empty() && pool.kinds.is_empty() {
                found.push(Contradiction::new(format!("pools.{name}"), "it names no zones and no kinds"));
            }
        }
        if self.pools.len() > MAX_POOLS {
            let reason = format!("{} pools are more than {MAX_POOLS}", self.pools.len());
            found.push(Contradiction::new("pools", reason));
        }
    }

    fn route_contradictions(&self, found: &mut Vec<Contradiction>) {
        for (index, route) in self.routes.iter().enumerate() {
            if !self.pools.contains_key(&route.pool) {
                let reason = format!("there is no pool {:?}; there is {}", route.pool, self.pool_names());
                found.push(Contradiction::new(format!("routes.{index}.pool"), reason));
            }
        }
        let rules: Vec<RouteRule<&str>> = self.routes.iter().map(|route| route.rule(0)).collect();
        for (index, error) in RoutingTable::new(&rules).err().unwrap_or_default() {
            let key = match error {
                RouteError::PrefixTooLong => format!("routes.{index}.prefix"),
                RouteError::NoCondition | RouteError::Shadowed { .. } => format!("routes.{index}"),
            };
            found.push(Contradiction::new(key, error.to_string()));
        }
    }

    fn pool_names(&self) -> String {
        let names: Vec<&str> = self.pools.keys().map(String::as_str).collect();
        if names.is_empty() {
            "none".into()
        } else {
            names.join(", ")
        }
    }

    fn overlay_contradictions(&self, found: &mut Vec<Contradiction>) {
        let mut seen = BTreeSet::new();
        let (mut single_node_count, mut general_count) = (0, 0);
        for (index, overlay) in self.overlays.iter().enumerate() {
            let Overlay { node, zone, kind, weight, drain } = overlay;
            let mut report =
                |reason: &str| found.push(Contradiction::new(format!("overlays.{index}"), reason));
            match (node, zone, kind) {
                (None, None, None) => report("it names no node, zone or kind"),
                (Some(_), None, None) => single_node_count += 1,
                _ => general_count += 1,
            }
            if *weight == 1.0 && !drain {
                report("it says nothing: set weight or drain");
            }
            if !seen.insert((node, zone, kind)) {
                report("an earlier one is on the same nodes");
            }
        }
        for (count, max, target) in [
            (single_node_count, MAX_NODE_OVERRIDES, "single nodes"),
            (general_count, MAX_GENERAL_OVERRIDES, "zones and kinds"),
        ] {
            if count > max {
                let reason = format!("{count} on {target} are more than {max}");
                found.push(Contradiction::new("overlays", reason));
            }
        }
    }
}

impl Route {
    /// Returns the route as a rule of the routing table, with the index of its pool.
    pub fn rule(&self, pool: u32) -> RouteRule<&str> {
        let prefix = self.prefix.as_deref().unwrap_or_default().as_bytes().to_vec();
        RouteRule { class: self.class.as_deref(), tenant: self.tenant.as_deref(), prefix, pool }
    }
}
