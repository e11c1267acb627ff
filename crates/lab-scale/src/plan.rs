//! A scale experiment as one TOML file, and its schedule. Validation reports every problem of the file, each with its
//! position (`file:line:col`).

mod check;

use aniseyoke_lab_day::clock::mix;
use aniseyoke_lab_day::plan_file::{line_and_column, PlanError};
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The maximum length of an experiment.
pub const MAX_LENGTH: Duration = Duration::from_secs(30 * 60);
/// The maximum number of members of one run, real and hollow.
pub const MAX_MEMBERS: usize = 20_000;
/// The maximum number of real proxies of one run.
pub const MAX_REAL_PROXIES: usize = 64;
/// The maximum number of nodes on the endpoint list, which is the maximum of a day of the simulated site.
pub const MAX_LISTED_NODES: usize = 512;
/// The maximum number of child processes.
pub const MAX_PROCESSES: usize = 300;
/// The maximum number of purges of one run.
pub const MAX_PURGES: f64 = 500_000.0;
/// The maximum number of processes that run the hollow members.
const MAX_HOSTS: usize = 32;
/// The maximum number of publishers of purges.
const MAX_PUBLISHERS: usize = 7;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A duration written with a unit, such as `250ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(transparent)]
pub struct HumanDuration(#[serde(with = "humantime_serde")] pub Duration);

/// The services that members connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topology {
    /// All members connect to the control service.
    Direct,
    /// Members connect to the relay of their site, which connects to the relay of its region, which connects to the
    /// control service.
    Relays,
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// How long purges and versions are published.
    pub length: Spanned<HumanDuration>,
    /// How long after `length` the last purge or version may come into force before the run counts as incomplete.
    #[serde(default = "default_settle")]
    pub settle: HumanDuration,
    /// The services that members connect to.
    pub topology: Topology,
    /// The number of regions; the control service is in the first.
    pub regions: Spanned<usize>,
    /// The number of zones, distributed evenly over the regions.
    pub zones: Spanned<usize>,
    /// The number of sites, distributed evenly over the zones.
    pub sites: Spanned<usize>,
    /// The number of hollow proxies, distributed evenly over the sites.
    pub proxies: Spanned<usize>,
    /// The number of hollow cache nodes, distributed evenly over the sites.
    pub nodes: usize,
    /// The number of real proxies, distributed evenly over the sites.
    pub real: Spanned<usize>,
    /// The number of cache nodes on the endpoint list that hollow proxies poll, at a simulated site of their own. With
    /// 0, hollow proxies don't poll.
    #[serde(default = "default_polled", rename = "asked")]
    pub polled: Spanned<usize>,
    /// The number of cache nodes on the endpoint list that real proxies poll, each a listener of a simulated site.
    /// Hollow nodes are on neither list.
    #[serde(default = "default_listed")]
    pub listed: Spanned<usize>,
    /// The number of processes that run the hollow members.
    #[serde(default = "default_hosts")]
    pub hosts: Spanned<usize>,
    /// The first connects of members are distributed over this time.
    #[serde(default = "default_join")]
    pub join: HumanDuration,
    /// How long messages are collected into one batch.
    #[serde(default)]
    pub batch: Batch,
    /// The network delay between the first region and the others.
    #[serde(default)]
    pub delay: Delay,
    /// The purges of the run.
    #[serde(default)]
    pub purges: Purges,
    /// The configuration versions of the run.
    #[serde(default)]
    pub changes: Changes,
    /// The limits that figures are compared with.
    #[serde(default)]
    pub limits: Limits,
    /// The processes and members that are killed and restarted.
    #[serde(default, rename = "kill")]
    pub kills: Vec<Spanned<Kill>>,
    /// The temporary partitions between regions and the first.
    #[serde(default, rename = "cut")]
    pub cuts: Vec<Spanned<Cut>>,
}

fn default_settle() -> HumanDuration {
    HumanDuration(Duration::from_secs(30))
}

fn default_listed() -> Spanned<usize> {
    Spanned::new(0..0, 12)
}

fn default_polled() -> Spanned<usize> {
    Spanned::new(0..0, 12)
}

fn default_hosts() -> Spanned<usize> {
    Spanned::new(0..0, 8)
}

fn default_join() -> HumanDuration {
    HumanDuration(Duration::from_secs(3))
}

/// How long messages are collected into one batch.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Batch {
    /// At the control service.
    pub root: HumanDuration,
    /// At a relay.
    pub relay: HumanDuration,
}

impl Default for Batch {
    fn default() -> Self {
        Batch {
            root: HumanDuration(Duration::from_millis(20)),
            relay: HumanDuration(Duration::from_millis(100)),
        }
    }
}

/// The one-way delay between a region and the first: `base` plus up to `spread`, drawn from the seed.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Delay {
    /// The minimum delay.
    pub base: HumanDuration,
    /// The maximum addition to `base`, drawn once for each region.
    pub spread: HumanDuration,
    /// The maximum further addition, drawn for each chunk of bytes.
    pub jitter: HumanDuration,
}

/// The purges of a run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Purges {
    /// Purges per second, at random times. With 0 there are no purges, and members don't follow the purge log.
    pub per_second: f64,
    /// The number of publishers that publish them in turn, 1 to 7; the service serves at most eight operators at once.
    pub publishers: usize,
}

impl Default for Purges {
    fn default() -> Self {
        Purges { per_second: 0.0, publishers: 2 }
    }
}

/// The configuration versions of a run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Versions per day.
    pub per_day: f64,
    /// The number of versions in a burst.
    pub burst: usize,
    /// The time between two versions of a burst.
    pub gap: HumanDuration,
    /// The number of routes in each version, one of which changes.
    pub routes: u64,
}

impl Default for Changes {
    fn default() -> Self {
        Changes { per_day: 0.0, burst: 1, gap: HumanDuration(Duration::from_millis(200)), routes: 100 }
    }
}

/// The limits that figures are compared with.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The time until a purge is in force at all members.
    pub purge: HumanDuration,
    /// The time until a version is in force at all proxies.
    pub change: HumanDuration,
    /// A member's control traffic, in bytes per second.
    pub bytes_per_second: f64,
    /// The fraction of a core that a proxy uses for control.
    pub core: f64,
    /// The memory that a proxy uses for control, in MB.
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            purge: HumanDuration(Duration::from_millis(1100)),
            change: HumanDuration(Duration::from_secs(12)),
            bytes_per_second: 2000.0,
            core: 0.038,
            memory_mb: 32.0,
        }
    }
}

/// The roles of processes and members that can be killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A region's relay.
    RegionRelay,
    /// A site's relay.
    SiteRelay,
    /// A hollow proxy.
    Proxy,
    /// A hollow node.
    Node,
    /// A real proxy.
    Real,
}

/// Kills processes or members of a role and restarts them. Processes are killed by SIGKILL; hollow members close their
/// connection and lose their state.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// The time from the start of the schedule.
    pub at: HumanDuration,
    /// The maximum addition to `at`, drawn from the seed for each target.
    #[serde(default)]
    pub spread: HumanDuration,
    /// The role of the targets.
    pub role: Role,
    /// The numbers of the targets, from 0.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Instead of `which`, the number of targets to draw from the seed.
    pub pick: Option<usize>,
    /// The time until the restart.
    #[serde(rename = "for")]
    pub duration: HumanDuration,
}

/// Partitions regions from the first temporarily.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// The time from the start of the schedule.
    pub at: HumanDuration,
    /// The duration of the partition.
    #[serde(rename = "for")]
    pub duration: HumanDuration,
    /// The numbers of the regions; the first region (0) can't be partitioned from itself.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Instead of `which`, the number of targets to draw from the seed.
    pub pick: Option<usize>,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Kills a process or member, given by its role and number.
    Kill(Role, usize),
    /// Restarts a process or member, given by its role and number.
    Start(Role, usize),
    /// Partitions a region from the first.
    Cut(usize),
    /// Ends the partition of a region.
    Heal(usize),
}

/// The schedule of an experiment. All times are relative to its start, and each list is sorted by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The start and end of each fault.
    pub steps: Vec<(Duration, Step)>,
    /// The due time of each purge.
    pub purges: Vec<Duration>,
    /// The due time of each version.
    pub changes: Vec<Duration>,
}

impl Plan {
    /// Parses and validates an experiment; errors name `file`.
    ///
    /// # Errors
    /// Lists every problem found, each as `file:line:col: reason`.
    pub fn parse(file: &str, text: &str) -> Result<Plan, PlanError> {
        let at = |from: usize| {
            let (line, col) = line_and_column(text, from);
            format!("{file}:{line}:{col}")
        };
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            problems: vec![format!("{}: {}", at(e.span().map_or(0, |s| s.start)), e.message().trim_end())],
        })?;
        let mut problems = Vec::new();
        check::check(&plan, &mut |from, why| problems.push((from, format!("{}: {why}", at(from)))));
        problems.sort();
        if problems.is_empty() {
            Ok(plan)
        } else {
            Err(PlanError { problems: problems.into_iter().map(|f| f.1).collect() })
        }
    }

    /// How long purges and versions are published.
    pub fn length(&self) -> Duration {
        self.length.get_ref().0
    }

    /// The number of regions.
    pub fn regions(&self) -> usize {
        *self.regions.get_ref()
    }

    /// The number of zones.
    pub fn zones(&self) -> usize {
        *self.zones.get_ref()
    }

    /// The number of sites.
    pub fn sites(&self) -> usize {
        *self.sites.get_ref()
    }

    /// The number of hollow members.
    pub fn hollow(&self) -> usize {
        self.proxies.get_ref() + self.nodes
    }

    /// The number of real proxies.
    pub fn real(&self) -> usize {
        *self.real.get_ref()
    }

    /// The number of processes or members of a role.
    pub fn count(&self, role: Role) -> usize {
        let relays = usize::from(self.topology == Topology::Relays);
        match role {
            Role::RegionRelay => self.regions() * relays,
            Role::SiteRelay => self.sites() * relays,
            Role::Proxy => *self.proxies.get_ref(),
            Role::Node => self.nodes,
            Role::Real => self.real(),
        }
    }

    /// The number of child processes of a run.
    pub fn processes(&self) -> usize {
        1 + self.count(Role::RegionRelay) + self.count(Role::SiteRelay) + self.real() + self.hosts.get_ref()
    }

    /// Computes the schedule for a seed.
    pub fn schedule(&self, seed: u64) -> Schedule {
        let rng = |what: u64, n: usize| Xoshiro256PlusPlus::seed_from_u64(mix(seed, what, n as u64));
        let mut steps = Vec::new();
        let draw = |which: &[usize], pick: Option<usize>, from: usize, of: usize, rng: &mut _| {
            let Some(pick) = pick else { return which.to_vec() };
            let mut all: Vec<usize> = (from..of).collect();
            all.shuffle(rng);
            all.truncate(pick);
            all.sort_unstable();
            all
        };
        for (n, kill) in self.kills.iter().enumerate() {
            let (kill, mut rng) = (kill.get_ref(), rng(1, n));
            for one in draw(&kill.which, kill.pick, 0, self.count(kill.role), &mut rng) {
                let at = kill.at.0 + kill.spread.0.mul_f64(rng.random::<f64>());
                steps.push((at, Step::Kill(kill.role, one)));
                steps.push((at + kill.duration.0, Step::Start(kill.role, one)));
            }
        }
        for (n, cut) in self.cuts.iter().enumerate() {
            let (cut, mut rng) = (cut.get_ref(), rng(2, n));
            for region in draw(&cut.which, cut.pick, 1, self.regions(), &mut rng) {
                steps.push((cut.at.0, Step::Cut(region)));
                steps.push((cut.at.0 + cut.duration.0, Step::Heal(region)));
            }
        }
        steps.sort_by_key(|step| step.0);
        Schedule { steps, purges: self.purges_due(rng(3, 0)), changes: self.changes_due() }
    }

    fn purges_due(&self, mut rng: Xoshiro256PlusPlus) -> Vec<Duration> {
        let (rate, mut due, mut at) = (self.purges.per_second, Vec::new(), 0.0);
        if rate <= 0.0 {
            return due;
        }
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / rate;
            if at >= self.length().as_secs_f64() {
                return due;
            }
            due.push(Duration::from_secs_f64(at));
        }
    }

    fn changes_due(&self) -> Vec<Duration> {
        let Changes { per_day, burst, gap, .. } = self.changes;
        if per_day <= 0.0 {
            return Vec::new();
        }
        let period = Duration::from_secs_f64(burst as f64 * SECONDS_PER_DAY / per_day);
        // The first burst is early, so that a short run also has one.
        let first = period.min(self.length()) / 4;
        let mut due = Vec::new();
        let mut start = first;
        while start < self.length() {
            due.extend((0..burst).map(|n| start + gap.0 * n as u32).filter(|at| *at < self.length()));
            start += period;
        }
        due
    }

    /// Whether a fault is active at `at`, or less than `margin` before or after it.
    pub fn under_fault(&self, schedule: &Schedule, at: Duration, margin: Duration) -> bool {
        let begins = |step: &Step| matches!(step, Step::Kill(..) | Step::Cut(_));
        let ends = |begun: &Step, step: &Step| match (begun, step) {
            (Step::Kill(role, n), Step::Start(other, m)) => (role, n) == (other, m),
            (Step::Cut(n), Step::Heal(m)) => n == m,
            _ => false,
        };
        schedule.steps.iter().enumerate().filter(|(_, (_, step))| begins(step)).any(|(n, (from, begun))| {
            let end = schedule.steps[n..].iter().find(|(_, step)| ends(begun, step)).map(|s| s.0);
            at + margin >= *from && end.is_none_or(|end| at <= end + margin)
        })
    }
}

#[cfg(test)]
mod tests;
