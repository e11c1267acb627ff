use super::*;

const MS: Nanos = 1_000_000;

fn settings() -> Settings {
    Settings { batch: 20 * MS, ..Settings::default() }
}

fn root(entries: usize) -> Relay {
    Relay::root("root", settings(), Log::new(Progress { epoch: 1, through: 0 }, entries), 0)
}

fn at(through: u64) -> Progress {
    Progress { epoch: 1, through }
}

fn tick(relay: &mut Relay, now: Nanos) -> Vec<Action> {
    let mut actions = Vec::new();
    relay.tick(now, &mut actions);
    actions
}

fn sent(actions: &[Action]) -> Vec<(Vec<Id>, u64, usize)> {
    let of = |action: &Action| match action {
        Action::Purges { to, after, keys, .. } if !keys.is_empty() => Some((to.clone(), *after, keys.len())),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

fn done(relay: &mut Relay, now: Nanos, id: Id, through: u64) {
    relay.purged(now, id, Report { at: at(through), ..Report::default() });
}

#[test]
fn what_comes_within_a_batch_goes_out_as_one_to_all_who_stand_alike() {
    let mut relay = root(100);
    for id in 1..=3 {
        assert!(relay.joined(0, id, (&format!("m{id}"), 1), at(0), 100));
    }
    relay.number(MS, &[7, 8]);
    relay.number(2 * MS, &[9]);
    assert_eq!(sent(&tick(&mut relay, 3 * MS)), []);
    assert_eq!(sent(&tick(&mut relay, 21 * MS)), [(vec![1, 2, 3], 0, 3)]);
    assert_eq!(sent(&tick(&mut relay, 50 * MS)), []);
}

#[test]
fn done_is_what_the_last_has_done_and_who_is_behind_is_named_after_the_grace() {
    let mut relay = root(100);
    let start = 20 * SECOND;
    relay.joined(start, 1, ("a", 1), at(0), 100);
    relay.joined(start, 2, ("b", 1), at(0), 100);
    relay.number(start, &[7; 5]);
    tick(&mut relay, start + 20 * MS);
    done(&mut relay, start + 30 * MS, 1, 5);
    done(&mut relay, start + 30 * MS, 2, 3);
    tick(&mut relay, start + 60 * MS);
    assert_eq!(relay.reported(), &Report { at: at(3), ..Report::default() });
    tick(&mut relay, start + 5 * SECOND);
    assert_eq!(relay.reported(), &Report { at: at(5), lacking: 1, names: vec!["b@3".into()] });
    done(&mut relay, start + 6 * SECOND, 2, 5);
    tick(&mut relay, start + 7 * SECOND);
    assert_eq!(relay.reported(), &Report { at: at(5), ..Report::default() });
}

#[test]
fn who_has_gone_is_named_until_it_is_forgotten_or_back() {
    let mut relay = root(100);
    let start = 20 * SECOND;
    relay.joined(start, 1, ("a", 1), at(0), 100);
    relay.joined(start, 2, ("b", 1), at(0), 100);
    relay.gone(start, 2);
    relay.number(start, &[7]);
    tick(&mut relay, start + 20 * MS);
    done(&mut relay, start + 30 * MS, 1, 1);
    tick(&mut relay, start + 60 * MS);
    assert_eq!(relay.reported(), &Report { at: at(1), lacking: 1, names: vec!["b@0".into()] });
    tick(&mut relay, start + 60 * SECOND);
    assert_eq!(relay.reported().lacking, 0);
}

#[test]
fn who_lacks_what_is_no_longer_kept_is_flushed_at_a_time_of_its_own() {
    let mut relay = root(10);
    relay.number(0, &[7; 30]);
    for id in 1..=50 {
        relay.joined(0, id, (&format!("m{id}"), 1), at(3), 100);
    }
    relay.joined(0, 51, ("new", 1), Progress::default(), 100);
    let flushed = |actions: Vec<Action>| {
        let of = |a: Action| if let Action::Flush { to, at } = a { Some((to, at)) } else { None };
        actions.into_iter().filter_map(of).collect::<Vec<_>>()
    };
    assert_eq!(flushed(tick(&mut relay, 20 * MS)), [(51, at(30))], "who holds nothing need not wait");
    let (mut times, mut all) = (0, 0);
    for n in 1..=100 {
        let now = flushed(tick(&mut relay, n * SECOND / 10 + 20 * MS)).len();
        (times, all) = (times + usize::from(now > 0), all + now);
    }
    assert!(all == 50 && times > 25, "{all} at {times} times");
}

#[test]
fn a_replay_goes_in_frames_and_no_further_than_what_is_done_allows() {
    let mut relay =
        Relay::root("root", Settings { window: 250, frame: 100, ..settings() }, Log::new(at(0), 1000), 0);
    relay.number(0, &[7; 1000]);
    relay.joined(0, 1, ("a", 1), at(0), 1000);
    assert_eq!(sent(&tick(&mut relay, 20 * MS)), [(vec![1], 0, 100), (vec![1], 100, 100)]);
    assert_eq!(sent(&tick(&mut relay, 40 * MS)), [(vec![1], 200, 50)]);
    assert_eq!(sent(&tick(&mut relay, 60 * MS)), []);
    done(&mut relay, 60 * MS, 1, 250);
    assert_eq!(sent(&tick(&mut relay, 80 * MS)), [(vec![1], 250, 100), (vec![1], 350, 100)]);
    relay.untaken(80 * MS, 1, 350);
    assert_eq!(sent(&tick(&mut relay, 100 * MS)), [(vec![1], 350, 100), (vec![1], 450, 50)]);
    let let_go = tick(&mut relay, 100 * MS + settings().stuck);
    assert!(matches!(let_go[..], [Action::LetGo(1, _), ..]), "{let_go:?}");
}

#[test]
fn a_relay_that_comes_back_empty_fetches_what_those_below_lack() {
    let mut relay = Relay::new("site", settings(), 1000, 0);
    relay.connected(0);
    assert!(relay.progress().is_empty());
    relay.joined(0, 1, ("a", 1), at(90), 100);
    relay.flush(MS, at(100));
    relay.joined(MS, 2, ("b", 1), at(95), 100);
    let asked = tick(&mut relay, 30 * MS);
    assert!(asked.contains(&Action::Ask), "{asked:?}");
    assert_eq!(relay.progress(), at(90));
    relay.purges(31 * MS, 1, 90, &[7; 15], &mut Vec::new());
    let actions = tick(&mut relay, 60 * MS);
    assert_eq!(sent(&actions), [(vec![1], 90, 15), (vec![2], 95, 10)]);
    // What upstream no longer keeps is not asked for twice.
    relay.joined(61 * MS, 3, ("c", 1), at(10), 100);
    assert!(tick(&mut relay, 90 * MS).contains(&Action::Ask));
    relay.flush(91 * MS, at(110));
    relay.joined(92 * MS, 4, ("d", 1), at(11), 100);
    assert!(!tick(&mut relay, 3 * SECOND).contains(&Action::Ask));
}

#[test]
fn word_that_nothing_newer_is_known_goes_only_to_who_has_everything() {
    let mut relay = Relay::new("site", settings(), 1000, 0);
    relay.flush(0, at(100));
    relay.joined(0, 1, ("a", 1), at(100), 100);
    assert!(!tick(&mut relay, 5 * SECOND).iter().any(|a| matches!(a, Action::Purges { .. })));
    let mut actions = Vec::new();
    relay.purges(6 * SECOND, 1, 100, &[], &mut actions);
    relay.tick(7 * SECOND, &mut actions);
    let word = Action::Purges { to: vec![1], epoch: 1, after: 100, keys: Vec::new() };
    assert!(actions.contains(&word), "{actions:?}");
    relay.purges(8 * SECOND, 1, 90, &[], &mut actions);
    assert!(!tick(&mut relay, 9 * SECOND).iter().any(|a| matches!(a, Action::Purges { .. })));
}

#[test]
fn a_root_whose_log_is_an_older_one_begins_anew() {
    let mut relay = root(10);
    relay.number(0, &[7; 3]);
    relay.joined(0, 1, ("a", 1), at(3), 100);
    assert!(!relay.is_outrun());
    relay.joined(0, 2, ("b", 1), at(4), 100);
    assert!(relay.is_outrun());
    relay.begin_anew(0, 2);
    assert!(!relay.is_outrun());
    let flushes = tick(&mut relay, 20 * SECOND).iter().filter(|a| matches!(a, Action::Flush { .. })).count();
    assert_eq!(flushes, 2);
}

#[test]
fn a_name_that_is_too_long_is_cut_where_a_letter_ends() {
    let mut relay = root(10);
    relay.joined(0, 1, ("a", 1), at(0), 100);
    relay.purged(1, 1, Report { at: at(0), lacking: 1, names: vec!["é".repeat(10_000)] });
    tick(&mut relay, 20 * SECOND);
    assert_eq!(relay.reported().names, ["é".repeat(128)]);
}

#[test]
fn who_has_said_hello_and_not_how_far_it_is_counts_as_lacking() {
    let mut relay = root(10);
    relay.joined(0, 1, ("a", 1), at(0), 100);
    tick(&mut relay, 20 * SECOND);
    assert_eq!(relay.reported().names, ["a@0"]);
    done(&mut relay, 21 * SECOND, 1, 0);
    tick(&mut relay, 22 * SECOND);
    assert_eq!(relay.reported().lacking, 0);
}

#[test]
fn names_are_bounded_and_the_rest_is_counted() {
    let mut relay = Relay::new("site", Settings { names: 3, ..settings() }, 1000, 0);
    relay.flush(0, at(100));
    for id in 0..10 {
        relay.joined(0, id, (&format!("m{id}"), 1), at(90 + id), 100);
    }
    tick(&mut relay, 20 * SECOND);
    let report = relay.reported();
    assert_eq!((report.lacking, report.names.len()), (10, 3));
    assert_eq!(report.names[0], "site/m0@90");
}
