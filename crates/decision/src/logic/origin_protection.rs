//! Origin protection: a limit on the fetches in flight at the origin, learned from how they end.

use super::*;

/// The limit of one proxy before anything is known of the origin.
const LIMIT_AT_FIRST: f64 = 32.0;
/// The same for all proxies together: what a few of them take by that figure.
const LIMIT_AT_FIRST_ALL: f64 = 128.0;
/// The least limit at first.
const LIMIT_AT_FIRST_LEAST: f64 = 2.0;
/// The least limit; below one, a fetch is let through by chance. Danger: many proxies with one each still
/// send more than is served.
const LIMIT_LEAST: f64 = 0.3;
/// The part of fetches that may come late with the origin still well.
const LATE: f64 = 0.1;
/// The gain with which that part is followed.
const LATE_GAIN: f64 = 0.1;
/// The part that a limit keeps when it is reduced.
const REDUCED_TO: f64 = 0.8;
/// The part of the limit that writes may use: they have nowhere else to go.
const PART_FOR_WRITES: f64 = 1.5;
/// The part of the limit that requests of low priority may use: they leave room for the rest.
const PART_FOR_LOW_PRIORITY: f64 = 0.5;

/// What is known of the origin.
pub struct OriginProtection {
    /// The settings in force.
    pub settings: Arc<Settings>,
    /// Fetches of this proxy in flight there.
    pub in_flight: f64,
    /// How many may be.
    pub limit: f64,
    reduced_at: Nanos,
    /// The part of the fetches that come late or not at all, lately.
    late: f64,
}

impl OriginProtection {
    /// Nothing known yet.
    pub fn new(settings: Arc<Settings>) -> Self {
        // Danger: hundreds of proxies that each trust an origin they know nothing of flood it together.
        let share = LIMIT_AT_FIRST_ALL / f64::from(settings.proxies.max(1));
        let limit = share.clamp(LIMIT_AT_FIRST_LEAST, LIMIT_AT_FIRST);
        OriginProtection { settings, in_flight: 0.0, limit, reduced_at: 0, late: 0.0 }
    }

    /// Whether fetches come in time on the whole.
    pub fn is_healthy(&self) -> bool {
        self.late < 2.0 * LATE
    }

    /// Whether one more request of this kind may be in flight.
    pub fn admits(&self, request: &ActiveRequest) -> bool {
        let part = match (request.write, request.low_priority) {
            (true, _) => PART_FOR_WRITES,
            (_, true) => PART_FOR_LOW_PRIORITY,
            _ => 1.0,
        };
        self.in_flight + 1.0 <= (self.limit * part).max(1.0)
    }

    /// A fetch is no longer in flight.
    pub fn release(&mut self, fetches: f64) {
        self.in_flight = (self.in_flight - fetches).max(0.0);
    }

    /// Learns from a fetch how many may be in flight; `failing` is the part of all attempts that fails.
    /// Danger: an origin that goes on with work nobody waits for any more fills no cache, so every read
    /// stays a miss and the overload feeds itself.
    pub fn record_fetch(&mut self, now: Nanos, class: Option<usize>, o: &Outcome, failing: f64) {
        self.release(1.0);
        let in_time = o.status == Status::Ok && o.elapsed <= self.time_allowed(class);
        // A connection that breaks is no sign of overload.
        if matches!(o.status, Status::Cancelled | Status::NotSent | Status::ConnectFailed | Status::Reset) {
            return;
        }
        self.late += LATE_GAIN * (indicator(!in_time) - self.late);
        // Danger: where servers fetch and answers get lost or work is uneven, some fetches fail with no
        // overload.
        let overloaded = self.settings.cache_aside || self.late > LATE + 1.5 * failing;
        // A limit that is not used proves nothing; and overload counts once for all that was in flight when
        // it was met.
        if in_time && self.in_flight + 1.0 >= 0.5 * self.limit {
            self.limit += (0.2 * self.limit).min(1.0 / self.limit);
        } else if !in_time && overloaded && now.saturating_sub(o.elapsed) >= self.reduced_at {
            self.reduce(now, o.status);
        }
    }

    /// The time in which a fetch of a class has to come.
    fn time_allowed(&self, class: Option<usize>) -> Nanos {
        let classes = self.settings.classes.iter().enumerate();
        // A server that fetches adds its own work to the time, which is a class's own matter.
        let counted = classes.filter(|(n, _)| self.settings.cache_aside || class == Some(*n));
        counted.map(|(_, c)| c.latency_objective).min().unwrap_or(SECOND)
    }

    fn reduce(&mut self, now: Nanos, status: Status) {
        // In read-through deployments it may be the servers that are overloaded, and a quick fall helps.
        let most = if self.settings.cache_aside { f64::MAX } else { 2.0 * self.in_flight + 2.0 };
        let least = if status == Status::Rejected { self.limit.min(1.0) } else { LIMIT_LEAST };
        self.limit = (self.limit.min(most) * REDUCED_TO).max(least);
        self.reduced_at = now;
    }
}

impl Balancer {
    /// The origin, where it is to be asked by the proxy and has room for this request.
    pub(super) fn choose_origin(&self, now: Nanos, request: &ActiveRequest) -> Option<u32> {
        let fits = |index: &u32| {
            let s = self.servers.at(*index);
            s.is_ready() && self.servers.is_origin(s) && self.may_repeat_at(now, request, s)
        };
        let all = self.servers.indices().filter(|_| self.origin.admits(request)).filter(fits);
        all.min_by(|a, b| self.servers.at(*a).in_flight.total_cmp(&self.servers.at(*b).in_flight))
    }

    /// Whether to reject a read that its server would fetch from an origin that has no room for it.
    pub(super) fn origin_rejects(&mut self, request: &ActiveRequest, was_read: bool) -> bool {
        // Danger: an origin overloaded with fetches nobody waits for fills no cache; each read joins it.
        let shut = self.origin.limit < 1.0 && self.random.draw() > self.origin.limit;
        let full = shut || !self.origin.admits(request);
        request.fetch_expected && (was_read || !self.origin.is_healthy()) && full
    }
}
