use super::*;
use crate::follower::{Action, Follower, Identity, Times};
use crate::frame::{decode, FRAME_MOST};
use crate::rollout::Stage;
use proptest::prelude::*;
use serde_json::json;

fn read(out: &[Outgoing]) -> Vec<(Id, FromService)> {
    let one =
        |o: &Outgoing| (o.to, decode(&mut o.bytes.to_vec(), FRAME_MOST).expect("sound").expect("whole"));
    out.iter().map(one).collect()
}

fn body(n: u64) -> Value {
    json!({ "n": n, "text": "x".repeat(2000) })
}

/// A publisher and followers that are joined by a wire which may lose, double and hold back frames.
struct Net {
    publisher: Publisher,
    followers: Vec<Follower>,
    now: Nanos,
    /// Followers turn this body's number down.
    bad: Option<u64>,
    bytes: usize,
}

impl Net {
    fn new(count: usize) -> Self {
        let follower = |n: usize| {
            let identity = Identity {
                instance: format!("proxy-{n}"),
                boot: 1,
                frame_most: FRAME_MOST,
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

    /// A follower's connection goes, with whatever was on it, and comes again once the follower's wait is over.
    fn join(&mut self, n: usize) {
        self.publisher.gone(n as Id);
        self.followers[n].disconnected(self.now);
        (0..3).for_each(|_| self.tick());
    }

    /// Does what followers say, and what follows from that.
    fn acted(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(frame) => {
                    let mut out = Vec::new();
                    self.publisher.frame(self.now, n as Id, frame, &mut out);
                    self.deliver(out);
                }
                Action::Apply(version) => {
                    let bad = self.bad.is_some() && version.body.value()["n"].as_u64() == self.bad;
                    let outcome = if bad { Err(vec!["bad".to_owned()]) } else { Ok(()) };
                    let mut actions = Vec::new();
                    self.followers[n].applied(self.now, outcome, &mut actions);
                    self.acted(n, actions);
                }
                Action::Connect(_) => {
                    let mut actions = Vec::new();
                    self.followers[n].connected(self.now, &mut actions);
                    self.acted(n, actions);
                }
                Action::Disconnect => self.publisher.gone(n as Id),
                Action::Keep(_) | Action::Say(_) => {}
            }
        }
    }

    fn deliver(&mut self, out: Vec<Outgoing>) {
        self.bytes += out.iter().map(|o| o.bytes.len()).sum::<usize>();
        for (to, frame) in read(&out) {
            let mut actions = Vec::new();
            self.followers[to as usize].frame(self.now, frame, &mut actions);
            self.acted(to as usize, actions);
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
            self.acted(n, actions);
        }
        let mut out = Vec::new();
        self.publisher.tick(self.now, &mut out);
        self.deliver(out);
    }

    fn running(&self) -> Vec<Option<u64>> {
        self.followers.iter().map(|f| f.running().and_then(|v| v.body.value()["n"].as_u64())).collect()
    }

    fn run(&self, n: u64) -> usize {
        self.running().iter().filter(|r| **r == Some(n)).count()
    }
}

fn staged(percents: &[u8]) -> Plan {
    let stage = |percent: &u8| Stage { percent: *percent, hold_ms: 5000, ..Stage::default() };
    Plan { stages: percents.iter().map(stage).collect(), ..Plan::default() }
}

#[test]
fn everybody_gets_what_is_published_and_later_only_what_changed() {
    let mut net = Net::new(20);
    net.publish(1, Plan::default());
    assert_eq!(net.run(1), 20);
    let whole = std::mem::take(&mut net.bytes);
    net.publish(2, Plan::default());
    assert_eq!(net.run(2), 20);
    assert!(net.bytes * 5 < whole, "{} bytes as deltas, {whole} as wholes", net.bytes);
    let rows = net.publisher.rows();
    assert!(rows.iter().all(|r| r.running == r.wanted && r.running.is_some()));
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
fn a_version_comes_out_in_stages() {
    let mut net = Net::new(200);
    net.publish(1, Plan::default());
    net.publish(2, staged(&[10, 100]));
    let first = net.run(2);
    assert!((8..=35).contains(&first) && net.run(1) == 200 - first, "{first}");
    (0..7).for_each(|_| net.tick());
    assert_eq!(net.run(2), 200);
}

#[test]
fn a_bad_version_is_halted_at_its_first_stage_and_the_way_back_is_a_version() {
    let mut net = Net::new(200);
    let one = net.publish(1, Plan::default());
    net.bad = Some(2);
    net.publish(2, staged(&[10, 100]));
    (0..30).for_each(|_| net.tick());
    assert_eq!((net.run(1), net.run(2)), (200, 0));
    assert!(matches!(net.publisher.rollout(), Some(State::Halted(why)) if why.contains("bad")));
    assert!(net.publisher.rows().iter().any(|r| r.refused.is_some()));
    let mut out = Vec::new();
    let back = net.publisher.roll_back(net.now, one, Plan::default(), &mut out).expect("known");
    net.deliver(out);
    assert!(back > one && net.run(1) == 200);
    assert!(net.publisher.rows().iter().all(|r| r.running == Some(back)));
}

#[test]
fn a_version_under_which_answers_get_worse_is_halted() {
    let mut net = Net::new(200);
    net.publish(1, Plan::default());
    net.publish(2, staged(&[10, 100]));
    for n in 0..200 {
        let failed = if net.running()[n] == Some(2) { 30 } else { 1 };
        let mut actions = Vec::new();
        net.followers[n].report(net.now, [100, 0, failed], &mut actions);
        net.acted(n, actions);
    }
    let first = net.run(2);
    (0..30).for_each(|_| net.tick());
    assert!(matches!(net.publisher.rollout(), Some(State::Halted(why)) if why.contains("answers are bad")));
    assert_eq!(net.run(2), first, "nobody else has got it, and who has keeps it");
}

/// Danger: a proxy that comes while a bad version is halted would get it, as the newest.
#[test]
fn who_comes_while_a_version_is_halted_gets_the_one_before() {
    let mut net = Net::new(50);
    net.publish(1, Plan::default());
    net.bad = Some(2);
    net.publish(2, staged(&[50, 100]));
    net.bad = None;
    let identity =
        Identity { instance: "late".into(), boot: 2, frame_most: FRAME_MOST, ..Identity::default() };
    net.followers.push(Follower::new(identity, 1, None, Times::default(), 9));
    net.join(50);
    assert_eq!(net.running()[50], Some(1));
}

#[test]
fn who_says_too_much_or_nothing_is_sent_away() {
    let mut publisher = Publisher::new(1);
    let mut out = Vec::new();
    publisher.frame(0, 1, FromProxy::Alive, &mut out);
    let hello = |protocol, instance: &str| FromProxy::Hello {
        protocol,
        instance: instance.into(),
        boot: 1,
        labels: BTreeMap::new(),
        frame_most: FRAME_MOST,
        running: None,
        purges: None,
    };
    publisher.frame(0, 2, hello(9, "a"), &mut out);
    publisher.frame(0, 3, hello(PROTOCOL, ""), &mut out);
    publisher.frame(0, 4, hello(PROTOCOL, "a"), &mut out);
    publisher.tick(SILENCE + 1, &mut out);
    let away: Vec<Id> = out.iter().filter(|o| o.last).map(|o| o.to).collect();
    assert_eq!(away, [1, 2, 3, 4]);
    assert_eq!(publisher.rows(), []);
}

/// Danger: 10 MB for a proxy that has 32.
#[test]
fn a_version_too_long_for_a_proxy_is_not_sent_to_it_and_halts_its_rollout() {
    let mut net = Net::new(1);
    net.publish(1, Plan::default());
    let identity = Identity { instance: "small".into(), boot: 1, frame_most: 1000, ..Identity::default() };
    net.followers.push(Follower::new(identity, 1, None, Times::default(), 9));
    net.tick();
    assert_eq!(net.running(), [Some(1), None]);
    let row = net.publisher.rows().into_iter().find(|r| r.instance == "small").expect("connected");
    assert!(row.refused.is_some_and(|(_, why)| why[0].contains("more than the 1000")));
    net.publish(2, staged(&[100]));
    assert!(matches!(net.publisher.rollout(), Some(State::Halted(why)) if why.contains("small")));
}

#[test]
fn old_versions_are_forgotten_but_for_the_one_to_go_back_to() {
    let mut net = Net::new(1);
    let settled = net.publish(0, Plan::default());
    (1..=200).for_each(|n| _ = net.publish(n, staged(&[0])));
    assert!(net.publisher.history.len() <= HISTORY);
    assert!(net.publisher.version(settled).is_some(), "everybody still runs it");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever is published, turned down or lost, everybody ends with the newest that is sound, and nobody goes back.
    #[test]
    fn all_end_with_the_newest(steps in prop::collection::vec((0u8..4, 0usize..5), 1..40)) {
        let mut net = Net::new(5);
        let mut newest = 0;
        let mut seen = [0u64; 5];
        for (what, who) in steps {
            match what {
                0 | 1 => {
                    newest += 1;
                    net.publish(newest, Plan::default());
                }
                2 => {
                    net.join(who);
                }
                _ => net.tick(),
            }
            for (n, running) in net.running().into_iter().enumerate() {
                let running = running.unwrap_or(0);
                prop_assert!(running >= seen[n], "{n} went back");
                seen[n] = running;
            }
        }
        if newest > 0 {
            prop_assert_eq!(net.run(newest), 5);
        }
    }
}
