//! What operators may set, with ranges.

use aniseyoke_decision::api::Nanos;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Limits as an operator's file sets them under `[limits]`; what it leaves out stands at its default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// What may be out at a node.
    pub node: Bounds,
    /// What may be out at the origin, where the proxy asks it itself.
    pub origin: Bounds,
    /// Who waits there, and how long.
    pub queue: QueueRules,
    /// The part of a node's room that requests over their tenant's share may use, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0), extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub over_share_part: f64,
}

impl Default for Rules {
    fn default() -> Self {
        let origin = Bounds { floor: 16.0, start: 64.0, tolerance: 4.0, ..Bounds::default() };
        Rules { node: Bounds::default(), origin, queue: QueueRules::default(), over_share_part: 0.75 }
    }
}

/// Bounds of a concurrency limit, in attempts that are out at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Never less than this, whatever is seen. At least 1.
    #[schemars(range(min = 1.0, max = 100_000.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub floor: f64,
    /// Before anything is seen, and after a restart.
    #[schemars(range(min = 1.0, max = 100_000.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub start: f64,
    /// Never more. At most 100,000.
    #[schemars(range(min = 1.0, max = 100_000.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub ceiling: f64,
    /// Answers may take this many times as long as the node's own baseline before its room shrinks. 1.1 to 10.
    #[schemars(range(min = 1.1, max = 10.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "times the baseline"))]
    pub tolerance: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { floor: 2.0, start: 8.0, ceiling: 512.0, tolerance: 2.0 }
    }
}

/// Bounds of a node's queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct QueueRules {
    /// So many wait at most; 0: nobody waits, and what finds no room is turned away at once.
    #[schemars(range(min = 0, max = 4096), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub most: usize,
    /// The longest wait where the queue runs empty now and then.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-since" = "0.3", "x-apply" = "restart", "x-kind" = "duration", "x-least" = "1ns", "x-most" = "10s"))]
    pub interval: Duration,
    /// The longest wait where it has not been empty for an interval.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-since" = "0.3", "x-apply" = "restart", "x-kind" = "duration", "x-least" = "1ns", "x-most" = "10s"))]
    pub target: Duration,
}

impl Default for QueueRules {
    fn default() -> Self {
        QueueRules { most: 64, interval: Duration::from_millis(100), target: Duration::from_millis(5) }
    }
}

impl QueueRules {
    pub(super) fn interval_ns(&self) -> Nanos {
        self.interval.as_nanos() as Nanos
    }

    pub(super) fn target_ns(&self) -> Nanos {
        self.target.as_nanos() as Nanos
    }
}

/// A rule that can't be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key at fault, with its path below `limits`.
    pub key: &'static str,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "limits.{}: {}", self.key, self.why)
    }
}

impl std::error::Error for Fault {}

/// The most that a ceiling may be: more attempts than a proxy has descriptors for are no limit.
const CEILING_MOST: f64 = 100_000.0;
/// Each answer walks over all who wait at its node.
const QUEUE_MOST: usize = 4096;
/// Longer waits than this are no queue but a store.
const WAIT_MOST: Duration = Duration::from_secs(10);

impl Bounds {
    fn faults(&self, [floor, start, ceiling, tolerance]: [&'static str; 4], faults: &mut Vec<Fault>) {
        let before = faults.len();
        faults.extend(within(floor, self.floor, 1.0, CEILING_MOST));
        faults.extend(within(start, self.start, 1.0, CEILING_MOST));
        faults.extend(within(ceiling, self.ceiling, 1.0, CEILING_MOST));
        if faults.len() == before {
            faults.extend(ordered(floor, self.floor, "ceiling", self.ceiling));
            faults.extend(ordered(floor, self.floor, "start", self.start));
            faults.extend(ordered(start, self.start, "ceiling", self.ceiling));
        }
        faults.extend(within(tolerance, self.tolerance, 1.1, 10.0));
    }
}

fn within(key: &'static str, value: f64, least: f64, most: f64) -> Option<Fault> {
    let inside = value >= least && value <= most;
    (!inside).then(|| Fault { key, why: format!("{value} lies outside of {least} to {most}") })
}

fn ordered(key: &'static str, value: f64, name: &str, bound: f64) -> Option<Fault> {
    (value > bound).then(|| Fault { key, why: format!("{value} is above the {name}, {bound}") })
}

impl Rules {
    /// Whether the rules can be followed.
    ///
    /// # Errors
    /// The first key at fault, and why.
    pub fn check(&self) -> Result<(), Fault> {
        self.faults().into_iter().next().map_or(Ok(()), Err)
    }

    /// All that keeps the rules from being followed.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.node.faults(["node.floor", "node.start", "node.ceiling", "node.tolerance"], &mut faults);
        self.origin
            .faults(["origin.floor", "origin.start", "origin.ceiling", "origin.tolerance"], &mut faults);
        faults.extend(within("over_share_part", self.over_share_part, 0.0, 1.0));
        faults.extend(within("queue.most", self.queue.most as f64, 0.0, QUEUE_MOST as f64));
        let (interval, target) = (self.queue.interval, self.queue.target);
        if interval > WAIT_MOST || interval.is_zero() {
            let why = format!("{interval:?} lies outside of 1 ns to {WAIT_MOST:?}");
            faults.push(Fault { key: "queue.interval", why });
        }
        if target > interval || target.is_zero() {
            let why = format!("{target:?} is zero or above the interval, {interval:?}");
            faults.push(Fault { key: "queue.target", why });
        }
        faults
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_defaults_are_sound() {
        assert_eq!(Rules::default().check(), Ok(()));
    }

    #[test]
    fn all_faults_are_told_at_once() {
        let mut rules = Rules { over_share_part: 2.0, ..Rules::default() };
        rules.node.tolerance = 0.0;
        rules.queue.interval = Duration::ZERO;
        let keys: Vec<&str> = rules.faults().iter().map(|f| f.key).collect();
        assert_eq!(keys, ["node.tolerance", "over_share_part", "queue.interval", "queue.target"]);
    }

    #[test]
    fn each_bad_rule_is_named_with_its_reason() {
        type Change = fn(&mut Rules);
        let cases: [(&str, Change, &str); 10] = [
            ("node.floor", |r| r.node.floor = 0.0, "outside"),
            ("node.floor", |r| r.node.floor = 600.0, "above the ceiling"),
            ("node.floor", |r| r.node.floor = 9.0, "above the start"),
            ("origin.start", |r| r.origin.start = 1e6, "outside"),
            ("node.start", |r| r.node.start = 513.0, "above the ceiling"),
            ("node.tolerance", |r| r.node.tolerance = f64::NAN, "outside"),
            ("over_share_part", |r| r.over_share_part = 1.5, "outside"),
            ("queue.most", |r| r.queue.most = 1 << 20, "outside"),
            ("queue.interval", |r| r.queue.interval = Duration::from_secs(60), "outside"),
            ("queue.target", |r| r.queue.target = Duration::from_millis(200), "above the interval"),
        ];
        for (key, change, why) in cases {
            let mut rules = Rules::default();
            change(&mut rules);
            let fault = rules.check().expect_err(key);
            assert_eq!(fault.key, key);
            assert!(fault.to_string().contains(why), "{fault}");
        }
    }
}
