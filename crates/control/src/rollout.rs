//! A staged rollout: which proxies get a new version at which stage, and when the rollout is halted. Does no
//! I/O and reads no clock: the caller passes the time, and counts of responses.

use crate::version::Stamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Nanoseconds since an arbitrary fixed point on the caller's monotonic clock.
type Nanos = u64;

const NANOS_PER_MS: Nanos = 1_000_000;
/// Minimum number of responses, under the new version and under others each, before the two are compared.
/// With fewer there is no comparison, and a stage may end without one.
const MIN_RESPONSES: u64 = 200;
/// Number of standard deviations by which the share of bad responses has to be higher under the new version.
/// The shares are compared every second, so a smaller number would halt sound versions by chance: a one-sided
/// test at four deviations gives about one false alarm in 30,000 comparisons.
const DEVIATIONS: f64 = 4.0;

/// The plan by which a version is rolled out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The stages, in order. A stage includes the proxies of all earlier stages, and its percentage must not
    /// be lower than theirs. If empty, every proxy gets the version at once.
    #[serde(default)]
    pub stages: Vec<Stage>,
    /// The largest tolerated difference, from 0 to 1, between the share of failed and rejected responses
    /// under the new version and the share under other versions. A larger difference halts the rollout.
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
    /// The percentage of proxies that get the version, from 0 to 100. They are selected by a hash of the
    /// proxy's name and the version's stamp.
    #[serde(default)]
    pub percent: u8,
    /// Proxies that have all of these labels get the version as well. If empty, no proxy is selected by
    /// labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// The minimum duration of the stage, in milliseconds.
    #[serde(default)]
    pub hold_ms: u64,
}

/// Why a plan is not valid. The message starts with the path of the field in the plan, such as
/// `stages.0.percent`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The margin is not between 0 and 1.
    #[error("margin: {0} lies outside of 0 to 1")]
    Margin(f64),
    /// A percentage is above 100.
    #[error("stages.{stage}.percent: {percent} lies outside of 0 to 100")]
    Percent {
        /// The index of the stage.
        stage: usize,
        /// Its percentage.
        percent: u8,
    },
    /// A stage has a lower percentage than the one before.
    #[error("stages.{stage}.percent: {percent} is less than the {before} of the stage before")]
    DecreasingPercent {
        /// The index of the stage.
        stage: usize,
        /// Its percentage.
        percent: u8,
        /// The percentage of the stage before.
        before: u8,
    },
}

impl Plan {
    /// Checks that the margin and the percentages are in range, and that no percentage is lower than the one
    /// before.
    ///
    /// # Errors
    /// The first violation.
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
                return Err(PlanError::DecreasingPercent { stage, percent, before });
            }
            before = percent;
        }
        Ok(())
    }
}

/// The state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The rollout is in the stage with this index.
    Stage(usize),
    /// Every proxy gets the version. Displayed as `everybody`.
    Complete,
    /// The rollout was stopped for this reason, and is not resumed. [`Rollout::includes`] is false for every
    /// proxy; the publisher lets proxies that already run the version keep it, and sends it to no other.
    /// Taking the version back requires publishing another one.
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

/// Counts of responses under one version, or under several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// All responses.
    pub total: u64,
    /// Responses that failed or were rejected.
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
    /// Responses under the new version since the current stage began.
    under_new: ResponseCounts,
    /// Responses under all other versions since the current stage began.
    under_others: ResponseCounts,
}

impl Rollout {
    /// Starts a rollout at its first stage. With a plan without stages it is complete from the start.
    pub fn new(now: Nanos, stamp: Stamp, plan: Plan) -> Self {
        let state = if plan.stages.is_empty() { RolloutState::Complete } else { RolloutState::Stage(0) };
        let (under_new, under_others) = (ResponseCounts::default(), ResponseCounts::default());
        Rollout { stamp, plan, state, stage_started: now, under_new, under_others }
    }

    /// The stamp of the version that is rolled out: an epoch, which rises with each start of the service, and
    /// the version's number within the epoch.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The state of the rollout.
    pub fn state(&self) -> &RolloutState {
        &self.state
    }

    /// Whether a proxy with this name and these labels gets the version now. A proxy that one stage includes
    /// is included in all later stages and once the rollout is complete, but no proxy is included once the
    /// rollout is halted.
    pub fn includes(&self, instance: &str, labels: &BTreeMap<String, String>) -> bool {
        let current_stage = match &self.state {
            RolloutState::Complete => return true,
            RolloutState::Halted(_) => return false,
            RolloutState::Stage(n) => *n,
        };
        let seed = self.stamp.epoch ^ self.stamp.number.rotate_left(32);
        let bucket = xxh3_64_with_seed(instance.as_bytes(), seed) % 100;
        self.plan.stages[..=current_stage].iter().any(|stage| {
            let has_labels = stage.labels.iter().all(|(name, value)| labels.get(name) == Some(value));
            bucket < u64::from(stage.percent) || has_labels && !stage.labels.is_empty()
        })
    }

    /// Adds responses of a proxy, under the new version if `is_new` and under another one otherwise.
    pub fn report(&mut self, is_new: bool, counts: ResponseCounts) {
        if is_new { &mut self.under_new } else { &mut self.under_others }.add(counts);
    }

    /// Records the rejection of the version by a proxy (a NACK, or a frame that is too long for it), which
    /// halts the rollout if it is in a stage.
    pub fn record_rejection(&mut self, instance: &str, reason: &str) {
        self.halt(&format!("{instance} rejected it: {reason}"));
    }

    /// Halts the rollout, unless it is complete or halted already.
    pub fn halt(&mut self, reason: &str) {
        if matches!(self.state, RolloutState::Stage(_)) {
            self.state = RolloutState::Halted(reason.to_owned());
        }
    }

    /// Halts the rollout if responses are worse under the new version, or else begins the next stage once the
    /// current one has lasted its minimum duration and `pending` is 0. Returns whether the state has changed.
    ///
    /// `pending` is the number of proxies that were sent the version and have neither accepted nor rejected
    /// it. There is no timeout: a stage waits for each of them until it answers or the caller no longer
    /// counts it. The publisher stops counting a proxy once its connection is closed or has been idle for too
    /// long.
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

    /// Returns the reason to halt the rollout if the share of bad responses is higher under the new version
    /// than under others, by more than the margin and by more than chance explains. The latter is a
    /// two-proportion z-test: the difference of the shares is compared with its standard deviation under the
    /// pooled share. Returns `None` if either side has fewer than [`MIN_RESPONSES`].
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
