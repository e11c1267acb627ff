//! Derives the plan of a start from a seed and a number.

use aniseyoke_faults::{Call, CallTarget, Effect, Frequency, Plan, Rule};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::Duration;

/// The name of the rule that delays a call.
pub(crate) const DELAY_RULE: &str = "hold";
/// The name of the rule that shows that a fault plan is active.
pub(crate) const ACTIVE_RULE: &str = "in-force";
/// Maximum length of a thread's name in Linux, in characters.
const MAX_THREAD_NAME: usize = 15;
/// Possible delays of a call, in milliseconds.
const DELAYS_MS: [u64; 6] = [1, 5, 20, 60, 200, 500];
/// Possible deadlines of all classes, in milliseconds.
const DEADLINES_MS: [u64; 3] = [200, 1000, 4000];
/// Upper bound of the time from spawning the process to SIGTERM, if SIGTERM does not wait until the proxy
/// listens.
const MAX_TERM_AFTER_SPAWN_US: u64 = 60_000;
/// Upper bound of the time from the proxy's readiness to SIGTERM.
const MAX_TERM_AFTER_READY_MS: u64 = 300;
/// Time for which an idle proxy is observed before SIGTERM.
const IDLE_MS: u64 = 1300;
/// One start in this many is observed while idle.
const IDLE_ONE_IN: u64 = 25;
/// Maximum time from SIGTERM until a stalled log is read.
const MAX_STALL_MS: u64 = 300;
/// Maximum number of SIGHUPs.
const MAX_HANGUPS: u64 = 6;

/// The thread whose call is delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DelayedThread {
    /// The thread that serves requests.
    Serving,
    /// The thread that writes the log.
    Log,
}

/// The calls that are delayed in turn, with the number of calls of each kind, counted from the first: about
/// as many as a proxy makes until it listens, or after SIGTERM.
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

/// The phase in which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Phase {
    /// From the start of the process.
    Start,
    /// From just before the signals, if these wait until the proxy listens.
    End,
}

/// The delay of one call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Hold {
    /// The thread that makes the call.
    pub thread: DelayedThread,
    /// The kind of call.
    pub call: Call,
    /// The number of the call among those of its kind, counted from 1.
    pub nth: u64,
    /// The phase in which the calls are counted.
    pub phase: Phase,
    /// The delay in milliseconds.
    pub hold_ms: u64,
    /// Whether the delay is after the call instead of before it.
    pub after: bool,
}

/// How the process's log is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Reader {
    /// The log is read continuously.
    Reads,
    /// The pipe is full, and is read only from this time after SIGTERM on, in milliseconds.
    Stalled(u64),
    /// The pipe is full and is never read.
    NeverReads,
    /// The read end of the pipe is closed.
    Gone,
    /// Standard error is closed.
    Closed,
}

/// When SIGTERM is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Terminate {
    /// This many microseconds after the process was spawned.
    AfterSpawn(u64),
    /// This many milliseconds after the proxy listens.
    AfterReady(u64),
}

/// The plan of one start.
#[derive(Clone, Debug, Serialize)]
pub struct StartPlan {
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// The number of the start among those of the seed.
    pub number: u64,
    /// The call that is delayed.
    pub hold: Hold,
    /// How the process's log is read.
    pub reader: Reader,
    /// The deadline of all classes, in milliseconds.
    pub longest_deadline_ms: u64,
    /// The number of SIGHUPs sent in sequence just before SIGTERM, if the proxy listens by then.
    pub hangups: u64,
    /// When SIGTERM is sent.
    pub terminate: Terminate,
}

impl StartPlan {
    /// Draws the plan of a start. The delayed call cycles through [`DELAYED_CALLS`] by number; the rest is
    /// random.
    pub fn draw(seed: u64, number: u64) -> Self {
        let mut random =
            Xoshiro256PlusPlus::seed_from_u64(aniseyoke_lab_day::clock::mix(seed, 0x57a7, number));
        let phase = if number.is_multiple_of(2) { Phase::Start } else { Phase::End };
        let (thread, call, nth) = delayed_call(number / 2);
        let hold_ms = DELAYS_MS[random.random_range(0..DELAYS_MS.len())];
        let hold = Hold { thread, call, nth, phase, hold_ms, after: random.random() };
        let reader = match random.random_range(0..10) {
            0..5 => Reader::Reads,
            5..7 => Reader::Stalled(random.random_range(0..=MAX_STALL_MS)),
            7 => Reader::NeverReads,
            8 => Reader::Gone,
            _ => Reader::Closed,
        };
        let terminate = match random.random_range(0..10) {
            _ if random.random_range(0..IDLE_ONE_IN) == 0 => Terminate::AfterReady(IDLE_MS),
            0..3 => Terminate::AfterSpawn(random.random_range(0..MAX_TERM_AFTER_SPAWN_US)),
            3..7 => Terminate::AfterReady(0),
            _ => Terminate::AfterReady(random.random_range(0..MAX_TERM_AFTER_READY_MS)),
        };
        let longest_deadline_ms = DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())];
        let hangups = if random.random() { random.random_range(1..=MAX_HANGUPS) } else { 0 };
        StartPlan { seed, number, hold, reader, longest_deadline_ms, hangups, terminate }
    }

    /// The longest delay that the harness itself adds to the process.
    pub fn injected_delay(&self) -> Duration {
        Duration::from_millis(self.hold.hold_ms)
    }
}

/// The call that is delayed in this turn, and its number among those of its kind.
fn delayed_call(turn: u64) -> (DelayedThread, Call, u64) {
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
    /// The fault plan of the preload library for a phase and a program of this name. Its first rule adds no
    /// delay; its record shows that the plan is active.
    pub fn plan(&self, phase: Phase, program: &str) -> Plan {
        let in_force = Rule::new(ACTIVE_RULE, &[Call::ClockGettime, Call::EpollWait], Effect::DelayBefore(0));
        let mut rules = vec![in_force.often(Frequency::First(1))];
        if phase == self.phase {
            rules.push(self.rule(program));
        }
        Plan::new(0, &rules)
    }

    fn rule(&self, program: &str) -> Rule {
        let micros = self.hold_ms * 1000;
        let effect = if self.after { Effect::DelayAfter(micros) } else { Effect::DelayBefore(micros) };
        let thread = match self.thread {
            // The first thread of a process is named after the program, truncated to the maximum length.
            DelayedThread::Serving => program.chars().take(MAX_THREAD_NAME).collect(),
            DelayedThread::Log => "log".to_owned(),
        };
        let about = CallTarget::Thread(thread);
        Rule::new(DELAY_RULE, &[self.call], effect).about(about).often(Frequency::Only(self.nth))
    }
}
