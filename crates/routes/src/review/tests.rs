use super::*;
use crate::overlay::{NodeOverride, NodeSelector, Overlay};
use crate::table::{RouteRule, RoutingTable};
use aniseyoke_decision::api::{Class, Pool, Tenant};

fn zone(zone: u32) -> Pool {
    Pool { zones: Some(vec![zone]), kinds: None }
}

/// Two classes, the second of zone 1 alone, and a tenant; nodes 0 to 5 in zones 0 and 1 in turn.
fn settings(pools: &[u32]) -> Settings {
    Settings {
        classes: vec![Class::default(), Class { allowed_servers: zone(1), ..Class::default() }],
        tenants: vec![Tenant { quota_rps: 5.0 }],
        pools: pools.iter().map(|z| zone(*z)).collect(),
        ..Settings::default()
    }
}

fn nodes() -> Vec<Entry> {
    (0..6).map(|n| Entry { server: n, zone: n as u32 % 2, weight: 1.0, ..Entry::default() }).collect()
}

fn routes(rules: &[(Option<u32>, Option<u32>, u32)]) -> Routing {
    let rule = |(class, tenant, pool): &(Option<u32>, Option<u32>, u32)| RouteRule {
        class: *class,
        tenant: *tenant,
        prefix: Vec::new(),
        pool: *pool,
    };
    let table = RoutingTable::new(&rules.iter().map(rule).collect::<Vec<_>>()).expect("sound");
    Routing { table, overlay: Overlay::default() }
}

fn reviewed(
    current: (&Settings, &Routing),
    proposed: (&Settings, &Routing),
    nodes: &[Entry],
) -> Vec<Breakage> {
    let configuration = |(settings, routing)| Configuration { settings, routing };
    review(configuration(current), configuration(proposed), nodes)
}

#[test]
fn a_route_that_leaves_requests_without_nodes_breaks_each_class_that_it_matches() {
    let (plain, none) = (settings(&[]), Routing::default());
    // Zone 0 and zone 7: the second class is open to neither, the first to one.
    let then = settings(&[0, 7]);
    let by_tenant = routes(&[(None, Some(0), 0), (Some(0), None, 1)]);
    let breakages = reviewed((&plain, &none), (&then, &by_tenant), &nodes());
    let wanted = [
        Breakage::NoNode { class: 0, pool: Some(1), nodes_before: 6 },
        Breakage::NoNode { class: 1, pool: Some(0), nodes_before: 3 },
    ];
    assert_eq!(breakages, wanted);
    let fine = routes(&[(Some(0), Some(0), 0)]);
    assert_eq!(reviewed((&plain, &none), (&then, &fine), &nodes()), []);
}

#[test]
fn an_override_that_drains_the_last_nodes_of_a_class_breaks_it() {
    let plain = settings(&[]);
    let selector = NodeSelector { zone: Some(1), ..NodeSelector::default() };
    let drains = Overlay::new(vec![NodeOverride { selector, weight: 1.0, drain: true }]);
    let then = Routing { overlay: drains, ..Routing::default() };
    let breakages = reviewed((&plain, &Routing::default()), (&plain, &then), &nodes());
    assert_eq!(breakages, [Breakage::NoNode { class: 1, pool: None, nodes_before: 3 }]);
    assert_eq!(
        reviewed((&plain, &then), (&plain, &Routing::default()), &nodes()),
        [],
        "the way back breaks nothing"
    );
}

/// Danger: while a pool's nodes are down, every version would be refused, and the one that repairs it too.
#[test]
fn what_has_no_nodes_already_is_not_broken_by_the_change() {
    let (now, then) = (settings(&[1]), settings(&[0, 1]));
    let (one, two) = (routes(&[(Some(0), None, 0)]), routes(&[(Some(0), None, 1)]));
    let left: Vec<Entry> = nodes().into_iter().filter(|e| e.zone == 0).collect();
    assert_eq!(reviewed((&now, &one), (&then, &two), &left), []);
    assert_eq!(reviewed((&now, &one), (&then, &two), &[]), [], "no node is listed yet");
}

#[test]
fn the_origin_does_not_count_as_a_node_of_a_class() {
    let aside = |s: Settings| Settings { cache_aside: true, origin_kind: Some(9), ..s };
    let (now, then) = (aside(settings(&[])), aside(settings(&[3])));
    let mut all = nodes();
    all.push(Entry { server: 9, zone: 3, kind: 9, ..Entry::default() });
    let breakages = reviewed((&now, &Routing::default()), (&then, &routes(&[(Some(0), None, 0)])), &all);
    assert_eq!(breakages, [Breakage::NoNode { class: 0, pool: Some(0), nodes_before: 6 }]);
}

#[test]
fn a_quota_that_becomes_zero_is_a_breakage() {
    let (now, mut then) = (settings(&[]), settings(&[]));
    then.tenants[0].quota_rps = 0.0;
    let none = Routing::default();
    assert_eq!(
        reviewed((&now, &none), (&then, &none), &nodes()),
        [Breakage::NoQuota { tenant: 0, quota_before: 5.0 }]
    );
    assert_eq!(reviewed((&then, &none), (&now, &none), &nodes()), []);
}
