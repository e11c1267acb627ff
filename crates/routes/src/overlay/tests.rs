use super::*;
use proptest::prelude::*;

fn entry(server: u64, zone: u32, kind: u32) -> Entry {
    Entry { server, zone, kind, weight: 2.0, ..Entry::default() }
}

fn node_override(selector: NodeSelector, weight: f64, drain: bool) -> NodeOverride {
    NodeOverride { selector, weight, drain }
}

#[test]
fn the_first_override_that_matches_applies_and_the_rest_of_the_entry_is_unchanged() {
    let overlay = Overlay::new(vec![
        node_override(NodeSelector { node: Some(1), ..NodeSelector::default() }, 0.5, false),
        node_override(NodeSelector { zone: Some(0), ..NodeSelector::default() }, 1.0, true),
        node_override(NodeSelector { node: Some(2), ..NodeSelector::default() }, 3.0, false),
    ]);
    assert_eq!(overlay.apply(&entry(1, 0, 0)), Entry { weight: 1.0, ..entry(1, 0, 0) });
    assert_eq!(overlay.apply(&entry(2, 0, 0)), Entry { state: State::Draining, ..entry(2, 0, 0) });
    assert_eq!(overlay.apply(&entry(2, 1, 0)), Entry { weight: 6.0, ..entry(2, 1, 0) });
    assert_eq!(overlay.apply(&entry(3, 1, 0)), entry(3, 1, 0));
    assert_eq!(Overlay::default().apply(&entry(1, 0, 0)), entry(1, 0, 0));
}

#[test]
fn an_override_does_not_revive_a_node_that_is_gone() {
    let overlay = Overlay::new(vec![node_override(NodeSelector::default(), 1.0, true)]);
    let gone = Entry { state: State::Gone, ..entry(1, 0, 0) };
    assert_eq!(overlay.apply(&gone).state, State::Gone);
}

fn some_selector() -> impl Strategy<Value = NodeSelector> {
    let small = || prop::option::of(0u32..3);
    (prop::option::of(0u64..4), small(), small()).prop_map(|(node, zone, kind)| NodeSelector {
        node,
        zone,
        kind,
    })
}

proptest! {
    #[test]
    fn the_index_finds_the_same_override_as_a_sequential_scan(
        selectors in prop::collection::vec(some_selector(), 0..12),
        nodes in prop::collection::vec((0u64..5, 0u32..4, 0u32..4), 1..20),
    ) {
        let enumerated = selectors.iter().enumerate();
        let overrides: Vec<NodeOverride> =
            enumerated.map(|(n, selector)| node_override(*selector, 1.0 + n as f64, n % 2 == 0)).collect();
        let overlay = Overlay::new(overrides.clone());
        for (server, zone, kind) in nodes {
            let entry = entry(server, zone, kind);
            prop_assert_eq!(overlay.find(&entry), overrides.iter().find(|o| o.selector.matches(&entry)));
        }
    }
}
