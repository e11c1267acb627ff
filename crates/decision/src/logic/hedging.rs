//! Hedging: a second attempt while the first is still in flight, once that has taken longer than answers
//! usually do.

use super::*;

/// Timer tokens of hedged requests carry this bit above the request's id.
pub const TOKEN: u64 = 1 << 56;
/// Answers after which a class's usual time is known.
const LATENCY_KNOWN: f64 = 5.0;
/// How long to wait while it is not known, as a part of the time left.
const WAIT_UNKNOWN: f64 = 0.5;
/// Deviations after the mean up to which an answer is waited for.
const WAIT_DEVIATIONS: f64 = 3.5;
/// The least wait, as a part of the time left.
const WAIT_LEAST: f64 = 0.2;
/// The longest wait for a server whose ejection has just ended, as a part of the time left.
const WAIT_AFTER_EJECTION: f64 = 0.3;

impl Balancer {
    /// How long an attempt is waited for before another is sent beside it or in its place, in nanoseconds.
    pub(super) fn hedging_delay(&self, class: usize, left: f64, after_ejection: bool) -> f64 {
        let usual = self.traffic.latency(Some(class));
        let wait = if usual.count < LATENCY_KNOWN {
            left * WAIT_UNKNOWN
        } else {
            usual.mean_plus(WAIT_DEVIATIONS).max(WAIT_LEAST * left)
        };
        if after_ejection {
            wait.min(WAIT_AFTER_EJECTION * left)
        } else {
            wait
        }
    }

    /// A request's hedging timer ran out: if its one attempt is still in flight, another is sent.
    pub(super) fn hedge(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let mut pending = request.attempts.iter().filter(|a| a.pending).map(|a| a.server);
        let (Some(slow), None) = (pending.next(), pending.next()) else { return };
        if request.answer_begun || now >= request.deadline {
            return;
        }
        // No answer for so long counts against the server at once: a hung one is ejected after two of these.
        self.record_failure(now, slow, 1.0);
        self.send_another(now, id, FurtherAttempt { after_silence: true, asks_origin: false }, actions);
    }
}
