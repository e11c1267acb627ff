//! Hedged requests: a second attempt while the first is still in flight, once the first has taken longer than
//! answers usually do.

use super::*;

/// Bit set in the timer tokens of hedged requests, above the request's id.
pub const TOKEN_BIT: u64 = 1 << 56;
/// Number of answers from which a class's usual answer time counts as known.
const MIN_ANSWERS: f64 = 5.0;
/// Delay while the usual answer time is not known, as a fraction of the time left.
const DEFAULT_DELAY_FRACTION: f64 = 0.5;
/// Delay beyond the mean answer time, in mean deviations.
const DELAY_DEVIATIONS: f64 = 3.5;
/// Minimum delay, as a fraction of the time left.
const MIN_DELAY_FRACTION: f64 = 0.2;
/// Maximum delay for a server whose ejection has just ended, as a fraction of the time left.
const MAX_DELAY_FRACTION_AFTER_EJECTION: f64 = 0.3;

impl Balancer {
    /// Returns the time after which another attempt is sent beside an attempt or in its place, in
    /// nanoseconds.
    pub(super) fn hedging_delay(&self, class: usize, time_left: f64, after_ejection: bool) -> f64 {
        let usual = self.traffic.latency(Some(class));
        let delay = if usual.count < MIN_ANSWERS {
            time_left * DEFAULT_DELAY_FRACTION
        } else {
            usual.mean_plus(DELAY_DEVIATIONS).max(MIN_DELAY_FRACTION * time_left)
        };
        if after_ejection {
            delay.min(MAX_DELAY_FRACTION_AFTER_EJECTION * time_left)
        } else {
            delay
        }
    }

    /// Handles an expired hedging timer: sends another attempt if exactly one is still in flight.
    pub(super) fn hedge(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let mut pending = request.attempts.iter().filter(|a| a.pending);
        let (Some(slow), None) = (pending.next(), pending.next()) else { return };
        let (slow, response_started) = (slow.server, slow.response_started.is_some());
        // A server can't answer before it has the whole request.
        if request.answer_begun || request.body_pending || now >= request.deadline {
            return;
        }
        // The missing answer counts against the server at once, so that a hung server is ejected after two.
        // Whether one that has begun to answer hangs is known only when the attempt ends.
        if !response_started {
            self.record_failure(now, slow, 1.0);
        }
        self.send_another(now, id, FurtherAttempt { after_timeout: true, after_origin: false }, actions);
    }
}
