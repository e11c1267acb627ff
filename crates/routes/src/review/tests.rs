use super::*;
use crate::overlay::{NodeOverride, NodeSelector, Overlay};
use crate::table::{RouteRule, RoutingTable};
use aniseyoke_decision::api::{Class, Pool, Tenant};

fn zone(zone: u32) -> Pool {
    Pool { zones: Some(vec![zone]), kinds: None }
}

/// Settings with two classes, the second restricted to zone 1, and one tenant.
fn settings(pools: &[u32]) -> Settings {
    Settings {
        classes: vec![Class::default(), Class { allowed_servers: zone(1), ..Class::default() }],
        tenants: vec![Tenant { quota_rps: 5.0 }],
        pools: pools.iter().map(|z| zone(*z)).collect(),
        ..Settings::default()
    }
}

/// Nodes 0 to 5, alternating between zones 0 and 1.
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
fn a_route_that_leaves_requests_without_nodes_is_reported_for_each_class_that_it_matches() {
    let (current_settings, no_routes) = (settings(&[]), Routing::default());
    // Pools of zone 0 and of zone 7, which has no nodes: the second class can use neither pool, the first
    // only one.
    let proposed_settings = settings(&[0, 7]);
    let routes_with_breakages = routes(&[(None, Some(0), 0), (Some(0), None, 1)]);
    let breakages =
        reviewed((&current_settings, &no_routes), (&proposed_settings, &routes_with_breakages), &nodes());
    let expected = [
        Breakage::NoNode { class: 0, pool: Some(1), nodes_before: 6 },
        Breakage::NoNode { class: 1, pool: Some(0), nodes_before: 3 },
    ];
    assert_eq!(breakages, expected);
    let valid_routes = routes(&[(Some(0), Some(0), 0)]);
    assert_eq!(reviewed((&current_settings, &no_routes), (&proposed_settings, &valid_routes), &nodes()), []);
}

#[test]
fn an_override_that_drains_the_last_nodes_of_a_class_is_reported() {
    let current_settings = settings(&[]);
    let selector = NodeSelector { zone: Some(1), ..NodeSelector::default() };
    let draining_overlay = Overlay::new(vec![NodeOverride { selector, weight: 1.0, drain: true }]);
    let draining_routing = Routing { overlay: draining_overlay, ..Routing::default() };
    let breakages =
        reviewed((&current_settings, &Routing::default()), (&current_settings, &draining_routing), &nodes());
    assert_eq!(breakages, [Breakage::NoNode { class: 1, pool: None, nodes_before: 3 }]);
    assert_eq!(
        reviewed((&current_settings, &draining_routing), (&current_settings, &Routing::default()), &nodes()),
        [],
        "reverting the change breaks nothing"
    );
}

/// Guards against the rejection of every version while a pool's nodes are down, including the one
/// that repairs it.
#[test]
fn classes_and_pools_that_already_have_no_nodes_are_not_reported() {
    let (current_settings, proposed_settings) = (settings(&[1]), settings(&[0, 1]));
    let (current_routes, proposed_routes) = (routes(&[(Some(0), None, 0)]), routes(&[(Some(0), None, 1)]));
    let remaining_nodes: Vec<Entry> = nodes().into_iter().filter(|e| e.zone == 0).collect();
    assert_eq!(
        reviewed(
            (&current_settings, &current_routes),
            (&proposed_settings, &proposed_routes),
            &remaining_nodes
        ),
        []
    );
    assert_eq!(
        reviewed((&current_settings, &current_routes), (&proposed_settings, &proposed_routes), &[]),
        [],
        "no node is listed yet"
    );
}

#[test]
fn the_origin_does_not_count_as_a_node_of_a_class() {
    let cache_aside_settings = |s: Settings| Settings { cache_aside: true, origin_kind: Some(9), ..s };
    let (current_settings, proposed_settings) =
        (cache_aside_settings(settings(&[])), cache_aside_settings(settings(&[3])));
    let mut nodes_and_origin = nodes();
    nodes_and_origin.push(Entry { server: 9, zone: 3, kind: 9, ..Entry::default() });
    let breakages = reviewed(
        (&current_settings, &Routing::default()),
        (&proposed_settings, &routes(&[(Some(0), None, 0)])),
        &nodes_and_origin,
    );
    assert_eq!(breakages, [Breakage::NoNode { class: 0, pool: Some(0), nodes_before: 6 }]);
}

#[test]
fn a_quota_that_becomes_zero_is_a_breakage() {
    let (current_settings, mut proposed_settings) = (settings(&[]), settings(&[]));
    proposed_settings.tenants[0].quota_rps = 0.0;
    let no_routes = Routing::default();
    assert_eq!(
        reviewed((&current_settings, &no_routes), (&proposed_settings, &no_routes), &nodes()),
        [Breakage::NoQuota { tenant: 0, quota_before: 5.0 }]
    );
    assert_eq!(reviewed((&proposed_settings, &no_routes), (&current_settings, &no_routes), &nodes()), []);
}
