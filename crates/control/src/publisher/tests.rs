use super::*;
use crate::follower::{Action, Follower, Identity, Times};
use crate::frame::{decode, MAX_FRAME_BYTES};
use crate::rollout::Stage;
use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;

fn decoded(out: &[OutgoingFrame]) -> Vec<(ConnectionId, ServiceMessage)> {
    let one = |o: &OutgoingFrame| {
        (o.to, decode(&mut o.bytes.to_vec(), MAX_FRAME_BYTES).expect("valid").expect("complete"))
    };
    out.iter().map(one).collect()
}

fn body(n: u64) -> Value {
    json!({ "n": n, "text": "x".repeat(2000) })
}

/// A publisher and followers, connected by a simulated network.
struct Net {
    publisher: Publisher,
    followers: Vec<Follower>,
    now: Nanos,
    /// Followers reject the body with this number.
    bad: Option<u64>,
    bytes: usize,
}

impl Net {
    fn new(count: usize) -> Self {
        let follower = |n: usize| {
            let identity = Identity {
                instance: format!("proxy-{n}"),
                boot: 1,
                max_frame_bytes: MAX_FRAME_BYTES,
                ..Identity::default()
            };
            Follower::new(identity, 1, None, Times::default(), n as u64)
        };
        let mut net = Net {
            publisher: Publisher::new(1),
            followers: (0..count).map(follower).collect(),
            now: SECOND,
            bad: None,
            bytes: 0,
        };
        net.tick();
        net
    }

    /// Closes a follower's connection, and advances the time until the follower has reconnected after its
    /// backoff.
    fn reconnect(&mut self, n: usize) {
        self.publisher.disconnected(n as ConnectionId);
        self.followers[n].disconnected(self.now);
        (0..3).for_each(|_| self.tick());
    }

    /// Carries out the actions of a follower, and those that result from them.
    fn perform(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => {
                    let mut out = Vec::new();
                    self.publisher.receive(self.now, n as ConnectionId, message, &mut out);
                    self.deliver(out);
                }
                Action::Apply(version) => {
                    let bad = self.bad.is_some() && version.body.value()["n"].as_u64() == self.bad;
                    let outcome = if bad { Err("bad".to_owned().into()) } else { Ok(()) };
                    let mut actions = Vec::new();
                    self.followers[n].applied(self.now, outcome, &mut actions);
                    self.perform(n, actions);
                }
                Action::Connect(_) => {
                    let mut actions = Vec::new();
                    self.followers[n].connected(self.now, &mut actions);
                    self.perform(n, actions);
                }
                Action::Disconnect => self.publisher.disconnected(n as ConnectionId),
                Action::Persist(_) | Action::Warn(_) => {}
            }
        }
    }

    fn deliver(&mut self, out: Vec<OutgoingFrame>) {
        self.bytes += out.iter().map(|o| o.bytes.len()).sum::<usize>();
        for (to, message) in decoded(&out) {
            let mut actions = Vec::new();
            self.followers[to as usize].receive(self.now, message, &mut actions);
            self.perform(to as usize, actions);
        }
    }

    fn publish(&mut self, n: u64, plan: Plan) -> Stamp {
        let mut out = Vec::new();
        let stamp = self.publisher.publish(self.now, body(n), plan, &mut out).expect("published");
        self.deliver(out);
        stamp
    }

    fn tick(&mut self) {
        self.now += SECOND;
        for n in 0..self.followers.len() {
            let mut actions = Vec::new();
            self.followers[n].tick(self.now, &mut actions);
            self.perform(n, actions);
        }
        let mut out = Vec::new();
        self.publisher.tick(self.now, &mut out);
        self.deliver(out);
    }

    fn running(&self) -> Vec<Option<u64>> {
        self.followers.iter().map(|f| f.running().and_then(|v| v.body.value()["n"].as_u64())).collect()
    }

    fn count_running(&self, n: u64) -> usize {
        self.running().iter().filter(|r| **r == Some(n)).count()
    }
}

fn staged(percents: &[u8]) -> Plan {
    let stage = |percent: &u8| Stage { percent: *percent, hold_ms: 5000, ..Stage::default() };
    Plan { stages: percents.iter().map(stage).collect(), ..Plan::default() }
}

#[test]
fn every_proxy_gets_a_snapshot_first_and_deltas_later() {
    let mut net = Net::new(20);
    net.publish(1, Plan::default());
    assert_eq!(net.count_running(1), 20);
    let snapshots = std::mem::take(&mut net.bytes);
    net.publish(2, Plan::default());
    assert_eq!(net.count_running(2), 20);
    assert!(net.bytes * 5 < snapshots, "{} bytes as deltas, {snapshots} as snapshots", net.bytes);
    let statuses = net.publisher.statuses();
    assert!(statuses.iter().all(|r| r.running == r.wanted && r.running.is_some()));
}

#[test]
fn frames_for_many_are_encoded_once() {
    let mut net = Net::new(3);
    net.publish(1, Plan::default());
    let mut out = Vec::new();
    net.publisher.publish(net.now, body(2), Plan::default(), &mut out).expect("published");
    assert!(out.len() == 3 && out.iter().all(|o| Arc::ptr_eq(&o.bytes, &out[0].bytes)));
}

#[test]
fn a_version_is_rolled_out_in_stages() {
    let mut net = Net::new(200);
    net.publish(1, Plan::default());
    net.publish(2, staged(&[10, 100]));
    let first = net.count_running(2);
    assert!((8..=35).contains(&first) && net.count_running(1) == 200 - first, "{first}");
    (0..7).for_each(|_| net.tick());
    assert_eq!(net.count_running(2), 200);
}

#[test]
fn a_rejected_version_is_halted_at_its_first_stage_and_a_roll_back_is_a_new_version() {
    let mut net = Net::new(200);
    let one = net.publish(1, Plan::default());
    net.bad = Some(2);
    net.publish(2, staged(&[10, 100]));
    (0..30).for_each(|_| net.tick());
    assert_eq!((net.count_running(1), net.count_running(2)), (200, 0));
    assert!(matches!(net.publisher.rollout(), Some(RolloutState::Halted(reason)) if reason.contains("bad")));
    assert!(net.publisher.statuses().iter().any(|r| r.rejected.is_some()));
    let mut out = Vec::new();
    let back = net.publisher.roll_back(net.now, one, Plan::default(), &mut out).expect("known");
    net.deliver(out);
    assert!(back > one && net.count_running(1) == 200);
    assert!(net.publisher.statuses().iter().all(|r| r.running == Some(back)));
}

#[test]
fn a_version_with_worse_responses_is_halted() {
    let mut net = Net::new(200);
    net.publish(1, Plan::default());
    net.publish(2, staged(&[10, 100]));
    for n in 0..200 {
        let failed = if net.running()[n] == Some(2) { 30 } else { 1 };
        let mut actions = Vec::new();
        let counts = RequestCounts { served: 100, rejected: 0, failed };
        net.followers[n].report(net.now, counts, &mut actions);
        net.perform(n, actions);
    }
    let first = net.count_running(2);
    (0..30).for_each(|_| net.tick());
    assert!(
        matches!(net.publisher.rollout(), Some(RolloutState::Halted(reason)) if reason.contains("answers are bad"))
    );
    assert_eq!(net.count_running(2), first, "no other proxy gets it, and those that have it keep it");
}

/// Guards against a halted version that spreads further: a proxy that connects after the halt would get it,
/// since it is the newest version.
#[test]
fn a_proxy_that_connects_while_a_rollout_is_halted_gets_the_previous_version() {
    let mut net = Net::new(50);
    net.publish(1, Plan::default());
    net.bad = Some(2);
    net.publish(2, staged(&[50, 100]));
    net.bad = None;
    let identity = Identity {
        instance: "late".into(),
        boot: 2,
        max_frame_bytes: MAX_FRAME_BYTES,
        ..Identity::default()
    };
    net.followers.push(Follower::new(identity, 1, None, Times::default(), 9));
    net.reconnect(50);
    assert_eq!(net.running()[50], Some(1));
}

#[test]
fn invalid_and_idle_proxies_are_disconnected() {
    let mut publisher = Publisher::new(1);
    let mut out = Vec::new();
    publisher.receive(0, 1, ProxyMessage::Heartbeat, &mut out);
    let hello = |protocol, instance: &str| ProxyMessage::Hello {
        protocol,
        instance: instance.into(),
        boot: 1,
        labels: BTreeMap::new(),
        max_frame_bytes: MAX_FRAME_BYTES,
        running: None,
        purges: None,
    };
    publisher.receive(0, 2, hello(9, "a"), &mut out);
    publisher.receive(0, 3, hello(PROTOCOL_VERSION, ""), &mut out);
    publisher.receive(0, 4, hello(PROTOCOL_VERSION, "a"), &mut out);
    publisher.tick(IDLE_TIMEOUT + 1, &mut out);
    let closed: Vec<ConnectionId> = out.iter().filter(|o| o.close_after).map(|o| o.to).collect();
    assert_eq!(closed, [1, 2, 3, 4]);
    assert_eq!(publisher.statuses(), []);
}

/// Guards against a proxy that runs out of memory or reconnects in a loop, as with a version of 10 MB for a
/// proxy with 32 MB of memory.
#[test]
fn a_version_that_is_too_long_for_a_proxy_is_not_sent_and_halts_the_rollout() {
    let mut net = Net::new(1);
    net.publish(1, Plan::default());
    let identity =
        Identity { instance: "small".into(), boot: 1, max_frame_bytes: 1000, ..Identity::default() };
    net.followers.push(Follower::new(identity, 1, None, Times::default(), 9));
    net.tick();
    assert_eq!(net.running(), [Some(1), None]);
    let status = net.publisher.statuses().into_iter().find(|r| r.instance == "small").expect("connected");
    assert!(status.rejected.is_some_and(|(_, reasons)| reasons[0].contains("more than the 1000")));
    net.publish(2, staged(&[100]));
    assert!(
        matches!(net.publisher.rollout(), Some(RolloutState::Halted(reason)) if reason.contains("small"))
    );
}

#[test]
fn the_history_is_bounded_and_retains_the_baseline() {
    let mut net = Net::new(1);
    let baseline = net.publish(0, Plan::default());
    (1..=200).for_each(|n| _ = net.publish(n, staged(&[0])));
    assert!(net.publisher.history.len() <= MAX_HISTORY_VERSIONS);
    assert!(net.publisher.version(baseline).is_some(), "every proxy still runs it");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// With any sequence of published versions and closed connections, every proxy runs the newest version in
    /// the end, and none returns to an earlier one.
    #[test]
    fn all_proxies_end_with_the_newest_version(steps in prop::collection::vec((0u8..4, 0usize..5), 1..40)) {
        let mut net = Net::new(5);
        let mut newest = 0;
        let mut seen = [0u64; 5];
        for (operation, follower) in steps {
            match operation {
                0 | 1 => {
                    newest += 1;
                    net.publish(newest, Plan::default());
                }
                2 => {
                    net.reconnect(follower);
                }
                _ => net.tick(),
            }
            for (n, running) in net.running().into_iter().enumerate() {
                let running = running.unwrap_or(0);
                prop_assert!(running >= seen[n], "proxy {n} returned to an earlier version");
                seen[n] = running;
            }
        }
        if newest > 0 {
            prop_assert_eq!(net.count_running(newest), 5);
        }
    }
}
