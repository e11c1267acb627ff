//! Graceful shutdown after SIGTERM or SIGINT.

use super::Server;
use crate::drain;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout_at, Instant};

/// New connections still arrive for some time after SIGTERM. They are accepted for at least this time,
const MIN_ACCEPT_TIME: Duration = drain::GRACE_PERIOD;
/// then until none has arrived for this time,
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(100);
/// but no longer than this after SIGTERM.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// The platform may kill a proxy once the longest deadline and 0.7 s have passed since SIGTERM. The remaining
/// clients are disconnected this long after that deadline, but for those that receive an answer.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Answers that are still being forwarded then go on for at most this time, so that the process ends by itself.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(15);
/// Interval of the checks whether answers are still being forwarded.
const ANSWERS_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time to write the last log lines after the remaining clients were disconnected; a little less than until
/// the kill.
const LOG_MARGIN: Duration = Duration::from_millis(50);
/// A request that arrives after SIGTERM is answered at most this long after the longest deadline, so that a
/// process that stalls for 0.15 s before the write still answers before it may be killed.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// The platform counts a longer deadline as this when it computes the kill time.
const MAX_DEADLINE: Duration = Duration::from_secs(3);

impl Server {
    /// Answers further requests with `Connection: close`, closes idle connections, and waits for the
    /// remaining ones. On a socket that was handed over it accepts no more connections; queued ones are left
    /// to the successor. Answers that have begun are forwarded to their ends, for [`MAX_ANSWER_TIME`] at most
    /// beyond the time for other requests. Returns the time by which the process must have exited.
    pub(super) async fn shut_down(self: &Rc<Self>, listener: TcpListener, handed_over: bool) -> Instant {
        tracing::info!("draining");
        self.drain.begin_shutdown();
        let start = Instant::now();
        let longest_deadline = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let longest_deadline = Duration::from_nanos(longest_deadline);
        // A request whose last byte arrives from now on may have a deadline after this process must have exited,
        // and is shortened. Earlier ones keep their deadlines: requests left unanswered at the exit don't count
        // as errors.
        let answer_by = start + longest_deadline.min(MAX_DEADLINE) + ANSWER_MARGIN;
        self.engine.set_answer_deadline(answer_by.into_std());
        let disconnect_at = start + longest_deadline + EXIT_MARGIN;
        let exit_by = start + max_shutdown_time(longest_deadline);
        let all_served = async {
            self.accept_remaining(listener, start, handed_over).await;
            self.clients.all_closed().await;
        };
        // A connection may wait for its admission for as long as others take all descriptors.
        if timeout_at(disconnect_at, all_served).await.is_err() {
            tracing::warn!("shutdown: time limit reached with clients still connected");
            self.finish_answers().await;
        }
        exit_by.max(Instant::now() + LOG_MARGIN)
    }

    /// Waits until no answer is being forwarded, or [`MAX_ANSWER_TIME`] has passed.
    async fn finish_answers(&self) {
        let receiving = || self.clients.open().iter().filter(|client| client.receives_answer()).count();
        if receiving() > 0 {
            tracing::info!("shutdown: {} answers are forwarded to their ends", receiving());
        }
        let end = Instant::now() + MAX_ANSWER_TIME;
        while receiving() > 0 && Instant::now() < end {
            sleep(ANSWERS_CHECK_INTERVAL).await;
        }
    }

    /// Admits the connections that still arrive after `start`, when the shutdown began, then closes the
    /// listener. On a socket that was handed over only the connection that was accepted before is admitted.
    async fn accept_remaining(self: &Rc<Self>, listener: TcpListener, start: Instant, handed_over: bool) {
        self.admit().await;
        if handed_over {
            return;
        }
        let mut accept_until = start + MIN_ACCEPT_TIME;
        while let Ok(accepted) =
            timeout_at(accept_until.min(start + MAX_ACCEPT_TIME), listener.accept()).await
        {
            self.handle_accept(accepted).await;
            accept_until = accept_until.max(Instant::now() + ACCEPT_QUIET_TIME);
        }
    }
}

/// Returns the time from SIGTERM by which a process must have exited, for this longest deadline.
fn max_shutdown_time(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_DEADLINE) + EXIT_MARGIN + LOG_MARGIN
}

#[cfg(test)]
mod tests;
