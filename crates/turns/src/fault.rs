//! Faults in the behaviour of a process's threads.

use crate::scheduler::{Call, MAX_TURNS, MAX_YIELDS};

/// The reason why the process is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A thread yields repeatedly while another could run: it busy-waits for that thread instead of blocking.
    #[error("spins: {MAX_YIELDS} yields in a row while another thread could run, in {0:?}")]
    Spins(Call),
    /// A thread keeps making calls without ever waiting, while another could run.
    #[error("never waits: {MAX_TURNS} calls while another thread could run, in {0:?}")]
    NeverWaits(Call),
    /// All threads wait for each other without a time limit: a deadlock or a lost wake-up.
    #[error("all threads wait for each other without a time limit, since {0:?}")]
    Deadlock(Call),
    /// A thread makes a call while another thread holds the turn.
    #[error("makes a call without holding the turn, in {0:?}")]
    WithoutTurn(Call),
}
