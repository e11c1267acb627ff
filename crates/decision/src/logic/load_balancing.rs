//! Load balancing: which server gets the next attempt of a request.
//!
//! The servers of the request's bucket come first, in the order of `key_affinity`. Of those that are
//! eligible, not ejected and admitted by slow start, the first that has capacity left is chosen.

use super::key_affinity::{hash_position, CANDIDATES};
use super::*;

/// The most that a candidate may have in flight, in means, before it passes a request on; drawn for each
/// between one mean and this. Danger: at one bound all its buckets leave a server, and return, at once.
const IN_FLIGHT_MOST: f64 = 3.0;
/// The busy part past which a candidate passes some requests on. Danger: of what all other proxies send
/// there, one with little traffic sees nothing else.
const BUSY: f64 = 0.8;
/// How long a load report counts.
const REPORT_FRESH: Nanos = 5 * SECOND;

/// Up to where a server counts as having capacity left, drawn anew for each attempt.
struct CapacityBounds {
    /// Attempts in flight, for each unit of weight.
    in_flight: f64,
    /// The busy part.
    busy: f64,
}

impl Balancer {
    /// The server for the next attempt of a request; a hot bucket's `spread` first servers share its
    /// requests.
    pub(super) fn choose_server(
        &mut self,
        now: Nanos,
        request: &ActiveRequest,
        spread: usize,
    ) -> Option<u32> {
        let bounds = self.draw_bounds();
        let bucket = match request.bucket {
            Some(bucket) => bucket,
            None => self.buckets.bucket_of(request.class, request.pool, now ^ self.random.0),
        };
        self.buckets.rank(&self.servers, bucket);
        let mut order = self.buckets.preference_order(&self.servers, now, bucket, spread);
        order.retain(|index| self.can_be_asked(now, request, *index));
        if order.is_empty() {
            order = self.all_by_distance(now, request, bucket);
        }
        if self.failure_rates.connecting_is_hard() {
            self.prefer_connected(now, request, &mut order);
        }
        order.retain(|&index| self.slow_start_admits(now, index));
        let has_capacity = |index: &&u32| self.has_capacity(now, **index, &bounds);
        order.iter().take(CANDIDATES.max(spread)).find(has_capacity).or(order.first()).copied()
    }

    fn draw_bounds(&mut self) -> CapacityBounds {
        // One request of its own that is already in flight may be a heavy one that the next would wait for.
        let mean = self.servers.in_flight / self.servers.total_weight.max(1e-9);
        let in_flight = mean * (1.0 + (IN_FLIGHT_MOST - 1.0) * self.random.draw());
        let busy = BUSY + (1.0 - BUSY) * self.random.draw();
        CapacityBounds { in_flight, busy }
    }

    /// Whether a server may get the next attempt of a request: it is not ejected, open to the request, and
    /// was not asked before.
    fn can_be_asked(&self, now: Nanos, request: &ActiveRequest, index: u32) -> bool {
        let s = self.servers.at(index);
        let asked = request.attempts.iter().any(|a| a.server == s.entry.server);
        let open = self.servers.is_open_to(&request.settings, request.class, request.pool, s);
        let eligible = open && self.may_repeat_at(now, request, s);
        self.servers.can_be_candidate(s) && s.ejected_until <= now && eligible && !asked
    }

    /// Any server that may be asked, nearest first, in the bucket's own order: for when no ranked one will
    /// do.
    fn all_by_distance(&self, now: Nanos, request: &ActiveRequest, bucket: u32) -> Vec<u32> {
        let all = self.servers.indices().filter(|index| self.can_be_asked(now, request, *index));
        let mut order: Vec<u32> = all.collect();
        order.sort_by_key(|&index| {
            let e = &self.servers.at(index).entry;
            (e.zone != self.settings.zone, mix(e.server ^ mix(hash_position(bucket))))
        });
        order
    }

    /// Puts servers with an open connection first, any of them if need be. Danger: where new connections
    /// are hard to get (full tables, slow handshakes), each attempt elsewhere fails too.
    fn prefer_connected(&self, now: Nanos, request: &ActiveRequest, order: &mut Vec<u32>) {
        let is_connected = |index: &u32| {
            let at = self.servers.at(*index).connected_at;
            at > 0 && at.saturating_add(self.settings.idle_timeout) > now
        };
        if !order.iter().any(is_connected) {
            let all = self.servers.indices().filter(|index| self.can_be_asked(now, request, *index));
            order.extend(all.filter(is_connected));
        }
        order.sort_by_key(|index| !is_connected(index));
    }

    /// Whether a server has capacity left. Danger: what a slow server has none for waits there behind its
    /// head; its keys' other candidate costs a miss at most.
    fn has_capacity(&self, now: Nanos, index: u32, bounds: &CapacityBounds) -> bool {
        let s = self.servers.at(index);
        let limit = s.concurrency_limit.unwrap_or(f64::INFINITY);
        s.busy(now, REPORT_FRESH) < bounds.busy
            && s.in_flight < (0.5 + bounds.in_flight / s.inverse_weight).min(limit)
    }
}
