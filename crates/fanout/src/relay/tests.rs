use super::*;

const MS: Nanos = 1_000_000;

fn settings() -> Settings {
    Settings { batch: 20 * MS, ..Settings::default() }
}

fn root(entries: usize) -> Relay {
    Relay::root("root", settings(), Log::new(Progress { epoch: 1, through: 0 }, entries), 0)
}

fn position(through: u64) -> Progress {
    Progress { epoch: 1, through }
}

fn join(
    relay: &mut Relay,
    now: Nanos,
    id: ChildId,
    name: &str,
    position: Progress,
    max_frame_entries: usize,
) -> bool {
    relay.child_connected(now, id, ChildHello { name, boot: 1, position, max_frame_entries })
}

fn tick(relay: &mut Relay, now: Nanos) -> Vec<RelayAction> {
    let mut actions = Vec::new();
    relay.tick(now, &mut actions);
    actions
}

fn purges_sent(actions: &[RelayAction]) -> Vec<(Vec<ChildId>, u64, usize)> {
    let entries_sent = |action: &RelayAction| match action {
        RelayAction::Purges { to, after, keys, .. } if !keys.is_empty() => {
            Some((to.clone(), *after, keys.len()))
        }
        _ => None,
    };
    actions.iter().filter_map(entries_sent).collect()
}

fn ack(relay: &mut Relay, now: Nanos, id: ChildId, through: u64) {
    relay.child_acked(now, id, Report { position: position(through), ..Report::default() });
}

#[test]
fn entries_within_a_batch_are_sent_as_one_to_all_children_at_the_same_position() {
    let mut relay = root(100);
    for id in 1..=3 {
        assert!(join(&mut relay, 0, id, &format!("m{id}"), position(0), 100));
    }
    relay.append(MS, &[7, 8]);
    relay.append(2 * MS, &[9]);
    assert_eq!(purges_sent(&tick(&mut relay, 3 * MS)), []);
    assert_eq!(purges_sent(&tick(&mut relay, 21 * MS)), [(vec![1, 2, 3], 0, 3)]);
    assert_eq!(purges_sent(&tick(&mut relay, 50 * MS)), []);
}

#[test]
fn the_reported_position_is_the_lowest_ack_and_a_child_behind_for_the_grace_is_named() {
    let mut relay = root(100);
    let start = 20 * SECOND;
    join(&mut relay, start, 1, "a", position(0), 100);
    join(&mut relay, start, 2, "b", position(0), 100);
    relay.append(start, &[7; 5]);
    tick(&mut relay, start + 20 * MS);
    ack(&mut relay, start + 30 * MS, 1, 5);
    ack(&mut relay, start + 30 * MS, 2, 3);
    tick(&mut relay, start + 60 * MS);
    assert_eq!(relay.last_report(), &Report { position: position(3), ..Report::default() });
    tick(&mut relay, start + 5 * SECOND);
    assert_eq!(relay.last_report(), &Report { position: position(5), lagging: 1, names: vec!["b@3".into()] });
    ack(&mut relay, start + 6 * SECOND, 2, 5);
    tick(&mut relay, start + 7 * SECOND);
    assert_eq!(relay.last_report(), &Report { position: position(5), ..Report::default() });
}

#[test]
fn a_departed_child_is_named_until_its_retention_is_over() {
    let mut relay = root(100);
    let start = 20 * SECOND;
    join(&mut relay, start, 1, "a", position(0), 100);
    join(&mut relay, start, 2, "b", position(0), 100);
    relay.child_disconnected(start, 2);
    relay.append(start, &[7]);
    tick(&mut relay, start + 20 * MS);
    ack(&mut relay, start + 30 * MS, 1, 1);
    tick(&mut relay, start + 60 * MS);
    assert_eq!(relay.last_report(), &Report { position: position(1), lagging: 1, names: vec!["b@0".into()] });
    tick(&mut relay, start + 60 * SECOND);
    assert_eq!(relay.last_report().lagging, 0);
}

#[test]
fn children_that_lack_compacted_entries_are_flushed_spread_over_time() {
    let mut relay = root(10);
    relay.append(0, &[7; 30]);
    for id in 1..=50 {
        join(&mut relay, 0, id, &format!("m{id}"), position(3), 100);
    }
    join(&mut relay, 0, 51, "new", Progress::default(), 100);
    let flushed = |actions: Vec<RelayAction>| {
        let flush_sent = |a: RelayAction| {
            if let RelayAction::Flush { to, position } = a {
                Some((to, position))
            } else {
                None
            }
        };
        actions.into_iter().filter_map(flush_sent).collect::<Vec<_>>()
    };
    assert_eq!(
        flushed(tick(&mut relay, 20 * MS)),
        [(51, position(30))],
        "a child without objects need not wait"
    );
    let (mut ticks, mut total) = (0, 0);
    for n in 1..=100 {
        let count = flushed(tick(&mut relay, n * SECOND / 10 + 20 * MS)).len();
        (ticks, total) = (ticks + usize::from(count > 0), total + count);
    }
    assert!(total == 50 && ticks > 25, "{total} flushes in {ticks} ticks");
}

#[test]
fn a_replay_is_sent_in_frames_within_the_window_of_unacknowledged_entries() {
    let mut relay = Relay::root(
        "root",
        Settings { window: 250, max_frame_entries: 100, ..settings() },
        Log::new(position(0), 1000),
        0,
    );
    relay.append(0, &[7; 1000]);
    join(&mut relay, 0, 1, "a", position(0), 1000);
    assert_eq!(purges_sent(&tick(&mut relay, 20 * MS)), [(vec![1], 0, 100), (vec![1], 100, 100)]);
    assert_eq!(purges_sent(&tick(&mut relay, 40 * MS)), [(vec![1], 200, 50)]);
    assert_eq!(purges_sent(&tick(&mut relay, 60 * MS)), []);
    ack(&mut relay, 60 * MS, 1, 250);
    assert_eq!(purges_sent(&tick(&mut relay, 80 * MS)), [(vec![1], 250, 100), (vec![1], 350, 100)]);
    relay.send_failed(80 * MS, 1, 350);
    assert_eq!(purges_sent(&tick(&mut relay, 100 * MS)), [(vec![1], 350, 100), (vec![1], 450, 50)]);
    let stuck = tick(&mut relay, 100 * MS + settings().ack_timeout);
    assert!(matches!(stuck[..], [RelayAction::Disconnect(1, _), ..]), "{stuck:?}");
}

#[test]
fn a_relay_restarted_without_state_fetches_what_its_children_lack() {
    let mut relay = Relay::new("site", settings(), 1000, 0);
    relay.upstream_connected(0);
    assert!(relay.progress().is_empty());
    join(&mut relay, 0, 1, "a", position(90), 100);
    relay.receive_flush(MS, position(100));
    join(&mut relay, MS, 2, "b", position(95), 100);
    let resync = tick(&mut relay, 30 * MS);
    assert!(resync.contains(&RelayAction::Resync), "{resync:?}");
    assert_eq!(relay.progress(), position(90));
    relay.receive_purges(31 * MS, 1, 90, &[7; 15], &mut Vec::new());
    let actions = tick(&mut relay, 60 * MS);
    assert_eq!(purges_sent(&actions), [(vec![1], 90, 15), (vec![2], 95, 10)]);
    // Entries that the upstream no longer has are not requested again.
    join(&mut relay, 61 * MS, 3, "c", position(10), 100);
    assert!(tick(&mut relay, 90 * MS).contains(&RelayAction::Resync));
    relay.receive_flush(91 * MS, position(110));
    join(&mut relay, 92 * MS, 4, "d", position(11), 100);
    assert!(!tick(&mut relay, 3 * SECOND).contains(&RelayAction::Resync));
}

#[test]
fn a_heartbeat_is_forwarded_only_to_children_that_have_every_entry() {
    let mut relay = Relay::new("site", settings(), 1000, 0);
    relay.receive_flush(0, position(100));
    join(&mut relay, 0, 1, "a", position(100), 100);
    assert!(!tick(&mut relay, 5 * SECOND).iter().any(|a| matches!(a, RelayAction::Purges { .. })));
    let mut actions = Vec::new();
    relay.receive_purges(6 * SECOND, 1, 100, &[], &mut actions);
    relay.tick(7 * SECOND, &mut actions);
    let heartbeat = RelayAction::Purges { to: vec![1], epoch: 1, after: 100, keys: Vec::new() };
    assert!(actions.contains(&heartbeat), "{actions:?}");
    relay.receive_purges(8 * SECOND, 1, 90, &[], &mut actions);
    assert!(!tick(&mut relay, 9 * SECOND).iter().any(|a| matches!(a, RelayAction::Purges { .. })));
}

#[test]
fn a_root_with_a_restored_log_starts_a_new_epoch() {
    let mut relay = root(10);
    relay.append(0, &[7; 3]);
    join(&mut relay, 0, 1, "a", position(3), 100);
    assert!(!relay.is_behind_children());
    join(&mut relay, 0, 2, "b", position(4), 100);
    assert!(relay.is_behind_children());
    relay.start_epoch(0, 2);
    assert!(!relay.is_behind_children());
    let flushes =
        tick(&mut relay, 20 * SECOND).iter().filter(|a| matches!(a, RelayAction::Flush { .. })).count();
    assert_eq!(flushes, 2);
}

#[test]
fn a_name_that_is_too_long_is_truncated_at_a_character_boundary() {
    let mut relay = root(10);
    join(&mut relay, 0, 1, "a", position(0), 100);
    relay.child_acked(1, 1, Report { position: position(0), lagging: 1, names: vec!["é".repeat(10_000)] });
    tick(&mut relay, 20 * SECOND);
    assert_eq!(relay.last_report().names, ["é".repeat(128)]);
}

#[test]
fn a_child_is_reported_as_lagging_between_its_hello_and_its_first_ack() {
    let mut relay = root(10);
    join(&mut relay, 0, 1, "a", position(0), 100);
    tick(&mut relay, 20 * SECOND);
    assert_eq!(relay.last_report().names, ["a@0"]);
    ack(&mut relay, 21 * SECOND, 1, 0);
    tick(&mut relay, 22 * SECOND);
    assert_eq!(relay.last_report().lagging, 0);
}

#[test]
fn a_report_lists_a_bounded_number_of_names_and_counts_all_lagging_children() {
    let mut relay = Relay::new("site", Settings { max_names: 3, ..settings() }, 1000, 0);
    relay.receive_flush(0, position(100));
    for id in 0..10 {
        join(&mut relay, 0, id, &format!("m{id}"), position(90 + id), 100);
    }
    tick(&mut relay, 20 * SECOND);
    let report = relay.last_report();
    assert_eq!((report.lagging, report.names.len()), (10, 3));
    assert_eq!(report.names[0], "site/m0@90");
}
