//! What would be lost by a change, judged against the nodes that take work now. Danger: a version that is sound by
//! itself may still shut a class or a tenant out.

use crate::Routing;
use aniseyoke_decision::api::{Entry, Settings, State};
use rustc_hash::FxHashMap;

/// A reason to turn a version down.
#[derive(Clone, Debug, PartialEq)]
pub enum Harm {
    /// A class, or what is routed of it to a pool, would be left without a node that takes work.
    NoNode {
        /// The class's number.
        class: usize,
        /// The pool's number under the settings to come.
        pool: Option<usize>,
        /// How many nodes these requests can be sent to now.
        had: usize,
    },
    /// A tenant's share would be nothing.
    NoShare {
        /// The tenant's number.
        tenant: usize,
        /// Its share now, in requests a second.
        was: f64,
    },
}

/// A configuration under review, or the one in force.
#[derive(Clone, Copy)]
pub struct Side<'a> {
    /// Classes, tenants, pools.
    pub settings: &'a Settings,
    /// What goes where.
    pub routing: &'a Routing,
}

/// How many nodes take work, by zone and kind.
struct Standing(FxHashMap<(u32, u32), usize>);

impl Standing {
    fn of(side: Side<'_>, entries: &[Entry]) -> Self {
        let mut by = FxHashMap::default();
        for entry in entries {
            let origin = side.settings.cache_aside && side.settings.origin_kind == Some(entry.kind);
            if !origin && side.routing.overlay.laid(entry).state == State::Ready {
                *by.entry((entry.zone, entry.kind)).or_default() += 1;
            }
        }
        Standing(by)
    }

    fn reach(&self, settings: &Settings, class: usize, pool: Option<usize>) -> usize {
        let open = self.0.iter().filter(|((zone, kind), _)| settings.allows(class, pool, *zone, *kind));
        open.map(|(_, nodes)| nodes).sum()
    }
}

/// All harm that a change from `now` to `then` would do, given the entries of the list that operators have not taken out.
/// What is without nodes already is no harm of the change's.
pub fn review(now: Side<'_>, then: Side<'_>, entries: &[Entry]) -> Vec<Harm> {
    let (before, after) = (Standing::of(now, entries), Standing::of(then, entries));
    let classes = 0..then.settings.classes.len();
    let mut pairs: Vec<(usize, Option<usize>)> = classes.clone().map(|class| (class, None)).collect();
    for (class, pool) in then.routing.table.targets() {
        let of = class.map_or(classes.clone(), |c| c as usize..c as usize + 1);
        pairs.extend(of.map(|class| (class, Some(pool as usize))));
    }
    pairs.sort_unstable();
    pairs.dedup();
    let mut harm = Vec::new();
    for (class, pool) in pairs {
        if after.reach(then.settings, class, pool) > 0 {
            continue;
        }
        // The same part of the fleet may have another number now.
        let part = pool.and_then(|p| then.settings.pools.get(p));
        let same = part.and_then(|part| now.settings.pools.iter().position(|p| p == part));
        let had = before.reach(now.settings, class, same);
        if had > 0 {
            harm.push(Harm::NoNode { class, pool, had });
        }
    }
    for (tenant, then) in then.settings.tenants.iter().enumerate() {
        let was = now.settings.tenants.get(tenant).map_or(0.0, |t| t.quota_rps);
        if was > 0.0 && then.quota_rps <= 0.0 {
            harm.push(Harm::NoShare { tenant, was });
        }
    }
    harm
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::overlay::{On, Overlay, Remark};
    use crate::table::{Rule, Table};
    use aniseyoke_decision::api::{Class, Pool, Tenant};

    fn zone(zone: u32) -> Pool {
        Pool { zones: Some(vec![zone]), kinds: None }
    }

    /// Two classes, the second of zone 1 alone, and a tenant; nodes 0 to 5 in zones 0 and 1 in turn.
    fn settings(pools: &[u32]) -> Settings {
        Settings {
            classes: vec![Class::default(), Class { only: zone(1), ..Class::default() }],
            tenants: vec![Tenant { quota_rps: 5.0 }],
            pools: pools.iter().map(|z| zone(*z)).collect(),
            ..Settings::default()
        }
    }

    fn nodes() -> Vec<Entry> {
        (0..6).map(|n| Entry { server: n, zone: n as u32 % 2, weight: 1.0, ..Entry::default() }).collect()
    }

    fn routes(rules: &[(Option<u32>, Option<u32>, u32)]) -> Routing {
        let rule = |(class, tenant, pool): &(Option<u32>, Option<u32>, u32)| Rule {
            class: *class,
            tenant: *tenant,
            prefix: Vec::new(),
            pool: *pool,
        };
        let table = Table::new(&rules.iter().map(rule).collect::<Vec<_>>()).expect("sound");
        Routing { table, overlay: Overlay::default() }
    }

    fn changed(now: (&Settings, &Routing), then: (&Settings, &Routing), nodes: &[Entry]) -> Vec<Harm> {
        let side = |(settings, routing)| Side { settings, routing };
        review(side(now), side(then), nodes)
    }

    #[test]
    fn a_route_that_leaves_requests_without_nodes_is_harm_for_each_class_that_it_takes() {
        let (plain, none) = (settings(&[]), Routing::default());
        // Zone 0 and zone 7: the second class is open to neither, the first to one.
        let then = settings(&[0, 7]);
        let by_tenant = routes(&[(None, Some(0), 0), (Some(0), None, 1)]);
        let harm = changed((&plain, &none), (&then, &by_tenant), &nodes());
        let wanted = [
            Harm::NoNode { class: 0, pool: Some(1), had: 6 },
            Harm::NoNode { class: 1, pool: Some(0), had: 3 },
        ];
        assert_eq!(harm, wanted);
        let fine = routes(&[(Some(0), Some(0), 0)]);
        assert_eq!(changed((&plain, &none), (&then, &fine), &nodes()), []);
    }

    #[test]
    fn a_remark_that_drains_the_last_nodes_of_a_class_is_harm() {
        let plain = settings(&[]);
        let on = On { zone: Some(1), ..On::default() };
        let drains = Overlay::new(vec![Remark { on, weight: 1.0, drain: true }]);
        let then = Routing { overlay: drains, ..Routing::default() };
        let harm = changed((&plain, &Routing::default()), (&plain, &then), &nodes());
        assert_eq!(harm, [Harm::NoNode { class: 1, pool: None, had: 3 }]);
        assert_eq!(changed((&plain, &then), (&plain, &Routing::default()), &nodes()), [], "and back is none");
    }

    /// Danger: while a pool's nodes are down, every version would be turned down, and the one that mends it too.
    #[test]
    fn what_is_without_nodes_already_is_no_harm_of_the_change() {
        let (now, then) = (settings(&[1]), settings(&[0, 1]));
        let (one, two) = (routes(&[(Some(0), None, 0)]), routes(&[(Some(0), None, 1)]));
        let left: Vec<Entry> = nodes().into_iter().filter(|e| e.zone == 0).collect();
        assert_eq!(changed((&now, &one), (&then, &two), &left), []);
        assert_eq!(changed((&now, &one), (&then, &two), &[]), [], "no node is listed yet");
    }

    #[test]
    fn the_origin_is_no_node_that_a_class_could_live_on() {
        let aside = |s: Settings| Settings { cache_aside: true, origin_kind: Some(9), ..s };
        let (now, then) = (aside(settings(&[])), aside(settings(&[3])));
        let mut all = nodes();
        all.push(Entry { server: 9, zone: 3, kind: 9, ..Entry::default() });
        let harm = changed((&now, &Routing::default()), (&then, &routes(&[(Some(0), None, 0)])), &all);
        assert_eq!(harm, [Harm::NoNode { class: 0, pool: Some(0), had: 6 }]);
    }

    #[test]
    fn a_share_that_goes_to_nothing_is_harm() {
        let (now, mut then) = (settings(&[]), settings(&[]));
        then.tenants[0].quota_rps = 0.0;
        let none = Routing::default();
        assert_eq!(changed((&now, &none), (&then, &none), &nodes()), [Harm::NoShare { tenant: 0, was: 5.0 }]);
        assert_eq!(changed((&then, &none), (&now, &none), &nodes()), []);
    }
}
