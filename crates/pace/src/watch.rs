//! Timeouts of the watch (long poll) on the endpoint list of a proxy whose calls are not paced: how long a call asks the
//! discovery service to wait for a change, when the call is given up, and by when the next one starts whatever became of
//! it ([`notification_deadline`](crate::notification_deadline)).

use super::notification_deadline::{MAX_CALL_INTERVAL, MAX_QUEUE_WAIT, MIN_CALL_TIMEOUT};
use super::{Nanos, SECOND};

/// The shortest wait for a change that a call asks for.
const MIN_WATCH_DURATION: Nanos = SECOND;
/// How long discovery may take beyond the wait that it was asked for.
const GRACE: Nanos = SECOND;
/// The same after a call timed out: calls may be queued at discovery.
const SLOW_GRACE: Nanos = MAX_QUEUE_WAIT;
/// How long the first call for the full list may take, which waits for no change.
const FIRST_FULL_LIST_TIMEOUT: Nanos = 1200 * SECOND / 1000;

/// The timeouts of one proxy's watch, which follow from how its last calls ended.
#[derive(Clone, Debug)]
pub struct WatchTimeouts {
    watch_duration: Nanos,
    /// A call timed out, and none has been answered in time since.
    slow: bool,
    /// The last call was not answered.
    failed: bool,
    /// When the last call started.
    last_call: Nanos,
}

impl WatchTimeouts {
    /// For a platform that wants the list to be polled within `must_poll_within`; 0: it sets no limit.
    pub fn new(must_poll_within: Nanos) -> Self {
        let max = MAX_CALL_INTERVAL - GRACE;
        let watch_duration = match must_poll_within {
            0 => max,
            limit => (limit / 2).clamp(MIN_WATCH_DURATION, max),
        };
        WatchTimeouts { watch_duration, slow: false, failed: false, last_call: 0 }
    }

    /// A call starts.
    pub fn call_started(&mut self, now: Nanos) {
        self.last_call = now;
    }

    /// For how long a call that starts now asks discovery to wait for a change.
    pub fn watch_duration(&self) -> Nanos {
        // Danger: a long wait and more grace on top of it may be a longer silence than the deadline leaves.
        if self.slow {
            self.watch_duration.min(MAX_CALL_INTERVAL - SLOW_GRACE)
        } else {
            self.watch_duration
        }
    }

    /// After what time a call is given up. A call for the full list waits for no change. Danger: a call that is given up
    /// while it is queued is followed by another that is queued, and no answer ever comes.
    pub fn call_timeout(&self, full_list: bool) -> Nanos {
        match (full_list, self.failed) {
            (true, false) => FIRST_FULL_LIST_TIMEOUT,
            (true, true) => MIN_CALL_TIMEOUT,
            (false, _) => {
                (self.watch_duration() + if self.slow { SLOW_GRACE } else { GRACE }).max(MIN_CALL_TIMEOUT)
            }
        }
    }

    /// An answer has come.
    pub fn answered(&mut self, now: Nanos) {
        if now.saturating_sub(self.last_call) < self.watch_duration() + GRACE {
            self.slow = false;
        }
        self.failed = false;
    }

    /// The call timed out. Returns whether the next one starts at once: a first timeout says no more than that this one call
    /// was lost.
    pub fn timed_out(&mut self) -> bool {
        self.failed = true;
        !std::mem::replace(&mut self.slow, true)
    }

    /// The call failed otherwise, or was rejected.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// When the next call starts at the latest, if the last one was not answered.
    pub fn retry_deadline(&self) -> Option<Nanos> {
        self.failed.then(|| self.last_call.saturating_add(MAX_CALL_INTERVAL))
    }

    /// Discovery is at another address: what was learned of the old one no longer holds.
    pub fn address_changed(&mut self) {
        (self.slow, self.failed) = (false, false);
    }
}

#[cfg(test)]
mod tests;
