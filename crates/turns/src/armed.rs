//! Configures a command so that its process loads the preload library.

use aniseyoke_faults::{built_library, PreloadError};
use std::process::Command;

/// The file name of the preload library that cargo builds.
const LIBRARY: &str = "libaniseyoke_turns_preload.so";
/// The environment variable that holds the scheduler seed of the process under test.
pub const SEED_VARIABLE: &str = "ANISEYOKE_TURNS_SEED";
/// The environment variable that lists the signals that the process under test sends to itself.
pub const SIGNALS_VARIABLE: &str = "ANISEYOKE_TURNS_SIGNALS";
/// The environment variable that, if set, makes a fault report include the backtrace of the faulty thread.
pub const BACKTRACE_VARIABLE: &str = "ANISEYOKE_TURNS_BACKTRACE";

/// The thread schedule and the signals that are imposed on a process under test.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ThreadSchedule {
    /// The seed from which the scheduler picks the next thread.
    pub seed: u64,
    /// Pairs of a call number and a signal number. The process sends itself the signal at that call, or at
    /// the first later call at which it has a handler for it. Calls at which the turn may change are counted
    /// over all threads.
    pub signals: Vec<(u64, i32)>,
}

impl ThreadSchedule {
    /// Returns the signals in the format of [`SIGNALS_VARIABLE`]: comma-separated `CALL:NUMBER` pairs.
    fn signals_text(&self) -> String {
        let pairs: Vec<String> =
            self.signals.iter().map(|(call, number)| format!("{call}:{number}")).collect();
        pairs.join(",")
    }

    /// Parses the values of the two variables. An invalid seed counts as 0; invalid signals are skipped.
    pub fn from_text(seed: &str, signals: &str) -> Self {
        let pairs = signals.split(',').filter_map(|pair| pair.split_once(':'));
        let read = |(call, number): (&str, &str)| Some((call.parse().ok()?, number.parse().ok()?));
        ThreadSchedule { seed: seed.parse().unwrap_or(0), signals: pairs.filter_map(read).collect() }
    }
}

/// Makes a command's process run with a thread schedule. Adds to the command's environment, so a caller that
/// clears the environment must do so before.
///
/// # Errors
/// If the library is missing beside the running test executable.
pub fn configure_preload(command: &mut Command, schedule: &ThreadSchedule) -> Result<(), PreloadError> {
    command.env("LD_PRELOAD", built_library(LIBRARY)?);
    command.env(SEED_VARIABLE, schedule.seed.to_string()).env(SIGNALS_VARIABLE, schedule.signals_text());
    Ok(())
}
