//! The plan of a run, which its seed determines.

use aniseyoke_lab_day::{Class, Day, DayError, Fault, FaultKind, Idempotency};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::Duration;

/// The built-in day that provides the machines and tenants of every run.
const BASE_DAY_NAME: &str = "silence";
/// The platform counts a longer deadline as this one.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The platform kills a process at the earliest this long after SIGTERM plus the longest deadline.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Minimum time for which the load runs before the first restart.
const WARM_UP: Duration = Duration::from_millis(1500);
/// Time for which the load continues after the last kill.
const COOL_DOWN: Duration = Duration::from_millis(500);
/// Time after the first SIGTERM within which further signals are sent.
const SIGNALS_WITHIN: Duration = Duration::from_millis(900);
/// Minimum delay between the first SIGTERM and a repeated one.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(10);
/// Time after the beginning of the first restart within which nodes begin to hang. SIGTERM is sent some time after that
/// beginning.
const HANGS_WITHIN: Duration = Duration::from_millis(600);
/// Maximum time by which SIGHUP is sent before the first SIGTERM.
const MAX_HANGUP_LEAD: Duration = Duration::from_millis(300);

/// A signal that is sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum SignalKind {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    HangUp,
}

/// A signal and its time relative to the first SIGTERM, in milliseconds; the time of SIGHUP may be negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TimedSignal {
    /// The signal.
    pub kind: SignalKind,
    /// The time.
    pub at_ms: i64,
}

/// How the successor of a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Succession {
    /// Both processes inherit the listening socket; the old one is terminated once the new one admits clients.
    Handover,
    /// The new process starts with its own address once the old one has ended.
    AfterEnd,
}

/// The restart of one proxy.
#[derive(Clone, Debug, Serialize)]
pub struct RestartPlan {
    /// Time of the restart since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// The signals in chronological order, including the first SIGTERM at 0.
    pub signals: Vec<TimedSignal>,
}

/// The plan of a run.
#[derive(Clone, Debug, Serialize)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// How the successors of processes start.
    pub succession: Succession,
    /// The restart of each proxy.
    pub restarts: Vec<RestartPlan>,
    /// Requests per second, summed over all proxies.
    pub rate: f64,
    /// The longest deadline of any class, in milliseconds.
    pub longest_deadline_ms: u64,
    /// The fraction of the nodes that hang until the end of the run.
    pub hanging: f64,
    /// Time from which the nodes hang, in milliseconds since the start of the load: shortly before or after the first
    /// SIGTERM.
    pub hangs_at_ms: u64,
    /// Whether nodes drain and are replaced around the time of the restarts.
    pub draining: bool,
    /// Number of connections of idle clients: 0, or more than the descriptors of a proxy.
    pub crowd: usize,
}

impl SoakPlan {
    /// Generates the plan of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let succession = if random.random_bool(0.7) { Succession::Handover } else { Succession::AfterEnd };
        // Without a handover another proxy must serve until the successor has started.
        let min_proxies = if succession == Succession::Handover { 1 } else { 2 };
        let proxies = random.random_range(min_proxies..=3);
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

    /// Returns the time after the first SIGTERM at which a process is killed.
    pub fn kill_after(&self) -> Duration {
        Duration::from_millis(self.longest_deadline_ms).min(MAX_DEADLINE) + KILL_MARGIN
    }

    /// Creates the day of the run.
    ///
    /// # Errors
    /// If the built-in day is invalid at this size.
    pub fn day(&self) -> Result<Day, DayError> {
        const NODES: usize = 8;
        let mut day = Day::open(BASE_DAY_NAME)?.resized(self.restarts.len(), NODES)?;
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

/// Draws the fraction of the nodes that hang: none, some, or all. With all of them, requests in flight last as long as
/// their deadlines allow.
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
            let at_ms = random.random_range(MIN_REPEAT_DELAY.as_millis() as i64..=within);
            signals.push(TimedSignal { kind: SignalKind::Terminate, at_ms });
        }
        for _ in 0..random.random_range(0..=3) {
            let at_ms = random.random_range(-(MAX_HANGUP_LEAD.as_millis() as i64)..=within);
            signals.push(TimedSignal { kind: SignalKind::HangUp, at_ms });
        }
        signals.sort_by_key(|signal| signal.at_ms);
        let spread = random.random_range(0..=1000);
        RestartPlan { at_ms: WARM_UP.as_millis() as u64 + spread, signals }
    }
}
