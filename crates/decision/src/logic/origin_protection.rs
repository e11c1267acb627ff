//! Origin protection: a limit on the fetches in flight at the origin, adapted to their outcomes.

use super::*;

/// Maximum initial limit of a proxy, before anything is known about the origin.
const MAX_INITIAL_LIMIT: f64 = 32.0;
/// Initial limit of all proxies together; it equals that of a few proxies with the maximum each.
const INITIAL_FLEET_LIMIT: f64 = 128.0;
/// Minimum initial limit of a proxy, unless the fleet is so large that the next constant is reached.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Maximum sum of the minimum initial limits of all proxies: in a large fleet, each proxy gets less.
const MIN_INITIAL_FLEET_LIMIT: f64 = 600.0;
/// Minimum limit. Below one, a fetch is admitted with that probability, because many proxies with a limit of
/// one could still exceed the origin's capacity.
const MIN_LIMIT: f64 = 0.3;
/// The fraction of late fetches that is normal for a healthy origin.
const NORMAL_LATE_FRACTION: f64 = 0.1;
/// Gain of the moving fraction of late fetches.
const LATE_FRACTION_GAIN: f64 = 0.1;
/// Factor of one reduction of the limit.
const REDUCTION_FACTOR: f64 = 0.8;
/// Fleet size, in proxies, up to which a late fetch reduces the limit once. In a larger fleet, each proxy
/// sees so few of the late fetches that it reduces its limit several times for each one.
const MAX_FLEET_FOR_SINGLE_REDUCTION: f64 = 300.0;
/// Maximum number of reductions for one late fetch.
const MAX_REDUCTIONS: f64 = 8.0;
/// The multiple of the limit that writes may use, since only the origin can take them.
const WRITE_LIMIT_FACTOR: f64 = 1.5;
/// The fraction of the limit that requests of low priority may use; the rest is reserved for other requests.
const LOW_PRIORITY_LIMIT_FACTOR: f64 = 0.5;

/// The limit on fetches at the origin, and the statistics that it is adapted to.
pub struct OriginProtection {
    /// The settings in force.
    pub settings: Arc<Settings>,
    /// Fetches of this proxy in flight there.
    pub in_flight: f64,
    /// The number of fetches that may be in flight there.
    pub limit: f64,
    /// Time of the last reduction of the limit.
    reduced_at: Nanos,
    /// The recent fraction of fetches that were late or failed.
    late_fraction: f64,
}

impl OriginProtection {
    /// Creates the initial limit.
    pub fn new(settings: Arc<Settings>) -> Self {
        // Hundreds of proxies with the full initial limit each would together overload an unknown origin.
        let proxies = f64::from(settings.proxies.max(1));
        let min_limit = (MIN_INITIAL_FLEET_LIMIT / proxies).clamp(MIN_LIMIT, MIN_INITIAL_LIMIT);
        let limit = (INITIAL_FLEET_LIMIT / proxies).clamp(min_limit, MAX_INITIAL_LIMIT);
        OriginProtection { settings, in_flight: 0.0, limit, reduced_at: 0, late_fraction: 0.0 }
    }

    /// Whether the fraction of late fetches is low.
    pub fn is_healthy(&self) -> bool {
        self.late_fraction < 2.0 * NORMAL_LATE_FRACTION
    }

    /// Whether the limit allows one more request like this one.
    pub fn admits(&self, request: &ActiveRequest) -> bool {
        self.in_flight + 1.0 <= (self.limit * limit_factor(request)).max(1.0)
    }

    /// Whether the limit allows one more request like this one; below a limit of one, `drawn`, a random
    /// number from 0 to 1, decides.
    fn admits_by_chance(&self, request: &ActiveRequest, drawn: f64) -> bool {
        self.admits(request) && (self.limit >= 1.0 || drawn <= self.limit * limit_factor(request))
    }

    /// Records that a number of fetches are no longer in flight.
    pub fn release(&mut self, fetches: f64) {
        self.in_flight = (self.in_flight - fetches).max(0.0);
    }

    /// Adapts the limit to the outcome of a fetch, whose answer began to arrive after `wait`; `failing` is
    /// the fraction of all attempts that fail. An answer that begins in time and takes long is no sign of
    /// overload.
    /// Without a limit, an overloaded origin works on fetches that nobody waits for any more; these fill no
    /// cache, so that every read stays a miss and the overload sustains itself.
    pub fn record_fetch(&mut self, now: Nanos, class: Option<usize>, o: &Outcome, wait: Nanos, failing: f64) {
        self.release(1.0);
        let in_time = o.status == Status::Ok && wait <= self.time_allowed(class);
        // A broken connection is not a sign of overload.
        if matches!(o.status, Status::Cancelled | Status::NotSent | Status::ConnectFailed | Status::Reset) {
            return;
        }
        self.late_fraction += LATE_FRACTION_GAIN * (indicator(!in_time) - self.late_fraction);
        // In read-through deployments some fetches fail without an overload, because answers get lost or the
        // work is uneven.
        let overloaded =
            self.settings.cache_aside || self.late_fraction > NORMAL_LATE_FRACTION + 1.5 * failing;
        // The limit only grows while it is used, and it is reduced only once for all fetches that were in
        // flight at the time of the reduction.
        if in_time && self.in_flight + 1.0 >= 0.5 * self.limit {
            self.limit += (0.2 * self.limit).min(1.0 / self.limit);
        } else if !in_time && overloaded && now.saturating_sub(o.elapsed) >= self.reduced_at {
            self.reduce(now, o.status);
        }
    }

    /// Returns the time within which a fetch of a class has to be answered.
    fn time_allowed(&self, class: Option<usize>) -> Nanos {
        let classes = self.settings.classes.iter().enumerate();
        // In read-through deployments the time includes the server's own work, which depends on the class.
        let counted = classes.filter(|(n, _)| self.settings.cache_aside || class == Some(*n));
        counted.map(|(_, c)| c.latency_objective).min().unwrap_or(SECOND)
    }

    fn reduce(&mut self, now: Nanos, status: Status) {
        // In read-through deployments the servers may be what is overloaded, and a fast reduction helps them.
        let max_limit = if self.settings.cache_aside { f64::MAX } else { 2.0 * self.in_flight + 2.0 };
        let min_limit = if status == Status::Rejected { self.limit.min(1.0) } else { MIN_LIMIT };
        let fleet = f64::from(self.settings.proxies.max(1)) / MAX_FLEET_FOR_SINGLE_REDUCTION;
        let times = fleet.sqrt().clamp(1.0, MAX_REDUCTIONS);
        self.limit = (self.limit.min(max_limit) * REDUCTION_FACTOR.powf(times)).max(min_limit);
        self.reduced_at = now;
    }
}

/// Returns the multiple of the limit that a request may use.
fn limit_factor(request: &ActiveRequest) -> f64 {
    match (request.write, request.low_priority) {
        (true, _) => WRITE_LIMIT_FACTOR,
        (_, true) => LOW_PRIORITY_LIMIT_FACTOR,
        _ => 1.0,
    }
}

impl Balancer {
    /// Returns the origin if the proxy fetches from it and its limit allows this request; `drawn` is a random
    /// number from 0 to 1 for that decision.
    pub(super) fn choose_origin(&self, now: Nanos, request: &ActiveRequest, drawn: f64) -> Option<u32> {
        let fits = |index: &u32| {
            let s = self.servers.at(*index);
            s.is_ready() && self.servers.is_origin(s) && self.may_repeat_at(now, request, s)
        };
        if !self.origin.admits_by_chance(request, drawn) {
            return None;
        }
        let all = self.servers.indices().filter(fits);
        all.min_by(|a, b| self.servers.at(*a).in_flight.total_cmp(&self.servers.at(*b).in_flight))
    }

    /// Whether to reject a read that its server would fetch from an origin whose limit is reached.
    pub(super) fn origin_rejects(&mut self, request: &ActiveRequest, was_read: bool) -> bool {
        // Fetches that nobody waits for fill no cache; while the origin is overloaded with them, each further
        // read would add one.
        let rejected_by_chance = self.origin.limit < 1.0 && self.random.draw() > self.origin.limit;
        let full = rejected_by_chance || !self.origin.admits(request);
        request.fetch_expected && (was_read || !self.origin.is_healthy()) && full
    }
}
