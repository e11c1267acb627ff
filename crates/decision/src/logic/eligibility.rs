//! Eligibility: whether the rules allow an attempt of a request at a server, whatever chose that server.

use super::*;

/// What a request needs to reach its server: an attempt that is sent so long before the end of the window
/// in which repeats are dropped still arrives within it.
const WAY_TO_SERVER: Nanos = 100 * MS;

impl Balancer {
    /// Whether a further attempt may go to this server, after attempts that may have run.
    pub(super) fn may_repeat_at(&self, now: Nanos, request: &ActiveRequest, s: &Server) -> bool {
        let Some(class) = self.settings.classes.get(request.class) else { return true };
        let mut ran = request.attempts.iter().filter(|a| a.pending || a.may_have_run);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::WithKey => ran.all(|a| {
                let window_ends = a.sent.saturating_add(class.dedup_window);
                let in_window = now.saturating_add(WAY_TO_SERVER) < window_ends;
                let in_group = match class.group {
                    Group::All => true,
                    Group::Zone => a.zone == s.entry.zone,
                    Group::Cell => a.cell == s.entry.cell && a.zone == s.entry.zone,
                };
                in_window && in_group
            }),
        }
    }

    /// Whether the rules allow an attempt now. Whatever chose the server, nothing is sent without it.
    pub(super) fn is_eligible(&self, now: Nanos, request: &ActiveRequest, s: &Server) -> bool {
        s.is_ready()
            && self.servers.is_open_to(&request.settings, request.class, request.pool, s)
            && now < request.deadline
            && !request.answer_begun
            && request.may_attempt_again()
            && (!request.has_pending() || request.settings.hedging)
            && self.may_repeat_at(now, request, s)
    }
}

impl ServerTable {
    /// Whether a request may be sent to a server by its class and pool. The origin of a cache-aside
    /// deployment is open to all.
    pub(super) fn is_open_to(&self, by: &Settings, class: usize, pool: Option<usize>, s: &Server) -> bool {
        by.allows(class, pool, s.entry.zone, s.entry.kind) || by.cache_aside && self.is_origin(s)
    }
}
