//! Signal handling: SIGTERM and SIGINT shut the process down, SIGHUP reloads its configuration files.

use nix::sys::signal::{SigSet, SigmaskHow, Signal as SignalNumber};
use std::future::Future;
use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A signal handler could not be installed.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {source}")]
pub struct SignalError {
    name: &'static str,
    source: io::Error,
}

/// Installs a handler for SIGHUP and returns its stream of signals. Without a handler SIGHUP ends the
/// process.
///
/// # Errors
/// If the handler can't be installed.
pub fn hangup() -> Result<Signal, SignalError> {
    handle("SIGHUP", SignalKind::hangup())
}

/// Installs handlers for SIGTERM and SIGINT; the returned future completes with the first of these signals.
///
/// # Errors
/// If a handler can't be installed.
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

/// Runs `start` with SIGTERM, SIGINT and SIGHUP blocked in the calling thread. Threads that `start` creates
/// inherit the mask, so that these signals are delivered to the serving thread only.
///
/// The kernel delivers a signal to any thread that does not block it, and the handler notifies the serving
/// thread through a pipe. If the handler ran on another thread, the serving thread could accept a connection
/// before that notification arrives, although a connection that is still queued at the signal belongs to the
/// successor. A handler on the serving thread itself runs before the thread next waits for events, so that
/// the pipe's event is returned together with the listener's.
pub fn with_signals_blocked<T>(start: impl FnOnce() -> T) -> T {
    let signals: SigSet =
        [SignalNumber::SIGTERM, SignalNumber::SIGINT, SignalNumber::SIGHUP].into_iter().collect();
    // This fails only for an invalid first argument, and the mask is unchanged then.
    let previous_mask = signals.thread_swap_mask(SigmaskHow::SIG_BLOCK);
    let started = start();
    if let Ok(previous_mask) = previous_mask {
        let _ = previous_mask.thread_set_mask();
    }
    started
}
