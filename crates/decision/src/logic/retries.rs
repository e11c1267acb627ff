//! Retries: the next step of a request whose attempt was not answered.

use super::*;

/// The reason for a further attempt.
#[derive(Clone, Copy)]
pub struct FurtherAttempt {
    /// Whether the previous attempt was not answered in time.
    pub after_timeout: bool,
    /// Whether the previous attempt was sent to the origin.
    pub after_origin: bool,
}

impl Balancer {
    /// Takes the next step of a request that is still without an answer: a fetch from the origin, a retry, or
    /// the final answer.
    pub(super) fn proceed(&mut self, now: Nanos, o: &Outcome, to_origin: bool, actions: &mut Vec<Action>) {
        let drawn = self.random.draw();
        let waiting = |request: &&ActiveRequest| !request.answer_begun && !request.has_pending();
        let Some(request) = self.requests.get(&o.id).filter(waiting) else { return };
        if o.status == Status::Miss && self.settings.cache_aside {
            if let Some(origin) = self.choose_origin(now, request, drawn) {
                self.send(now, o.id, origin, actions);
                return;
            }
        }
        let after_timeout = o.status == Status::Timeout && self.settings.cache_aside;
        let further = FurtherAttempt { after_timeout, after_origin: to_origin };
        if !self.should_retry(now, o, further) || !self.send_another(now, o.id, further, actions) {
            self.give_up(now, o.id, actions);
        }
    }

    /// Whether an outcome is followed by a retry. The other servers do not have the key cached, so a retry
    /// after a rejected, late or failed attempt is one more miss at an origin that may be the cause. Only
    /// requests that a server did not take, because it is unreachable or ejected, are retried. In cache-aside
    /// deployments, a timeout counts as a miss.
    fn should_retry(&self, now: Nanos, o: &Outcome, further: FurtherAttempt) -> bool {
        let to_origin = further.after_origin;
        let not_taken = matches!(o.status, Status::ConnectFailed | Status::Reset | Status::NotSent);
        let not_taken = not_taken && (!to_origin || o.status == Status::Reset);
        not_taken || !to_origin && (further.after_timeout || self.servers.is_ejected(now, o.server))
    }

    /// Sends a further attempt if time, budget and rules allow it; returns whether it did. After a timeout,
    /// cache-aside proxies ask the origin, because other servers do not have the key cached.
    pub(super) fn send_another(
        &mut self,
        now: Nanos,
        id: RequestId,
        further: FurtherAttempt,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let tenant = request.tenant;
        let allowed = self.may_send_another(now, &request, further);
        let drawn = self.random.draw();
        let target = match (allowed, further.after_timeout || further.after_origin) {
            (false, _) => None,
            (true, true) if self.settings.cache_aside => self.choose_origin(now, &request, drawn),
            (true, _) => self.choose_server(now, &request, 1),
        };
        self.requests.insert(id, request);
        let Some(index) = target else { return false };
        self.retry_budget.spend(tenant);
        self.send(now, id, index, actions);
        true
    }

    fn may_send_another(&mut self, now: Nanos, request: &ActiveRequest, further: FurtherAttempt) -> bool {
        // When a hot key overloads a server, the timeouts at a thousand proxies would overload the origin as
        // well.
        let floods_origin = further.after_timeout && self.settings.cache_aside && !self.origin.is_healthy();
        !floods_origin
            && request.may_attempt_again()
            && self.retry_budget.allows(request.tenant)
            && self.has_time_for_retry(now, request)
    }
}
