//! The commit protocol under every order of messages, losses, crashes and changes of leader, at a small size, by
//! stateright; and under random schedules of a larger one that heal at their end.

mod world;

use aniseyoke_control::commit::{Change, Nanos, ToLeader, ToMember};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use stateright::{Checker, Model, Property};
use world::{Act, Flying, State, TIMES};

/// How far the model goes.
struct Bounds {
    proxies: usize,
    until: Nanos,
    crashes: u8,
    elections: u8,
    changes: u64,
    /// This proxy may find a change unfit.
    picky: Option<usize>,
}

impl Model for Bounds {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        // The leader's quiet time is over: what comes before it is told by the random schedules.
        let mut state = State::new(self.proxies);
        (0..TIMES.over()).for_each(|_| state.act(Act::Tick));
        vec![state]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        acts.extend(state.net.iter().cloned().map(Act::Deliver));
        for (n, proxy) in state.proxies.iter().enumerate() {
            if !proxy.up {
                acts.push(Act::Restart(n));
                continue;
            }
            // One call for a lease at a time, as a connection has it.
            let out = |f: &Flying| match f {
                Flying::ToLeader { from, what: ToLeader::Renew { .. }, .. } => *from == n,
                Flying::ToMember { to, what: ToMember::Granted { .. } } => *to == n,
                Flying::Confirm { who, .. } => *who == n,
                _ => false,
            };
            if !state.net.iter().any(out) {
                acts.push(Act::Renew(n));
            }
            if proxy.checking.is_some() {
                acts.push(Act::Checked(n, true));
                acts.extend((self.picky == Some(n)).then_some(Act::Checked(n, false)));
            }
            if state.crashes < self.crashes {
                acts.push(Act::Crash(n));
            }
        }
        if state.elections < self.elections {
            acts.push(Act::Elect(None));
            acts.extend(state.pending().map(|record| Act::Elect(Some(record))));
        }
        if state.published < self.changes {
            acts.push(Act::Publish);
        }
        if state.now < self.until {
            acts.push(Act::Tick);
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        state.act(act);
        // What is for who does not lead any more changes nothing, and only makes more states.
        let term = state.term;
        state.net.retain(|f| match f {
            Flying::ToLeader { term: then, .. }
            | Flying::Append { term: then, .. }
            | Flying::Confirm { term: then, .. } => *then == term,
            Flying::ToMember { .. } => true,
        });
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("everywhere or nowhere", |_: &Bounds, state: &State| state.wrong().is_none()),
            Property::sometimes("committed everywhere", |_, state: &State| {
                let all = |c: &Change| state.proxies.iter().all(|p| p.member.runs() == Some(c));
                state.committed.as_ref().is_some_and(|(c, _)| all(c))
            }),
        ]
    }
}

/// So many steps deeper than in CI, for a longer run (`docs/design-commit.md`).
const DEEPER: &str = "COMMIT_MODEL_DEEPER";

fn checked(bounds: Bounds, depth: usize) {
    let deeper = std::env::var(DEEPER).map_or(0, |more| more.parse().expect("a number of steps"));
    let depth = depth + deeper;
    let checker = bounds.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    let (all, apart) = (checker.state_count(), checker.unique_state_count());
    println!("{all} states, {apart} of them apart, depth {}", checker.max_depth());
    if let Some(path) = checker.discovery("everywhere or nowhere") {
        let (last, acts) = (path.last_state().clone(), path.into_actions());
        panic!("{:?} after {acts:#?}", last.wrong());
    }
    assert!(checker.discovery("committed everywhere").is_some(), "the model goes too short a way");
}

#[test]
fn every_order_of_a_change_at_two_proxies_one_of_which_crashes_or_finds_it_unfit() {
    checked(Bounds { proxies: 2, until: 6, crashes: 1, elections: 0, changes: 1, picky: Some(1) }, 14);
}

#[test]
fn every_order_of_a_change_at_a_proxy_that_crashes_with_another_leader() {
    checked(Bounds { proxies: 1, until: 9, crashes: 1, elections: 1, changes: 2, picky: None }, 16);
}

/// Messages lost, doubled and late, crashes, leaders, changes one upon the other; then all heals, and what was committed
/// has to reach every proxy.
#[test]
fn random_schedules_keep_the_rules_and_heal() {
    let (mut commits, mut aborts) = (0, 0);
    for seed in 0..3000 {
        let mut chance = SmallRng::seed_from_u64(seed);
        let mut state = State::new(4);
        for _ in 0..150 {
            let n = chance.random_range(0..state.proxies.len());
            let flying = match state.net.len() {
                0 => None,
                some => state.net.iter().nth(chance.random_range(0..some)).cloned(),
            };
            let act = match chance.random_range(0..100) {
                0..40 => flying.map(Act::Deliver),
                40..45 => flying.map(Act::Copy),
                45..50 => {
                    flying.iter().for_each(|lost| state.lose(lost));
                    None
                }
                50..70 => Some(Act::Renew(n)).filter(|_| state.proxies[n].up),
                70..82 => Some(Act::Checked(n, chance.random_range(0..20) > 0)),
                82..84 => Some(Act::Crash(n)).filter(|_| state.proxies[n].up),
                84..87 => Some(Act::Restart(n)).filter(|_| !state.proxies[n].up),
                87 => {
                    let carried = state.pending().next().filter(|_| chance.random_range(0..2) == 0);
                    Some(Act::Elect(carried))
                }
                88..91 => Some(Act::Publish),
                _ => Some(Act::Tick),
            };
            act.into_iter().for_each(|act| state.act(act));
            assert_eq!(state.wrong(), None, "seed {seed}");
        }
        heal(&mut state, seed);
        commits += u32::from(state.committed.is_some());
        aborts += u32::from(!state.aborted.is_empty());
    }
    println!("{commits} schedules with a commit, {aborts} with an abort");
    assert!(
        commits > 500 && aborts > 50,
        "{commits} committed, {aborts} aborted: the schedules show too little"
    );
}

fn heal(state: &mut State, seed: u64) {
    for n in 0..state.proxies.len() {
        if !state.proxies[n].up {
            state.act(Act::Restart(n));
        }
    }
    for _ in 0..40 {
        (0..state.proxies.len()).for_each(|n| state.act(Act::Renew(n)));
        while let Some(flying) = state.net.iter().next().cloned() {
            state.act(Act::Deliver(flying));
            (0..state.proxies.len()).for_each(|n| state.act(Act::Checked(n, true)));
            assert_eq!(state.wrong(), None, "seed {seed}");
        }
        state.act(Act::Tick);
    }
    let log = state.log();
    assert_eq!(log.open(), None, "seed {seed}: nothing is left undecided");
    // Leases were granted before the last tick; nobody has asked since.
    for (n, proxy) in state.proxies.iter().enumerate() {
        assert_eq!(proxy.member.runs(), log.committed(), "seed {seed}, proxy {n}: {proxy:?}");
        assert!(state.serves(n), "seed {seed}: proxy {n} takes requests again");
    }
}
