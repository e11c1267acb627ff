//! When a proxy polls the discovery service, where calls are paced.
//!
//! A proxy polls in its own slots only, so that all proxies together never poll more often than once each in a cycle: at a
//! cold start, after a change that ends every watch at once, and when a service that was down comes back. Of any two
//! consecutive calls the second starts early enough that a change which the service has when it can be reached arrives
//! before the [notification deadline](crate::notification_deadline): backoff, `Retry-After` and slow answers are all
//! bounded by that.

use super::notification_deadline::{MAX_CALL_INTERVAL, MIN_CALL_TIMEOUT};
use super::{FleetPosition, Nanos, SlotSchedule, SECOND};

/// A watch lasts for so many cycles while nothing changes.
/// Danger: proxies that a change has woken together would poll together from then on, in one of each two cycles. So each
/// proxy has one of the two for its own, and its first watch after a change lasts for one cycle or two, whichever ends there.
const WATCH_CYCLES: Nanos = 2;
/// A watch ends before the slot of the next call by this part of a cycle, and by [`MAX_EARLY_END`] at most: the answer has to
/// be there by then, and a call that follows within 200 ms continues the watch.
const EARLY_END_FRACTION: Nanos = 10;
/// See [`EARLY_END_FRACTION`].
const MAX_EARLY_END: Nanos = SECOND / 10;
/// The shortest wait for a change that a call asks for.
const MIN_WATCH_DURATION: Nanos = SECOND / 10;
/// A cycle of which only one fits between two calls has to be long enough for an answer; one of which two fit need not.
const MIN_SINGLE_CYCLE: Nanos = MIN_CALL_TIMEOUT + MAX_EARLY_END + MIN_WATCH_DURATION;
/// After so many doublings a wait is at its maximum, whatever that is.
const MAX_DOUBLINGS: u32 = 20;
/// Of the time in which the platform wants the list to be polled, a cycle takes the part of one in so many, so that a proxy
/// which loses one call still polls in time.
const POLLS_PER_LIMIT: Nanos = 4;
/// The cycle where the platform sets no limit.
const DEFAULT_INTERVAL: Nanos = 5 * SECOND;
/// The range of cycles that follow from the platform's limit.
const SHORTEST_DEFAULT_INTERVAL: Nanos = SECOND / 4;
/// See [`SHORTEST_DEFAULT_INTERVAL`].
const LONGEST_DEFAULT_INTERVAL: Nanos = 10 * SECOND;

/// How the service is polled. Times that would miss the notification deadline are bounded by [`PollRules::bounded`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRules {
    /// The cycle: no two calls are closer together.
    pub interval: Nanos,
    /// After consecutive failures the wait doubles up to this.
    pub max_backoff: Nanos,
    /// How long an answer may take at first, beyond the wait that the call asks for.
    pub answer_timeout: Nanos,
    /// The same after answers came late, at most.
    pub max_answer_timeout: Nanos,
}

impl PollRules {
    /// The cycle that follows from the time in which the platform wants the list to be polled; 0: it sets no limit.
    pub fn default_interval(must_poll_within: Nanos) -> Nanos {
        match must_poll_within {
            0 => DEFAULT_INTERVAL,
            limit => (limit / POLLS_PER_LIMIT).clamp(SHORTEST_DEFAULT_INTERVAL, LONGEST_DEFAULT_INTERVAL),
        }
    }

    /// These rules with each time at most [`MAX_CALL_INTERVAL`]. A cycle that fits into that only once and is too short for an
    /// answer is replaced by the next longer one that is long enough.
    pub fn bounded(self) -> Self {
        let interval = match self.interval.clamp(1, MAX_CALL_INTERVAL) {
            interval if MAX_CALL_INTERVAL / interval == 1 => interval.max(MIN_SINGLE_CYCLE),
            interval => interval,
        };
        PollRules {
            interval,
            max_backoff: self.max_backoff.min(MAX_CALL_INTERVAL),
            answer_timeout: self.answer_timeout.min(MAX_CALL_INTERVAL),
            max_answer_timeout: self.max_answer_timeout.min(MAX_CALL_INTERVAL),
        }
    }
}

/// When the next call may start, which follows from how the last ones ended.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    rules: PollRules,
    /// Slots in which calls may start.
    slots: SlotSchedule,
    /// Those of them in which watches are renewed while nothing changes.
    renewals: SlotSchedule,
    /// No call starts before.
    not_before: Nanos,
    /// The last slot in which the call after the last one may start.
    deadline: Nanos,
    /// Consecutive failures since the last answer.
    failures: u32,
    /// How often the time for an answer is doubled: one more after each timeout, one less after each answer.
    slowness: u32,
}

impl PollSchedule {
    /// A proxy that starts at `now`, by rules that are [bounded](PollRules::bounded) here; see [`SlotSchedule::new`] for `unix`.
    pub fn new(rules: PollRules, position: FleetPosition, unix: Nanos, now: Nanos) -> Self {
        let rules = rules.bounded();
        let renewals = SlotSchedule::new(WATCH_CYCLES * rules.interval, position, 0.0, unix, now);
        let slots = renewals.halved();
        PollSchedule { rules, slots, renewals, not_before: now, deadline: now, failures: 0, slowness: 0 }
    }

    /// When the next call may start; at once if that is `now`.
    pub fn next_poll(&self, now: Nanos) -> Nanos {
        // A slot that passed unused is lost; a proxy that was suspended over it waits for the next.
        self.slots.first_from(self.not_before.max(now))
    }

    /// A call starts.
    pub fn poll_started(&mut self, now: Nanos) {
        self.not_before = now + 1;
        self.deadline = self.next_poll_deadline(now);
    }

    /// The last slot in which the call after one that starts now may start.
    fn next_poll_deadline(&self, now: Nanos) -> Nanos {
        self.slots.last_until(now.saturating_add(MAX_CALL_INTERVAL))
    }

    /// How long a call that starts now may remain unanswered at most, so that the next one starts in its slot.
    fn max_silence(&self, now: Nanos) -> Nanos {
        self.next_poll_deadline(now).saturating_sub(now).saturating_sub(self.early_end())
    }

    /// How long before the slot of the next call a watch ends.
    fn early_end(&self) -> Nanos {
        (self.slots.cycle() / EARLY_END_FRACTION).min(MAX_EARLY_END)
    }

    /// For how long a call that starts now should ask the service to wait for a change. The wait ends just before this proxy's
    /// next renewal, or sooner if a silent service could not be noticed in time otherwise.
    pub fn watch_duration(&self, now: Nanos) -> Nanos {
        let cycle = self.slots.cycle();
        let renewal = self.renewals.first_from(now.saturating_add(cycle / 2));
        let until_renewal = (renewal - now).saturating_sub(self.early_end());
        let longest = self.max_silence(now).saturating_sub(self.answer_timeout());
        until_renewal.min(longest).max(MIN_WATCH_DURATION.min(cycle / 2))
    }

    /// How long the answer should take at most beyond that.
    pub fn answer_timeout(&self) -> Nanos {
        let longest = self.rules.max_answer_timeout.max(self.rules.answer_timeout);
        doubled(self.rules.answer_timeout, self.slowness).min(longest)
    }

    /// After what time a call is given up that starts now and asks for a wait of `watch_duration`. Danger: a call that is
    /// given up while it is queued is followed by another that is queued, and no answer ever comes.
    pub fn call_timeout(&self, now: Nanos, watch_duration: Nanos) -> Nanos {
        let wanted = watch_duration.saturating_add(self.answer_timeout());
        wanted.max(MIN_CALL_TIMEOUT).min(self.max_silence(now))
    }

    /// An answer has come.
    pub fn answered(&mut self) {
        self.failures = 0;
        // A service that was slow is given less time again step by step.
        self.slowness = self.slowness.saturating_sub(1);
    }

    /// The service rejected the call, and wants no other for `retry_after`, if it says so.
    pub fn rejected(&mut self, now: Nanos, retry_after: Option<Nanos>) {
        self.back_off(now, retry_after);
    }

    /// The call timed out: the next may take longer. Danger: to call a slow service again at once adds the work of the second
    /// call to that of the first, which it still does.
    pub fn timed_out(&mut self, now: Nanos) {
        self.slowness = (self.slowness + 1).min(MAX_DOUBLINGS);
        self.back_off(now, None);
    }

    /// The service can't be reached, or its answer can't be read.
    pub fn failed(&mut self, now: Nanos) {
        self.back_off(now, None);
    }

    /// The service is at another address: what was learned of the old one no longer holds.
    pub fn address_changed(&mut self, now: Nanos) {
        (self.failures, self.slowness, self.not_before) = (0, 0, now);
    }

    /// The wait doubles with each failure, and is `retry_after` where that is longer. Neither goes beyond the time at which the
    /// next call has to start.
    fn back_off(&mut self, now: Nanos, retry_after: Option<Nanos>) {
        let backoff = doubled(self.rules.interval, self.failures).min(self.rules.max_backoff);
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        // Half a cycle less, so that the slot at the end of the wait is not missed.
        let wait = backoff.max(retry_after.unwrap_or(0)).saturating_sub(self.rules.interval / 2);
        self.not_before = self.not_before.max(now.saturating_add(wait).min(self.deadline));
    }
}

fn doubled(time: Nanos, times: u32) -> Nanos {
    time.saturating_mul(1 << times.min(MAX_DOUBLINGS))
}

#[cfg(test)]
mod tests;
