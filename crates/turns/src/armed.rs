//! Has a process start with the preload library.

use aniseyoke_faults::{built_library, ArmError};
use std::process::Command;

/// The file that cargo makes of the preload package.
const LIBRARY: &str = "libaniseyoke_turns_preload.so";
/// The environment variable that gives the process under test its seed.
pub const SEED_VARIABLE: &str = "ANISEYOKE_TURNS_SEED";
/// The environment variable that names the signals which the process under test sends to itself.
pub const SIGNALS_VARIABLE: &str = "ANISEYOKE_TURNS_SIGNALS";
/// The environment variable that has a process with a fault print the stack of the thread at fault behind its line.
pub const BACKTRACE_VARIABLE: &str = "ANISEYOKE_TURNS_BACKTRACE";

/// The order of events that a process under test is to be forced into.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Order {
    /// Decides which thread runs next.
    pub seed: u64,
    /// The process sends itself each of these signals at the call of this number, or at the first one after it at which it
    /// handles that signal. The calls are those at which the turn may change, counted over all threads.
    pub signals: Vec<(u64, i32)>,
}

impl Order {
    /// The signals as [`SIGNALS_VARIABLE`] holds them: `CALL:NUMBER` with commas between them.
    fn signals_text(&self) -> String {
        let each: Vec<String> =
            self.signals.iter().map(|(call, number)| format!("{call}:{number}")).collect();
        each.join(",")
    }

    /// The order that the two variables hold. What can't be read is left out.
    pub fn from_text(seed: &str, signals: &str) -> Self {
        let pairs = signals.split(',').filter_map(|pair| pair.split_once(':'));
        let read = |(call, number): (&str, &str)| Some((call.parse().ok()?, number.parse().ok()?));
        Order { seed: seed.parse().unwrap_or(0), signals: pairs.filter_map(read).collect() }
    }
}

/// Has a command's process run in an order. The command's environment is added to, so clear it before.
///
/// # Errors
/// If cargo has not built the library beside the running test.
pub fn arm(command: &mut Command, order: &Order) -> Result<(), ArmError> {
    command.env("LD_PRELOAD", built_library(LIBRARY)?);
    command.env(SEED_VARIABLE, order.seed.to_string()).env(SIGNALS_VARIABLE, order.signals_text());
    Ok(())
}
