//! A staged rollout: who gets a new version when, and when the rollout is halted. No I/O, no clock.

use crate::version::Stamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Nanoseconds since an arbitrary fixed point.
type Nanos = u64;

const NANOS_PER_MS: Nanos = 1_000_000;
/// How many responses under each version are needed before they are compared.
const MIN_RESPONSES: u64 = 200;
/// By how many standard deviations the shares of bad responses have to differ. Danger: since they are compared every
/// second, a smaller figure halts sound versions by chance; four deviations are one comparison in 30,000.
const DEVIATIONS: f64 = 4.0;

/// How a version is rolled out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The stages, each wider than the one before. None: every proxy gets the version at once.
    #[serde(default)]
    pub stages: Vec<Stage>,
    /// By how much the share of failed and rejected responses may rise, 0 to 1, before the rollout is halted.
    #[serde(default = "default_margin")]
    pub margin: f64,
}

fn default_margin() -> f64 {
    0.01
}

impl Default for Plan {
    fn default() -> Self {
        Plan { stages: Vec::new(), margin: default_margin() }
    }
}

/// One stage of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The percentage of instances that get the version, drawn by their names and the version.
    #[serde(default)]
    pub percent: u8,
    /// Instances that have all of these labels get it as well, if any label is given.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// The shortest duration of the stage, in milliseconds.
    #[serde(default)]
    pub hold_ms: u64,
}

/// Why a plan is not valid. The text begins with the place in the plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The margin is no share.
    #[error("margin: {0} lies outside of 0 to 1")]
    Margin(f64),
    /// A percentage is out of its range.
    #[error("stages.{stage}.percent: {percent} lies outside of 0 to 100")]
    Percent {
        /// The index of the stage.
        stage: usize,
        /// Its percentage.
        percent: u8,
    },
    /// A stage is narrower than the one before.
    #[error("stages.{stage}.percent: {percent} is less than the {before} of the stage before")]
    Narrower {
        /// The index of the stage.
        stage: usize,
        /// Its percentage.
        percent: u8,
        /// The percentage of the stage before.
        before: u8,
    },
}

impl Plan {
    /// Checks the plan.
    ///
    /// # Errors
    /// The first fault of it.
    pub fn check(&self) -> Result<(), PlanError> {
        if !(0.0..=1.0).contains(&self.margin) {
            return Err(PlanError::Margin(self.margin));
        }
        let mut before = 0;
        for (stage, Stage { percent, .. }) in self.stages.iter().enumerate() {
            let percent = *percent;
            if percent > 100 {
                return Err(PlanError::Percent { stage, percent });
            }
            if percent < before {
                return Err(PlanError::Narrower { stage, percent, before });
            }
            before = percent;
        }
        Ok(())
    }
}

/// The state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It is in the stage with this index.
    Stage(usize),
    /// Every proxy gets the version.
    Complete,
    /// No other proxy gets the version, for this reason.
    Halted(String),
}

impl fmt::Display for RolloutState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RolloutState::Stage(n) => write!(f, "stage {n}"),
            RolloutState::Complete => f.write_str("everybody"),
            RolloutState::Halted(reason) => write!(f, "halted: {reason}"),
        }
    }
}

/// Counts of responses under one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// All responses.
    pub total: u64,
    /// Those that failed or were rejected.
    pub bad: u64,
}

impl ResponseCounts {
    fn add(&mut self, other: ResponseCounts) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }

    fn bad_share(&self) -> f64 {
        self.bad as f64 / self.total as f64
    }
}

/// The rollout of one version.
#[derive(Clone, Debug)]
pub struct Rollout {
    stamp: Stamp,
    plan: Plan,
    state: RolloutState,
    stage_started: Nanos,
    /// Responses since this stage began, under the new version and under others.
    under_new: ResponseCounts,
    under_others: ResponseCounts,
}

impl Rollout {
    /// A rollout at its first stage.
    pub fn new(now: Nanos, stamp: Stamp, plan: Plan) -> Self {
        let state = if plan.stages.is_empty() { RolloutState::Complete } else { RolloutState::Stage(0) };
        let (under_new, under_others) = (ResponseCounts::default(), ResponseCounts::default());
        Rollout { stamp, plan, state, stage_started: now, under_new, under_others }
    }

    /// The version.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The state.
    pub fn state(&self) -> &RolloutState {
        &self.state
    }

    /// Whether an instance gets the version now. Once it does, it does so in all later stages.
    pub fn includes(&self, instance: &str, labels: &BTreeMap<String, String>) -> bool {
        let last = match &self.state {
            RolloutState::Complete => return true,
            RolloutState::Halted(_) => return false,
            RolloutState::Stage(n) => *n,
        };
        let seed = self.stamp.epoch ^ self.stamp.number.rotate_left(32);
        let drawn = xxh3_64_with_seed(instance.as_bytes(), seed) % 100;
        self.plan.stages[..=last].iter().any(|stage| {
            let has_labels = stage.labels.iter().all(|(name, value)| labels.get(name) == Some(value));
            drawn < u64::from(stage.percent) || has_labels && !stage.labels.is_empty()
        })
    }

    /// Adds responses of an instance, under the new version or another one.
    pub fn report(&mut self, is_new: bool, counts: ResponseCounts) {
        if is_new { &mut self.under_new } else { &mut self.under_others }.add(counts);
    }

    /// An instance has rejected the version.
    pub fn nacked(&mut self, instance: &str, reason: &str) {
        self.halt(&format!("{instance} rejected it: {reason}"));
    }

    /// Halts the rollout, unless it is complete or halted already.
    pub fn halt(&mut self, reason: &str) {
        if matches!(self.state, RolloutState::Stage(_)) {
            self.state = RolloutState::Halted(reason.to_owned());
        }
    }

    /// Lets time pass. `pending`: how many instances have not answered yet whether they accept the version. True if the
    /// state has changed.
    pub fn tick(&mut self, now: Nanos, pending: usize) -> bool {
        let RolloutState::Stage(n) = self.state else { return false };
        if let Some(reason) = self.regression() {
            self.state = RolloutState::Halted(reason);
            return true;
        }
        let hold = self.plan.stages[n].hold_ms.saturating_mul(NANOS_PER_MS);
        if now.saturating_sub(self.stage_started) < hold || pending > 0 {
            return false;
        }
        let is_last = n + 1 >= self.plan.stages.len();
        self.state = if is_last { RolloutState::Complete } else { RolloutState::Stage(n + 1) };
        self.stage_started = now;
        self.under_new = ResponseCounts::default();
        self.under_others = ResponseCounts::default();
        true
    }

    /// Whether responses under the new version are worse than under others, by more than the margin and by more than
    /// chance explains: the difference of two proportions against its standard deviation.
    fn regression(&self) -> Option<String> {
        let (new, others) = (self.under_new, self.under_others);
        if new.total < MIN_RESPONSES || others.total < MIN_RESPONSES {
            return None;
        }
        let pooled = (new.bad + others.bad) as f64 / (new.total + others.total) as f64;
        let variance = pooled * (1.0 - pooled) * (1.0 / new.total as f64 + 1.0 / others.total as f64);
        let difference = new.bad_share() - others.bad_share();
        let is_worse = difference > self.plan.margin && difference > DEVIATIONS * variance.sqrt();
        is_worse.then(|| {
            format!(
                "{:.1}% of {} answers are bad under it, {:.1}% of {} under others",
                new.bad_share() * 100.0,
                new.total,
                others.bad_share() * 100.0,
                others.total
            )
        })
    }
}

#[cfg(test)]
mod tests;
