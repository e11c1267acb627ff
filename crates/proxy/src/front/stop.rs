//! The end of a process that was told to stop.

use super::Server;
use crate::drain;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep_until, timeout_at, Instant};

/// New connections come for some time after SIGTERM; accepting goes on for at least the first span, until none
/// has come for the second, and ends after the third.
const ACCEPT_FOR: Duration = drain::GRACE_PERIOD;
const QUIET_FOR: Duration = Duration::from_millis(100);
const ACCEPT_MOST: Duration = Duration::from_millis(600);
/// A proxy may be killed so long after the longest deadline after SIGTERM; it ends a little sooner.
const END_BEFORE: Duration = Duration::from_millis(600);
/// A deadline that is longer counts as this then.
const DEADLINE_MOST: Duration = Duration::from_secs(3);

impl Server {
    /// Answers what comes and asks clients away while idle connections end, and waits for the rest.
    /// Of a socket that was handed over nothing more is taken: what waits there is for the successor.
    pub(super) async fn stop(self: &Rc<Self>, listener: TcpListener, handed: bool) {
        tracing::info!("draining");
        self.drain.begin_shutdown();
        let start = Instant::now();
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let longest = Duration::from_nanos(longest);
        // Danger: a request that comes now on a connection that is still open may have a deadline beyond this process's
        // own end; one that came before may keep it, since what is unanswered at the end is not held against it.
        self.killed_at.set(Some(start + longest.min(DEADLINE_MOST) + END_BEFORE));
        let mut until = start + ACCEPT_FOR;
        self.admit().await;
        if !handed {
            while let Ok(accepted) = timeout_at(until.min(start + ACCEPT_MOST), listener.accept()).await {
                self.accepted(accepted).await;
                until = until.max(Instant::now() + QUIET_FOR);
            }
        }
        drop(listener);
        let end = start + longest + END_BEFORE;
        while !self.clients.borrow().is_empty() {
            tokio::select! {
                () = self.left.notified() => {}
                () = sleep_until(end) => {
                    tracing::warn!("ended with clients still connected");
                    return;
                }
            }
        }
    }
}
