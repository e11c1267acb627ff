use super::*;

fn endpoint(member: usize, state: EndpointState) -> Endpoint {
    Endpoint { member, state, started: None }
}

#[test]
fn changes_since_a_version_produce_the_full_list() {
    let mut list = EndpointList::new(2);
    list.publish(endpoint(1, EndpointState::Draining));
    list.publish(endpoint(2, EndpointState::Ready));
    list.publish(endpoint(1, EndpointState::Gone));
    list.publish(endpoint(1, EndpointState::Gone));
    assert_eq!(list.version(), 4, "a publication without a change creates no version");
    assert_eq!(list.all(), [endpoint(0, EndpointState::Ready), endpoint(2, EndpointState::Ready)]);
    assert_eq!(list.since(3), Some(vec![endpoint(1, EndpointState::Gone)]));
    assert_eq!(list.since(4), Some(vec![]));
    assert_eq!(list.since(5), None);
    assert_eq!(list.since(1).map(|c| c.len()), Some(3));
}

#[test]
fn starting_and_ending_a_misreport_are_published_as_changes() {
    let mut list = EndpointList::new(2);
    list.misreport(vec![0]);
    assert_eq!(list.since(1), Some(vec![endpoint(0, EndpointState::Draining)]));
    list.misreport(vec![]);
    assert_eq!(list.since(2), Some(vec![endpoint(0, EndpointState::Ready)]));
}
