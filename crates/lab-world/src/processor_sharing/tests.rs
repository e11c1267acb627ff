use super::*;

fn completions(sharing: &mut ProcessorSharing) -> Vec<(Nanos, u64)> {
    let mut completions = Vec::new();
    while let Some(due) = sharing.next_due() {
        while let Some(id) = sharing.pop_completed(due) {
            completions.push((due, id));
        }
    }
    completions
}

#[test]
fn jobs_share_cores_evenly_and_each_uses_at_most_one() {
    let mut one = ProcessorSharing::new(1.0, 1.0);
    one.begin(0, 1, 100);
    one.begin(0, 2, 200);
    assert_eq!(completions(&mut one), [(200, 1), (300, 2)]);
    let mut four = ProcessorSharing::new(4.0, 2.0);
    four.begin(0, 1, 100);
    four.begin(0, 2, 200);
    assert_eq!(completions(&mut four), [(50, 1), (100, 2)]);
}

#[test]
fn a_speed_change_applies_to_the_remaining_work_only() {
    let mut sharing = ProcessorSharing::new(1.0, 1.0);
    sharing.begin(0, 1, 100);
    sharing.set_speed(50, 0.5);
    assert_eq!(sharing.next_due(), Some(150));
}
