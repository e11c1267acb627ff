//! What a seed and a number decide of a start.

use aniseyoke_faults::{About, Call, Effect, Often, Plan, Rule};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::Duration;

/// The name of the rule that holds a call up.
pub(crate) const RULE: &str = "hold";
/// The name of the rule that tells that a plan is in force.
pub(crate) const IN_FORCE_RULE: &str = "in-force";
/// Characters of a thread's name at most.
const MAX_THREAD_NAME: usize = 15;
/// How long a call is held up, in milliseconds; one of these is drawn.
const HOLDS_MS: [u64; 6] = [1, 5, 20, 60, 200, 500];
/// The longest deadline of the classes, in milliseconds; one of these is drawn.
const DEADLINES_MS: [u64; 3] = [200, 1000, 4000];
/// SIGTERM comes this long after the process was started at the latest, where it does not wait for the proxy.
const EARLY_WITHIN_US: u64 = 60_000;
/// SIGTERM comes this long after the proxy listens at the latest.
const LATER_WITHIN_MS: u64 = 300;
/// A proxy that is watched while it is idle is told to stop after this time, in milliseconds.
const IDLE_MS: u64 = 1300;
/// One start in so many is watched while idle.
const IDLE_ONE_IN: u64 = 25;
/// A log that is stalled is read this long after SIGTERM at the latest.
const STALLED_WITHIN_MS: u64 = 300;
/// SIGHUP comes so many times at most.
const MAX_HANGUPS: u64 = 6;

/// Whose calls are held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DelayedThread {
    /// Those of the serving thread.
    Serving,
    /// Those of the thread that writes the log.
    Log,
}

/// The calls that are held up in turn, and how many of each, from the first on: about as many as a proxy makes until it listens, or
/// from SIGTERM on.
pub const DELAYED_CALLS: [(DelayedThread, Call, u64); 15] = [
    (DelayedThread::Log, Call::Write, 3),
    (DelayedThread::Log, Call::SchedYield, 8),
    (DelayedThread::Log, Call::Futex, 4),
    (DelayedThread::Serving, Call::Futex, 6),
    (DelayedThread::Serving, Call::SignalMask, 4),
    (DelayedThread::Serving, Call::Socket, 2),
    (DelayedThread::Serving, Call::Connect, 2),
    (DelayedThread::Serving, Call::Read, 4),
    (DelayedThread::Serving, Call::Recv, 3),
    (DelayedThread::Serving, Call::Send, 2),
    (DelayedThread::Serving, Call::WallClock, 3),
    (DelayedThread::Serving, Call::Open, 12),
    (DelayedThread::Serving, Call::Write, 12),
    (DelayedThread::Serving, Call::EpollWait, 16),
    (DelayedThread::Serving, Call::ClockGettime, 24),
];

/// When the count of calls begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Phase {
    /// With the process.
    Start,
    /// Just before the signals, where these wait until the proxy listens.
    End,
}

/// One call that is held up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Hold {
    /// Whose call.
    pub thread: DelayedThread,
    /// Which kind.
    pub call: Call,
    /// Which one of this kind, counted from 1.
    pub nth: u64,
    /// From when on it is counted.
    pub phase: Phase,
    /// For how long, in milliseconds.
    pub hold_ms: u64,
    /// After the call was made; before it otherwise.
    pub after: bool,
}

/// What becomes of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Reader {
    /// It is read as it comes.
    Reads,
    /// Its pipe is full, and is read from this time after SIGTERM on, in milliseconds.
    Stalled(u64),
    /// Its pipe is full, and is not read.
    NeverReads,
    /// Its reader has gone.
    Gone,
    /// Standard error is closed.
    Closed,
}

/// When SIGTERM comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Terminate {
    /// So many microseconds after the process was started.
    AfterSpawn(u64),
    /// So many milliseconds after the proxy listens.
    AfterReady(u64),
}

/// A start.
#[derive(Clone, Debug, Serialize)]
pub struct StartPlan {
    /// What was drawn from.
    pub seed: u64,
    /// Which start of this seed.
    pub number: u64,
    /// The call that is held up.
    pub hold: Hold,
    /// What becomes of the log.
    pub reader: Reader,
    /// The longest deadline of the classes, in milliseconds.
    pub longest_deadline_ms: u64,
    /// How many SIGHUP come one after the other before SIGTERM, once the proxy listens.
    pub hangups: u64,
    /// When SIGTERM comes.
    pub terminate: Terminate,
}

impl StartPlan {
    /// Draws a start. Which call is held up goes through all of them in turn; the rest is drawn.
    pub fn draw(seed: u64, number: u64) -> Self {
        let mut random =
            Xoshiro256PlusPlus::seed_from_u64(aniseyoke_lab_day::clock::mix(seed, 0x57a7, number));
        let phase = if number.is_multiple_of(2) { Phase::Start } else { Phase::End };
        let (thread, call, nth) = held_call(number / 2);
        let hold_ms = HOLDS_MS[random.random_range(0..HOLDS_MS.len())];
        let hold = Hold { thread, call, nth, phase, hold_ms, after: random.random() };
        let reader = match random.random_range(0..10) {
            0..5 => Reader::Reads,
            5..7 => Reader::Stalled(random.random_range(0..=STALLED_WITHIN_MS)),
            7 => Reader::NeverReads,
            8 => Reader::Gone,
            _ => Reader::Closed,
        };
        let terminate = match random.random_range(0..10) {
            _ if random.random_range(0..IDLE_ONE_IN) == 0 => Terminate::AfterReady(IDLE_MS),
            0..3 => Terminate::AfterSpawn(random.random_range(0..EARLY_WITHIN_US)),
            3..7 => Terminate::AfterReady(0),
            _ => Terminate::AfterReady(random.random_range(0..LATER_WITHIN_MS)),
        };
        let longest_deadline_ms = DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())];
        let hangups = if random.random() { random.random_range(1..=MAX_HANGUPS) } else { 0 };
        StartPlan { seed, number, hold, reader, longest_deadline_ms, hangups, terminate }
    }

    /// How long the harness itself holds the process up, at most.
    pub fn injected_delay(&self) -> Duration {
        Duration::from_millis(self.hold.hold_ms)
    }
}

/// The call whose turn it is, and which one of its kind.
fn held_call(turn: u64) -> (DelayedThread, Call, u64) {
    let count: u64 = DELAYED_CALLS.iter().map(|(_, _, most)| most).sum();
    let mut left = turn % count;
    for (thread, call, most) in DELAYED_CALLS {
        if left < most {
            return (thread, call, left + 1);
        }
        left -= most;
    }
    unreachable!("a turn is below the count of all")
}

impl Hold {
    /// The plan of the preload library for a phase, for a program of this name. Its first rule delays nothing, and tells that the plan is in force.
    pub fn plan(&self, phase: Phase, program: &str) -> Plan {
        let in_force =
            Rule::new(IN_FORCE_RULE, &[Call::ClockGettime, Call::EpollWait], Effect::DelayBefore(0));
        let mut rules = vec![in_force.often(Often::First(1))];
        if phase == self.phase {
            rules.push(self.rule(program));
        }
        Plan::new(0, &rules)
    }

    fn rule(&self, program: &str) -> Rule {
        let micros = self.hold_ms * 1000;
        let effect = if self.after { Effect::DelayAfter(micros) } else { Effect::DelayBefore(micros) };
        let thread = match self.thread {
            // The first thread of a process has the program's name, as far as it goes.
            DelayedThread::Serving => program.chars().take(MAX_THREAD_NAME).collect(),
            DelayedThread::Log => "log".to_owned(),
        };
        let about = About::Thread(thread);
        Rule::new(RULE, &[self.call], effect).about(about).often(Often::Only(self.nth))
    }
}
