//! What a seed decides of a run.

use aniseyoke_lab_day::{Class, Day, DayError, Fault, FaultKind, Idempotency};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::Duration;

/// The built-in day whose machines and tenants every run has.
const BASE_DAY: &str = "silence";
/// The platform counts a deadline that is longer as this.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The platform kills a process this long after SIGTERM and the longest deadline, at the earliest.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The load runs for this long before the first process is told to stop, at least.
const WARM_UP: Duration = Duration::from_millis(1500);
/// The load goes on for this long behind the last kill.
const COOL_DOWN: Duration = Duration::from_millis(500);
/// Signals come within this time of the first SIGTERM.
const SIGNALS_WITHIN: Duration = Duration::from_millis(900);
/// The first signal after SIGTERM comes this long behind it at the earliest.
const FIRST_REPEAT: Duration = Duration::from_millis(10);
/// Nodes begin to hang within this time of the beginning of a restart, which takes some of it before SIGTERM.
const HANGS_WITHIN: Duration = Duration::from_millis(600);
/// SIGHUP may come so long before SIGTERM.
const HANGUP_BEFORE: Duration = Duration::from_millis(300);

/// A signal that a process gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum SignalKind {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    HangUp,
}

/// A signal and its time from the first SIGTERM, in milliseconds; SIGHUP may come before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TimedSignal {
    /// Which.
    pub kind: SignalKind,
    /// When.
    pub at_ms: i64,
}

/// How a process is followed by its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Succession {
    /// Both inherit the listening socket; the old process is told to stop once the new one admits clients.
    Handover,
    /// The new process starts at an address of its own once the old one has ended.
    AfterEnd,
}

/// One process that is told to stop.
#[derive(Clone, Debug, Serialize)]
pub struct RestartPlan {
    /// When the load has run for this long, in milliseconds.
    pub at_ms: u64,
    /// The signals, in order of time; among them the first SIGTERM, at 0.
    pub signals: Vec<TimedSignal>,
}

/// What a seed decides of a run.
#[derive(Clone, Debug, Serialize)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// How processes follow each other.
    pub succession: Succession,
    /// A restart for each proxy.
    pub restarts: Vec<RestartPlan>,
    /// Requests a second over all proxies.
    pub rate: f64,
    /// The longest deadline of a class, in milliseconds.
    pub longest_deadline_ms: u64,
    /// The fraction of the nodes that hang, through the whole stop.
    pub hanging: f64,
    /// From when on, in milliseconds of the load: a little before or behind the first stop.
    pub hangs_at_ms: u64,
    /// Whether nodes drain and are replaced around the stop.
    pub draining: bool,
    /// Connections of clients that send nothing; past the descriptors, if any.
    pub crowd: usize,
}

impl SoakPlan {
    /// The plan of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let succession = if random.random_bool(0.7) { Succession::Handover } else { Succession::AfterEnd };
        // Where a process has no successor meanwhile, another proxy must be there.
        let least = if succession == Succession::Handover { 1 } else { 2 };
        let proxies = random.random_range(least..=3);
        let restarts: Vec<RestartPlan> = (0..proxies).map(|_| RestartPlan::draw(&mut random)).collect();
        let first_stop = restarts.iter().map(|restart| restart.at_ms).min().unwrap_or(0);
        let short_deadlines = random.random_bool(0.3);
        let longest_deadline_ms =
            if short_deadlines { random.random_range(400..=900) } else { random.random_range(1200..=4000) };
        SoakPlan {
            seed,
            succession,
            restarts,
            rate: random.random_range(80.0..=300.0),
            longest_deadline_ms,
            hanging: draw_hanging(&mut random),
            hangs_at_ms: first_stop + random.random_range(0..=HANGS_WITHIN.as_millis() as u64),
            draining: random.random_bool(0.3),
            crowd: if random.random_bool(0.3) { random.random_range(300..=600) } else { 0 },
        }
    }

    /// How long after the first SIGTERM a process is killed.
    pub fn kill_after(&self) -> Duration {
        Duration::from_millis(self.longest_deadline_ms).min(MAX_DEADLINE) + KILL_MARGIN
    }

    /// The day of the run.
    ///
    /// # Errors
    /// If the built-in day is not sound at this size.
    pub fn day(&self) -> Result<Day, DayError> {
        const NODES: usize = 8;
        let mut day = Day::open(BASE_DAY)?.resized(self.restarts.len(), NODES)?;
        day.seed = self.seed;
        day.site.proxy.sockets = 256;
        day.load.rate = self.rate;
        day.load.misbehaving.idle_connections = self.crowd;
        let deadlines = [0.5, 1.0, 0.8];
        for (class, part) in day.load.classes.iter_mut().zip(deadlines) {
            self.set_times(class, part);
        }
        let last = self.restarts.iter().map(|restart| restart.at_ms).max().unwrap_or(0);
        day.length = Duration::from_millis(last) + self.kill_after() + COOL_DOWN;
        day.faults = self.faults(&day);
        Ok(day)
    }

    fn set_times(&self, class: &mut Class, part: f64) {
        class.deadline = Duration::from_millis(self.longest_deadline_ms).mul_f64(part);
        class.latency_objective = class.deadline / 2;
        class.share = match class.idempotency {
            Idempotency::Idempotent => 0.6,
            Idempotency::WithKey | Idempotency::NotIdempotent => 0.2,
        };
    }

    fn faults(&self, day: &Day) -> Vec<Fault> {
        let fault = |kind, at, fraction| Fault {
            kind,
            at,
            length: day.length - at,
            fraction: Some(fraction),
            nodes: None,
            size: None,
        };
        let hanging = (self.hanging > 0.0)
            .then(|| fault(FaultKind::Silence, Duration::from_millis(self.hangs_at_ms), self.hanging));
        let draining = self.draining.then(|| fault(FaultKind::Deploy, WARM_UP / 2, 0.25));
        hanging.into_iter().chain(draining).collect()
    }
}

/// The fraction of the nodes that hang: none, some, or all of them, so that what is out lasts as long as it may.
fn draw_hanging(random: &mut Xoshiro256PlusPlus) -> f64 {
    match random.random_range(0..10) {
        0..3 => 0.0,
        3..7 => random.random_range(0.1..=0.5),
        _ => 1.0,
    }
}

impl RestartPlan {
    fn draw(random: &mut Xoshiro256PlusPlus) -> Self {
        let within = SIGNALS_WITHIN.as_millis() as i64;
        let mut signals = vec![TimedSignal { kind: SignalKind::Terminate, at_ms: 0 }];
        for _ in 0..random.random_range(1..=3) {
            let at_ms = random.random_range(FIRST_REPEAT.as_millis() as i64..=within);
            signals.push(TimedSignal { kind: SignalKind::Terminate, at_ms });
        }
        for _ in 0..random.random_range(0..=3) {
            let at_ms = random.random_range(-(HANGUP_BEFORE.as_millis() as i64)..=within);
            signals.push(TimedSignal { kind: SignalKind::HangUp, at_ms });
        }
        signals.sort_by_key(|signal| signal.at_ms);
        let spread = random.random_range(0..=1000);
        RestartPlan { at_ms: WARM_UP.as_millis() as u64 + spread, signals }
    }
}
