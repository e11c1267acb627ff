//! A modelled node under the limits, and the hard cases: steady overload, fast errors, a quiet hour before a peak, a silence
//! and a cold return, a tenant far over its share.

use super::*;
use aniseyoke_decision::api::{Class, Tenant};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
const NODE: ServerId = 7;

fn settings() -> Settings {
    let class = |worth| Class { priority_weight: worth, deadline: SECOND, ..Class::default() };
    let tenants = vec![Tenant { quota_rps: 300.0 }, Tenant { quota_rps: 100.0 }];
    Settings {
        classes: vec![class(1.0), class(4.0)],
        tenants,
        over_quota_weight: 0.05,
        proxies: 1,
        ..Settings::default()
    }
}

/// A node that serves so many at once, each in a fixed time, and lets the rest wait behind them.
struct Model {
    servers: usize,
    service: Nanos,
    silent: (Nanos, Nanos),
    errors: (Nanos, Nanos),
    /// Of so many answers one gets lost; 0: none.
    loses: u64,
    busy: usize,
    waiting: VecDeque<AttemptId>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Served(AttemptId),
    TimedOut(AttemptId),
    Failed(AttemptId),
    Overdue(AttemptId),
    Arrives(u64),
}

struct Asked {
    class: usize,
    tenant: Option<usize>,
    came: Nanos,
    started: Option<Nanos>,
}

/// Plays arrivals against one node.
struct Play {
    limits: Limits,
    node: Model,
    events: BinaryHeap<Reverse<(Nanos, u64, What)>>,
    order: u64,
    asked: FxHashMap<AttemptId, Asked>,
    /// Per tenant (the last for none): asked, answered in time, turned away.
    tally: Vec<[u64; 3]>,
}

impl Play {
    fn new(rules: Rules, servers: usize, service: Nanos) -> Self {
        let (silent, errors, waiting) = ((0, 0), (0, 0), VecDeque::new());
        let node = Model { servers, service, silent, errors, loses: 0, busy: 0, waiting };
        Play {
            limits: Limits::new(rules, &settings()).expect("sound"),
            node,
            events: BinaryHeap::new(),
            order: 0,
            asked: FxHashMap::default(),
            tally: vec![[0; 3]; 3],
        }
    }

    fn at(&mut self, at: Nanos, what: What) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, what)));
    }

    /// Arrivals at a fixed rate from one time to another, of a class and a tenant.
    fn rate(&mut self, from: Nanos, to: Nanos, a_second: u64, class: usize, tenant: Option<usize>) {
        let gap = SECOND / a_second;
        let mut at = from;
        while at < to {
            self.order += 1;
            let id = self.order;
            self.asked.insert((id, 0), Asked { class, tenant, came: at, started: None });
            self.events.push(Reverse((at, id, What::Arrives(id))));
            at += gap;
        }
    }

    /// Lets time pass; requests that are not answered within a second time out.
    fn run(&mut self, until: Nanos) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at < until) {
            let Some(Reverse((now, _, what))) = self.events.pop() else { break };
            let mut steps = Vec::new();
            match what {
                What::Arrives(id) => {
                    let attempt = (id, 0);
                    let Asked { class, tenant, .. } = self.asked[&attempt];
                    self.tally[tenant.unwrap_or(2)][0] += 1;
                    let wanted = Wanted { attempt, server: NODE, class, tenant, deadline: now + SECOND };
                    match self.limits.wanted(now, wanted, &mut steps) {
                        Verdict::Go => self.start(now, attempt),
                        Verdict::Wait(wait) => self.at(now + wait, What::Overdue(attempt)),
                        Verdict::Turned => self.turned(attempt),
                    }
                }
                What::Overdue(attempt) => {
                    if self.limits.overdue(now, attempt) {
                        self.turned(attempt);
                    }
                }
                What::Served(attempt) => {
                    self.node.busy -= 1;
                    if let Some(next) = self.node.waiting.pop_front() {
                        self.serve(now, next);
                    }
                    if self.node.loses == 0 || attempt.0 % self.node.loses > 0 {
                        self.done(now, attempt, Status::Ok, &mut steps);
                    }
                }
                What::TimedOut(attempt) => {
                    self.node.waiting.retain(|w| *w != attempt);
                    self.done(now, attempt, Status::Timeout, &mut steps);
                }
                What::Failed(attempt) => self.done(now, attempt, Status::Error, &mut steps),
            }
            for step in steps {
                match step {
                    Step::Start(attempt) => self.start(now, attempt),
                    Step::Turn(attempt) => self.turned(attempt),
                }
            }
        }
    }

    fn turned(&mut self, attempt: AttemptId) {
        let asked = self.asked.remove(&attempt).expect("turned away once");
        assert!(asked.started.is_none(), "what was started is not turned away");
        self.tally[asked.tenant.unwrap_or(2)][2] += 1;
    }

    fn start(&mut self, now: Nanos, attempt: AttemptId) {
        let asked = self.asked.get_mut(&attempt).expect("open");
        assert!(asked.started.replace(now).is_none(), "started once");
        let deadline = asked.came + SECOND;
        let out = self.limits.nodes[&NODE].limit.out();
        let room = self.limits.room(NODE).expect("known");
        assert!(f64::from(out) <= room.max(1.0), "{out} out with room for {room}");
        let within = |(from, to): (Nanos, Nanos)| (from..to).contains(&now);
        if within(self.node.silent) {
            self.at(deadline, What::TimedOut(attempt));
        } else if within(self.node.errors) {
            self.at(now + MS / 10, What::Failed(attempt));
        } else {
            self.at(deadline, What::TimedOut(attempt));
            self.serve_or_wait(now, attempt);
        }
    }

    fn serve_or_wait(&mut self, now: Nanos, attempt: AttemptId) {
        if self.node.busy < self.node.servers {
            self.serve(now, attempt);
        } else {
            self.node.waiting.push_back(attempt);
        }
    }

    fn serve(&mut self, now: Nanos, attempt: AttemptId) {
        self.node.busy += 1;
        self.at(now + self.node.service, What::Served(attempt));
    }

    fn done(&mut self, now: Nanos, attempt: AttemptId, status: Status, steps: &mut Vec<Step>) {
        let Some(asked) = self.asked.remove(&attempt) else { return };
        let elapsed = now - asked.started.expect("started");
        if status == Status::Ok && now - asked.came <= SECOND {
            self.tally[asked.tenant.unwrap_or(2)][1] += 1;
        }
        let done = Done { server: NODE, class: asked.class, status, elapsed, hit: None };
        self.limits.done(now, done, steps);
    }

    fn answered(&self) -> u64 {
        self.tally.iter().map(|t| t[1]).sum()
    }
}

/// Goodput of a node that does 800 a second, at so many times as much, over ten seconds after two.
fn goodput(rules: &Rules, times: u64) -> u64 {
    let mut play = Play::new(rules.clone(), 8, 10 * MS);
    play.rate(0, 12 * SECOND, 800 * times / 4, 0, None);
    play.run(2 * SECOND);
    let before = play.answered();
    play.run(12 * SECOND);
    play.answered() - before
}

#[test]
fn goodput_does_not_fall_when_four_times_as_much_is_asked() {
    let curve: Vec<u64> =
        [2, 4, 8, 16].iter().map(|quarters| goodput(&Rules::default(), *quarters)).collect();
    let peak = *curve.iter().max().expect("four");
    assert!(peak >= 7_600, "of 8,000: {curve:?}");
    assert!(curve[1..].iter().all(|g| g * 10 >= peak * 9), "{curve:?}");
    // Without a limit the node works for requests whose clients have left.
    let none = Rules {
        node: Bounds { floor: 1e5, start: 1e5, ceiling: 1e5, ..Bounds::default() },
        ..Rules::default()
    };
    assert!(goodput(&none, 16) * 2 < peak, "the model shows the collapse that the limit prevents");
}

#[test]
fn a_node_that_answers_fast_errors_gets_no_more_room() {
    let mut play = Play::new(Rules::default(), 8, 10 * MS);
    play.rate(0, 4 * SECOND, 700, 0, None);
    play.node.errors = (2 * SECOND, 4 * SECOND);
    play.run(2 * SECOND);
    let before = play.limits.room(NODE).expect("known");
    play.run(4 * SECOND);
    assert!(play.limits.room(NODE).expect("known") <= before, "errors prove no room");
}

/// Danger: a limit that takes each lost answer for a jam stands at its floor for ever.
#[test]
fn answers_that_get_lost_on_a_poor_network_do_not_hold_the_room_down() {
    let mut play = Play::new(Rules::default(), 16, 20 * MS);
    play.node.loses = 33;
    play.rate(0, 30 * SECOND, 600, 0, None);
    play.run(20 * SECOND);
    assert!(play.limits.room(NODE).expect("known") >= 16.0, "{:?}", play.limits.room(NODE));
    let (answered, turned) = (play.answered(), play.tally[2][2]);
    play.run(30 * SECOND);
    let (answered, turned) = (play.answered() - answered, play.tally[2][2] - turned);
    assert!(answered >= 6000 * 95 / 100 && turned < 60, "{answered} of 6,000, {turned} turned away");
}

#[test]
fn a_limit_learnt_in_a_quiet_hour_does_not_throttle_the_first_minute_of_a_peak() {
    let mut play = Play::new(Rules::default(), 64, 20 * MS);
    let hour = 3600 * SECOND;
    play.rate(0, hour, 2, 0, None);
    // Nearly all that the node can do, 3,200 a second.
    play.rate(hour, hour + 60 * SECOND, 2_900, 0, None);
    play.run(hour);
    let (asked, turned) = (play.tally[2][0], play.tally[2][2]);
    play.run(hour + 62 * SECOND);
    let (asked, turned) = (play.tally[2][0] - asked, play.tally[2][2] - turned);
    assert!(turned * 200 < asked, "{turned} of {asked} turned away");
}

#[test]
fn room_finds_its_way_back_after_a_silence_and_a_cold_return() {
    let mut play = Play::new(Rules::default(), 16, 20 * MS);
    play.rate(0, 40 * SECOND, 700, 0, None);
    play.node.silent = (10 * SECOND, 16 * SECOND);
    play.run(10 * SECOND);
    let before = play.limits.room(NODE).expect("known");
    play.run(16 * SECOND);
    let down = play.limits.room(NODE).expect("known");
    assert!(down * 3.0 < before, "{before} before, {down} in the silence");
    // It comes back cold: four times as slow for six seconds.
    play.node.service = 80 * MS;
    play.run(22 * SECOND);
    play.node.service = 20 * MS;
    play.run(25 * SECOND);
    let answered = play.answered();
    play.run(40 * SECOND);
    let answered = play.answered() - answered;
    assert!(answered >= 15 * 700 * 95 / 100, "{answered} of {} in the last 15 s", 15 * 700);
}

/// Danger: where all are served as they come, one tenant's flood is everybody's outage.
#[test]
fn a_tenant_at_ten_times_its_share_costs_another_not_one_request() {
    let mut play = Play::new(Rules::default(), 8, 10 * MS);
    // 800 a second is what the node does; the shares come to 400.
    play.rate(0, 20 * SECOND, 3_000, 0, Some(0));
    play.rate(0, 20 * SECOND, 90, 0, Some(1));
    play.run(22 * SECOND);
    let [asked, answered, turned] = play.tally[1];
    assert_eq!((answered, turned), (asked, 0), "of {asked}");
    let [_, greedy, _] = play.tally[0];
    assert!(greedy >= 20 * 300, "{greedy}: its own share at least");
}

#[test]
fn what_is_worth_more_goes_first_when_not_all_can() {
    let mut play = Play::new(Rules::default(), 8, 10 * MS);
    play.rate(0, 10 * SECOND, 1_200, 0, None);
    play.rate(0, 10 * SECOND, 300, 1, Some(0));
    play.run(12 * SECOND);
    let [asked, answered, _] = play.tally[0];
    assert!(answered * 100 >= asked * 99, "{answered} of {asked} of the dear ones");
}

#[test]
fn a_slow_node_gets_room_for_what_it_bears() {
    let rooms: Vec<f64> = [4, 32]
        .iter()
        .map(|servers| {
            let mut play = Play::new(Rules::default(), *servers, 10 * MS);
            play.rate(0, 20 * SECOND, 6_000, 0, None);
            play.run(20 * SECOND);
            play.limits.room(NODE).expect("known")
        })
        .collect();
    assert!(rooms[0] * 3.0 < rooms[1], "{rooms:?} for 4 and 32 at once");
}

#[test]
fn nobody_waits_longer_than_the_rules_say() {
    let rules = Rules {
        queue: QueueRules { most: 8, interval: Duration::from_millis(50), target: Duration::from_millis(5) },
        ..Rules::default()
    };
    let mut limits = Limits::new(rules, &settings()).expect("sound");
    let mut steps = Vec::new();
    let mut wanted = |id: u64, now: Nanos| {
        let w = Wanted { attempt: (id, 0), server: NODE, class: 0, tenant: None, deadline: now + SECOND };
        limits.wanted(now, w, &mut steps)
    };
    let verdicts: Vec<Verdict> = (0..20).map(|id| wanted(id, 0)).collect();
    assert!(verdicts[..8].iter().all(|v| *v == Verdict::Go));
    assert!(verdicts[8..16].iter().all(|v| *v == Verdict::Wait(50 * MS)));
    assert!(verdicts[16..].iter().all(|v| *v == Verdict::Turned));
    assert_eq!((limits.waiting(), limits.turned()), (8, 4));
    assert!((8..16).all(|id| limits.overdue(50 * MS, (id, 0))));
    assert!(!limits.overdue(51 * MS, (8, 0)), "once");
    assert_eq!(limits.waiting(), 0);
}

#[test]
fn nodes_that_come_and_go_for_ever_take_bounded_memory() {
    let mut limits = Limits::new(Rules::default(), &settings()).expect("sound");
    let mut steps = Vec::new();
    for n in 0..(NODES_MOST as u64 + 100) {
        let w = Wanted { attempt: (n, 0), server: n, class: 0, tenant: None, deadline: n + SECOND };
        assert_eq!(limits.wanted(n, w, &mut steps), Verdict::Go);
        let done = Done { server: n, class: 0, status: Status::Ok, elapsed: MS, hit: None };
        limits.done(n, done, &mut steps);
    }
    assert!(limits.nodes.len() <= NODES_MOST);
    assert!(limits.room(0).is_none() && limits.room(NODES_MOST as u64 + 99).is_some(), "the oldest went");
}
