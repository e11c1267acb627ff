//! The graceful shutdown of a process that was told to stop.

use super::Server;
use crate::drain;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep_until, timeout_at, Instant};

/// New connections come for some time after SIGTERM: they are accepted for at least this time,
const MIN_ACCEPT: Duration = drain::GRACE_PERIOD;
/// until none has come for this time,
const QUIET_ACCEPT: Duration = Duration::from_millis(100);
/// and no longer than this.
const MAX_ACCEPT: Duration = Duration::from_millis(600);
/// A proxy may be killed 0.7 s after the longest deadline after SIGTERM; so long after it the last clients are given up.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// The log has so long, after the last client was given up, to write its last lines: a little less than until the kill.
const LOG_MARGIN: Duration = Duration::from_millis(50);
/// What comes after SIGTERM is answered so long after the longest deadline at the latest: a process that is held up for 0.15 s
/// before it writes is still in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// A deadline that is longer counts as this then.
const MAX_DEADLINE: Duration = Duration::from_secs(3);

impl Server {
    /// Answers what comes and has clients close their connections, closes idle ones, and waits for the rest.
    /// From a socket that was handed over nothing more is accepted: what waits there is for the successor.
    /// Returns by when the process has to have ended.
    pub(super) async fn shut_down(self: &Rc<Self>, listener: TcpListener, handed_over: bool) -> Instant {
        tracing::info!("draining");
        self.drain.begin_shutdown();
        let start = Instant::now();
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let longest = Duration::from_nanos(longest);
        // A request that comes now on a connection that is still open may have a deadline beyond this process's
        // own end; one that came before may keep it, since what is unanswered at the end is not held against it.
        self.kill_deadline.set(Some(start + longest.min(MAX_DEADLINE) + ANSWER_MARGIN));
        let mut until = start + MIN_ACCEPT;
        self.admit().await;
        if !handed_over {
            while let Ok(accepted) = timeout_at(until.min(start + MAX_ACCEPT), listener.accept()).await {
                self.handle_accept(accepted).await;
                until = until.max(Instant::now() + QUIET_ACCEPT);
            }
        }
        drop(listener);
        let end = start + longest + EXIT_MARGIN;
        let exit_by = start + time_to_exit(longest);
        while !self.clients.borrow().is_empty() {
            tokio::select! {
                () = self.client_closed.notified() => {}
                () = sleep_until(end) => {
                    tracing::warn!("ended with clients still connected");
                    break;
                }
            }
        }
        exit_by
    }
}

/// How long after SIGTERM a process has to have ended, with this longest deadline.
fn time_to_exit(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_DEADLINE) + EXIT_MARGIN + LOG_MARGIN
}

#[cfg(test)]
mod tests;
