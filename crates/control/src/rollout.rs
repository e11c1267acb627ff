//! Who gets a new version when, and when it is halted. No I/O, no clock.

use crate::version::Stamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Nanoseconds from any fixed point.
type Nanos = u64;

/// Requests under the new version before anything is concluded from them.
const REQUESTS: u64 = 200;
/// How many deviations apart the shares of bad answers lie before it is no chance. Danger: with looks every second a
/// smaller figure halts sound versions by chance; four deviations are one look in 30,000.
const DEVIATIONS: f64 = 4.0;

/// How a version is brought out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its stages, each wider than the one before. None: everybody at once.
    #[serde(default)]
    pub stages: Vec<Stage>,
    /// By how much the share of failed and refused answers may rise, 0 to 1, before it counts as harm.
    #[serde(default = "usual_margin")]
    pub margin: f64,
}

fn usual_margin() -> f64 {
    0.01
}

impl Default for Plan {
    fn default() -> Self {
        Plan { stages: Vec::new(), margin: usual_margin() }
    }
}

/// One stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// So many of a hundred instances, drawn by their names and the version.
    #[serde(default)]
    pub percent: u8,
    /// And all that have each of these labels, if any is given.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// How long it lasts at least, in milliseconds.
    #[serde(default)]
    pub hold_ms: u64,
}

/// What is wrong with a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unsound(pub String);

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Plan {
    /// Whether it can be followed.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), Unsound> {
        if !(0.0..=1.0).contains(&self.margin) {
            return Err(Unsound(format!("margin: {} lies outside of 0 to 1", self.margin)));
        }
        let mut before = 0;
        for (n, stage) in self.stages.iter().enumerate() {
            if stage.percent > 100 {
                return Err(Unsound(format!(
                    "stages.{n}.percent: {} lies outside of 0 to 100",
                    stage.percent
                )));
            }
            if stage.percent < before {
                let why = format!("{} is less than the {before} of the stage before", stage.percent);
                return Err(Unsound(format!("stages.{n}.percent: {why}")));
            }
            before = stage.percent;
        }
        Ok(())
    }
}

/// How far a rollout has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// In this stage.
    Stage(usize),
    /// Everybody gets it.
    Everybody,
    /// Nobody else gets it, and why.
    Halted(String),
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            State::Stage(n) => write!(f, "stage {n}"),
            State::Everybody => f.write_str("everybody"),
            State::Halted(why) => write!(f, "halted: {why}"),
        }
    }
}

/// Answers under one of the two versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// All.
    pub all: u64,
    /// Failed or refused.
    pub bad: u64,
}

impl Answers {
    fn add(&mut self, other: Answers) {
        self.all = self.all.saturating_add(other.all);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// One version on its way out.
#[derive(Clone, Debug)]
pub struct Rollout {
    stamp: Stamp,
    plan: Plan,
    state: State,
    since: Nanos,
    /// Answers since this stage began, under the new version and under others.
    new: Answers,
    old: Answers,
}

impl Rollout {
    /// A rollout at its first stage.
    pub fn new(now: Nanos, stamp: Stamp, plan: Plan) -> Self {
        let state = if plan.stages.is_empty() { State::Everybody } else { State::Stage(0) };
        Rollout { stamp, plan, state, since: now, new: Answers::default(), old: Answers::default() }
    }

    /// Which version it is.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// How far it has come.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether an instance is to get it by now. Once it is, it stays so at all later stages.
    pub fn includes(&self, instance: &str, labels: &BTreeMap<String, String>) -> bool {
        let last = match &self.state {
            State::Everybody => return true,
            State::Halted(_) => return false,
            State::Stage(n) => *n,
        };
        let seed = self.stamp.epoch ^ self.stamp.number.rotate_left(32);
        let drawn = xxh3_64_with_seed(instance.as_bytes(), seed) % 100;
        self.plan.stages[..=last].iter().any(|stage| {
            let named = stage.labels.iter().all(|(name, value)| labels.get(name) == Some(value));
            drawn < u64::from(stage.percent) || named && !stage.labels.is_empty()
        })
    }

    /// Answers that an instance gave, under the new version or another.
    pub fn report(&mut self, under_new: bool, answers: Answers) {
        if under_new { &mut self.new } else { &mut self.old }.add(answers);
    }

    /// An instance has turned it down.
    pub fn refused(&mut self, instance: &str, why: &str) {
        if matches!(self.state, State::Stage(_)) {
            self.state = State::Halted(format!("{instance} turned it down: {why}"));
        }
    }

    /// An operator halts it.
    pub fn halt(&mut self, why: &str) {
        if matches!(self.state, State::Stage(_)) {
            self.state = State::Halted(why.to_owned());
        }
    }

    /// Time has passed. `pending` instances of this stage have not said yet whether they take it. True if the state
    /// has changed.
    pub fn tick(&mut self, now: Nanos, pending: usize) -> bool {
        let State::Stage(n) = self.state else { return false };
        if let Some(why) = self.harm() {
            self.state = State::Halted(why);
            return true;
        }
        let held = now.saturating_sub(self.since) >= self.plan.stages[n].hold_ms.saturating_mul(1_000_000);
        if !held || pending > 0 {
            return false;
        }
        self.state = if n + 1 < self.plan.stages.len() { State::Stage(n + 1) } else { State::Everybody };
        self.since = now;
        (self.new, self.old) = (Answers::default(), Answers::default());
        true
    }

    /// Whether those that run the new version answer worse than those that do not, by more than the margin and than
    /// chance: the difference of two proportions against its own deviation.
    fn harm(&self) -> Option<String> {
        let (new, old) = (self.new, self.old);
        if new.all < REQUESTS || old.all < REQUESTS {
            return None;
        }
        let part = |a: Answers| a.bad as f64 / a.all as f64;
        let both = (new.bad + old.bad) as f64 / (new.all + old.all) as f64;
        let spread = (both * (1.0 - both) * (1.0 / new.all as f64 + 1.0 / old.all as f64)).sqrt();
        let more = part(new) - part(old);
        (more > self.plan.margin && more > DEVIATIONS * spread).then(|| {
            let percent = |p: f64| p * 100.0;
            format!(
                "{:.1}% of {} answers are bad under it, {:.1}% of {} under others",
                percent(part(new)),
                new.all,
                percent(part(old)),
                old.all
            )
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{RngExt, SeedableRng};

    const SECOND: Nanos = 1_000_000_000;

    fn plan(percents: &[u8]) -> Plan {
        let stage = |percent: &u8| Stage { percent: *percent, hold_ms: 10_000, ..Stage::default() };
        Plan { stages: percents.iter().map(stage).collect(), ..Plan::default() }
    }

    fn stamp() -> Stamp {
        Stamp { epoch: 1, number: 7 }
    }

    fn included(rollout: &Rollout) -> Vec<usize> {
        let none = BTreeMap::new();
        (0..1000).filter(|n| rollout.includes(&format!("proxy-{n}"), &none)).collect()
    }

    #[test]
    fn stages_widen_and_who_is_in_stays_in() {
        let mut rollout = Rollout::new(0, stamp(), plan(&[5, 25, 100]));
        let first = included(&rollout);
        assert!((25..=80).contains(&first.len()), "{}", first.len());
        assert!(!rollout.tick(9 * SECOND, 0), "it is held");
        assert!(!rollout.tick(11 * SECOND, 1), "one has not said yet");
        assert!(rollout.tick(11 * SECOND, 0));
        let second = included(&rollout);
        assert!((200..=300).contains(&second.len()) && first.iter().all(|n| second.contains(n)));
        rollout.tick(22 * SECOND, 0);
        assert_eq!(included(&rollout).len(), 1000);
        rollout.tick(33 * SECOND, 0);
        assert_eq!(rollout.state(), &State::Everybody);
    }

    #[test]
    fn labels_bring_in_whom_they_name() {
        let labels = BTreeMap::from([("site".to_owned(), "test".to_owned())]);
        let stage = Stage { labels: labels.clone(), ..Stage::default() };
        let rollout = Rollout::new(0, stamp(), Plan { stages: vec![stage], ..Plan::default() });
        assert!(rollout.includes("a", &labels) && !rollout.includes("a", &BTreeMap::new()));
    }

    #[test]
    fn a_version_that_does_harm_is_halted_and_nobody_else_gets_it() {
        let mut rollout = Rollout::new(0, stamp(), plan(&[5, 100]));
        rollout.report(false, Answers { all: 10_000, bad: 100 });
        rollout.report(true, Answers { all: 100, bad: 100 });
        assert!(!rollout.tick(SECOND, 0), "too few to tell");
        rollout.report(true, Answers { all: 400, bad: 20 });
        assert!(rollout.tick(2 * SECOND, 0));
        assert!(matches!(rollout.state(), State::Halted(why) if why.contains("% of 500 answers")));
        assert_eq!(included(&rollout), Vec::<usize>::new());
        assert!(!rollout.tick(100 * SECOND, 0), "for good");
    }

    #[test]
    fn a_version_that_an_instance_turns_down_is_halted() {
        let mut rollout = Rollout::new(0, stamp(), plan(&[5, 100]));
        rollout.refused("proxy-1", "it empties pool a");
        assert!(
            matches!(rollout.state(), State::Halted(why) if why.contains("proxy-1") && why.contains("pool a"))
        );
    }

    /// Danger: a rule that looks every second halts sound versions by chance.
    #[test]
    fn sound_versions_are_not_halted_by_chance() {
        let mut halted = 0;
        for seed in 0..300 {
            let mut chance = SmallRng::seed_from_u64(seed);
            let mut rollout = Rollout::new(0, stamp(), Plan { margin: 0.0, ..plan(&[5, 100]) });
            for second in 1..10u64 {
                let mut draw = |all: u64| Answers {
                    all,
                    bad: (0..all).filter(|_| chance.random_bool(0.03)).count() as u64,
                };
                let (new, old) = (draw(50), draw(950));
                rollout.report(true, new);
                rollout.report(false, old);
                rollout.tick(second * SECOND, 0);
            }
            halted += usize::from(matches!(rollout.state(), State::Halted(_)));
        }
        assert!(halted <= 3, "{halted} of 300");
    }

    #[test]
    fn plans_that_cannot_be_followed_are_named_with_their_place() {
        let faults = [
            (plan(&[101]), "stages.0.percent"),
            (plan(&[50, 5]), "stages.1.percent"),
            (Plan { margin: f64::NAN, ..Plan::default() }, "margin"),
        ];
        for (plan, key) in faults {
            assert!(plan.check().is_err_and(|e| e.to_string().starts_with(key)), "{key}");
        }
        assert_eq!(plan(&[5, 5, 100]).check(), Ok(()));
    }
}
