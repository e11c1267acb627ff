use super::*;
use crate::version::CanonicalJson;
use serde_json::json;

fn version(epoch: u64, number: u64, body: u64) -> Version {
    Version::new(Stamp { epoch, number }, &json!({ "n": body }))
}

fn snapshot(v: &Version) -> ServiceMessage {
    ServiceMessage::Snapshot { stamp: v.stamp, digest: v.digest.clone(), body: v.body.clone() }
}

fn delta(from: &Version, to: &Version) -> ServiceMessage {
    let (stamp, digest) = (to.stamp, to.digest.clone());
    ServiceMessage::Delta { base: from.stamp, stamp, digest, patch: from.delta(to) }
}

struct TestFollower {
    follower: Follower,
    now: Nanos,
}

impl TestFollower {
    fn new(running: Option<Version>, services: usize) -> Self {
        let follower = Follower::new(Identity::default(), services, running, Times::default(), 7);
        TestFollower { follower, now: NANOS_PER_SECOND }
    }

    fn connected(running: Option<Version>) -> Self {
        let mut test = Self::new(running, 2);
        assert_eq!(test.tick(), [Action::Connect(0)]);
        let mut actions = Vec::new();
        test.follower.connected(test.now, &mut actions);
        assert!(matches!(actions[..], [Action::Send(ProxyMessage::Hello { .. })]));
        test
    }

    fn tick(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follower.tick(self.now, &mut actions);
        actions
    }

    fn receive(&mut self, message: ServiceMessage) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follower.receive(self.now, message, &mut actions);
        actions
    }

    fn applied(&mut self, outcome: Result<(), Rejection>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follower.applied(self.now, outcome, &mut actions);
        actions
    }

    fn accept(&mut self, v: &Version) {
        assert_eq!(self.receive(snapshot(v)), [Action::Apply(v.clone())]);
        let ack = ProxyMessage::Ack { stamp: v.stamp };
        assert_eq!(self.applied(Ok(())), [Action::Persist(v.clone()), Action::Send(ack)]);
        assert_eq!(self.follower.running(), Some(v));
    }
}

fn rejection(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|a| match a {
        Action::Send(ProxyMessage::Nack { reasons, .. }) => Some(reasons[0].as_str()),
        _ => None,
    })
}

#[test]
fn versions_are_accepted_as_snapshots_or_as_deltas() {
    let (one, two, three) = (version(1, 1, 1), version(1, 2, 2), version(1, 3, 3));
    let mut test = TestFollower::connected(None);
    test.accept(&one);
    assert_eq!(test.receive(delta(&one, &two)), [Action::Apply(two.clone())]);
    test.applied(Ok(()));
    // The base of the delta is missing: a snapshot is requested, and accepted.
    let four = version(1, 4, 4);
    assert_eq!(test.receive(delta(&three, &four)), [Action::Send(ProxyMessage::SnapshotRequest)]);
    test.accept(&four);
}

#[test]
fn a_duplicate_is_acknowledged_without_being_applied_and_an_older_version_is_rejected() {
    let (one, two) = (version(1, 1, 1), version(1, 2, 2));
    let mut test = TestFollower::connected(None);
    test.accept(&two);
    assert_eq!(test.receive(snapshot(&two)), [Action::Send(ProxyMessage::Ack { stamp: two.stamp })]);
    assert!(rejection(&test.receive(snapshot(&one))).is_some_and(|reason| reason.contains("older")));
    assert_eq!(test.follower.running(), Some(&two));
}

/// Guards against versions that are ignored after a restore: a service restored from a backup continues with
/// lower numbers, which proxies would reject as older without the new epoch.
#[test]
fn a_service_restored_from_a_backup_is_followed_under_its_new_epoch() {
    let mut test = TestFollower::connected(Some(version(1, 900, 1)));
    test.accept(&version(2, 3, 2));
    assert!(rejection(&test.receive(snapshot(&version(1, 901, 3))))
        .is_some_and(|reason| reason.contains("older")));
}

#[test]
fn services_that_disagree_are_reported_and_the_running_version_stays() {
    let mut test = TestFollower::connected(None);
    let (first, conflicting) = (version(1, 5, 1), version(1, 5, 2));
    test.accept(&first);
    let actions = test.receive(snapshot(&conflicting));
    assert!(matches!(&actions[0], Action::Warn(message) if message.contains("disagree")));
    assert!(rejection(&actions).is_some_and(|reason| reason.contains("disagree")));
    assert_eq!(test.follower.running(), Some(&first));
}

#[test]
fn a_rejected_version_leaves_the_running_one_and_is_not_applied_again() {
    let (one, bad, good) = (version(1, 1, 1), version(1, 2, 2), version(1, 3, 3));
    let mut test = TestFollower::connected(None);
    test.accept(&one);
    assert_eq!(test.receive(snapshot(&bad)), [Action::Apply(bad.clone())]);
    let actions = test.applied(Err("it empties pool a".to_owned().into()));
    assert_eq!(rejection(&actions), Some("it empties pool a"));
    assert!(!actions.iter().any(|a| matches!(a, Action::Persist(_))));
    assert_eq!(test.follower.running(), Some(&one));
    let again = test.receive(snapshot(&bad));
    assert_eq!((again.len(), rejection(&again)), (1, Some("it empties pool a")));
    test.accept(&good);
}

#[test]
fn a_body_with_another_digest_is_rejected() {
    let mut test = TestFollower::connected(None);
    let mut v = version(1, 1, 1);
    v.body = CanonicalJson::new(&json!({ "n": 2 }));
    assert!(rejection(&test.receive(snapshot(&v))).is_some_and(|reason| reason.contains("digest")));
}

#[test]
fn only_the_newest_of_the_versions_that_arrive_during_an_apply_is_applied() {
    let mut test = TestFollower::connected(None);
    let all: Vec<Version> = (1..=1000).map(|n| version(1, n, n)).collect();
    assert_eq!(test.receive(snapshot(&all[0])), [Action::Apply(all[0].clone())]);
    all[1..].iter().for_each(|v| assert_eq!(test.receive(snapshot(v)), []));
    let actions = test.applied(Ok(()));
    assert_eq!(actions.last(), Some(&Action::Apply(all[999].clone())));
    test.applied(Ok(()));
    assert_eq!(test.follower.running(), Some(&all[999]));
}

#[test]
fn after_a_timeout_the_services_are_tried_in_turn_with_exponential_backoff() {
    let mut test = TestFollower::connected(None);
    test.now += 14 * NANOS_PER_SECOND;
    assert_eq!(test.tick(), [Action::Send(ProxyMessage::Heartbeat)]);
    test.now += 2 * NANOS_PER_SECOND;
    assert!(test.tick().contains(&Action::Disconnect));
    let mut waits = Vec::new();
    for _ in 0..12 {
        let from = test.now;
        let at = loop {
            test.now += NANOS_PER_SECOND / 100;
            if let Some(Action::Connect(at)) = test.tick().first() {
                break *at;
            }
        };
        waits.push((test.now - from, at));
        test.follower.disconnected(test.now);
    }
    assert!(
        waits[0].0 <= NANOS_PER_SECOND
            && waits[11].0 >= 14 * NANOS_PER_SECOND
            && waits[11].0 <= 31 * NANOS_PER_SECOND,
        "{waits:?}"
    );
    assert!(waits.windows(2).all(|w| w[0].1 != w[1].1), "each service is followed by another one: {waits:?}");
}

#[test]
fn a_connection_attempt_has_a_time_limit() {
    let mut test = TestFollower::new(None, 1);
    assert_eq!(test.tick(), [Action::Connect(0)]);
    test.now += 4 * NANOS_PER_SECOND;
    assert_eq!(test.tick(), [Action::Disconnect]);
    let mut late_actions = Vec::new();
    test.follower.connected(test.now, &mut late_actions);
    assert_eq!(late_actions, [Action::Disconnect], "a connection established after the timeout is not used");
}

#[test]
fn hello_announces_the_running_version_after_a_restart() {
    let mut test = TestFollower::new(Some(version(3, 4, 5)), 1);
    test.tick();
    let mut actions = Vec::new();
    test.follower.connected(test.now, &mut actions);
    let Action::Send(ProxyMessage::Hello { running, .. }) = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(running.as_ref().map(|(stamp, _)| *stamp), Some(Stamp { epoch: 3, number: 4 }));
}
