//! The operator's `[limits]` configuration, with defaults and ranges.
//!
//! The fields' doc comments are what `config explain` prints; the keys are those that operators write.

use aniseyoke_decision::api::Nanos;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Concurrency limits as the operator's file sets them under `[limits]`; keys left out have their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Rules")]
pub struct LimitsConfig {
    /// Attempts in flight at one cache node.
    pub node: ConcurrencyBounds,
    /// Attempts in flight at the origin, where the proxy fetches from it itself.
    pub origin: ConcurrencyBounds,
    /// The queue of attempts that wait for capacity at a node.
    pub queue: QueueConfig,
    /// The fraction of a node's concurrency limit that requests over their tenant's quota may use, 0 to 1.
    #[serde(rename = "over_share_part")]
    #[schemars(range(min = 0.0, max = 1.0), extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub over_quota_fraction: f64,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        let node = ConcurrencyBounds::default();
        let origin = ConcurrencyBounds { floor: 16.0, start: 64.0, tolerance: 4.0, ..node };
        LimitsConfig { node, origin, queue: QueueConfig::default(), over_quota_fraction: 0.75 }
    }
}

/// Bounds of an adaptive concurrency limit, in attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Bounds")]
pub struct ConcurrencyBounds {
    /// The limit never falls below this. At least 1.
    #[schemars(range(min = 1.0, max = 100_000.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub floor: f64,
    /// The limit before anything is learnt, and after a restart of the node.
    #[schemars(range(min = 1.0, max = 100_000.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub start: f64,
    /// The limit never rises above this. At most 100,000.
    #[schemars(range(min = 1.0, max = 100_000.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub ceiling: f64,
    /// Latency may be this many times the node's own baseline before its limit shrinks. 1.1 to 10.
    #[schemars(range(min = 1.1, max = 10.0), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "times the baseline"))]
    pub tolerance: f64,
}

impl Default for ConcurrencyBounds {
    fn default() -> Self {
        ConcurrencyBounds { floor: 2.0, start: 8.0, ceiling: 512.0, tolerance: 2.0 }
    }
}

/// Bounds of a node's queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "QueueRules")]
pub struct QueueConfig {
    /// The most attempts that wait at once; 0: none waits, and what finds no capacity is rejected at once.
    #[serde(rename = "most")]
    #[schemars(range(min = 0, max = 4096), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub max_length: usize,
    /// The longest wait in a queue that runs empty now and then.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-since" = "0.3", "x-apply" = "restart", "x-kind" = "duration", "x-least" = "1ns", "x-most" = "10s"))]
    pub interval: Duration,
    /// The longest wait in a queue that has not been empty for an interval.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-since" = "0.3", "x-apply" = "restart", "x-kind" = "duration", "x-least" = "1ns", "x-most" = "10s"))]
    pub target: Duration,
}

impl Default for QueueConfig {
    fn default() -> Self {
        QueueConfig { max_length: 64, interval: Duration::from_millis(100), target: Duration::from_millis(5) }
    }
}

impl QueueConfig {
    pub(super) fn interval_nanos(&self) -> Nanos {
        self.interval.as_nanos() as Nanos
    }

    pub(super) fn target_nanos(&self) -> Nanos {
        self.target.as_nanos() as Nanos
    }
}

/// A key of the `[limits]` configuration whose value is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("limits.{key}: {reason}")]
pub struct LimitsConfigError {
    /// The key at fault, with its path below `limits`.
    pub key: &'static str,
    /// Why its value is not accepted.
    pub reason: String,
}

/// The highest ceiling: more attempts than a proxy has descriptors for are no limit.
const MAX_CEILING: f64 = 100_000.0;
/// The longest queue: each answer scans all that wait at its node.
const MAX_QUEUE_LENGTH: usize = 4096;
/// The longest wait: what waits longer than this is stored, not queued.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(10);

/// The keys of one set of bounds, with their paths below `limits`.
struct BoundsKeys {
    floor: &'static str,
    start: &'static str,
    ceiling: &'static str,
    tolerance: &'static str,
}

const NODE_KEYS: BoundsKeys = BoundsKeys {
    floor: "node.floor",
    start: "node.start",
    ceiling: "node.ceiling",
    tolerance: "node.tolerance",
};

const ORIGIN_KEYS: BoundsKeys = BoundsKeys {
    floor: "origin.floor",
    start: "origin.start",
    ceiling: "origin.ceiling",
    tolerance: "origin.tolerance",
};

impl ConcurrencyBounds {
    fn validate(&self, keys: &BoundsKeys) -> Vec<LimitsConfigError> {
        let mut errors = Vec::new();
        errors.extend(check_range(keys.floor, self.floor, 1.0, MAX_CEILING));
        errors.extend(check_range(keys.start, self.start, 1.0, MAX_CEILING));
        errors.extend(check_range(keys.ceiling, self.ceiling, 1.0, MAX_CEILING));
        if errors.is_empty() {
            errors.extend(check_not_above(keys.floor, self.floor, "ceiling", self.ceiling));
            errors.extend(check_not_above(keys.floor, self.floor, "start", self.start));
            errors.extend(check_not_above(keys.start, self.start, "ceiling", self.ceiling));
        }
        errors.extend(check_range(keys.tolerance, self.tolerance, 1.1, 10.0));
        errors
    }
}

impl QueueConfig {
    fn validate(&self) -> Vec<LimitsConfigError> {
        let QueueConfig { max_length, interval, target } = *self;
        let mut errors = Vec::new();
        errors.extend(check_range("queue.most", max_length as f64, 0.0, MAX_QUEUE_LENGTH as f64));
        if interval > MAX_QUEUE_WAIT || interval.is_zero() {
            let reason = format!("{interval:?} lies outside of 1 ns to {MAX_QUEUE_WAIT:?}");
            errors.push(LimitsConfigError { key: "queue.interval", reason });
        }
        if target > interval || target.is_zero() {
            let reason = format!("{target:?} is zero or above the interval, {interval:?}");
            errors.push(LimitsConfigError { key: "queue.target", reason });
        }
        errors
    }
}

fn check_range(key: &'static str, value: f64, least: f64, most: f64) -> Option<LimitsConfigError> {
    let inside = value >= least && value <= most;
    (!inside).then(|| LimitsConfigError { key, reason: format!("{value} lies outside of {least} to {most}") })
}

fn check_not_above(key: &'static str, value: f64, bound_name: &str, bound: f64) -> Option<LimitsConfigError> {
    let reason = || format!("{value} is above the {bound_name}, {bound}");
    (value > bound).then(|| LimitsConfigError { key, reason: reason() })
}

impl LimitsConfig {
    /// Checks ranges and the order of bounds.
    ///
    /// # Errors
    /// The first key whose value is not accepted.
    pub fn check(&self) -> Result<(), LimitsConfigError> {
        self.validate().into_iter().next().map_or(Ok(()), Err)
    }

    /// All keys whose values are not accepted.
    pub fn validate(&self) -> Vec<LimitsConfigError> {
        let mut errors = self.node.validate(&NODE_KEYS);
        errors.extend(self.origin.validate(&ORIGIN_KEYS));
        errors.extend(check_range("over_share_part", self.over_quota_fraction, 0.0, 1.0));
        errors.extend(self.queue.validate());
        errors
    }
}

#[cfg(test)]
mod tests;
