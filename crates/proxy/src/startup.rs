//! The phases of the start, each logged at debug level with the time since the start began: where a process gets stuck
//! before it serves, the last of these lines says how far it came.
//!
//! The level is debug, since by default a start that fails prints what is wrong and nothing else. To see these lines
//! alone: `targets = { startup = "debug" }` in the section `[log]` of the operator's file.

use std::fmt;
use std::time::{Duration, Instant};

/// A part of the start, in the order in which they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPhase {
    /// The runtime exists, and SIGHUP is handled.
    SignalHandling,
    /// The operator's file and the environment have been read.
    OperatorFile,
    /// The log's thread has been started.
    Log,
    /// The platform's variables and file have been read.
    PlatformConfiguration,
    /// The last good version from a control service has been looked for on the disk.
    StoredVersion,
    /// The engine's configuration has been made of all layers.
    Plan,
    /// The clients' listener is open; nobody is accepted yet.
    Listening,
    /// The engine exists, and follows the control services.
    Engine,
}

impl fmt::Display for StartPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartPhase::SignalHandling => "signal handling",
            StartPhase::OperatorFile => "operator's file",
            StartPhase::Log => "log",
            StartPhase::PlatformConfiguration => "platform configuration",
            StartPhase::StoredVersion => "stored version",
            StartPhase::Plan => "plan",
            StartPhase::Listening => "listening",
            StartPhase::Engine => "engine",
        })
    }
}

/// Logs the phases of one start as they are completed.
pub struct StartTimer {
    began: Instant,
    /// Completed before the log was started.
    not_logged: Vec<(StartPhase, Duration)>,
    log_runs: bool,
}

impl StartTimer {
    /// The start begins now.
    pub fn new() -> Self {
        StartTimer { began: Instant::now(), not_logged: Vec::new(), log_runs: false }
    }

    /// A phase is completed now.
    pub fn complete(&mut self, phase: StartPhase) {
        let elapsed = self.began.elapsed();
        if self.log_runs {
            log_phase(phase, elapsed);
        } else {
            self.not_logged.push((phase, elapsed));
        }
    }

    /// Logs that the start has begun, and what has been completed; for the moment in which the log starts.
    pub fn log_beginning(&mut self) {
        self.log_runs = true;
        let (version, process) = (env!("CARGO_PKG_VERSION"), std::process::id());
        tracing::debug!(process, version, "start: begun");
        for (phase, elapsed) in std::mem::take(&mut self.not_logged) {
            log_phase(phase, elapsed);
        }
    }
}

fn log_phase(phase: StartPhase, elapsed: Duration) {
    let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    tracing::debug!(elapsed_us, "start: {phase} completed");
}
