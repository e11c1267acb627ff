//! What a machine of each kind bears, by the load that servers report.

use super::*;

/// The report of a server less busy than this is mostly noise.
const BUSY: f64 = 0.05;
/// So much reported busy time makes a kind known; the part of it that each report replaces from then on.
const SURE: f64 = 3.0;
const GAIN: f64 = 0.002;
/// How far what a kind bears must have moved before ranks follow: each move costs misses.
const STEP: f64 = 0.1;
/// The most by which kinds may differ from the mean. Danger: broken reports would starve a kind, or flood it.
const MOST: f64 = 8.0;

/// For each kind, busy time reported and what was served in it. Danger: one proxy of many meets each server
/// seldom and sees nothing of what others send there; at even shares slow ones drown while fast ones idle.
pub type Speeds = FxHashMap<u32, (f64, f64)>;

impl Balancer {
    /// Learns from a server's report, and ranks anew where a kind bears more or less than was known.
    pub(super) fn reported(&mut self, now: Nanos, server: ServerId, load: Load) {
        self.roster.get_mut(server).into_iter().for_each(|s| s.load = (load.busy(), now));
        let usual = |s: &&Server| self.roster.ranks(s) && self.roster.warmth(now, s) >= 1.0;
        let Some(s) = self.roster.get(server).filter(usual).filter(|_| load.busy() >= BUSY) else { return };
        let (busy, served) = self.speeds.entry(s.entry.kind).or_default();
        *busy = *busy * (1.0 - GAIN) + load.busy();
        // Of its size, which the list tells: what it does not tell is how fast a kind is.
        *served = *served * (1.0 - GAIN) + load.rate() * s.inverse_weight * self.roster.speed(s.entry.kind);
        let known = || self.speeds.iter().filter(|(_, of)| of.0 >= SURE && of.1 > 0.0);
        let all = known().fold((0.0, 0.0), |sum, (_, of)| (sum.0 + of.0, sum.1 + of.1));
        let speeds = known().map(|(kind, of)| (*kind, (of.1 / of.0 * all.0 / all.1).clamp(1.0 / MOST, MOST)));
        if speeds.clone().any(|(kind, speed)| (speed / self.roster.speed(kind) - 1.0).abs() > STEP) {
            self.roster.sped(speeds.collect());
        }
    }
}
