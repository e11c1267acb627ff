//! The rules for a start, and the report of its result.

use crate::plan::{Reader, StartPlan, Terminate};
use crate::threads::{ThreadSample, ThreadUsage};
use serde::Serialize;
use std::fmt;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;

/// A process must listen within this time after its start.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer deadlines are capped at this value.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The platform kills a process this long after SIGTERM and the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Part of the log line that contains the address on which clients are accepted.
pub const LISTENING_LINE: &str = "listening on ";
/// Part of the log line that shows that the process has begun a graceful shutdown.
const DRAINING_LINE: &str = "draining";

/// A rule that was violated.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Fault {
    /// The process did not listen in time.
    NotReady(Duration),
    /// The process exited before SIGTERM.
    EndedBefore(String),
    /// The process did not exit in time after SIGTERM.
    EndsLate {
        /// The time from SIGTERM to the exit, or until the process was killed.
        took: Duration,
        /// The time allowed.
        allowed: Duration,
        /// Whether the process had to be killed.
        killed: bool,
    },
    /// The exit status is not the expected one.
    WrongStatus(String),
    /// A thread uses a processor without making progress.
    Spins(ThreadUsage),
    /// A required line is missing from the log.
    LineMissing(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::NotReady(after) => write!(f, "not ready after {after:.1?}"),
            Fault::EndedBefore(status) => write!(f, "exited before SIGTERM: {status}"),
            Fault::EndsLate { took, allowed, killed: false } => {
                write!(f, "exited {took:.3?} after SIGTERM, {allowed:.3?} allowed")
            }
            Fault::EndsLate { took, allowed, killed: true } => {
                write!(f, "killed {took:.3?} after SIGTERM without having exited, {allowed:.3?} allowed")
            }
            Fault::WrongStatus(status) => write!(f, "exited with the wrong status: {status}"),
            Fault::Spins(ThreadUsage { thread, elapsed, ran, waited }) => write!(
                f,
                "thread {thread} spins: ran {ran:.2?} of {elapsed:.2?}, waited for a processor {waited:.2?}"
            ),
            Fault::LineMissing(line) => write!(f, "line {line:?} is missing from the log"),
        }
    }
}

/// How a process ended or was killed.
#[derive(Debug)]
pub struct End {
    /// The time from SIGTERM to the exit.
    pub took: Duration,
    /// The exit status.
    pub status: ExitStatus,
    /// Whether the harness killed the process.
    pub killed: bool,
}

/// The report of a start.
#[derive(Clone, Debug, Serialize)]
pub struct StartReport {
    /// The plan of the start.
    pub plan: StartPlan,
    /// The time from the start until the process was first seen to listen; `None` if SIGTERM was sent before.
    pub ready_after: Option<Duration>,
    /// The time from SIGTERM to the exit.
    pub ended_after: Option<Duration>,
    /// The number of calls that were delayed.
    pub held_calls: usize,
    /// The windows in which a thread starved because the machine had no free processor.
    pub starved: Vec<ThreadUsage>,
    /// The violated rules.
    pub faults: Vec<Fault>,
    /// A sample of the threads, taken when a time limit was exceeded and before the process was killed.
    pub threads: Vec<ThreadSample>,
    /// The lines of the log that were read.
    pub lines: Vec<String>,
}

impl StartReport {
    /// Creates an empty report for a plan.
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

    /// Checks how the process ended. Delays injected by the harness are added to the allowed time.
    pub fn judge_end(&mut self, end: &End) {
        self.ended_after = Some(end.took);
        let allowed = allowed_end(&self.plan);
        if end.killed || end.took > allowed {
            self.faults.push(Fault::EndsLate { took: end.took, allowed, killed: end.killed });
        }
        // Before the proxy installs its SIGTERM handler, the default action ends the process. The handler is
        // installed before the proxy listens.
        let default_action = end.status.signal() == Some(nix::libc::SIGTERM) && self.ready_after.is_none();
        if !end.killed && !end.status.success() && !default_action {
            self.faults.push(Fault::WrongStatus(end.status.to_string()));
        }
    }

    /// Checks the log of a process that exited with status 0.
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

/// The time after SIGTERM within which the process must exit.
pub fn allowed_end(plan: &StartPlan) -> Duration {
    let longest = Duration::from_millis(plan.longest_deadline_ms).min(MAX_DEADLINE);
    let to_start = match plan.terminate {
        // The remaining part of the start must complete within the time allowed for a start.
        Terminate::AfterSpawn(_) => READY_TIMEOUT,
        Terminate::AfterReady(_) => Duration::ZERO,
    };
    longest + KILL_MARGIN + plan.injected_delay() + to_start
}
