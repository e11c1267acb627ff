//! An experiment of the scale run as one TOML file, checked whole, each problem with its place (`file:line:col`), and its
//! schedule.

mod check;

use aniseyoke_lab_day::clock::mix;
use aniseyoke_lab_day::plan_file::{line_and_column, PlanError};
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The longest experiment.
pub const MAX_LENGTH: Duration = Duration::from_secs(30 * 60);
/// Members of one run at most, real and hollow.
pub const MAX_MEMBERS: usize = 20_000;
/// Real proxies of one run at most.
pub const MAX_REAL_PROXIES: usize = 64;
/// Nodes on the list at most: what a day of the stand-in site holds.
pub const MAX_LISTED_NODES: usize = 512;
/// Children of the rig at most.
pub const MAX_PROCESSES: usize = 300;
/// Purges of one run at most.
pub const MAX_PURGES: f64 = 500_000.0;
/// Processes that share the hollow members at most.
const MAX_HOSTS: usize = 32;
/// Publishers of purges at most.
const MAX_PUBLISHERS: usize = 7;
/// Seconds of a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A length of time with a unit, as `250ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(transparent)]
pub struct Span(#[serde(with = "humantime_serde")] pub Duration);

/// Which services members connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topology {
    /// All connect to one control service.
    Direct,
    /// Members connect to a relay at their site, which connects to one in its region, which connects to the control service.
    Relays,
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// For how long purges and versions are published.
    pub length: Spanned<Span>,
    /// How long the last of them may take beyond `length` before the run counts as not complete.
    #[serde(default = "default_settle")]
    pub settle: Span,
    /// Which services members connect to.
    pub topology: Topology,
    /// Regions; the control service is in the first.
    pub regions: Spanned<usize>,
    /// Zones, spread evenly over the regions.
    pub zones: Spanned<usize>,
    /// Sites, spread evenly over the zones.
    pub sites: Spanned<usize>,
    /// Hollow proxies, spread evenly over the sites.
    pub proxies: Spanned<usize>,
    /// Hollow cache nodes, spread in the same way.
    pub nodes: usize,
    /// Real proxies, spread in the same way.
    pub real: Spanned<usize>,
    /// Cache nodes on the list that hollow proxies poll, at a stand-in of their own; 0: they poll none.
    #[serde(default = "default_polled", rename = "asked")]
    pub polled: Spanned<usize>,
    /// Cache nodes on the list that real proxies poll, each a listener of a stand-in site; hollow nodes are on neither.
    #[serde(default = "default_listed")]
    pub listed: Spanned<usize>,
    /// Processes that the hollow members share.
    #[serde(default = "default_hosts")]
    pub hosts: Spanned<usize>,
    /// The first connects of members are spread over this time.
    #[serde(default = "default_join")]
    pub join: Span,
    /// How long messages are collected to be sent together.
    #[serde(default)]
    pub batch: Batch,
    /// The delay of regions to the first.
    #[serde(default)]
    pub delay: Delay,
    /// Purges of objects.
    #[serde(default)]
    pub purges: Purges,
    /// Versions of the configuration.
    #[serde(default)]
    pub changes: Changes,
    /// Limits that figures are compared with.
    #[serde(default)]
    pub limits: Limits,
    /// Processes and members that are killed, and started again.
    #[serde(default, rename = "kill")]
    pub kills: Vec<Spanned<Kill>>,
    /// Regions that are cut off from the first for a while.
    #[serde(default, rename = "cut")]
    pub cuts: Vec<Spanned<Cut>>,
}

fn default_settle() -> Span {
    Span(Duration::from_secs(30))
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

fn default_join() -> Span {
    Span(Duration::from_secs(3))
}

/// How long messages are collected to be sent together.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Batch {
    /// At the control service.
    pub root: Span,
    /// At a relay.
    pub relay: Span,
}

impl Default for Batch {
    fn default() -> Self {
        Batch { root: Span(Duration::from_millis(20)), relay: Span(Duration::from_millis(100)) }
    }
}

/// The delay of a region to the first, one way: `base` and up to `spread` more, drawn from the seed.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Delay {
    /// The least delay.
    pub base: Span,
    /// Up to this much more, one draw for each region.
    pub spread: Span,
    /// Up to this much more again, for each chunk of bytes.
    pub jitter: Span,
}

/// Purges of objects.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Purges {
    /// Purges a second, at random times; 0: none, and members do not follow the purge log.
    pub per_second: f64,
    /// Publishers that publish them in turn, 1 to 7: the service serves eight operators at once.
    pub publishers: usize,
}

impl Default for Purges {
    fn default() -> Self {
        Purges { per_second: 0.0, publishers: 2 }
    }
}

/// Versions of the configuration.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Versions a day.
    pub per_day: f64,
    /// Versions that come close together.
    pub burst: usize,
    /// The time between two of them.
    pub gap: Span,
    /// Routes in each version, of which one changes.
    pub routes: u64,
}

impl Default for Changes {
    fn default() -> Self {
        Changes { per_day: 0.0, burst: 1, gap: Span(Duration::from_millis(200)), routes: 100 }
    }
}

/// Limits that figures are compared with.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// A purge is in force everywhere within this time.
    pub purge: Span,
    /// A change is in force everywhere within this time.
    pub change: Span,
    /// A member's traffic for control, in bytes a second.
    pub bytes_per_second: f64,
    /// The fraction of a core that a proxy spends on control.
    pub core: f64,
    /// A proxy's memory for control, in MB.
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            purge: Span(Duration::from_millis(1100)),
            change: Span(Duration::from_secs(12)),
            bytes_per_second: 2000.0,
            core: 0.038,
            memory_mb: 32.0,
        }
    }
}

/// The roles of what can be killed.
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

/// Some are killed (by SIGKILL; hollow members end their connection and lose their state) and started again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// When, from the start of the schedule.
    pub at: Span,
    /// Up to this much later, drawn from the seed for each.
    #[serde(default)]
    pub spread: Span,
    /// Their role.
    pub role: Role,
    /// Which, by number from 0.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Or this many, drawn from the seed.
    pub pick: Option<usize>,
    /// How long they stay down.
    #[serde(rename = "for")]
    pub span: Span,
}

/// Some regions are cut off from the first for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// When, from the start of the schedule.
    pub at: Span,
    /// For how long.
    #[serde(rename = "for")]
    pub span: Span,
    /// Which regions, by number; the first (0) can't be cut from itself.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Or this many, drawn from the seed.
    pub pick: Option<usize>,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// One of a role is killed.
    Kill(Role, usize),
    /// One of a role is started again.
    Start(Role, usize),
    /// A region is cut off.
    Cut(usize),
    /// A region is connected again.
    Heal(usize),
}

/// The schedule of an experiment: times from its start, each in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// Faults and their ends.
    pub steps: Vec<(Duration, Step)>,
    /// When each purge is due.
    pub purges: Vec<Duration>,
    /// When each change is due.
    pub changes: Vec<Duration>,
}

impl Plan {
    /// Reads an experiment from its text; `file` is named in errors.
    ///
    /// # Errors
    /// Every problem found, each as `file:line:col: reason`.
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

    /// For how long purges and changes are made.
    pub fn length(&self) -> Duration {
        self.length.get_ref().0
    }

    /// Regions.
    pub fn regions(&self) -> usize {
        *self.regions.get_ref()
    }

    /// Zones.
    pub fn zones(&self) -> usize {
        *self.zones.get_ref()
    }

    /// Sites.
    pub fn sites(&self) -> usize {
        *self.sites.get_ref()
    }

    /// Hollow members.
    pub fn hollow(&self) -> usize {
        self.proxies.get_ref() + self.nodes
    }

    /// Real proxies.
    pub fn real(&self) -> usize {
        *self.real.get_ref()
    }

    /// The number of members of a role.
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

    /// Child processes of a run.
    pub fn processes(&self) -> usize {
        1 + self.count(Role::RegionRelay) + self.count(Role::SiteRelay) + self.real() + self.hosts.get_ref()
    }

    /// The schedule that a seed makes.
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
                steps.push((at + kill.span.0, Step::Start(kill.role, one)));
            }
        }
        for (n, cut) in self.cuts.iter().enumerate() {
            let (cut, mut rng) = (cut.get_ref(), rng(2, n));
            for region in draw(&cut.which, cut.pick, 1, self.regions(), &mut rng) {
                steps.push((cut.at.0, Step::Cut(region)));
                steps.push((cut.at.0 + cut.span.0, Step::Heal(region)));
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
        // The first burst comes early, so that also a short run has one.
        let first = period.min(self.length()) / 4;
        let mut due = Vec::new();
        let mut start = first;
        while start < self.length() {
            due.extend((0..burst).map(|n| start + gap.0 * n as u32).filter(|at| *at < self.length()));
            start += period;
        }
        due
    }

    /// Whether something due at `at` came while a fault was active, or within `around` before or after one.
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
