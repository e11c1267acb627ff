use super::*;
use aniseyoke_routes::overlay::{NodeOverride, NodeSelector};

fn endpoint(server: u64, zone: u32) -> Endpoint {
    (Entry { server, zone, weight: 1.0, ..Entry::default() }, None)
}

fn draining(zone: u32) -> Overlay {
    let selector = NodeSelector { zone: Some(zone), ..NodeSelector::default() };
    Overlay::new(vec![NodeOverride { selector, weight: 1.0, drain: true }])
}

#[test]
fn only_entries_that_differ_under_the_new_overlay_are_reported() {
    let mut list = EndpointList::default();
    list.apply(true, &[endpoint(3, 0), endpoint(1, 0), endpoint(2, 1)]);
    let ids = |old: &Overlay, new: &Overlay| -> Vec<u64> {
        list.changed_by(old, new).iter().map(|(entry, _)| entry.server).collect()
    };
    assert_eq!(ids(&Overlay::default(), &draining(0)), [1, 3]);
    assert_eq!(ids(&draining(0), &draining(1)), [1, 2, 3]);
    assert!(ids(&draining(1), &draining(1)).is_empty());
    let restored = list.changed_by(&draining(1), &Overlay::default());
    assert!(restored.iter().all(|(entry, _)| entry.state == State::Ready));
}

#[test]
fn removed_entries_are_forgotten() {
    let mut list = EndpointList::default();
    list.apply(true, &[endpoint(1, 0), endpoint(2, 0), endpoint(3, 0)]);
    let (mut gone, _) = endpoint(1, 0);
    gone.state = State::Gone;
    list.apply(false, &[(gone, None)]);
    assert_eq!(list.entries().count(), 2);
    list.apply(true, &[endpoint(3, 0)]);
    assert_eq!(list.entries().count(), 1);
}
