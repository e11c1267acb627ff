//! Answers that have begun to arrive: how long they are waited for, and what that time tells of their
//! servers.
//!
//! Until its first byte, an answer is waited for as long as the attempt's timeout allows. Then it is coming,
//! and is waited for until the client gives up, however late the rest of its head is. Whether its server
//! hangs is judged by the end of the attempt.

use super::*;

/// Longest pause in an answer whose attempt has to end before another one may begin, as a fraction of the
/// attempt's time.
const MAX_PAUSE_FRACTION: f64 = 0.5;

impl Balancer {
    /// Handles the first byte of a server's answer: the attempt may go on until the client gives up.
    pub(super) fn response_started(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(started) = request.attempts.get_mut(attempt as usize).filter(|a| a.pending) else { return };
        if started.response_started.is_some() {
            return;
        }
        started.response_started = Some(now);
        let max_pause = self.max_pause(id, attempt);
        actions.push(Action::AwaitResponse { id, attempt, max_pause });
    }

    /// Returns the longest pause in the answer to an attempt; 0: no limit. With hedging, another attempt may
    /// be sent beside it; without, a server that hangs in the middle of its answer would cost the request.
    fn max_pause(&self, id: RequestId, attempt: u32) -> Nanos {
        let Some(request) = self.requests.get(&id) else { return 0 };
        let Some(attempt) = request.attempts.get(attempt as usize) else { return 0 };
        let repeatable = self.settings.classes.get(request.class).is_some_and(Class::may_repeat);
        let to_origin = self.servers.get(attempt.server).is_some_and(|s| self.servers.is_origin(s));
        let retry_after_timeout = self.settings.cache_aside && !request.settings.hedging;
        let replaceable = retry_after_timeout && repeatable && !to_origin && request.may_attempt_again();
        if !replaceable || request.body_pending {
            return 0;
        }
        let time = request.deadline.saturating_sub(attempt.sent);
        (MAX_PAUSE_FRACTION * time as f64) as Nanos
    }

    /// Returns how long after its start an attempt's answer began, or the attempt ended without one.
    pub(super) fn wait_for_response(&self, o: &Outcome) -> Nanos {
        let attempt = self.requests.get(&o.id).and_then(|r| r.attempts.get(o.attempt as usize));
        let started = attempt.and_then(|a| Some(a.response_started?.saturating_sub(a.sent)));
        started.map_or(o.elapsed, |wait| wait.min(o.elapsed))
    }
}

impl ActiveRequest {
    /// Whether an attempt goes on after another one was answered, since its own answer is coming: its end
    /// shows whether its server hangs. It shows nothing if the client waits for less than the objective.
    pub(super) fn may_finish_response(&self, attempt: &Attempt, objective: Nanos) -> bool {
        attempt.response_started.is_some() && self.deadline.saturating_sub(attempt.sent) >= objective
    }
}
