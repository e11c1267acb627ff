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
        assert!(matches!(actions[..], [Action::Send(ProxyMessage::Hello { .. })]));
        rig
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
    let mut rig = Rig::up(None);
    rig.accept(&one);
    assert_eq!(rig.receive(delta(&one, &two)), [Action::Apply(two.clone())]);
    rig.applied(Ok(()));
    // A gap: a snapshot is requested, and accepted.
    let four = version(1, 4, 4);
    assert_eq!(rig.receive(delta(&three, &four)), [Action::Send(ProxyMessage::SnapshotRequest)]);
    rig.accept(&four);
}

#[test]
fn a_duplicate_is_acknowledged_without_being_applied_and_an_older_version_is_rejected() {
    let (one, two) = (version(1, 1, 1), version(1, 2, 2));
    let mut rig = Rig::up(None);
    rig.accept(&two);
    assert_eq!(rig.receive(snapshot(&two)), [Action::Send(ProxyMessage::Ack { stamp: two.stamp })]);
    assert!(rejection(&rig.receive(snapshot(&one))).is_some_and(|reason| reason.contains("older")));
    assert_eq!(rig.follower.running(), Some(&two));
}

/// Danger: a service restored from a backup continues with lower numbers; without an epoch nobody would follow it.
#[test]
fn a_service_restored_from_a_backup_is_followed_under_its_new_epoch() {
    let mut rig = Rig::up(Some(version(1, 900, 1)));
    rig.accept(&version(2, 3, 2));
    assert!(
        rejection(&rig.receive(snapshot(&version(1, 901, 3)))).is_some_and(|reason| reason.contains("older"))
    );
}

#[test]
fn services_that_disagree_are_reported_and_the_running_version_stays() {
    let mut rig = Rig::up(None);
    let (here, there) = (version(1, 5, 1), version(1, 5, 2));
    rig.accept(&here);
    let actions = rig.receive(snapshot(&there));
    assert!(matches!(&actions[0], Action::Warn(what) if what.contains("disagree")));
    assert!(rejection(&actions).is_some_and(|reason| reason.contains("disagree")));
    assert_eq!(rig.follower.running(), Some(&here));
}

#[test]
fn a_rejected_version_leaves_the_running_one_and_is_not_applied_again() {
    let (one, bad, good) = (version(1, 1, 1), version(1, 2, 2), version(1, 3, 3));
    let mut rig = Rig::up(None);
    rig.accept(&one);
    assert_eq!(rig.receive(snapshot(&bad)), [Action::Apply(bad.clone())]);
    let actions = rig.applied(Err("it empties pool a".to_owned().into()));
    assert_eq!(rejection(&actions), Some("it empties pool a"));
    assert!(!actions.iter().any(|a| matches!(a, Action::Persist(_))));
    assert_eq!(rig.follower.running(), Some(&one));
    let again = rig.receive(snapshot(&bad));
    assert_eq!((again.len(), rejection(&again)), (1, Some("it empties pool a")));
    rig.accept(&good);
}

#[test]
fn a_body_with_another_digest_is_rejected() {
    let mut rig = Rig::up(None);
    let mut v = version(1, 1, 1);
    v.body = CanonicalJson::new(&json!({ "n": 2 }));
    assert!(rejection(&rig.receive(snapshot(&v))).is_some_and(|reason| reason.contains("digest")));
}

#[test]
fn of_a_flood_of_versions_only_the_newest_is_applied() {
    let mut rig = Rig::up(None);
    let all: Vec<Version> = (1..=1000).map(|n| version(1, n, n)).collect();
    assert_eq!(rig.receive(snapshot(&all[0])), [Action::Apply(all[0].clone())]);
    all[1..].iter().for_each(|v| assert_eq!(rig.receive(snapshot(v)), []));
    let actions = rig.applied(Ok(()));
    assert_eq!(actions.last(), Some(&Action::Apply(all[999].clone())));
    rig.applied(Ok(()));
    assert_eq!(rig.follower.running(), Some(&all[999]));
}

#[test]
fn a_service_that_hangs_is_left_for_the_next_one_after_a_growing_backoff() {
    let mut rig = Rig::up(None);
    rig.now += 14 * SECOND;
    assert_eq!(rig.tick(), [Action::Send(ProxyMessage::Heartbeat)]);
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
fn a_connection_attempt_has_a_time_limit() {
    let mut rig = Rig::new(None, 1);
    assert_eq!(rig.tick(), [Action::Connect(0)]);
    rig.now += 4 * SECOND;
    assert_eq!(rig.tick(), [Action::Disconnect]);
    let mut late = Vec::new();
    rig.follower.connected(rig.now, &mut late);
    assert_eq!(late, [Action::Disconnect], "a connection established too late is not used");
}

#[test]
fn hello_announces_the_running_version_after_a_restart() {
    let mut rig = Rig::new(Some(version(3, 4, 5)), 1);
    rig.tick();
    let mut actions = Vec::new();
    rig.follower.connected(rig.now, &mut actions);
    let Action::Send(ProxyMessage::Hello { running, .. }) = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(running.as_ref().map(|(stamp, _)| *stamp), Some(Stamp { epoch: 3, number: 4 }));
}
