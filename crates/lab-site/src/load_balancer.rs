//! The load balancer in front of the proxies: it picks the address of each new connection, and the clients connect. It
//! follows each proxy's health, and detects a dead one only after a while.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
struct Backend {
    addr: SocketAddr,
    /// Its last health check was answered with 200.
    healthy: bool,
    /// Since when no health check was answered.
    dead_since: Option<Instant>,
}

/// A load balancer over the proxies, round robin.
pub struct LoadBalancer {
    backends: Mutex<(Vec<Backend>, usize)>,
    detection_delay: Duration,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It was answered with 200.
    Healthy,
    /// It was answered with anything else.
    Unhealthy,
    /// It was not answered.
    NoResponse,
}

impl LoadBalancer {
    /// A load balancer over proxies at these addresses, all healthy; it detects a dead one after `detection_delay`.
    pub fn new(addrs: &[SocketAddr], detection_delay: Duration) -> Self {
        let backend = |addr: &SocketAddr| Backend { addr: *addr, healthy: true, dead_since: None };
        LoadBalancer { backends: Mutex::new((addrs.iter().map(backend).collect(), 0)), detection_delay }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Vec<Backend>, &mut usize) -> T) -> T {
        let mut backends = self.backends.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (backends, next) = &mut *backends;
        act(backends, next)
    }

    /// Where the next connection goes: the proxy's number and address. With none healthy, to any that is not known dead.
    pub fn pick(&self) -> (usize, SocketAddr) {
        self.with(|backends, next| {
            let count = backends.len();
            let turn = |n: usize| (*next + n) % count;
            let known_dead =
                |s: &Backend| s.dead_since.is_some_and(|since| since.elapsed() > self.detection_delay);
            let usable = |n: &usize| backends[*n].healthy && !known_dead(&backends[*n]);
            let chosen = (0..count).map(turn).find(usable);
            let chosen = chosen.or_else(|| (0..count).map(turn).find(|n| !known_dead(&backends[*n])));
            let chosen = chosen.unwrap_or(turn(0));
            *next = chosen + 1;
            (chosen, backends[chosen].addr)
        })
    }

    /// A proxy listens at another address from now on.
    pub fn set_addr(&self, proxy: usize, addr: SocketAddr) {
        self.with(|backends, _| backends[proxy] = Backend { addr, healthy: true, dead_since: None });
    }

    /// Records the result of a health check.
    pub fn record_health(&self, proxy: usize, health: Health) {
        self.with(|backends, _| {
            let backend = &mut backends[proxy];
            match health {
                Health::Healthy => (backend.healthy, backend.dead_since) = (true, None),
                Health::Unhealthy => (backend.healthy, backend.dead_since) = (false, None),
                // A dead one stays in rotation until it is detected.
                Health::NoResponse => backend.dead_since = backend.dead_since.or(Some(Instant::now())),
            }
        });
    }

    /// The address of each proxy.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.with(|backends, _| backends.iter().map(|s| s.addr).collect())
    }
}

#[cfg(test)]
mod tests;
