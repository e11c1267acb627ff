//! Timeouts of the watch (long poll) on the endpoint list by a proxy whose calls are not paced: how long a
//! call asks the discovery service to wait for a change, when the call times out, and the latest start of the
//! next one ([`notification_deadline`](crate::notification_deadline)).

use super::notification_deadline::{MAX_CALL_INTERVAL, MAX_QUEUE_WAIT, MIN_CALL_TIMEOUT};
use super::{Nanos, SECOND};

/// The shortest wait for a change that a call requests.
const MIN_WATCH_DURATION: Nanos = SECOND;
/// The time for an answer of the discovery service beyond the requested wait.
const ANSWER_GRACE: Nanos = SECOND;
/// The time for an answer beyond the requested wait after a call timed out: calls may be queued at the
/// discovery service.
const SLOW_ANSWER_GRACE: Nanos = MAX_QUEUE_WAIT;
/// The timeout of the first call for the full list, which does not wait for a change.
const FIRST_FULL_LIST_TIMEOUT: Nanos = 1200 * SECOND / 1000;

/// The timeouts of one proxy's watch, which depend on the outcomes of its last calls.
#[derive(Clone, Debug)]
pub struct WatchTimeouts {
    watch_duration: Nanos,
    /// Whether a call timed out and none has been answered in time since.
    slow: bool,
    /// Whether the last call was not answered.
    failed: bool,
    /// When the last call started.
    last_call: Nanos,
}

impl WatchTimeouts {
    /// Creates the timeouts for a platform that limits the time between polls to `must_poll_within`; 0: there
    /// is no limit.
    pub fn new(must_poll_within: Nanos) -> Self {
        let max = MAX_CALL_INTERVAL - ANSWER_GRACE;
        let watch_duration = match must_poll_within {
            0 => max,
            limit => (limit / 2).clamp(MIN_WATCH_DURATION, max),
        };
        WatchTimeouts { watch_duration, slow: false, failed: false, last_call: 0 }
    }

    /// Records that a call starts.
    pub fn call_started(&mut self, now: Nanos) {
        self.last_call = now;
    }

    /// Returns how long a call that starts now asks the discovery service to wait for a change.
    pub fn watch_duration(&self) -> Nanos {
        // A long wait plus the longer grace could exceed the interval that the notification deadline allows.
        if self.slow {
            self.watch_duration.min(MAX_CALL_INTERVAL - SLOW_ANSWER_GRACE)
        } else {
            self.watch_duration
        }
    }

    /// Returns the timeout of a call. A call for the full list does not wait for a change. If calls timed out
    /// while they are queued at the service, each would be followed by another queued call, and none would
    /// ever be answered.
    pub fn call_timeout(&self, full_list: bool) -> Nanos {
        match (full_list, self.failed) {
            (true, false) => FIRST_FULL_LIST_TIMEOUT,
            (true, true) => MIN_CALL_TIMEOUT,
            (false, _) => (self.watch_duration() + if self.slow { SLOW_ANSWER_GRACE } else { ANSWER_GRACE })
                .max(MIN_CALL_TIMEOUT),
        }
    }

    /// Records an answer.
    pub fn answered(&mut self, now: Nanos) {
        if now.saturating_sub(self.last_call) < self.watch_duration() + ANSWER_GRACE {
            self.slow = false;
        }
        self.failed = false;
    }

    /// Records a timeout. Returns whether the next call starts at once: a first timeout may mean that only
    /// this one call was lost.
    pub fn timed_out(&mut self) -> bool {
        self.failed = true;
        !std::mem::replace(&mut self.slow, true)
    }

    /// Records that the call failed for another reason, or was rejected.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// Returns the latest start of the next call, if the last one was not answered.
    pub fn retry_deadline(&self) -> Option<Nanos> {
        self.failed.then(|| self.last_call.saturating_add(MAX_CALL_INTERVAL))
    }

    /// Resets the state that was learned from the old address of the discovery service.
    pub fn address_changed(&mut self) {
        (self.slow, self.failed) = (false, false);
    }
}

#[cfg(test)]
mod tests;
