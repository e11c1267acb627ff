//! Load balancing: which server gets the next attempt of a request.
//!
//! The servers of the request's bucket come first, in the order of `key_affinity`. Of those that are
//! eligible, not ejected and admitted by slow start, the first one with spare capacity is chosen.

use super::key_affinity::{index_in_scope, CANDIDATES};
use super::*;

/// Upper end of the bound on a candidate's attempts in flight, as a multiple of the mean. The bound is drawn
/// for each attempt between one mean and this; with a fixed bound, all buckets of a server would leave it,
/// and return to it, at the same time.
const MAX_IN_FLIGHT_MEANS: f64 = 3.0;
/// The busy fraction above which a candidate is skipped for some of its requests. For a proxy with little
/// traffic, load reports are the only sign of what the other proxies send to a server.
const BUSY_THRESHOLD: f64 = 0.8;
/// Age up to which a load report is used.
const MAX_REPORT_AGE: Nanos = 5 * SECOND;

/// Bounds below which a server counts as having spare capacity, drawn for each attempt.
struct CapacityBounds {
    /// Attempts in flight per unit of weight.
    in_flight: f64,
    /// Fraction of its cores that is busy.
    busy: f64,
}

impl Balancer {
    /// Chooses the server for the next attempt of a request; the first `spread` servers of a hot bucket share
    /// its requests.
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
        order.retain(|index| self.may_get_attempt(now, request, *index));
        if order.is_empty() {
            order = self.all_by_distance(now, request, bucket);
        }
        if self.failure_rates.connects_often_fail() {
            self.prefer_connected(now, request, &mut order);
        }
        order.retain(|&index| self.slow_start_admits(now, index));
        let has_capacity = |index: &&u32| self.has_capacity(now, **index, &bounds);
        order.iter().take(CANDIDATES.max(spread)).find(has_capacity).or(order.first()).copied()
    }

    fn draw_bounds(&mut self) -> CapacityBounds {
        // Even a single request of this proxy in flight may be an expensive one that delays the next.
        let mean = self.servers.in_flight / self.servers.total_weight.max(1e-9);
        let in_flight = mean * (1.0 + (MAX_IN_FLIGHT_MEANS - 1.0) * self.random.draw());
        let busy = BUSY_THRESHOLD + (1.0 - BUSY_THRESHOLD) * self.random.draw();
        CapacityBounds { in_flight, busy }
    }

    /// Whether a server may get the next attempt of a request: it is not ejected, it is open to the request,
    /// and no earlier attempt was sent there.
    fn may_get_attempt(&self, now: Nanos, request: &ActiveRequest, index: u32) -> bool {
        let s = self.servers.at(index);
        let already_tried = request.attempts.iter().any(|a| a.server == s.entry.server);
        let open = self.servers.is_open_to(&request.settings, request.class, request.pool, s);
        let eligible = open && self.may_repeat_at(now, request, s);
        self.servers.is_eligible_for_keys(s) && s.ejected_until <= now && eligible && !already_tried
    }

    /// Returns all servers that may get the next attempt, the nearest first and otherwise in an order of the
    /// bucket. Used when no ranked server may get it.
    fn all_by_distance(&self, now: Nanos, request: &ActiveRequest, bucket: u32) -> Vec<u32> {
        let all = self.servers.indices().filter(|index| self.may_get_attempt(now, request, *index));
        let mut order: Vec<u32> = all.collect();
        order.sort_by_key(|&index| {
            let e = &self.servers.at(index).entry;
            (e.zone != self.settings.zone, mix(e.server ^ mix(index_in_scope(bucket))))
        });
        order
    }

    /// Puts servers with an open connection first; if there are none in the order, adds others that have one.
    /// When new connections often fail (full connection tables, slow handshakes), attempts without an open
    /// connection would fail too.
    fn prefer_connected(&self, now: Nanos, request: &ActiveRequest, order: &mut Vec<u32>) {
        let is_connected = |index: &u32| {
            let connected_at = self.servers.at(*index).connected_at;
            connected_at > 0 && connected_at.saturating_add(self.settings.idle_timeout) > now
        };
        if !order.iter().any(is_connected) {
            let all = self.servers.indices().filter(|index| self.may_get_attempt(now, request, *index));
            order.extend(all.filter(is_connected));
        }
        order.sort_by_key(|index| !is_connected(index));
    }

    /// Whether a server has spare capacity. Requests beyond the capacity of a slow server would suffer
    /// head-of-line blocking there; the other candidate costs at most a cache miss.
    fn has_capacity(&self, now: Nanos, index: u32, bounds: &CapacityBounds) -> bool {
        let s = self.servers.at(index);
        let limit = s.concurrency_limit.unwrap_or(f64::INFINITY);
        s.busy(now, MAX_REPORT_AGE) < bounds.busy
            && s.in_flight < (0.5 + bounds.in_flight / s.inverse_weight).min(limit)
    }
}
