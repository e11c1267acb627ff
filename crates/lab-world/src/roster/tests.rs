use super::*;

fn line(member: usize, standing: Standing) -> Line {
    Line { member, standing, started: None }
}

#[test]
fn changes_since_a_version_lead_to_the_whole_list() {
    let mut roster = Roster::new(2);
    roster.publish(line(1, Standing::Draining));
    roster.publish(line(2, Standing::Ready));
    roster.publish(line(1, Standing::Gone));
    roster.publish(line(1, Standing::Gone));
    assert_eq!(roster.version(), 4, "what changes nothing is no version");
    assert_eq!(roster.all(), [line(0, Standing::Ready), line(2, Standing::Ready)]);
    assert_eq!(roster.since(3), Some(vec![line(1, Standing::Gone)]));
    assert_eq!(roster.since(4), Some(vec![]));
    assert_eq!(roster.since(5), None);
    assert_eq!(roster.since(1).map(|c| c.len()), Some(3));
}

#[test]
fn lies_are_told_as_changes_and_taken_back() {
    let mut roster = Roster::new(2);
    roster.lie(vec![0]);
    assert_eq!(roster.since(1), Some(vec![line(0, Standing::Draining)]));
    roster.lie(vec![]);
    assert_eq!(roster.since(2), Some(vec![line(0, Standing::Ready)]));
}
