//! The six rules as properties over generated event sequences, with a fixed seed.

mod common;
use aniseyoke_decision::api::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Debug)]
enum Step {
    Ask {
        class: u32,
        key: u64,
        remaining: u64,
        write: bool,
    },
    End {
        which: usize,
        status: usize,
    },
    /// The first byte of an answer arrives.
    Begin {
        which: usize,
    },
    Pass {
        ms: u64,
    },
    Change {
        server: u64,
        state: usize,
        kind: ListKind,
    },
    Leave {
        which: usize,
    },
    /// Activates another version of the settings.
    Swap {
        which: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..5, 0u64..40, 0u64..900, any::<bool>())
            .prop_map(|(class, key, remaining, write)| Step::Ask { class, key, remaining, write }),
        5 => (0usize..64, 0usize..9).prop_map(|(which, status)| Step::End { which, status }),
        2 => (0usize..64).prop_map(|which| Step::Begin { which }),
        3 => (0u64..300).prop_map(|ms| Step::Pass { ms }),
        1 => (
            0u64..8,
            0usize..3,
            prop_oneof![Just(ListKind::Delta), Just(ListKind::Full), Just(ListKind::Cached)]
        )
            .prop_map(|(server, state, kind)| Step::Change { server, state, kind }),
        1 => (0usize..64).prop_map(|which| Step::Leave { which }),
        1 => (0usize..8).prop_map(|which| Step::Swap { which }),
    ]
}

const STATUSES: [Status; 9] = [
    Status::Ok,
    Status::Error,
    Status::Rejected,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::NotSent,
    Status::Miss,
];

struct SentAttempt {
    server: ServerId,
    sent: Nanos,
    due: Nanos,
    pending: bool,
    ran: bool,
}

struct RequestState {
    class: usize,
    pool: Option<usize>,
    /// The version of the settings in force at its arrival.
    settings_at_arrival: Rc<Settings>,
    deadline: Nanos,
    finished: bool,
    attempts: Vec<SentAttempt>,
}

/// Simulated environment of one proxy that checks each of its actions against the rules.
struct Environment {
    proxy: Proxy,
    settings: Rc<Settings>,
    /// The versions of the settings that may be activated; the first is in force at the start.
    versions: Vec<Rc<Settings>>,
    requests: BTreeMap<RequestId, RequestState>,
    timers: Vec<(Nanos, u64)>,
    list: BTreeMap<ServerId, Entry>,
    /// Draining servers at which this proxy may have idle connections, with the latest time to close these.
    to_close: BTreeMap<ServerId, Nanos>,
}

impl Environment {
    fn new(settings: Settings) -> Self {
        Self::of(vec![settings])
    }

    fn of(versions: Vec<Settings>) -> Self {
        let versions: Vec<Rc<Settings>> = versions.into_iter().map(Rc::new).collect();
        let settings = versions[0].clone();
        let list = entries(0..8);
        let proxy = Proxy::new((*settings).clone(), 11);
        let mut w = Environment {
            proxy,
            settings,
            versions,
            requests: BTreeMap::new(),
            timers: Vec::new(),
            list: list.iter().map(|e| (e.server, e.clone())).collect(),
            to_close: BTreeMap::new(),
        };
        let actions = w.proxy.list(ListKind::Cached, list);
        w.check(actions);
        w
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.proxy.now;
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => self.check_send(id, server, timeout),
                Action::Reject { id, .. } => self.check_rejection(id),
                Action::Fail { id } => {
                    let r = self.requests.get_mut(&id).expect("a known request");
                    assert!(!r.finished, "two final answers");
                    r.finished = true;
                }
                Action::AwaitResponse { id, attempt, max_pause } => {
                    let r = self.requests.get_mut(&id).expect("a known request");
                    let t = &mut r.attempts[attempt as usize];
                    assert!(t.pending && !r.finished, "an answer is awaited that nobody waits for");
                    // Nothing more of it comes.
                    t.due = if max_pause == 0 { r.deadline } else { r.deadline.min(now + max_pause) };
                }
                Action::Timer { token, delay } => self.timers.push((now + delay, token)),
                Action::Cancel { id, attempt } => {
                    assert!(self.requests[&id].settings_at_arrival.cancellation);
                    assert!((attempt as usize) < self.requests[&id].attempts.len());
                }
                Action::CloseIdle(server) => {
                    self.to_close.remove(&server);
                }
                Action::Subscribe => {}
            }
        }
        assert!(self.to_close.values().all(|until| now <= *until), "idle at a draining server for too long");
    }

    fn check_send(&mut self, id: RequestId, server: ServerId, timeout: Nanos) {
        let now = self.proxy.now;
        let r = self.requests.get_mut(&id).expect("a known request");
        assert!(!r.finished, "sent after the final answer");
        assert!(now <= r.deadline, "sent after the deadline");
        assert_eq!(self.list[&server].state, State::Ready, "sent to a server that drains or is gone");
        assert!(r.attempts.len() < r.settings_at_arrival.max_attempts as usize, "too many attempts");
        assert!(
            r.settings_at_arrival.hedging || r.attempts.iter().all(|t| !t.pending),
            "two attempts at once without hedging"
        );
        let class = &self.settings.classes[r.class];
        let entry = &self.list[&server];
        let origin = self.settings.cache_aside && self.settings.origin_kind == Some(entry.kind);
        let fits = |set: &Option<Vec<u32>>, v| set.as_ref().is_none_or(|s| s.contains(&v));
        let contains = |p: &Pool| fits(&p.zones, entry.zone) && fits(&p.kinds, entry.kind);
        let allowed = contains(&r.settings_at_arrival.classes[r.class].allowed_servers);
        assert!(origin || allowed, "sent to a server that is not open to its class");
        let pool = r.pool.and_then(|p| r.settings_at_arrival.pools.get(p));
        assert!(origin || pool.is_none_or(contains), "sent to a server outside its pool");
        check_repeats(r, class, &self.list, server, now);
        let due = if timeout == 0 { r.deadline } else { r.deadline.min(now + timeout) };
        r.attempts.push(SentAttempt { server, sent: now, due, pending: true, ran: false });
    }

    fn check_rejection(&mut self, id: RequestId) {
        let r = self.requests.get_mut(&id).expect("a known request");
        assert!(!r.finished, "two final answers");
        let class = &self.settings.classes[r.class];
        let ran = r.attempts.iter().any(|t| t.pending || t.ran);
        assert!(
            !ran || class.idempotency == Idempotency::Idempotent
                || (class.idempotency == Idempotency::WithKey && class.group == Group::All)
        );
        r.finished = true;
    }

    /// Records that a connection to this server may be idle, which has to be closed in time if the server is
    /// draining.
    fn record_idle(&mut self, server: ServerId) {
        self.to_close.remove(&server);
        if self.settings.drain_close_within > 0 && self.list[&server].state == State::Draining {
            self.to_close.insert(server, self.proxy.now + self.settings.drain_close_within);
        }
    }

    fn finish(&mut self, id: RequestId, n: usize, status: Status) {
        let now = self.proxy.now;
        let r = self.requests.get_mut(&id).expect("asked");
        let t = &mut r.attempts[n];
        (t.pending, t.ran) = (false, !status.never_ran());
        let (server, sent) = (t.server, t.sent);
        r.finished |= status == Status::Ok;
        let last = r.finished;
        let event = Event::Outcome(Outcome {
            id,
            attempt: n as u32,
            server,
            status,
            elapsed: now - sent,
            last,
            hit: None,
        });
        let actions = self.proxy.event(event);
        self.record_idle(server);
        self.check(actions);
    }

    /// Advances the clock, with timers and timeouts in the order of their times.
    fn pass(&mut self, until: Nanos) {
        loop {
            let due = self.requests.iter().flat_map(|(id, r)| {
                r.attempts.iter().enumerate().filter(|(_, t)| t.pending).map(move |(n, t)| (t.due, *id, n))
            });
            let due = due.min();
            let timer = self.timers.iter().copied().min();
            match (due, timer) {
                (Some((at, id, n)), t) if at <= until && t.is_none_or(|t| at <= t.0) => {
                    self.proxy.now = self.proxy.now.max(at);
                    self.finish(id, n, Status::Timeout);
                }
                (_, Some((at, token))) if at <= until => {
                    self.timers.retain(|t| *t != (at, token));
                    self.proxy.now = self.proxy.now.max(at);
                    let actions = self.proxy.event(Event::Timer(token));
                    self.check(actions);
                }
                _ => break,
            }
        }
        self.proxy.now = until;
        self.check(Vec::new());
        for (id, r) in &self.requests {
            assert!(r.finished || r.deadline + 20 * MS >= until, "request {id} was never answered");
        }
    }

    fn live(&self) -> Vec<Entry> {
        self.list.values().filter(|e| e.state != State::Gone).cloned().collect()
    }

    fn request(&mut self, class: u32, key: u64, remaining: u64, write: bool) {
        let class = class % self.settings.classes.len() as u32;
        let id = self.requests.len() as u64 + 1;
        let deadline = self.proxy.now + remaining * MS;
        // If there are pools, two of every three keys are routed to one.
        let pool = self.settings.pools.len().checked_sub(1);
        let pool = pool.filter(|_| !key.is_multiple_of(3)).map(|last| key as usize % (last + 1));
        let (class_index, settings_at_arrival) = (class as usize, self.settings.clone());
        let state = RequestState {
            class: class_index,
            pool,
            settings_at_arrival,
            deadline,
            finished: false,
            attempts: vec![],
        };
        self.requests.insert(id, state);
        let base = Request::default();
        let request = Request {
            class,
            pool: pool.map(|p| p as u32),
            key: Some(key),
            tenant: Some(key as u32 % 4),
            remaining: remaining * MS,
            write,
            ..base
        };
        let (got, actions) = self.proxy.submit(request);
        assert_eq!(got, id);
        self.check(actions);
    }

    /// Returns one of the attempts in flight, by its number among them.
    fn pending(&self, which: usize) -> Option<(RequestId, usize)> {
        let attempts = self.requests.iter().flat_map(|(id, r)| {
            r.attempts.iter().enumerate().filter(|(_, t)| t.pending).map(move |(n, _)| (*id, n))
        });
        let pending: Vec<(RequestId, usize)> = attempts.collect();
        pending.get(which % pending.len().max(1)).copied()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask { class, key, remaining, write } => self.request(class, key, remaining, write),
            Step::End { which, status } => {
                if let Some((id, n)) = self.pending(which) {
                    self.finish(id, n, STATUSES[status]);
                }
            }
            Step::Begin { which } => {
                if let Some((id, n)) = self.pending(which) {
                    let actions = self.proxy.event(Event::ResponseStarted { id, attempt: n as u32 });
                    self.check(actions);
                }
            }
            Step::Pass { ms } => self.pass(self.proxy.now + ms * MS),
            Step::Change { server, state, kind } => {
                let state = [State::Ready, State::Draining, State::Gone][state];
                let changed = Entry { state, ..entry(server) };
                self.list.insert(changed.server, changed.clone());
                let server = changed.server;
                let actions = match kind {
                    ListKind::Delta => self.proxy.list(kind, vec![changed]),
                    // A full list omits servers that are gone.
                    _ => self.proxy.list(kind, self.live()),
                };
                self.record_idle(server);
                self.check(actions);
            }
            Step::Swap { which } => {
                self.settings = self.versions[which % self.versions.len()].clone();
                assert!(
                    self.proxy.balancer.update_settings((*self.settings).clone()),
                    "the numbers of classes and tenants are unchanged"
                );
            }
            Step::Leave { which } => {
                let open: Vec<RequestId> =
                    self.requests.iter().filter(|(_, r)| !r.finished).map(|(id, _)| *id).collect();
                if let Some(id) = open.get(which % open.len().max(1)) {
                    self.requests.get_mut(id).expect("asked").finished = true;
                    let actions = self.proxy.event(Event::ClientLeft(*id));
                    self.check(actions);
                }
            }
        }
    }
}

/// Checks that an attempt after others that may have run obeys the idempotency of its class.
fn check_repeats(
    r: &RequestState,
    class: &Class,
    list: &BTreeMap<ServerId, Entry>,
    server: ServerId,
    now: Nanos,
) {
    for t in r.attempts.iter().filter(|t| t.pending || t.ran) {
        let (old, new) = (&list[&t.server], &list[&server]);
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("a non-idempotent request sent again"),
            Idempotency::WithKey => {
                assert!(now < t.sent + class.dedup_window, "sent outside the deduplication window");
                match class.group {
                    Group::All => {}
                    Group::Zone => assert_eq!(old.zone, new.zone),
                    Group::Cell => assert_eq!((old.zone, old.cell), (new.zone, new.cell)),
                }
            }
        }
    }
}

/// Checks the rules with fixed settings.
fn check_rules(settings: Settings) {
    check_rules_through(vec![settings]);
}

/// Checks the rules while the settings change from one version to another.
fn check_rules_through(versions: Vec<Settings>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&proptest::collection::vec(step(), 1..120), |steps| {
        let mut environment = Environment::of(versions.clone());
        steps.into_iter().for_each(|s| environment.step(s));
        environment.pass(environment.proxy.now + 5 * SECOND);
        Ok(())
    });
    run.expect("the rules hold");
}

fn classes() -> Settings {
    let mut s = settings();
    let base = s.classes[0].clone();
    let keyed = |group| Class { idempotency: Idempotency::WithKey, group, ..base.clone() };
    s.classes.push(keyed(Group::All));
    s.classes.push(keyed(Group::Cell));
    s.classes.push(Class { idempotency: Idempotency::NonIdempotent, ..base.clone() });
    s
}

#[test]
fn rules_hold_with_hedged_requests() {
    check_rules(classes());
}

#[test]
fn rules_hold_with_one_attempt_at_a_time_and_a_list_subscription() {
    check_rules(Settings { hedging: false, subscribes: true, cancellation: false, ..classes() });
}

#[test]
fn rules_hold_with_tenants_and_connection_costs() {
    let tenants = vec![Tenant { quota_rps: 5.0 }, Tenant { quota_rps: f64::NAN }, Tenant { quota_rps: -1.0 }];
    let prices = Settings { handshake_cost: 0.05, cross_zone_cost: 0.1, ..classes() };
    check_rules(Settings { tenants, over_quota_weight: 0.05, idle_timeout: SECOND, ..prices });
}

#[test]
fn rules_hold_with_invalid_settings() {
    let mut s = classes();
    s.classes.iter_mut().for_each(|c| (c.priority_weight, c.late_weight) = (f64::NAN, -3.0));
    let odd = Settings {
        proxies: 0,
        slow_start_time: 0,
        overload_window: 0,
        overload_multiple: f64::NAN,
        slow_start_from: 7.0,
        ..s
    };
    check_rules(Settings { over_quota_weight: f64::INFINITY, max_retry_after: 0, poll_within: 0, ..odd });
}

#[test]
#[should_panic(expected = "a non-idempotent request sent again")]
fn the_checker_detects_a_repeated_non_idempotent_request() {
    let mut w = Environment::new(classes());
    w.step(Step::Ask { class: 3, key: 1, remaining: 500, write: false });
    let server = w.requests[&1].attempts[0].server;
    w.check(vec![Action::Send { id: 1, server, timeout: 0 }]);
}

#[test]
#[should_panic(expected = "sent to a server that drains or is gone")]
fn the_checker_detects_a_send_to_a_draining_server() {
    let mut w = Environment::new(classes());
    w.step(Step::Ask { class: 0, key: 1, remaining: 500, write: false });
    w.step(Step::Change { server: 2, state: 1, kind: ListKind::Delta });
    w.check(vec![Action::Send { id: 1, server: entry(2).server, timeout: 0 }]);
}

#[test]
#[should_panic(expected = "two final answers")]
fn the_checker_detects_a_second_final_answer() {
    let mut w = Environment::new(classes());
    w.step(Step::Ask { class: 0, key: 1, remaining: 500, write: false });
    w.check(vec![Action::Fail { id: 1 }, Action::Fail { id: 1 }]);
}

#[test]
#[should_panic(expected = "was never answered")]
fn the_checker_detects_a_lost_request() {
    let mut w = Environment::new(classes());
    let (pool, settings_at_arrival, deadline) = (None, w.settings.clone(), w.proxy.now + MS);
    let request =
        RequestState { class: 0, pool, settings_at_arrival, deadline, finished: false, attempts: vec![] };
    w.requests.insert(99, request);
    w.pass(w.proxy.now + SECOND);
}

/// A pool of these zones and kinds; of any kind if `kinds` is empty.
fn server_pool(zones: &[u32], kinds: &[u32]) -> Pool {
    Pool { zones: Some(zones.to_vec()), kinds: (!kinds.is_empty()).then(|| kinds.to_vec()) }
}

/// The classes with one more that is restricted to some servers.
fn restricted_classes() -> Settings {
    let mut s = classes();
    let base = s.classes[0].clone();
    s.classes.push(Class { allowed_servers: server_pool(&[0, 2], &[0]), ..base });
    Settings { drain_close_within: 100 * MS, ..s }
}

#[test]
fn rules_hold_with_restricted_classes_and_closing_of_connections_on_drains() {
    check_rules(restricted_classes());
    check_rules(Settings { cache_aside: true, origin_kind: Some(1), ..restricted_classes() });
    let mut nowhere = restricted_classes();
    nowhere.classes[4].allowed_servers.zones = Some(vec![]);
    check_rules(Settings { slow_start_from: f64::NAN, ..nowhere });
}

/// Guards against a request that is handled partly with one version of the settings and partly with another.
#[test]
fn rules_hold_while_pools_and_features_change_during_requests() {
    let one =
        Settings { pools: vec![server_pool(&[0], &[]), server_pool(&[1, 2], &[0])], ..restricted_classes() };
    let two = Settings {
        pools: vec![server_pool(&[1], &[])],
        hedging: false,
        max_attempts: 1,
        ..restricted_classes()
    };
    let none = Settings {
        pools: vec![server_pool(&[], &[]), server_pool(&[2], &[1])],
        cancellation: false,
        ..restricted_classes()
    };
    check_rules_through(vec![one.clone(), two.clone(), none.clone(), restricted_classes()]);
    let aside = |s: Settings| Settings { cache_aside: true, origin_kind: Some(1), ..s };
    check_rules_through([two, one, none, restricted_classes()].into_iter().map(aside).collect());
}

#[test]
#[should_panic(expected = "sent to a server outside its pool")]
fn the_checker_detects_a_send_outside_the_pool() {
    let mut w = Environment::new(Settings { pools: vec![server_pool(&[0], &[])], ..classes() });
    w.step(Step::Ask { class: 0, key: 1, remaining: 500, write: false });
    w.check(vec![Action::Send { id: 1, server: entry(1).server, timeout: 0 }]);
}

#[test]
#[should_panic(expected = "not open to its class")]
fn the_checker_detects_a_send_outside_the_zones_of_a_class() {
    let mut w = Environment::new(restricted_classes());
    w.step(Step::Ask { class: 4, key: 1, remaining: 500, write: false });
    w.check(vec![Action::Send { id: 1, server: entry(1).server, timeout: 0 }]);
}

#[test]
#[should_panic(expected = "idle at a draining server for too long")]
fn the_checker_detects_a_connection_left_open_to_a_draining_server() {
    let mut w = Environment::new(restricted_classes());
    w.step(Step::Change { server: 2, state: 1, kind: ListKind::Full });
    w.record_idle(entry(2).server);
    w.pass(w.proxy.now + SECOND);
}

#[test]
fn rules_hold_with_cache_aside() {
    check_rules(Settings { cache_aside: true, origin_kind: Some(0), ..classes() });
    check_rules(Settings { cache_aside: true, origin_kind: Some(1), max_attempts: 2, ..classes() });
}
