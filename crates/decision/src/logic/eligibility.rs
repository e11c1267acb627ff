//! Eligibility: whether the rules allow an attempt of a request at a server, however the server was chosen.

use super::*;

/// Time allowed for a request to reach its server: an attempt sent this long before the end of the
/// deduplication window still arrives within it.
const DELIVERY_TIME: Nanos = 100 * MS;

impl Balancer {
    /// Whether a further attempt may go to this server, given the earlier attempts that may have run.
    pub(super) fn may_repeat_at(&self, now: Nanos, request: &ActiveRequest, s: &Server) -> bool {
        let Some(class) = self.settings.classes.get(request.class) else { return true };
        let mut possibly_run = request.attempts.iter().filter(|a| a.pending || a.may_have_run);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => possibly_run.next().is_none(),
            Idempotency::WithKey => possibly_run.all(|a| {
                let window_ends = a.sent.saturating_add(class.dedup_window);
                let in_window = now.saturating_add(DELIVERY_TIME) < window_ends;
                let in_group = match class.group {
                    Group::All => true,
                    Group::Zone => a.zone == s.entry.zone,
                    Group::Cell => a.cell == s.entry.cell && a.zone == s.entry.zone,
                };
                in_window && in_group
            }),
        }
    }

    /// Whether the rules allow an attempt now. Nothing is sent without this check, however the server was
    /// chosen.
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
    /// Whether the class and pool of a request allow a server. The origin of a cache-aside deployment is open
    /// to all requests.
    pub(super) fn is_open_to(
        &self,
        settings: &Settings,
        class: usize,
        pool: Option<usize>,
        s: &Server,
    ) -> bool {
        settings.allows(class, pool, s.entry.zone, s.entry.kind) || settings.cache_aside && self.is_origin(s)
    }
}
