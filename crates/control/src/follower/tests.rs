use super::*;
use crate::version::Body;
use serde_json::json;

fn version(epoch: u64, number: u64, body: u64) -> Version {
    Version::new(Stamp { epoch, number }, &json!({ "n": body }))
}

fn full(v: &Version) -> FromService {
    FromService::Full { stamp: v.stamp, digest: v.digest.clone(), body: v.body.clone() }
}

fn delta(from: &Version, to: &Version) -> FromService {
    let (stamp, digest) = (to.stamp, to.digest.clone());
    FromService::Delta { base: from.stamp, stamp, digest, patch: from.delta(to) }
}

struct Rig {
    follower: Follower,
    now: Nanos,
}

impl Rig {
    fn new(running: Option<Version>, services: usize) -> Self {
        let follower = Follower::new(Identity::default(), services, running, Times::default(), 7);
        Rig { follower, now: SECOND }
    }

    fn up(running: Option<Version>) -> Self {
        let mut rig = Self::new(running, 2);
        assert_eq!(rig.tick(), [Action::Connect(0)]);
        let mut actions = Vec::new();
        rig.follower.connected(rig.now, &mut actions);
        assert!(matches!(actions[..], [Action::Send(FromProxy::Hello { .. })]));
        rig
    }

    fn tick(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follower.tick(self.now, &mut actions);
        actions
    }

    fn came(&mut self, frame: FromService) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follower.frame(self.now, frame, &mut actions);
        actions
    }

    fn applied(&mut self, outcome: Result<(), Vec<String>>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follower.applied(self.now, outcome, &mut actions);
        actions
    }

    fn take(&mut self, v: &Version) {
        assert_eq!(self.came(full(v)), [Action::Apply(v.clone())]);
        let taken = FromProxy::Taken { stamp: v.stamp };
        assert_eq!(self.applied(Ok(())), [Action::Keep(v.clone()), Action::Send(taken)]);
        assert_eq!(self.follower.running(), Some(v));
    }
}

fn refusal(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|a| match a {
        Action::Send(FromProxy::Refused { reasons, .. }) => Some(reasons[0].as_str()),
        _ => None,
    })
}

#[test]
fn versions_are_taken_in_order_whole_or_as_deltas() {
    let (one, two, three) = (version(1, 1, 1), version(1, 2, 2), version(1, 3, 3));
    let mut rig = Rig::up(None);
    rig.take(&one);
    assert_eq!(rig.came(delta(&one, &two)), [Action::Apply(two.clone())]);
    rig.applied(Ok(()));
    // A gap: the whole is asked for, and taken.
    let four = version(1, 4, 4);
    assert_eq!(rig.came(delta(&three, &four)), [Action::Send(FromProxy::Whole)]);
    rig.take(&four);
}

#[test]
fn what_comes_twice_is_answered_and_not_done_again_and_what_is_older_is_turned_down() {
    let (one, two) = (version(1, 1, 1), version(1, 2, 2));
    let mut rig = Rig::up(None);
    rig.take(&two);
    assert_eq!(rig.came(full(&two)), [Action::Send(FromProxy::Taken { stamp: two.stamp })]);
    assert!(refusal(&rig.came(full(&one))).is_some_and(|why| why.contains("older")));
    assert_eq!(rig.follower.running(), Some(&two));
}

/// Danger: a service that comes back from a backup counts from lower numbers; without an epoch nobody would follow.
#[test]
fn a_service_restored_from_a_backup_is_followed_under_its_new_epoch() {
    let mut rig = Rig::up(Some(version(1, 900, 1)));
    rig.take(&version(2, 3, 2));
    assert!(refusal(&rig.came(full(&version(1, 901, 3)))).is_some_and(|why| why.contains("older")));
}

#[test]
fn two_services_that_disagree_are_told_and_what_runs_stays() {
    let mut rig = Rig::up(None);
    let (here, there) = (version(1, 5, 1), version(1, 5, 2));
    rig.take(&here);
    let actions = rig.came(full(&there));
    assert!(matches!(&actions[0], Action::Say(what) if what.contains("disagree")));
    assert!(refusal(&actions).is_some_and(|why| why.contains("disagree")));
    assert_eq!(rig.follower.running(), Some(&here));
}

#[test]
fn a_version_that_is_turned_down_leaves_what_runs_and_is_not_tried_again() {
    let (one, bad, good) = (version(1, 1, 1), version(1, 2, 2), version(1, 3, 3));
    let mut rig = Rig::up(None);
    rig.take(&one);
    assert_eq!(rig.came(full(&bad)), [Action::Apply(bad.clone())]);
    let actions = rig.applied(Err(vec!["it empties pool a".into()]));
    assert_eq!(refusal(&actions), Some("it empties pool a"));
    assert!(!actions.iter().any(|a| matches!(a, Action::Keep(_))));
    assert_eq!(rig.follower.running(), Some(&one));
    let again = rig.came(full(&bad));
    assert_eq!((again.len(), refusal(&again)), (1, Some("it empties pool a")));
    rig.take(&good);
}

#[test]
fn a_body_that_is_not_what_its_digest_says_is_turned_down() {
    let mut rig = Rig::up(None);
    let mut v = version(1, 1, 1);
    v.body = Body::new(&json!({ "n": 2 }));
    assert!(refusal(&rig.came(full(&v))).is_some_and(|why| why.contains("digest")));
}

#[test]
fn of_a_flood_only_the_newest_counts() {
    let mut rig = Rig::up(None);
    let all: Vec<Version> = (1..=1000).map(|n| version(1, n, n)).collect();
    assert_eq!(rig.came(full(&all[0])), [Action::Apply(all[0].clone())]);
    all[1..].iter().for_each(|v| assert_eq!(rig.came(full(v)), []));
    let actions = rig.applied(Ok(()));
    assert_eq!(actions.last(), Some(&Action::Apply(all[999].clone())));
    rig.applied(Ok(()));
    assert_eq!(rig.follower.running(), Some(&all[999]));
}

#[test]
fn a_service_that_hangs_is_left_for_the_next_after_a_while_that_grows() {
    let mut rig = Rig::up(None);
    rig.now += 14 * SECOND;
    assert_eq!(rig.tick(), [Action::Send(FromProxy::Alive)]);
    rig.now += 2 * SECOND;
    assert!(rig.tick().contains(&Action::Disconnect));
    let mut waits = Vec::new();
    for _ in 0..12 {
        let from = rig.now;
        let at = loop {
            rig.now += SECOND / 100;
            if let Some(Action::Connect(at)) = rig.tick().first() {
                break *at;
            }
        };
        waits.push((rig.now - from, at));
        rig.follower.disconnected(rig.now);
    }
    assert!(waits[0].0 <= SECOND && waits[11].0 >= 14 * SECOND && waits[11].0 <= 31 * SECOND, "{waits:?}");
    assert!(waits.windows(2).all(|w| w[0].1 != w[1].1), "in turn: {waits:?}");
}

#[test]
fn a_connection_that_does_not_come_about_is_given_up() {
    let mut rig = Rig::new(None, 1);
    assert_eq!(rig.tick(), [Action::Connect(0)]);
    rig.now += 4 * SECOND;
    assert_eq!(rig.tick(), [Action::Disconnect]);
    let mut late = Vec::new();
    rig.follower.connected(rig.now, &mut late);
    assert_eq!(late, [Action::Disconnect], "one that comes about after all is not used");
}

#[test]
fn what_runs_is_told_on_every_connection_so_that_a_restart_costs_nothing() {
    let mut rig = Rig::new(Some(version(3, 4, 5)), 1);
    rig.tick();
    let mut actions = Vec::new();
    rig.follower.connected(rig.now, &mut actions);
    let Action::Send(FromProxy::Hello { running, .. }) = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(running.as_ref().map(|(stamp, _)| *stamp), Some(Stamp { epoch: 3, number: 4 }));
}
