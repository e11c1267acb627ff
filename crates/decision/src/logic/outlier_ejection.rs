//! Outlier ejection: servers that fail more often than the average server get no requests for a while.
//!
//! Each failure adds to the evidence against a server, and each success reduces it; the evidence is a sum of
//! log odds. Above a threshold the server is ejected for a time that doubles with each further ejection, and
//! then gets one request.

use super::*;

/// Lower bound of the failure rate that is assumed for a working server.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Upper bound of the failure rate that is assumed for a working server.
const MAX_FAILURE_RATE: f64 = 0.9;
/// Gain of the moving failure rate. It adapts slowly compared to the duration of a typical hang.
const FAILURE_RATE_GAIN: f64 = 0.005;
/// The fraction of attempts that fail to connect above which servers with an open connection are preferred.
const HIGH_CONNECT_FAILURE_RATE: f64 = 0.1;
/// Gain of the moving rate of failures to connect.
const CONNECT_FAILURE_RATE_GAIN: f64 = 0.05;
/// Evidence above which a server is ejected: log odds of 400 to 1, which two failures in a row reach while
/// hardly any attempt fails.
const EJECTION_THRESHOLD: f64 = 6.0;
/// Duration of the first ejection of a server.
const MIN_EJECTION_TIME: Nanos = 2 * SECOND;
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Nanos = 16 * SECOND;
/// Weight of a failure to connect, relative to other failures.
const CONNECT_FAILURE_WEIGHT: f64 = 2.0;
/// Number of answers from which a class's usual answer time counts as known.
const MIN_ANSWERS: f64 = 5.0;

/// Recent failure rates over all servers.
#[derive(Default)]
pub struct FailureRates {
    /// The recent fraction of attempts that fail.
    pub failures: f64,
    /// The recent fraction of attempts that fail to connect.
    connect_failures: f64,
}

impl FailureRates {
    /// Returns the evidence of one failure and of one success at a server, given the overall failure rate.
    /// With a slow origin or an overload, all servers fail at times. Ejecting each one for a few failures in
    /// a row would move all keys to the few servers left and overload them, and each move costs a cache miss.
    fn log_odds(&self) -> (f64, f64) {
        let base_rate = self.failures.clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE);
        let faulty_rate = 0.5 + 0.5 * base_rate;
        ((faulty_rate / base_rate).ln(), ((1.0 - faulty_rate) / (1.0 - base_rate)).ln())
    }

    /// Whether a high fraction of attempts fails to connect.
    pub fn connects_often_fail(&self) -> bool {
        self.connect_failures > HIGH_CONNECT_FAILURE_RATE
    }

    /// Records whether an attempt failed to connect.
    pub fn record_connect(&mut self, status: Status) {
        if !matches!(status, Status::Cancelled | Status::NotSent) {
            let failed = indicator(status == Status::ConnectFailed);
            self.connect_failures += CONNECT_FAILURE_RATE_GAIN * (failed - self.connect_failures);
        }
    }
}

impl ServerTable {
    /// Whether a server is ejected, or no longer listed.
    pub(super) fn is_ejected(&self, now: Nanos, server: ServerId) -> bool {
        self.get(server).is_none_or(|s| s.ejected_until > now)
    }
}

impl Balancer {
    /// Returns the evidence above which a server is ejected. It is halved at a proxy that sends a server less
    /// than one request per second, where waiting for a second missing answer would take too long.
    pub(super) fn ejection_threshold(&self, now: Nanos) -> f64 {
        let little_traffic = self.traffic.arrival_rate(now) <= self.servers.eligible_count;
        EJECTION_THRESHOLD * if little_traffic { 0.5 } else { 1.0 }
    }

    /// Records a failed attempt at a server; ejects the server if the evidence is above the threshold.
    pub(super) fn record_failure(&mut self, now: Nanos, server: ServerId, weight: f64) {
        let jitter = 0.75 + 0.5 * self.random.draw();
        let (failure_log_odds, threshold) = (self.failure_rates.log_odds().0, self.ejection_threshold(now));
        let Some(s) = self.servers.get_mut(server) else { return };
        s.failure_evidence = (s.failure_evidence + weight * failure_log_odds).min(2.0 * EJECTION_THRESHOLD);
        if s.failure_evidence > threshold && s.ejected_until <= now {
            // A server gets one request when its ejection ends; if that fails, the next ejection is twice as
            // long.
            s.ejection_time = (s.ejection_time * 2).clamp(MIN_EJECTION_TIME, MAX_EJECTION_TIME);
            s.ejected_until = now.saturating_add((s.ejection_time as f64 * jitter) as Nanos);
        }
        self.update_failure_rate(server, 1.0);
    }

    /// Records an answered attempt at a server.
    fn record_success(&mut self, now: Nanos, server: ServerId) {
        let (success_log_odds, threshold) = (self.failure_rates.log_odds().1, self.ejection_threshold(now));
        let Some(s) = self.servers.get_mut(server) else { return };
        s.failure_evidence = (0.5 * s.failure_evidence + success_log_odds).clamp(0.0, 0.5 * threshold);
        s.ejected_until = 0;
        s.ejection_time = if s.ejection_time > MIN_EJECTION_TIME { s.ejection_time / 2 } else { 0 };
        self.update_failure_rate(server, 0.0);
    }

    fn update_failure_rate(&mut self, server: ServerId, failed: f64) {
        if self.servers.get(server).is_some_and(|s| self.servers.is_eligible_for_keys(s)) {
            self.failure_rates.failures += FAILURE_RATE_GAIN * (failed - self.failure_rates.failures);
        }
    }

    /// Records an outcome in the statistics of its server and in the latency of the class.
    pub(super) fn record_outcome(&mut self, now: Nanos, o: &Outcome, class: Option<usize>, cut_short: bool) {
        let latency = self.traffic.latency(class);
        let early = latency.count > MIN_ANSWERS && (o.elapsed as f64) < latency.mean_plus(2.0);
        match o.status {
            Status::Ok | Status::Miss => self.record_success(now, o.server),
            Status::ConnectFailed => self.record_failure(now, o.server, CONNECT_FAILURE_WEIGHT),
            Status::Timeout if cut_short || early => {}
            Status::Error | Status::Timeout | Status::Reset => self.record_failure(now, o.server, 1.0),
            Status::Rejected | Status::Cancelled | Status::NotSent => {}
        }
        if o.status == Status::Ok {
            self.traffic.record_served(now, class, o.elapsed);
        }
    }
}
