//! Machine capacity: the capacity of each machine kind relative to the mean, and the fraction of their
//! capacity that servers use, both learned from load reports.

use super::*;

/// Reports of servers less busy than this are ignored, because they are mostly noise.
const MIN_REPORTED_BUSY: f64 = 0.05;
/// Sum of reported busy fractions from which the capacity of a kind counts as known.
const MIN_BUSY_SUM: f64 = 3.0;
/// Gain of the moving sums of a kind's reports.
const KIND_GAIN: f64 = 0.002;
/// Relative change of a kind's capacity from which servers are ranked again. Each new ranking costs cache
/// misses.
const MIN_CAPACITY_CHANGE: f64 = 0.1;
/// Number of reports from which the utilization counts as known.
const MIN_REPORTS: f64 = 20.0;
/// Gain of the moving mean of the utilization.
const UTILIZATION_GAIN: f64 = 0.01;
/// Lower bound of the utilization, whatever servers report.
const MIN_UTILIZATION: f64 = 0.25;
/// Maximum ratio between the capacity of a kind and the mean. Without a bound, broken reports could starve or
/// overload a kind.
const MAX_CAPACITY_RATIO: f64 = 8.0;

/// Sums over the load reports of a machine kind.
#[derive(Clone, Copy, Default)]
pub struct KindReports {
    /// Sum of the busy fractions.
    busy: f64,
    /// Sum of the served rates, each divided by the server's size in the endpoint list.
    served: f64,
}

/// Reports by machine kind. Load reports are needed because one proxy of many contacts each server seldom and
/// does not see what other proxies send there; with equal shares, slow machines would be overloaded while
/// fast ones are idle.
pub type ReportsByKind = FxHashMap<u32, KindReports>;

/// The fraction of their capacity that warm servers use, by their load reports.
#[derive(Clone, Copy, Default)]
pub struct Utilization {
    mean: f64,
    reports: f64,
}

impl Utilization {
    fn record(&mut self, busy: f64) {
        self.reports += 1.0;
        self.mean += (1.0 / self.reports).max(UTILIZATION_GAIN) * (busy - self.mean);
    }

    /// Returns the mean utilization; 1 while there are too few reports.
    pub fn estimate(&self) -> f64 {
        if self.reports < MIN_REPORTS {
            return 1.0;
        }
        self.mean.clamp(MIN_UTILIZATION, 1.0)
    }
}

impl Balancer {
    /// Records a server's load report; updates the weights if the capacity of a kind has changed.
    pub(super) fn record_load_report(&mut self, now: Nanos, server: ServerId, load: Load) {
        if let Some(s) = self.servers.get_mut(server) {
            s.reported = ReportedLoad { busy: load.busy(), received_at: now };
        }
        if load.busy() < MIN_REPORTED_BUSY {
            return;
        }
        let warm =
            |s: &&Server| self.servers.is_eligible_for_keys(s) && self.servers.warm_fraction(now, s) >= 1.0;
        let Some(s) = self.servers.get(server).filter(warm) else { return };
        self.utilization.record(load.busy());
        let kind = s.entry.kind;
        let reports = self.reports.entry(kind).or_default();
        reports.busy = reports.busy * (1.0 - KIND_GAIN) + load.busy();
        // The rate is divided by the server's size, which the list gives; the list does not give a kind's
        // speed.
        let served = load.rate() * s.inverse_weight * self.servers.capacity_of(kind);
        reports.served = reports.served * (1.0 - KIND_GAIN) + served;
        self.update_capacities();
    }

    fn update_capacities(&mut self) {
        let known = || self.reports.iter().filter(|(_, sums)| sums.busy >= MIN_BUSY_SUM && sums.served > 0.0);
        let all = known().fold((0.0, 0.0), |total, (_, sums)| (total.0 + sums.busy, total.1 + sums.served));
        let relative_to_mean = |sums: &KindReports| {
            (sums.served / sums.busy * all.0 / all.1).clamp(1.0 / MAX_CAPACITY_RATIO, MAX_CAPACITY_RATIO)
        };
        let capacities = known().map(|(kind, sums)| (*kind, relative_to_mean(sums)));
        let has_changed = |(kind, capacity): (u32, f64)| {
            (capacity / self.servers.capacity_of(kind) - 1.0).abs() > MIN_CAPACITY_CHANGE
        };
        if capacities.clone().any(has_changed) {
            let capacities = capacities.collect();
            self.servers.update_capacities(capacities);
        }
    }
}
