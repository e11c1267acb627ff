//! Decides when a proxy polls the discovery service, where calls are paced.
//!
//! A proxy polls in its own slots only, so that each proxy polls at most once in a cycle: also at a cold
//! start, after a change that ends every watch at once, and when a service that was down comes back. The
//! interval between consecutive calls is short enough that a change arrives before the [notification
//! deadline](crate::notification_deadline) once the service is reachable: backoff, `Retry-After` and slow
//! answers are all bounded by it.

use super::notification_deadline::{MAX_CALL_INTERVAL, MIN_CALL_TIMEOUT};
use super::{FleetPosition, Nanos, SlotSchedule, SECOND};

/// The length of a watch in cycles while nothing changes. Proxies whose watches a change has ended together
/// would from then on all poll in the same one of each two cycles. Each proxy therefore renews its watch in a
/// fixed one of the two: its first watch after a change lasts one or two cycles, whichever ends in that one.
const WATCH_CYCLES: Nanos = 2;
/// The divisor that gives the part of a cycle by which a watch ends before the slot of the next call, at most
/// [`MAX_EARLY_END`]: the answer has to arrive before the slot, and a call that follows within 200 ms
/// continues the watch.
const EARLY_END_DIVISOR: Nanos = 10;
/// The longest time by which a watch ends early; see [`EARLY_END_DIVISOR`].
const MAX_EARLY_END: Nanos = SECOND / 10;
/// The shortest wait for a change that a call requests.
const MIN_WATCH_DURATION: Nanos = SECOND / 10;
/// The shortest cycle if only one fits between two calls: it has to be long enough for an answer. If two fit,
/// it need not be.
const MIN_SINGLE_CYCLE: Nanos = MIN_CALL_TIMEOUT + MAX_EARLY_END + MIN_WATCH_DURATION;
/// The maximum number of doublings of a wait; any configured maximum is reached before it.
const MAX_DOUBLINGS: u32 = 20;
/// The number of default cycles within the platform's limit on the time between polls, so that a proxy that
/// loses one call still polls in time.
const POLLS_PER_LIMIT: Nanos = 4;
/// The default cycle if the platform sets no limit on the time between polls.
const DEFAULT_INTERVAL: Nanos = 5 * SECOND;
/// The shortest default cycle that is derived from the platform's limit.
const MIN_DEFAULT_INTERVAL: Nanos = SECOND / 4;
/// The longest default cycle that is derived from the platform's limit.
const MAX_DEFAULT_INTERVAL: Nanos = 10 * SECOND;

/// Intervals and timeouts of polls. [`PollRules::bounded`] limits times that would miss the notification
/// deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRules {
    /// The cycle: the shortest time between two calls.
    pub interval: Nanos,
    /// The maximum backoff; the wait doubles with each consecutive failure up to it.
    pub max_backoff: Nanos,
    /// The initial answer timeout, beyond the wait that the call requests.
    pub answer_timeout: Nanos,
    /// The maximum answer timeout, reached after repeated timeouts.
    pub max_answer_timeout: Nanos,
}

impl PollRules {
    /// Returns the default cycle for the platform's limit on the time between polls; 0: there is no limit.
    pub fn default_interval(must_poll_within: Nanos) -> Nanos {
        match must_poll_within {
            0 => DEFAULT_INTERVAL,
            limit => (limit / POLLS_PER_LIMIT).clamp(MIN_DEFAULT_INTERVAL, MAX_DEFAULT_INTERVAL),
        }
    }

    /// Returns these rules with each time at most [`MAX_CALL_INTERVAL`]. A cycle that fits into that only
    /// once and is too short for an answer is extended to the shortest one that is long enough.
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

/// Computes when the next call may start, from the outcomes of the last ones.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    rules: PollRules,
    /// The slots in which calls may start.
    slots: SlotSchedule,
    /// The slots in which watches are renewed while nothing changes: every second one of `slots`.
    renewals: SlotSchedule,
    /// The earliest time of the next call.
    not_before: Nanos,
    /// The last slot in which the next call may start to meet the notification deadline.
    deadline: Nanos,
    /// The number of failures since the last answer.
    failures: u32,
    /// The number of doublings of the answer timeout: one more after each timeout, one less after each
    /// answer.
    answer_timeout_doublings: u32,
}

impl PollSchedule {
    /// Creates the schedule of a proxy that starts at `now`. The rules are [bounded](PollRules::bounded)
    /// here; see [`SlotSchedule::new`] for `unix_now`.
    pub fn new(rules: PollRules, position: FleetPosition, unix_now: Nanos, now: Nanos) -> Self {
        let rules = rules.bounded();
        let renewals = SlotSchedule::new(WATCH_CYCLES * rules.interval, position, 0.0, unix_now, now);
        let slots = renewals.halved();
        PollSchedule {
            rules,
            slots,
            renewals,
            not_before: now,
            deadline: now,
            failures: 0,
            answer_timeout_doublings: 0,
        }
    }

    /// Returns when the next call may start; at once if that is `now`.
    pub fn next_poll(&self, now: Nanos) -> Nanos {
        // An unused slot is lost: a proxy that was suspended during its slot waits for the next one.
        self.slots.first_from(self.not_before.max(now))
    }

    /// Records that a call starts.
    pub fn poll_started(&mut self, now: Nanos) {
        self.not_before = now + 1;
        self.deadline = self.next_poll_deadline(now);
    }

    /// Returns the last slot in which the call after one that starts now may start.
    fn next_poll_deadline(&self, now: Nanos) -> Nanos {
        self.slots.last_until(now.saturating_add(MAX_CALL_INTERVAL))
    }

    /// Returns how long a call that starts now may remain unanswered, so that the next one still starts in
    /// its slot.
    fn max_silence(&self, now: Nanos) -> Nanos {
        self.next_poll_deadline(now).saturating_sub(now).saturating_sub(self.early_end())
    }

    /// Returns how long before the slot of the next call a watch ends.
    fn early_end(&self) -> Nanos {
        (self.slots.cycle() / EARLY_END_DIVISOR).min(MAX_EARLY_END)
    }

    /// Returns how long a call that starts now asks the service to wait for a change. The wait ends just
    /// before this proxy's next renewal, or sooner if a silent service could not be detected in time
    /// otherwise.
    pub fn watch_duration(&self, now: Nanos) -> Nanos {
        let cycle = self.slots.cycle();
        let renewal = self.renewals.first_from(now.saturating_add(cycle / 2));
        let until_renewal = (renewal - now).saturating_sub(self.early_end());
        let longest = self.max_silence(now).saturating_sub(self.answer_timeout());
        until_renewal.min(longest).max(MIN_WATCH_DURATION.min(cycle / 2))
    }

    /// Returns the longest time that the answer may take beyond the requested wait.
    pub fn answer_timeout(&self) -> Nanos {
        let longest = self.rules.max_answer_timeout.max(self.rules.answer_timeout);
        doubled(self.rules.answer_timeout, self.answer_timeout_doublings).min(longest)
    }

    /// Returns the timeout of a call that starts now and requests a wait of `watch_duration`. It is
    /// [`MIN_CALL_TIMEOUT`] or more where the next slot permits: if calls timed out while they are queued at
    /// the service, each would be followed by another queued call, and none would ever be answered.
    pub fn call_timeout(&self, now: Nanos, watch_duration: Nanos) -> Nanos {
        let requested = watch_duration.saturating_add(self.answer_timeout());
        requested.max(MIN_CALL_TIMEOUT).min(self.max_silence(now))
    }

    /// Records an answer.
    pub fn answered(&mut self) {
        self.failures = 0;
        // The answer timeout of a service that was slow is reduced again step by step.
        self.answer_timeout_doublings = self.answer_timeout_doublings.saturating_sub(1);
    }

    /// Records that the service rejected the call, with its `Retry-After` time if it sent one.
    pub fn rejected(&mut self, now: Nanos, retry_after: Option<Nanos>) {
        self.back_off(now, retry_after);
    }

    /// Records a timeout, which gives the next call more time. There is no immediate retry: the service would
    /// have to process the second call in addition to the first, which it still works on.
    pub fn timed_out(&mut self, now: Nanos) {
        self.answer_timeout_doublings = (self.answer_timeout_doublings + 1).min(MAX_DOUBLINGS);
        self.back_off(now, None);
    }

    /// Records that the service can't be reached, or that its answer can't be read.
    pub fn failed(&mut self, now: Nanos) {
        self.back_off(now, None);
    }

    /// Resets the backoff and the answer timeout, which were learned from the old address of the service.
    pub fn address_changed(&mut self, now: Nanos) {
        (self.failures, self.answer_timeout_doublings, self.not_before) = (0, 0, now);
    }

    /// Delays the next call by the backoff, which doubles with each failure, or by `retry_after` if that is
    /// longer, but not beyond the time at which the next call has to start.
    fn back_off(&mut self, now: Nanos, retry_after: Option<Nanos>) {
        let backoff = doubled(self.rules.interval, self.failures).min(self.rules.max_backoff);
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        // The wait is half a cycle shorter, so that the slot at its end is not missed.
        let wait = backoff.max(retry_after.unwrap_or(0)).saturating_sub(self.rules.interval / 2);
        self.not_before = self.not_before.max(now.saturating_add(wait).min(self.deadline));
    }
}

fn doubled(time: Nanos, times: u32) -> Nanos {
    time.saturating_mul(1 << times.min(MAX_DOUBLINGS))
}

#[cfg(test)]
mod tests;
