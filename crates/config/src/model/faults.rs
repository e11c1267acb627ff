//! What contradicts itself across keys, each of which is sound alone.

use super::{Operator, Overlay};
use aniseyoke_decision::api::POOLS_MOST;
use aniseyoke_routes::overlay::{NODES_MOST, REMARKS_MOST};
use aniseyoke_routes::{Fault, Rule, Table, PREFIX_MOST};
use std::collections::BTreeSet;

impl Operator {
    /// All that contradicts itself: a key each, and why.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        if let Some(limits) = &self.limits {
            faults.extend(limits.validate().into_iter().map(|e| (format!("limits.{}", e.key), e.reason)));
        }
        if self.control.as_ref().is_some_and(|c| c.services.is_empty()) {
            faults.push(("control.services".into(), "no service is named".into()));
        }
        for (name, pool) in &self.pools {
            if pool.zones.is_empty() && pool.kinds.is_empty() {
                faults.push((format!("pools.{name}"), "it names no zones and no kinds".into()));
            }
        }
        if self.pools.len() > POOLS_MOST {
            let why = format!("{} pools are more than {POOLS_MOST}", self.pools.len());
            faults.push(("pools".into(), why));
        }
        self.route_faults(&mut faults);
        self.overlay_faults(&mut faults);
        faults
    }

    fn route_faults(&self, faults: &mut Vec<(String, String)>) {
        for (n, route) in self.routes.iter().enumerate() {
            if !self.pools.contains_key(&route.pool) {
                let known: Vec<&str> = self.pools.keys().map(String::as_str).collect();
                let why = format!("there is no pool {:?}; there is {}", route.pool, listed(&known));
                faults.push((format!("routes.{n}.pool"), why));
            }
        }
        let rules: Vec<Rule<&str>> = self.routes.iter().map(|r| r.rule(0)).collect();
        for (n, fault) in Table::new(&rules).err().unwrap_or_default() {
            faults.push(match fault {
                Fault::NoCondition => (format!("routes.{n}"), "it has no condition".into()),
                Fault::Shadowed { by } => {
                    (format!("routes.{n}"), format!("route {by} takes all that would fit it"))
                }
                Fault::LongPrefix => {
                    (format!("routes.{n}.prefix"), format!("it is longer than {PREFIX_MOST} bytes"))
                }
            });
        }
    }

    fn overlay_faults(&self, faults: &mut Vec<(String, String)>) {
        let mut seen = BTreeSet::new();
        let (mut nodes, mut wide) = (0, 0);
        for (n, overlay) in self.overlays.iter().enumerate() {
            let Overlay { node, zone, kind, weight, drain } = overlay;
            let mut fault = |why: &str| faults.push((format!("overlays.{n}"), why.into()));
            match (node, zone, kind) {
                (None, None, None) => fault("it names no node, zone or kind"),
                (Some(_), None, None) => nodes += 1,
                _ => wide += 1,
            }
            if *weight == 1.0 && !drain {
                fault("it says nothing: set weight or drain");
            }
            if !seen.insert((node, zone, kind)) {
                fault("an earlier one is on the same nodes");
            }
        }
        for (count, most, of) in
            [(nodes, NODES_MOST, "single nodes"), (wide, REMARKS_MOST, "zones and kinds")]
        {
            if count > most {
                faults.push(("overlays".into(), format!("{count} on {of} are more than {most}")));
            }
        }
    }
}

impl super::Route {
    /// The rule that it stands for, with the number of its pool.
    pub fn rule(&self, pool: u32) -> Rule<&str> {
        let prefix = self.prefix.as_deref().unwrap_or_default().as_bytes().to_vec();
        Rule { class: self.class.as_deref(), tenant: self.tenant.as_deref(), prefix, pool }
    }
}

fn listed(names: &[&str]) -> String {
    if names.is_empty() {
        "none".into()
    } else {
        names.join(", ")
    }
}
