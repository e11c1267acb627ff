//! Deadlines: how much of a request's latency objective is left when it arrives, and whether an attempt can
//! still be answered in time.

use super::*;
use std::cmp::Ordering;

/// An attempt with less time than answers take is hopeless, the surer the less than this part is answered
/// so soon.
const HOPELESS: f64 = 0.5;
/// An answer is usual up to so many deviations after the mean.
const USUAL_DEVIATIONS: f64 = 2.0;
/// The part of the mean time of an answer that a further attempt needs.
const NEEDED_PART: f64 = 0.5;

impl Balancer {
    /// The time to a request's latency objective. A time left that is longer than the usual time-out of
    /// clients is the rest of a longer wait, and dates the request's beginning; so does a shorter one
    /// marked as a retry's.
    pub(super) fn time_to_objective(&mut self, r: &Request, class: &Class) -> Nanos {
        let objective = class.latency_objective.min(r.remaining);
        let Some(latency) = self.traffic.latency_mut(r.class as usize) else { return objective };
        latency.record_time_left(class, r.remaining);
        let marked = self.settings.clients_mark_retries;
        let dated = match latency.compare_to_common(class, r.remaining) {
            Ordering::Greater => !marked || r.retry,
            // Danger: clients who come with little time left are no late retries, but where marks tell.
            Ordering::Less => marked && r.retry,
            Ordering::Equal => false,
        };
        if !dated {
            return objective;
        }
        let passed = class.deadline.saturating_sub(r.remaining);
        objective.min(class.latency_objective.saturating_sub(passed))
    }

    /// Whether a request comes with less time than its answers usually take.
    pub(super) fn is_short(&self, class: usize, objective: Nanos, of: &Class) -> bool {
        let usual = self.traffic.latency(Some(class)).mean_plus(USUAL_DEVIATIONS);
        (objective as f64) < usual.min(of.latency_objective as f64)
    }

    /// Whether to reject a request that comes with so little time that it would hardly be answered. Danger:
    /// clients that give an attempt less than an answer takes retry at once; each such attempt costs its
    /// server as much as another, and a connection when it is cut.
    pub(super) fn is_hopeless(&mut self, class: usize, objective: Nanos, of: &Class) -> bool {
        let latency = self.traffic.latency(Some(class));
        of.late_weight <= 0.0
            && self.is_short(class, objective, of)
            && latency.fraction_answered_within(of, objective) < HOPELESS * self.random.draw().sqrt()
    }

    /// Whether a further attempt can still bring an answer that is worth something.
    pub(super) fn has_time_for_retry(&self, now: Nanos, request: &ActiveRequest) -> bool {
        let worthless_late = self.settings.classes.get(request.class).is_some_and(|c| c.late_weight <= 0.0);
        let in_time = request.objective_at.min(request.deadline);
        let end = if worthless_late { in_time } else { request.deadline };
        let needed = NEEDED_PART * self.traffic.latency(Some(request.class)).mean;
        end.saturating_sub(now) as f64 > needed.max(MS as f64)
    }

    /// Learns from a request that has ended, served or not, what part is answered within a time.
    pub(super) fn record_wait(&mut self, now: Nanos, request: &ActiveRequest, served: bool) {
        let objective = request.objective_at.saturating_sub(request.arrived);
        let after = now.saturating_sub(request.arrived);
        let most = if served { objective } else { objective.min(after) };
        let class = self.settings.classes.get(request.class);
        if let Some((class, latency)) = class.zip(self.traffic.latency_mut(request.class)) {
            latency.record_wait(class, most, served.then_some(after));
        }
    }
}
