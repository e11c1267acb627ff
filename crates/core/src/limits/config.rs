//! The operator's `[limits]` configuration, with defaults and valid ranges.
//!
//! `config explain` prints the doc comments of the fields. The keys are part of the format of operators'
//! files.

use aniseyoke_decision::api::Nanos;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Concurrency limits, set in the operator's file under `[limits]`; omitted keys have their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Rules")]
pub struct LimitsConfig {
    /// Bounds of the limit on attempts in flight at one cache node.
    pub node: ConcurrencyBounds,
    /// Bounds of the limit on attempts in flight at the origin, if the proxy fetches from the origin itself.
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
    /// The initial limit, also used after a restart of the node.
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
    /// Maximum number of waiting attempts; with 0, attempts without capacity are rejected at once.
    #[serde(rename = "most")]
    #[schemars(range(min = 0, max = 4096), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "attempts"))]
    pub max_length: usize,
    /// Maximum wait in a queue that becomes empty from time to time.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-since" = "0.3", "x-apply" = "restart", "x-kind" = "duration", "x-least" = "1ns", "x-most" = "10s"))]
    pub interval: Duration,
    /// Maximum wait in a queue that has not been empty for an interval.
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

/// A key of the `[limits]` configuration with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("limits.{key}: {reason}")]
pub struct LimitsConfigError {
    /// The key, with its path below `limits`.
    pub key: &'static str,
    /// Why the value is invalid.
    pub reason: String,
}

/// Maximum ceiling: a limit above the number of a proxy's file descriptors has no effect.
const MAX_CEILING: f64 = 100_000.0;
/// Maximum queue length: each answer scans all attempts that wait at its node.
const MAX_QUEUE_LENGTH: usize = 4096;
/// Maximum wait in a queue: with longer waits it would be storage rather than a queue.
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

fn check_range(key: &'static str, value: f64, min: f64, max: f64) -> Option<LimitsConfigError> {
    let in_range = value >= min && value <= max;
    (!in_range).then(|| LimitsConfigError { key, reason: format!("{value} lies outside of {min} to {max}") })
}

fn check_not_above(key: &'static str, value: f64, bound_name: &str, bound: f64) -> Option<LimitsConfigError> {
    let reason = || format!("{value} is above the {bound_name}, {bound}");
    (value > bound).then(|| LimitsConfigError { key, reason: reason() })
}

impl LimitsConfig {
    /// Checks ranges and the order of bounds.
    ///
    /// # Errors
    /// Returns the first key with an invalid value.
    pub fn check(&self) -> Result<(), LimitsConfigError> {
        self.validate().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns all keys with invalid values.
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
