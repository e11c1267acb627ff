//! Tests of the commit protocol: a check of small groups with the model checker stateright up to a depth (every order of
//! messages, losses, crashes and changes of leader), and random schedules of larger groups that end with a recovery.

mod world;

use aniseyoke_control::commit::{Change, LeaderMessage, MemberMessage, Nanos};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use stateright::{Checker, Model, Property};
use world::{Event, InFlight, State, TIMES};

/// The bounds of the model.
struct Bounds {
    proxies: usize,
    until: Nanos,
    crashes: u8,
    elections: u8,
    changes: u64,
    /// This proxy may reject a change.
    rejecting: Option<usize>,
}

impl Model for Bounds {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        // The leases of earlier leaders have expired. The random schedules cover the time before.
        let mut state = State::new(self.proxies);
        (0..TIMES.lease_with_margin()).for_each(|_| state.apply(Event::Tick));
        vec![state]
    }

    fn actions(&self, state: &State, events: &mut Vec<Event>) {
        events.extend(state.net.iter().cloned().map(Event::Deliver));
        for (n, proxy) in state.proxies.iter().enumerate() {
            if !proxy.up {
                events.push(Event::Restart(n));
                continue;
            }
            // At most one lease request is in flight per proxy, as on a connection.
            let is_lease_request = |f: &InFlight| match f {
                InFlight::ToLeader { from, message: MemberMessage::Heartbeat { .. }, .. } => *from == n,
                InFlight::ToMember { to, message: LeaderMessage::Lease { .. } } => *to == n,
                InFlight::Confirm { requester, .. } => *requester == n,
                _ => false,
            };
            if !state.net.iter().any(is_lease_request) {
                events.push(Event::Heartbeat(n));
            }
            if proxy.validating.is_some() {
                events.push(Event::Validated(n, true));
                events.extend((self.rejecting == Some(n)).then_some(Event::Validated(n, false)));
            }
            if state.crashes < self.crashes {
                events.push(Event::Crash(n));
            }
        }
        if state.elections < self.elections {
            events.push(Event::Elect(None));
            events.extend(state.pending().map(|record| Event::Elect(Some(record))));
        }
        if state.published < self.changes {
            events.push(Event::Publish);
        }
        if state.now < self.until {
            events.push(Event::Tick);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        state.apply(event);
        // Messages to an earlier leader have no effect. Removing them reduces the number of states.
        let term = state.term;
        state.net.retain(|f| match f {
            InFlight::ToLeader { term: message_term, .. }
            | InFlight::Append { term: message_term, .. }
            | InFlight::Confirm { term: message_term, .. } => *message_term == term,
            InFlight::ToMember { .. } => true,
        });
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("everywhere or nowhere", |_: &Bounds, state: &State| {
                state.violation().is_none()
            }),
            Property::sometimes("committed everywhere", |_, state: &State| {
                let all = |c: &Change| state.proxies.iter().all(|p| p.member.running() == Some(c));
                state.committed.as_ref().is_some_and(|(c, _)| all(c))
            }),
        ]
    }
}

/// An environment variable with the number of steps to search deeper than in CI (`docs/design-commit.md`).
const EXTRA_DEPTH_VARIABLE: &str = "COMMIT_MODEL_DEEPER";

fn check_model(bounds: Bounds, depth: usize) {
    let extra_depth =
        std::env::var(EXTRA_DEPTH_VARIABLE).map_or(0, |more| more.parse().expect("a number of steps"));
    let depth = depth + extra_depth;
    let checker = bounds.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    let (all, unique) = (checker.state_count(), checker.unique_state_count());
    println!("{all} states, {unique} of them unique, depth {}", checker.max_depth());
    if let Some(path) = checker.discovery("everywhere or nowhere") {
        let (last, events) = (path.last_state().clone(), path.into_actions());
        panic!("{:?} after {events:#?}", last.violation());
    }
    assert!(checker.discovery("committed everywhere").is_some(), "the depth is too small");
}

#[test]
fn every_order_of_a_change_at_two_proxies_one_of_which_crashes_or_rejects_it() {
    check_model(
        Bounds { proxies: 2, until: 6, crashes: 1, elections: 0, changes: 1, rejecting: Some(1) },
        14,
    );
}

#[test]
fn every_order_of_a_change_at_a_proxy_that_crashes_with_another_leader() {
    check_model(Bounds { proxies: 1, until: 9, crashes: 1, elections: 1, changes: 2, rejecting: None }, 16);
}

/// Random schedules lose, duplicate and delay messages, crash proxies, change the leader and publish changes one after the
/// other. Then the network recovers, and the committed change must reach every proxy.
#[test]
fn random_schedules_keep_the_invariants_and_recover() {
    let (mut commits, mut aborts) = (0, 0);
    for seed in 0..3000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut state = State::new(4);
        for _ in 0..150 {
            let n = rng.random_range(0..state.proxies.len());
            let in_flight = match state.net.len() {
                0 => None,
                some => state.net.iter().nth(rng.random_range(0..some)).cloned(),
            };
            let event = match rng.random_range(0..100) {
                0..40 => in_flight.map(Event::Deliver),
                40..45 => in_flight.map(Event::Duplicate),
                45..50 => {
                    in_flight.iter().for_each(|lost| state.lose(lost));
                    None
                }
                50..70 => Some(Event::Heartbeat(n)).filter(|_| state.proxies[n].up),
                70..82 => Some(Event::Validated(n, rng.random_range(0..20) > 0)),
                82..84 => Some(Event::Crash(n)).filter(|_| state.proxies[n].up),
                84..87 => Some(Event::Restart(n)).filter(|_| !state.proxies[n].up),
                87 => {
                    let appended = state.pending().next().filter(|_| rng.random_range(0..2) == 0);
                    Some(Event::Elect(appended))
                }
                88..91 => Some(Event::Publish),
                _ => Some(Event::Tick),
            };
            event.into_iter().for_each(|event| state.apply(event));
            assert_eq!(state.violation(), None, "seed {seed}");
        }
        assert_recovery(&mut state, seed);
        commits += u32::from(state.committed.is_some());
        aborts += u32::from(!state.aborted.is_empty());
    }
    println!("{commits} schedules with a commit, {aborts} with an abort");
    assert!(
        commits > 500 && aborts > 50,
        "{commits} schedules with a commit, {aborts} with an abort: the coverage is too low"
    );
}

fn assert_recovery(state: &mut State, seed: u64) {
    for n in 0..state.proxies.len() {
        if !state.proxies[n].up {
            state.apply(Event::Restart(n));
        }
    }
    for _ in 0..40 {
        (0..state.proxies.len()).for_each(|n| state.apply(Event::Heartbeat(n)));
        while let Some(in_flight) = state.net.iter().next().cloned() {
            state.apply(Event::Deliver(in_flight));
            (0..state.proxies.len()).for_each(|n| state.apply(Event::Validated(n, true)));
            assert_eq!(state.violation(), None, "seed {seed}");
        }
        state.apply(Event::Tick);
    }
    let log = state.log();
    assert_eq!(log.pending(), None, "seed {seed}: nothing is pending");
    // Leases were granted before the last tick; none has been requested since then.
    for (n, proxy) in state.proxies.iter().enumerate() {
        assert_eq!(proxy.member.running(), log.committed(), "seed {seed}, proxy {n}: {proxy:?}");
        assert!(state.serves(n), "seed {seed}: proxy {n} serves again");
    }
}
