use super::*;

fn ends(sharing: &mut ProcessorSharing) -> Vec<(Nanos, u64)> {
    let mut ends = Vec::new();
    while let Some(due) = sharing.next_due() {
        while let Some(id) = sharing.take_done(due) {
            ends.push((due, id));
        }
    }
    ends
}

#[test]
fn pieces_share_one_core_and_never_use_more_than_one_each() {
    let mut one = ProcessorSharing::new(1.0, 1.0);
    one.begin(0, 1, 100);
    one.begin(0, 2, 200);
    assert_eq!(ends(&mut one), [(200, 1), (300, 2)]);
    let mut four = ProcessorSharing::new(4.0, 2.0);
    four.begin(0, 1, 100);
    four.begin(0, 2, 200);
    assert_eq!(ends(&mut four), [(50, 1), (100, 2)]);
}

#[test]
fn a_change_of_speed_counts_from_then_on() {
    let mut sharing = ProcessorSharing::new(1.0, 1.0);
    sharing.begin(0, 1, 100);
    sharing.set_speed(50, 0.5);
    assert_eq!(sharing.next_due(), Some(150));
}
