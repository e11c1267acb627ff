//! Logs each phase of the startup at debug level with the time since the process began to start. If a process
//! hangs before it serves, the last of these lines shows the phase that was completed last.
//!
//! The level is debug because a failed start prints only its error by default. To enable these lines alone,
//! set `targets = { startup = "debug" }` in the section `[log]` of the operator's file.

use std::fmt;
use std::time::{Duration, Instant};

/// A phase of the startup. The variants are in chronological order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPhase {
    /// The runtime is running and the SIGHUP handler is installed.
    SignalHandling,
    /// The operator's file and environment variables have been read.
    OperatorFile,
    /// The log thread has been started.
    Log,
    /// The platform's environment variables and file have been read.
    PlatformConfiguration,
    /// The last good version from a control service has been looked up on disk.
    StoredVersion,
    /// The engine's configuration has been resolved from all layers.
    Plan,
    /// The client listener is open, but accepts no connections yet.
    Listening,
    /// The engine has been created and follows the control services.
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

/// Logs the startup phases as they are completed.
pub struct StartTimer {
    started_at: Instant,
    /// Phases that were completed before the log was started.
    unlogged_phases: Vec<(StartPhase, Duration)>,
    log_started: bool,
}

impl StartTimer {
    /// Starts the timer.
    pub fn new() -> Self {
        StartTimer { started_at: Instant::now(), unlogged_phases: Vec::new(), log_started: false }
    }

    /// Records the completion of a phase and logs it once the log runs.
    pub fn complete(&mut self, phase: StartPhase) {
        let elapsed = self.started_at.elapsed();
        if self.log_started {
            log_phase(phase, elapsed);
        } else {
            self.unlogged_phases.push((phase, elapsed));
        }
    }

    /// Logs the beginning of the startup and the phases completed so far. Called when the log has been
    /// started.
    pub fn log_beginning(&mut self) {
        self.log_started = true;
        let (version, process) = (env!("CARGO_PKG_VERSION"), std::process::id());
        tracing::debug!(process, version, "start: begun");
        for (phase, elapsed) in std::mem::take(&mut self.unlogged_phases) {
            log_phase(phase, elapsed);
        }
    }
}

fn log_phase(phase: StartPhase, elapsed: Duration) {
    let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    tracing::debug!(elapsed_us, "start: {phase} completed");
}
