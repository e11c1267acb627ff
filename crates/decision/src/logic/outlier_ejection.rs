//! Outlier ejection: servers that fail more than servers do on the whole get no requests for a while.
//!
//! Each failure and success adds to or takes from the evidence against a server, a sum of logarithms of
//! odds. Past a threshold the server is ejected for a time that doubles with each further ejection; after
//! that it gets one request.

use super::*;

/// The least part of attempts that is held to fail by chance.
const FAILURE_RATE_LEAST: f64 = 0.02;
/// The greatest part of attempts that is held to fail by chance.
const FAILURE_RATE_MOST: f64 = 0.9;
/// The gain with which that part is followed: slower than silences end.
const FAILURE_RATE_GAIN: f64 = 0.005;
/// The part of attempts that fail to connect past which servers with an open connection are preferred.
const CONNECT_FAILURES_MANY: f64 = 0.1;
/// The gain with which that part is followed.
const CONNECT_FAILURES_GAIN: f64 = 0.05;
/// Odds of 400 to 1, as a logarithm: two failures in a row where hardly any attempt fails.
const THRESHOLD: f64 = 6.0;
/// How long a server is ejected at first.
const EJECTION_LEAST: Nanos = 2 * SECOND;
/// How long a server is ejected at most.
const EJECTION_MOST: Nanos = 16 * SECOND;
/// What a failure to connect weighs against another failure.
const CONNECT_FAILURE_WEIGHT: f64 = 2.0;
/// Answers after which a class's usual time is known.
const LATENCY_KNOWN: f64 = 5.0;

/// How often attempts fail on the whole.
#[derive(Default)]
pub struct FailureRates {
    /// The part of attempts that fails lately.
    pub failures: f64,
    /// The part of attempts that finds no connection, lately.
    connect_failures: f64,
}

impl FailureRates {
    /// What a failure and a success say of one server, given how many attempts fail on the whole. Danger:
    /// with a slow origin or an overload all servers fail at times; ejecting each for a few failures in a row
    /// moves all keys to the few servers left, which then drown, and each move is a miss.
    fn log_odds(&self) -> (f64, f64) {
        let usual = self.failures.clamp(FAILURE_RATE_LEAST, FAILURE_RATE_MOST);
        let broken = 0.5 + 0.5 * usual;
        ((broken / usual).ln(), ((1.0 - broken) / (1.0 - usual)).ln())
    }

    /// Whether connections are hard to get.
    pub fn connecting_is_hard(&self) -> bool {
        self.connect_failures > CONNECT_FAILURES_MANY
    }

    /// Takes note of whether an attempt found a connection.
    pub fn record_connect(&mut self, status: Status) {
        if !matches!(status, Status::Cancelled | Status::NotSent) {
            let failed = indicator(status == Status::ConnectFailed);
            self.connect_failures += CONNECT_FAILURES_GAIN * (failed - self.connect_failures);
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
    /// The evidence at which a server is ejected. A proxy that sends a server less than one request a
    /// second cannot wait for a second silence.
    pub(super) fn ejection_threshold(&self, now: Nanos) -> f64 {
        let little_traffic = self.traffic.arrival_rate(now) <= self.servers.candidates;
        THRESHOLD * if little_traffic { 0.5 } else { 1.0 }
    }

    /// An attempt at a server has failed.
    pub(super) fn record_failure(&mut self, now: Nanos, server: ServerId, weight: f64) {
        let jitter = 0.75 + 0.5 * self.random.draw();
        let (worse, threshold) = (self.failure_rates.log_odds().0, self.ejection_threshold(now));
        let Some(s) = self.servers.get_mut(server) else { return };
        s.failure_evidence = (s.failure_evidence + weight * worse).min(2.0 * THRESHOLD);
        if s.failure_evidence > threshold && s.ejected_until <= now {
            // An ejected server gets one request each time its ejection ends; the next failure doubles it.
            s.ejection_time = (s.ejection_time * 2).clamp(EJECTION_LEAST, EJECTION_MOST);
            s.ejected_until = now.saturating_add((s.ejection_time as f64 * jitter) as Nanos);
        }
        self.follow_failure_rate(server, 1.0);
    }

    /// An attempt at a server was answered.
    fn record_success(&mut self, now: Nanos, server: ServerId) {
        let (better, threshold) = (self.failure_rates.log_odds().1, self.ejection_threshold(now));
        let Some(s) = self.servers.get_mut(server) else { return };
        s.failure_evidence = (0.5 * s.failure_evidence + better).clamp(0.0, 0.5 * threshold);
        s.ejected_until = 0;
        s.ejection_time = if s.ejection_time > EJECTION_LEAST { s.ejection_time / 2 } else { 0 };
        self.follow_failure_rate(server, 0.0);
    }

    fn follow_failure_rate(&mut self, server: ServerId, failed: f64) {
        if self.servers.get(server).is_some_and(|s| self.servers.can_be_candidate(s)) {
            self.failure_rates.failures += FAILURE_RATE_GAIN * (failed - self.failure_rates.failures);
        }
    }

    /// What an outcome says of its server, and of the usual times of the class.
    pub(super) fn record_outcome(&mut self, now: Nanos, o: &Outcome, class: Option<usize>, cut_short: bool) {
        let usual = self.traffic.latency(class);
        let early = usual.count > LATENCY_KNOWN && (o.elapsed as f64) < usual.mean_plus(2.0);
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
