//! The load balancer in front of the proxies: it picks the address for each new connection, and the clients connect to
//! it. It tracks each proxy's health, and detects an unresponsive proxy only after a delay.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
struct Backend {
    addr: SocketAddr,
    /// Whether the last answered health check returned 200.
    healthy: bool,
    /// Time of the first of the latest unanswered health checks.
    unresponsive_since: Option<Instant>,
}

/// A round-robin load balancer over the proxies.
pub struct LoadBalancer {
    backends: Mutex<(Vec<Backend>, usize)>,
    detection_delay: Duration,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The proxy answered with 200.
    Healthy,
    /// The proxy answered with another status.
    Unhealthy,
    /// The proxy did not answer.
    NoResponse,
}

impl LoadBalancer {
    /// Creates a load balancer over proxies at these addresses, all healthy. It takes an unresponsive proxy out of
    /// rotation after `detection_delay`.
    pub fn new(addrs: &[SocketAddr], detection_delay: Duration) -> Self {
        let backend = |addr: &SocketAddr| Backend { addr: *addr, healthy: true, unresponsive_since: None };
        LoadBalancer { backends: Mutex::new((addrs.iter().map(backend).collect(), 0)), detection_delay }
    }

    fn with<T>(&self, action: impl FnOnce(&mut Vec<Backend>, &mut usize) -> T) -> T {
        let mut backends = self.backends.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (backends, next) = &mut *backends;
        action(backends, next)
    }

    /// Picks the proxy for the next connection: its index and address. If none is healthy, picks any proxy that is not
    /// known to be unresponsive.
    pub fn pick(&self) -> (usize, SocketAddr) {
        self.with(|backends, next| {
            let count = backends.len();
            let rotated = |n: usize| (*next + n) % count;
            let known_unresponsive = |s: &Backend| {
                s.unresponsive_since.is_some_and(|since| since.elapsed() > self.detection_delay)
            };
            let usable = |n: &usize| backends[*n].healthy && !known_unresponsive(&backends[*n]);
            let chosen = (0..count).map(rotated).find(usable);
            let chosen =
                chosen.or_else(|| (0..count).map(rotated).find(|n| !known_unresponsive(&backends[*n])));
            let chosen = chosen.unwrap_or(rotated(0));
            *next = chosen + 1;
            (chosen, backends[chosen].addr)
        })
    }

    /// Sets a proxy's new address; the proxy counts as healthy.
    pub fn set_addr(&self, proxy: usize, addr: SocketAddr) {
        self.with(|backends, _| backends[proxy] = Backend { addr, healthy: true, unresponsive_since: None });
    }

    /// Records the result of a health check.
    pub fn record_health(&self, proxy: usize, health: Health) {
        self.with(|backends, _| {
            let backend = &mut backends[proxy];
            match health {
                Health::Healthy => (backend.healthy, backend.unresponsive_since) = (true, None),
                Health::Unhealthy => (backend.healthy, backend.unresponsive_since) = (false, None),
                // An unresponsive proxy stays in rotation until the detection delay has passed.
                Health::NoResponse => {
                    backend.unresponsive_since = backend.unresponsive_since.or(Some(Instant::now()))
                }
            }
        });
    }

    /// The addresses of all proxies.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.with(|backends, _| backends.iter().map(|s| s.addr).collect())
    }
}

#[cfg(test)]
mod tests;
