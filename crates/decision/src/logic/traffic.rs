//! Traffic statistics: the rates of arriving and served requests, and the latency of each class.

use super::*;

/// Time constant of the arrival count, in seconds.
pub const ARRIVAL_TIME_CONSTANT_S: f64 = 16.0;
/// Time constant of the count of served requests, in seconds.
const SERVED_TIME_CONSTANT_S: f64 = 2.0;
/// Minimum uptime assumed when computing the arrival rate, in seconds.
const MIN_UPTIME_S: f64 = 0.5;

/// Traffic statistics over all requests.
pub struct Traffic {
    /// Decaying count of arrivals.
    pub arrivals: DecayingCounter,
    /// Time of the first event.
    pub started: Option<Nanos>,
    /// The latency of each class, followed by that of requests without a known class.
    latencies: Vec<LatencyProfile>,
    served: DecayingCounter,
}

impl Traffic {
    /// Creates empty statistics for a number of classes.
    pub fn new(classes: usize) -> Self {
        Traffic {
            arrivals: DecayingCounter::default(),
            started: None,
            latencies: vec![LatencyProfile::default(); classes + 1],
            served: DecayingCounter::default(),
        }
    }

    /// Counts an arriving request.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.arrivals.add(now, ARRIVAL_TIME_CONSTANT_S);
    }

    /// Returns the recent arrival rate at this proxy, in requests per second.
    pub fn arrival_rate(&self, now: Nanos) -> f64 {
        let uptime_s = seconds_between(self.started.unwrap_or(now), now);
        self.arrivals.sum
            / (ARRIVAL_TIME_CONSTANT_S
                * (1.0 - (-uptime_s.max(MIN_UPTIME_S) / ARRIVAL_TIME_CONSTANT_S).exp()))
    }

    /// Returns the recent arrival rate without the last arrival, in requests per second. At a proxy with
    /// little traffic, counting the request at hand would make its part of the traffic look several times as
    /// large, and so at all proxies together.
    pub fn arrival_rate_before(&self, now: Nanos) -> f64 {
        let earlier = (self.arrivals.sum - 1.0) / self.arrivals.sum.max(1.0);
        self.arrival_rate(now) * earlier.max(0.0)
    }

    /// Returns the recent rate of served requests, per second.
    pub fn served_rate(&self) -> f64 {
        self.served.sum / SERVED_TIME_CONSTANT_S
    }

    /// Returns the latency of a class, or of requests without a known class.
    pub fn latency(&self, class: Option<usize>) -> &LatencyProfile {
        &self.latencies[class.unwrap_or(usize::MAX).min(self.latencies.len() - 1)]
    }

    /// Returns the latency of a class, mutably.
    pub fn latency_mut(&mut self, class: usize) -> Option<&mut LatencyProfile> {
        self.latencies.get_mut(class)
    }

    /// Returns the latencies of the classes, followed by that of requests without a known class.
    pub fn latencies(&self) -> &[LatencyProfile] {
        &self.latencies
    }

    /// Counts a served request and records its latency.
    pub fn record_served(&mut self, now: Nanos, class: Option<usize>, elapsed: Nanos) {
        self.served.add(now, SERVED_TIME_CONSTANT_S);
        if let Some(latency) = class.and_then(|c| self.latencies.get_mut(c)) {
            latency.record_answer(elapsed);
        }
    }
}
