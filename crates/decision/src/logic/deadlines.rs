//! Deadlines: how much of a request's latency objective is left at its arrival, and whether an attempt can
//! still be answered in time.

use super::*;
use std::cmp::Ordering;

/// An attempt with less time than answers take may be rejected as hopeless if less than this fraction of
/// requests is answered within that time; the smaller the fraction, the more probable the rejection.
const HOPELESS_FRACTION: f64 = 0.5;
/// Deviations above the mean up to which an answer time counts as usual.
const USUAL_DEVIATIONS: f64 = 2.0;
/// The time that a further attempt needs, as a fraction of the mean answer time.
const NEEDED_TIME_FRACTION: f64 = 0.5;

impl Balancer {
    /// Returns the time to a request's latency objective. A time left that is longer than the usual timeout
    /// of clients is the remainder of a longer wait, from which the start of the request follows; so is a
    /// shorter one that is marked as a retry.
    pub(super) fn time_to_objective(&mut self, r: &Request, class: &Class) -> Nanos {
        let objective = class.latency_objective.min(r.remaining);
        let Some(latency) = self.traffic.latency_mut(r.class as usize) else { return objective };
        latency.record_time_left(class, r.remaining);
        let marked = self.settings.clients_mark_retries;
        let start_is_known = match latency.compare_to_common(class, r.remaining) {
            Ordering::Greater => !marked || r.retry,
            // A short time left alone does not show that the request is a late retry; the mark does.
            Ordering::Less => marked && r.retry,
            Ordering::Equal => false,
        };
        if !start_is_known {
            return objective;
        }
        let elapsed = class.deadline.saturating_sub(r.remaining);
        objective.min(class.latency_objective.saturating_sub(elapsed))
    }

    /// Whether a request arrives with less time than its answers usually take.
    pub(super) fn is_short(&self, class: usize, objective: Nanos, class_settings: &Class) -> bool {
        let usual = self.traffic.latency(Some(class)).mean_plus(USUAL_DEVIATIONS);
        (objective as f64) < usual.min(class_settings.latency_objective as f64)
    }

    /// Whether to reject a request that arrives with so little time that it would hardly be answered. Clients
    /// that allow an attempt less time than an answer takes retry at once; each such attempt costs its server
    /// as much as any other, and a connection when it is aborted.
    pub(super) fn is_hopeless(&mut self, class: usize, objective: Nanos, class_settings: &Class) -> bool {
        let latency = self.traffic.latency(Some(class));
        class_settings.late_weight <= 0.0
            && self.is_short(class, objective, class_settings)
            && latency.fraction_answered_within(class_settings, objective)
                < HOPELESS_FRACTION * self.random.draw().sqrt()
    }

    /// Whether a further attempt can still be answered before the answer loses its value.
    pub(super) fn has_time_for_retry(&self, now: Nanos, request: &ActiveRequest) -> bool {
        let worthless_late = self.settings.classes.get(request.class).is_some_and(|c| c.late_weight <= 0.0);
        let in_time = request.objective_at.min(request.deadline);
        let end = if worthless_late { in_time } else { request.deadline };
        let needed = NEEDED_TIME_FRACTION * self.traffic.latency(Some(request.class)).mean;
        end.saturating_sub(now) as f64 > needed.max(MS as f64)
    }

    /// Records the wait of a request that has ended, served or not, in the latency of its class.
    pub(super) fn record_wait(&mut self, now: Nanos, request: &ActiveRequest, served: bool) {
        let objective = request.objective_at.saturating_sub(request.arrived);
        let after = now.saturating_sub(request.arrived);
        let max_wait = if served { objective } else { objective.min(after) };
        let class = self.settings.classes.get(request.class);
        if let Some((class, latency)) = class.zip(self.traffic.latency_mut(request.class)) {
            latency.record_wait(class, max_wait, served.then_some(after));
        }
    }
}
