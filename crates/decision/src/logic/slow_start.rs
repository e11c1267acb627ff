//! Slow start: what this proxy may send a server that is warming up after a restart.
//!
//! A server that is warming up fails when all proxies together send it more than N requests of mean work
//! within the window that the settings name, with some slack for chance (N + 2 sqrt N + 2). N is
//! `overload_multiple` times its present capacity, which is this proxy's traffic over the part of their
//! capacity that servers report to use. No proxy sees what the others send, so each keeps to its own part
//! of N, which is divided in two:
//!
//! - One part accrues as permits. It is the greater the more requests the proxy has for the server.
//! - What all proxies together have saved up stays within the rest of N plus half of the slack for chance.
//!   Where that is a whole permit or more for each proxy, a proxy saves so much. Where it is less, a permit
//!   lapses some time after it was earned, so that at any moment only so many proxies hold one. The
//!   fraction of a permit that a proxy starts with is drawn at random, which spreads the proxies' turns
//!   over time.
//! - For a server that is new to a process that has run for the window, a permit may be held from the start:
//!   nobody has sent it anything. Otherwise there is only a fraction, since what was sent before is not
//!   known.
//! - A request of a class that takes more work than the mean costs more than one permit.

use super::*;

/// The least and the most of N that accrues as permits; the rest is left to saved permits, bursts and uneven
/// proxies.
const ACCRUING_PART: (f64, f64) = (0.1, 0.7);
/// So many requests a second more than are served count as served by all proxies together, and one at most by
/// each, so that a fleet that serves nothing yet begins.
const SERVED_MORE_ALL: f64 = 30.0;
/// Answers that have to be known of a class before its work is distinguished from the mean.
const KNOWN: f64 = 20.0;
/// The gain with which the mean time of an answer is followed.
const GAIN: f64 = 0.03;
/// The least and the most permits that a request costs.
const COST: (f64, f64) = (0.5, 4.0);

/// Permits of this proxy to send to one server that is warming up.
#[derive(Clone, Copy, Default)]
pub struct Permits {
    /// Whole permits and the fraction of the next one; below zero after a request that cost more than was
    /// held.
    balance: f64,
    accrued_at: Nanos,
}

impl Permits {
    /// So many at first; what is past the most that may be saved does not count.
    pub fn starting_with(balance: f64, now: Nanos) -> Self {
        Permits { balance, accrued_at: now }
    }

    /// Nothing accrues for the time up to now.
    pub fn pause_until(&mut self, now: Nanos) {
        self.accrued_at = now;
    }

    /// Adds what has accrued, keeps at most `most`, and tells whether a request may be sent. Below one,
    /// `most` is the part of the time for which a permit that was earned stays good.
    fn accrue(&mut self, now: Nanos, per_second: f64, most: f64) -> bool {
        self.balance += seconds_between(self.accrued_at, now) * per_second;
        self.accrued_at = now;
        if most >= 1.0 {
            self.balance = self.balance.min(most);
            return self.balance >= 1.0;
        }
        if self.balance >= 1.0 {
            self.balance = 1.0 + self.balance.fract();
        }
        self.balance >= 1.0 && self.balance.fract() <= most
    }

    fn spend(&mut self, cost: f64) {
        self.balance -= cost;
    }
}

/// The mean time of answers that servers gave from their own store, over all classes and by class: the
/// guide to how much work a request of a class takes.
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
        self.mean += (1.0 / self.count).max(GAIN) * (elapsed as f64 - self.mean);
    }
}

impl WorkByClass {
    /// Nothing known of so many classes.
    pub fn new(classes: usize) -> Self {
        WorkByClass { all: MeanTime::default(), classes: vec![MeanTime::default(); classes] }
    }

    /// An answer to a request of a class took so long.
    pub fn record_answer(&mut self, class: usize, elapsed: Nanos) {
        if let Some(own) = self.classes.get_mut(class) {
            own.record(elapsed);
            self.all.record(elapsed);
        }
    }

    /// What a request of a class costs in permits: its work as a multiple of the mean.
    fn cost(&self, class: usize) -> f64 {
        let known = self.classes.get(class).filter(|own| own.count >= KNOWN && self.all.mean > 0.0);
        known.map_or(1.0, |own| (own.mean / self.all.mean).clamp(COST.0, COST.1))
    }
}

impl ServerTable {
    /// The part of its capacity that a server surely has by now.
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
    /// Whether a server may be sent a request now, as far as it is warming up.
    pub(super) fn slow_start_admits(&mut self, now: Nanos, index: u32) -> bool {
        let s = self.servers.at(index);
        let warm = self.servers.warm_fraction(now, s);
        if warm >= 1.0 || !self.servers.can_be_candidate(s) {
            return true;
        }
        let part = 1.0 / s.inverse_weight / self.servers.total_weight.max(1e-9);
        let more = (SERVED_MORE_ALL / f64::from(self.settings.proxies.max(1))).min(1.0);
        let traffic = self.traffic.arrival_rate_before(now).min(self.traffic.served_rate() + more);
        // This proxy's part of N for each second, by its own even share of traffic.
        let own = self.settings.overload_multiple * warm * part * traffic / self.utilization.estimate();
        if !own.is_finite() {
            return true;
        }
        let window = self.overload_window();
        let proxies = f64::from(self.settings.proxies.max(1));
        let all = own * window * proxies;
        let accruing = accruing_part(part * traffic * window, all);
        // Permits that all proxies have saved are spent at once when keys of this server turn hot, or no
        // other is ready. No more proxies can spend one within the window than get a request in it.
        let saved = ((1.0 - accruing) * all + all.sqrt()) / proxies;
        let asking = (self.traffic.arrival_rate(now) * window).min(1.0);
        let saved = saved.max((saved / asking.max(f64::MIN_POSITIVE)).min(1.0));
        self.servers.at_mut(index).permits.accrue(now, accruing * own, saved)
    }

    /// The window of the rule, in seconds.
    fn overload_window(&self) -> f64 {
        if self.settings.overload_window == 0 {
            return 1.0;
        }
        seconds_between(0, self.settings.overload_window)
    }

    /// Takes a request of a class that is sent to a server off what that may be sent while it is warming up.
    pub(super) fn slow_start_spend(&mut self, now: Nanos, index: u32, class: usize) {
        let s = self.servers.at(index);
        if self.servers.warm_fraction(now, s) < 1.0 && self.servers.can_be_candidate(s) {
            let cost = self.work.cost(class);
            self.servers.at_mut(index).permits.spend(cost);
        }
    }
}

/// The part of N that accrues where a proxy has so many requests for the server in a window. A request finds
/// a permit with the chance that one is saved, so that as many are spent as accrue where this part is
/// `demand * ((1 - part) + 1 / sqrt(all))`; what is not spent would only shorten the time that one is saved.
fn accruing_part(demand: f64, all: f64) -> f64 {
    let part = demand / (1.0 + demand) * (1.0 + 1.0 / all.max(f64::MIN_POSITIVE).sqrt());
    part.clamp(ACCRUING_PART.0, ACCRUING_PART.1)
}
