//! What a start came to.

use crate::plan::{Reader, StartPlan, Terminate};
use crate::threads::{ThreadSample, ThreadUsage};
use serde::Serialize;
use std::fmt;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;

/// A process listens within this time of its start.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A deadline that is longer counts as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The platform kills a process this long after SIGTERM and the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The line that tells where clients are accepted.
pub const LISTENING_LINE: &str = "listening on ";
/// The line that tells that the process was told to stop.
const DRAINING_LINE: &str = "draining";

/// What must not be.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Fault {
    /// It did not listen in time.
    NotReady(Duration),
    /// It ended by itself before it was told to.
    EndedBefore(String),
    /// It did not end in time after SIGTERM.
    EndsLate {
        /// The time that it took; until it was killed, if it did not end at all.
        took: Duration,
        /// The time that it had.
        allowed: Duration,
        /// Whether it had to be killed.
        killed: bool,
    },
    /// Its exit status is not the one that it should have.
    WrongStatus(String),
    /// A thread uses a processor without getting anywhere.
    Spins(ThreadUsage),
    /// A line that must be in the log is not.
    LineMissing(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::NotReady(after) => write!(f, "not ready after {after:.1?}"),
            Fault::EndedBefore(status) => write!(f, "ended before it was told to: {status}"),
            Fault::EndsLate { took, allowed, killed: false } => {
                write!(f, "ended {took:.3?} after SIGTERM, {allowed:.3?} are allowed")
            }
            Fault::EndsLate { took, allowed, killed: true } => {
                write!(f, "had not ended {took:.3?} after SIGTERM, {allowed:.3?} are allowed; killed")
            }
            Fault::WrongStatus(status) => write!(f, "ended with the wrong status: {status}"),
            Fault::Spins(ThreadUsage { thread, elapsed, ran, waited }) => write!(
                f,
                "thread {thread} spins: ran {ran:.2?} of {elapsed:.2?}, waited for a processor {waited:.2?}"
            ),
            Fault::LineMissing(line) => write!(f, "no line {line:?} in the log"),
        }
    }
}

/// What was seen of a process that ended, or was killed.
#[derive(Debug)]
pub struct End {
    /// The time from SIGTERM to the end.
    pub took: Duration,
    /// How it ended.
    pub status: ExitStatus,
    /// Whether the harness killed it.
    pub killed: bool,
}

/// A start and what came of it.
#[derive(Clone, Debug, Serialize)]
pub struct StartReport {
    /// What was drawn.
    pub plan: StartPlan,
    /// The time from the start to the first sight of its listening; none if SIGTERM came before.
    pub ready_after: Option<Duration>,
    /// The time from SIGTERM to the end.
    pub ended_after: Option<Duration>,
    /// Calls that were in fact held up.
    pub held_calls: usize,
    /// How often a thread was found to starve: the machine had no processor for it.
    pub starved: Vec<ThreadUsage>,
    /// What must not be.
    pub faults: Vec<Fault>,
    /// The threads when a time had passed, before the process was killed.
    pub threads: Vec<ThreadSample>,
    /// The log, as far as it was read.
    pub lines: Vec<String>,
}

impl StartReport {
    /// A report of which nothing is known yet.
    pub fn new(plan: StartPlan) -> Self {
        StartReport {
            plan,
            ready_after: None,
            ended_after: None,
            held_calls: 0,
            starved: Vec::new(),
            faults: Vec::new(),
            threads: Vec::new(),
            lines: Vec::new(),
        }
    }

    /// Judges how the process ended. What the harness itself held up is not held against it.
    pub fn judge_end(&mut self, end: &End) {
        self.ended_after = Some(end.took);
        let allowed = allowed_end(&self.plan);
        if end.killed || end.took > allowed {
            self.faults.push(Fault::EndsLate { took: end.took, allowed, killed: end.killed });
        }
        // Until SIGTERM is handled it ends a process as the system does, and the proxy handles it before it listens.
        let unhandled = end.status.signal() == Some(nix::libc::SIGTERM) && self.ready_after.is_none();
        if !end.killed && !end.status.success() && !unhandled {
            self.faults.push(Fault::WrongStatus(end.status.to_string()));
        }
    }

    /// Judges the log of a process that has ended by itself with status 0.
    pub fn judge_log(&mut self) {
        if !matches!(self.plan.reader, Reader::Reads | Reader::Stalled(_)) {
            return;
        }
        for line in [LISTENING_LINE, DRAINING_LINE] {
            if !self.lines.iter().any(|text| text.contains(line)) {
                self.faults.push(Fault::LineMissing(line));
            }
        }
    }
}

/// How long after SIGTERM the process has ended.
pub fn allowed_end(plan: &StartPlan) -> Duration {
    let longest = Duration::from_millis(plan.longest_deadline_ms).min(MAX_DEADLINE);
    let to_start = match plan.terminate {
        // What is left of the start is due within the time of a start.
        Terminate::AfterSpawn(_) => READY_TIMEOUT,
        Terminate::AfterReady(_) => Duration::ZERO,
    };
    longest + KILL_MARGIN + plan.injected_delay() + to_start
}
