//! The signals that the process acts on: SIGTERM and SIGINT stop it, SIGHUP has it read its files again.

use nix::sys::signal::{SigSet, SigmaskHow, Signal as SignalNumber};
use std::future::Future;
use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Why a signal can't be handled.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {source}")]
pub struct SignalError {
    name: &'static str,
    source: io::Error,
}

/// Receives each SIGHUP from now on; until then it ends the process.
///
/// # Errors
/// If it can't be handled.
pub fn hangup() -> Result<Signal, SignalError> {
    handle("SIGHUP", SignalKind::hangup())
}

/// Ends with the first signal from now on that tells the process to stop.
///
/// # Errors
/// If such a signal can't be handled.
pub fn stop() -> Result<impl Future<Output = ()>, SignalError> {
    let mut terminate = handle("SIGTERM", SignalKind::terminate())?;
    let mut interrupt = handle("SIGINT", SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

fn handle(name: &'static str, kind: SignalKind) -> Result<Signal, SignalError> {
    signal(kind).map_err(|source| SignalError { name, source })
}

/// Runs `start` with these signals blocked in the calling thread. The threads that it creates inherit that, so that the
/// signals are delivered to the serving thread alone.
///
/// A signal sent to the process is delivered to any thread that does not block it. The serving thread learns of it from a
/// pipe, so while another thread is still on its way to write there, the serving thread may accept a connection that has
/// waited in the queue since before the signal, and that belongs to the successor. A handler on the serving thread itself
/// runs before that thread waits for events again, and the pipe's event then comes with the listener's.
pub fn with_signals_blocked<T>(start: impl FnOnce() -> T) -> T {
    let signals: SigSet =
        [SignalNumber::SIGTERM, SignalNumber::SIGINT, SignalNumber::SIGHUP].into_iter().collect();
    // It fails only for a wrong first argument; then the mask has not changed.
    let previous_mask = signals.thread_swap_mask(SigmaskHow::SIG_BLOCK);
    let started = start();
    if let Ok(previous_mask) = previous_mask {
        let _ = previous_mask.thread_set_mask();
    }
    started
}
