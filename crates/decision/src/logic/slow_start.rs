//! Slow start: what this proxy may send a server that is warming up after a restart.
//!
//! A server that is warming up fails when all proxies together send it more than N requests of mean work
//! within the settings' `overload_window`, with some margin for random variation (N + 2 sqrt N + 2). N is
//! `overload_multiple` times its present capacity, which is estimated from this proxy's traffic divided by
//! the utilization that servers report. No proxy sees what the others send, so each stays within its own
//! share of N, which is divided in two:
//!
//! - One part accrues as permits. This part grows with the number of requests the proxy has for the server.
//! - The permits that all proxies together have saved stay within the rest of N plus half of the margin. If
//!   that is at least one permit for each proxy, a proxy saves up to that number. If it is less, a permit
//!   expires some time after it was earned, so that only a limited number of proxies hold one at any moment.
//!   The fraction of a permit that a proxy starts with is drawn at random, which spreads over time when the
//!   proxies earn theirs.
//! - If a server is new to a process that has run for at least the window, the process may hold a permit from
//!   the start, because nothing was sent to the server before. Otherwise it starts with only a fraction of a
//!   permit, since it does not know what was sent before.
//! - A request of a class that takes more work than the mean costs more than one permit.

use super::*;

/// Minimum and maximum fraction of N that accrues as permits; the rest is reserved for saved permits, bursts
/// and an uneven distribution of traffic over the proxies.
const ACCRUING_FRACTION_RANGE: (f64, f64) = (0.1, 0.7);
/// Requests per second over all proxies that are added to the served rate, at most one per proxy, so that a
/// fleet that serves nothing yet can start.
const EXTRA_FLEET_RATE: f64 = 30.0;
/// Number of answers of a class from which its cost may differ from the mean.
const MIN_ANSWERS: f64 = 20.0;
/// Gain of the moving mean of answer times.
const MEAN_TIME_GAIN: f64 = 0.03;
/// Minimum and maximum cost of a request, in permits.
const COST_RANGE: (f64, f64) = (0.5, 4.0);

/// This proxy's permits to send requests to one server that is warming up.
#[derive(Clone, Copy, Default)]
pub struct Permits {
    /// Permits and the fraction of the next one; negative after a request that cost more than the balance.
    balance: f64,
    accrued_at: Nanos,
}

impl Permits {
    /// Creates permits with an initial balance; the part above the maximum is dropped later.
    pub fn starting_with(balance: f64, now: Nanos) -> Self {
        Permits { balance, accrued_at: now }
    }

    /// Skips accrual for the time up to `now`.
    pub fn pause_until(&mut self, now: Nanos) {
        self.accrued_at = now;
    }

    /// Adds the accrued permits, up to `max_saved`; returns whether a request may be sent. If `max_saved` is
    /// below one, it is the fraction of the time for which an earned permit stays valid.
    fn accrue(&mut self, now: Nanos, per_second: f64, max_saved: f64) -> bool {
        self.balance += seconds_between(self.accrued_at, now) * per_second;
        self.accrued_at = now;
        if max_saved >= 1.0 {
            self.balance = self.balance.min(max_saved);
            return self.balance >= 1.0;
        }
        if self.balance >= 1.0 {
            self.balance = 1.0 + self.balance.fract();
        }
        self.balance >= 1.0 && self.balance.fract() <= max_saved
    }

    fn spend(&mut self, cost: f64) {
        self.balance -= cost;
    }
}

/// The mean time of cache hits, over all classes and by class. It serves as an estimate of the work that a
/// request of a class takes.
pub struct WorkByClass {
    all: MeanTime,
    classes: Vec<MeanTime>,
}

#[derive(Clone, Copy, Default)]
struct MeanTime {
    mean: f64,
    count: f64,
}

impl MeanTime {
    fn record(&mut self, elapsed: Nanos) {
        self.count += 1.0;
        self.mean += (1.0 / self.count).max(MEAN_TIME_GAIN) * (elapsed as f64 - self.mean);
    }
}

impl WorkByClass {
    /// Creates empty statistics for a number of classes.
    pub fn new(classes: usize) -> Self {
        WorkByClass { all: MeanTime::default(), classes: vec![MeanTime::default(); classes] }
    }

    /// Records the time of an answer to a request of a class.
    pub fn record_answer(&mut self, class: usize, elapsed: Nanos) {
        if let Some(mean_time) = self.classes.get_mut(class) {
            mean_time.record(elapsed);
            self.all.record(elapsed);
        }
    }

    /// Returns the cost of a request of a class in permits: its work as a multiple of the mean.
    fn cost(&self, class: usize) -> f64 {
        let known = self
            .classes
            .get(class)
            .filter(|class_time| class_time.count >= MIN_ANSWERS && self.all.mean > 0.0);
        known.map_or(1.0, |class_time| (class_time.mean / self.all.mean).clamp(COST_RANGE.0, COST_RANGE.1))
    }
}

impl ServerTable {
    /// Returns a lower bound of the fraction of its capacity that a server has reached; 1 when it is warm.
    pub(super) fn warm_fraction(&self, now: Nanos, s: &Server) -> f64 {
        let started = s.entry.started.max(s.included_at);
        if started == 0 || self.settings.slow_start_time == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(started) as f64 / self.settings.slow_start_time as f64;
        let from = self.settings.slow_start_from.clamp(0.0, 1.0);
        (from + (1.0 - from) * age).min(1.0)
    }
}

impl Balancer {
    /// Whether slow start allows a request to a server now; always true once the server is warm.
    pub(super) fn slow_start_admits(&mut self, now: Nanos, index: u32) -> bool {
        let s = self.servers.at(index);
        let warm = self.servers.warm_fraction(now, s);
        if warm >= 1.0 || !self.servers.is_eligible_for_keys(s) {
            return true;
        }
        let weight_fraction = 1.0 / s.inverse_weight / self.servers.total_weight.max(1e-9);
        let extra_rate = (EXTRA_FLEET_RATE / f64::from(self.settings.proxies.max(1))).min(1.0);
        let request_rate = self.traffic.arrival_rate_before(now).min(self.traffic.served_rate() + extra_rate);
        // This proxy's part of N per second, assuming that traffic is evenly distributed over the proxies.
        let permit_rate = self.settings.overload_multiple * warm * weight_fraction * request_rate
            / self.utilization.estimate();
        if !permit_rate.is_finite() {
            return true;
        }
        let window = self.overload_window();
        let proxies = f64::from(self.settings.proxies.max(1));
        let fleet_permits = permit_rate * window * proxies;
        let accruing = accruing_fraction(weight_fraction * request_rate * window, fleet_permits);
        // All proxies may spend their saved permits at the same time when keys of this server become hot, or
        // no other server is ready. Only proxies that get a request within the window can spend one in it.
        let max_saved = ((1.0 - accruing) * fleet_permits + fleet_permits.sqrt()) / proxies;
        let request_probability = (self.traffic.arrival_rate(now) * window).min(1.0);
        let max_saved = max_saved.max((max_saved / request_probability.max(f64::MIN_POSITIVE)).min(1.0));
        self.servers.at_mut(index).permits.accrue(now, accruing * permit_rate, max_saved)
    }

    /// Returns the window over which a server's load is limited, in seconds.
    fn overload_window(&self) -> f64 {
        if self.settings.overload_window == 0 {
            return 1.0;
        }
        seconds_between(0, self.settings.overload_window)
    }

    /// Spends the permits for a request of a class that is sent to a server, if the server is warming up.
    pub(super) fn slow_start_spend(&mut self, now: Nanos, index: u32, class: usize) {
        let s = self.servers.at(index);
        if self.servers.warm_fraction(now, s) < 1.0 && self.servers.is_eligible_for_keys(s) {
            let cost = self.work.cost(class);
            self.servers.at_mut(index).permits.spend(cost);
        }
    }
}

/// Returns the fraction of N that accrues at a proxy with `demand` requests for the server in a window. A
/// request finds a permit with the probability that one is saved, so permits are spent as fast as they accrue
/// if this fraction is `demand * ((1 - fraction) + 1 / sqrt(fleet_permits))`. Unspent permits would only
/// shorten the time for which one stays saved.
fn accruing_fraction(demand: f64, fleet_permits: f64) -> f64 {
    let fraction = demand / (1.0 + demand) * (1.0 + 1.0 / fleet_permits.max(f64::MIN_POSITIVE).sqrt());
    fraction.clamp(ACCRUING_FRACTION_RANGE.0, ACCRUING_FRACTION_RANGE.1)
}
