//! What counts as a fault of a process's threads.

use crate::scheduler::{Call, MAX_TURNS, MAX_YIELDS};

/// Why the process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A thread yields again and again while another could run: it waits for that one, and doesn't say so.
    #[error("spins: {MAX_YIELDS} yields in a row while another thread could run, in {0:?}")]
    Spins(Call),
    /// A thread makes calls without an end, and never waits, while another could run.
    #[error("never waits: {MAX_TURNS} calls while another thread could run, in {0:?}")]
    NeverWaits(Call),
    /// All threads wait for each other, without a time limit: a wake-up was lost.
    #[error("all threads wait for each other without a time limit, since {0:?}")]
    AllWait(Call),
    /// A thread makes a call though the turn is another's.
    #[error("goes on without its turn, in {0:?}")]
    WithoutTurn(Call),
}
