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

fn at(server: u64, port: u16, started: Nanos) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    (Entry { server, started, weight: 1.0, ..Entry::default() }, Some(address))
}

fn gone(server: u64) -> Endpoint {
    (Entry { server, state: State::Gone, ..Entry::default() }, None)
}

/// Returns the servers of an update in order, with their states.
fn states(update: &[Endpoint]) -> Vec<(u64, State)> {
    let mut states: Vec<_> = update.iter().map(|(entry, _)| (entry.server, entry.state)).collect();
    states.sort_by_key(|(server, _)| *server);
    states
}

/// Guards against a server that gets the requests of the one whose address it has.
#[test]
fn a_server_is_replaced_by_one_that_started_later_at_its_address() {
    let mut list = EndpointList::default();
    let first = list.apply(true, &[at(1, 80, 0), at(2, 81, 5), at(3, 81, 5)]);
    assert_eq!(
        states(&first),
        [(1, State::Ready), (2, State::Ready), (3, State::Ready)],
        "equal starts tell nothing"
    );
    let change = list.apply(false, &[at(4, 80, 9)]);
    assert_eq!(states(&change), [(1, State::Gone), (4, State::Ready)]);
    // News of the old one, alone or in a complete list, change nothing.
    assert!(list.apply(false, &[at(1, 80, 0)]).is_empty());
    let complete = list.apply(true, &[at(1, 80, 0), at(2, 81, 5), at(4, 80, 9)]);
    assert_eq!(states(&complete), [(2, State::Ready), (4, State::Ready)]);
    assert_eq!(list.entries().count(), 2);
    assert_eq!(states(&list.apply(false, &[gone(1)])), [(1, State::Gone)]);
}

/// Guards against a listed server that stays out of use although the address is its own again.
#[test]
fn a_replaced_server_is_in_use_again_at_an_address_of_its_own() {
    let mut list = EndpointList::default();
    list.apply(true, &[at(1, 80, 0), at(2, 80, 9), at(3, 82, 0)]);
    assert_eq!(states(&list.apply(false, &[gone(2)])), [(1, State::Ready), (2, State::Gone)]);
    assert_eq!(states(&list.apply(false, &[at(4, 80, 9)])), [(1, State::Gone), (4, State::Ready)]);
    // It comes back at another address.
    assert_eq!(states(&list.apply(false, &[at(1, 83, 10)])), [(1, State::Ready)]);
    // So does one whose address is not known any more.
    list.apply(false, &[at(4, 83, 20)]);
    assert!(list.apply(false, &[at(1, 83, 10)]).is_empty());
    let unknown = (Entry { server: 1, started: 10, weight: 1.0, ..Entry::default() }, None);
    assert_eq!(states(&list.apply(false, &[unknown])), [(1, State::Ready)]);
    // One that moves to the address of an older server replaces it.
    assert_eq!(states(&list.apply(false, &[at(1, 82, 10)])), [(1, State::Ready), (3, State::Gone)]);
}
