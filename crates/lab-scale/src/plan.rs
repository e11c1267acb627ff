//! An experiment of the scale run as one TOML file, checked whole with places (`file:line:col`), and its schedule.

use aniseyoke_lab_day::clock::mix;
use aniseyoke_lab_day::plan_file::{place, PlanError};
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// An experiment runs no longer than this.
pub const LENGTH_MOST: Duration = Duration::from_secs(30 * 60);
/// Members of one run at most, real and hollow.
pub const MEMBERS_MOST: usize = 20_000;
/// Real proxies of one run at most.
pub const REAL_MOST: usize = 64;
/// Nodes on the list at most: what a day of the stand-in site holds.
pub const LISTED_MOST: usize = 512;
/// Children of the rig at most.
pub const PROCESSES_MOST: usize = 300;
/// Purges of one run at most.
pub const PURGES_MOST: f64 = 500_000.0;
const DAY_S: f64 = 86_400.0;

/// A length of time with a unit, as `250ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(transparent)]
pub struct Span(#[serde(with = "humantime_serde")] pub Duration);

/// Who tells the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topology {
    /// One control service tells everyone itself.
    Direct,
    /// The control service tells a relay in each region, which tells a relay at each of its sites.
    Relays,
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// For how long purges and changes are made.
    pub length: Spanned<Span>,
    /// How long the last of them may take, beyond `length`, before the run counts as not complete.
    #[serde(default = "settle")]
    pub settle: Span,
    /// Who tells the members.
    pub topology: Topology,
    /// Regions; the control service stands in the first.
    pub regions: Spanned<usize>,
    /// Zones, spread evenly over the regions.
    pub zones: Spanned<usize>,
    /// Sites, spread evenly over the zones.
    pub sites: Spanned<usize>,
    /// Hollow proxies, spread evenly over the sites.
    pub proxies: Spanned<usize>,
    /// Hollow cache nodes, spread likewise.
    pub nodes: usize,
    /// Real proxies, spread likewise.
    pub real: Spanned<usize>,
    /// Cache nodes on the list that hollow proxies ask for, at a stand-in of their own; 0: they ask for none.
    #[serde(default = "asked")]
    pub asked: Spanned<usize>,
    /// Cache nodes on the list that real proxies get, each a listener of a stand-in site; hollow nodes are on neither.
    #[serde(default = "listed")]
    pub listed: Spanned<usize>,
    /// Processes that the hollow members share.
    #[serde(default = "hosts")]
    pub hosts: Spanned<usize>,
    /// Members connect at first spread over so long.
    #[serde(default = "join")]
    pub join: Span,
    /// What comes within so long goes out together.
    #[serde(default)]
    pub batch: Batch,
    /// How far regions are from the first.
    #[serde(default)]
    pub delay: Delay,
    /// Objects dropped everywhere.
    #[serde(default)]
    pub purges: Purges,
    /// Versions of the configuration.
    #[serde(default)]
    pub changes: Changes,
    /// What the figures are held against.
    #[serde(default)]
    pub limits: Limits,
    /// Processes and members that are killed, and started again.
    #[serde(default, rename = "kill")]
    pub kills: Vec<Spanned<Kill>>,
    /// Regions that hear nothing of the first for a while.
    #[serde(default, rename = "cut")]
    pub cuts: Vec<Spanned<Cut>>,
}

fn settle() -> Span {
    Span(Duration::from_secs(30))
}

fn listed() -> Spanned<usize> {
    Spanned::new(0..0, 12)
}

fn asked() -> Spanned<usize> {
    Spanned::new(0..0, 12)
}

fn hosts() -> Spanned<usize> {
    Spanned::new(0..0, 8)
}

fn join() -> Span {
    Span(Duration::from_secs(3))
}

/// What comes within so long goes out together.
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

/// The time that a region is away from the first, one way: `base` and up to `spread` more, drawn from the seed.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Delay {
    /// At least so long.
    pub base: Span,
    /// Up to so much more, for each region one draw.
    pub spread: Span,
    /// Up to so much more again, for each chunk of bytes.
    pub jitter: Span,
}

/// Objects dropped everywhere.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Purges {
    /// How many a second, at random times; 0: none, and members take none.
    pub per_second: f64,
    /// Publishers that make them in turn, 1 to 7: the service hears eight operators at once.
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
    /// How many a day.
    pub per_day: f64,
    /// So many come close together.
    pub burst: usize,
    /// So long after one another.
    pub gap: Span,
    /// Routes in each version, of which one changes.
    pub routes: u64,
}

impl Default for Changes {
    fn default() -> Self {
        Changes { per_day: 0.0, burst: 1, gap: Span(Duration::from_millis(200)), routes: 100 }
    }
}

/// What the figures are held against.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// A purge is done everywhere within this time.
    pub purge: Span,
    /// A change is in force everywhere within this time.
    pub change: Span,
    /// What a member may get and send for control, in bytes a second.
    pub bytes_per_second: f64,
    /// What of a core a proxy may spend on control, from 0 to 1.
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

/// What can be killed.
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

/// Some are killed (SIGKILL; hollow members: their connection ends and what they held is gone) and come again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// When, from the start of the schedule.
    pub at: Span,
    /// Up to so much later, drawn from the seed for each.
    #[serde(default)]
    pub spread: Span,
    /// What.
    pub role: Role,
    /// Which, by number from 0.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Or so many, drawn from the seed.
    pub pick: Option<usize>,
    /// How long they stay down.
    #[serde(rename = "for")]
    pub span: Span,
}

/// Some regions hear nothing of the first for a while.
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
    /// Or so many, drawn from the seed.
    pub pick: Option<usize>,
}

/// One thing to be done at its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    /// One is killed.
    Kill(Role, usize),
    /// It is started again.
    Start(Role, usize),
    /// A region hears nothing any more.
    Cut(usize),
    /// It hears again.
    Heal(usize),
}

/// What is done when, from the start of the schedule, each in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// Faults and their ends.
    pub steps: Vec<(Duration, Do)>,
    /// When each purge is due.
    pub purges: Vec<Duration>,
    /// When each change is due.
    pub changes: Vec<Duration>,
}

impl Plan {
    /// Reads an experiment from its text; `file` is named in errors.
    ///
    /// # Errors
    /// Every fault found, each as `file:line:col: reason`.
    pub fn parse(file: &str, text: &str) -> Result<Plan, PlanError> {
        let at = |from: usize| {
            let (line, col) = place(text, from);
            format!("{file}:{line}:{col}")
        };
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            faults: vec![format!("{}: {}", at(e.span().map_or(0, |s| s.start)), e.message().trim_end())],
        })?;
        let mut faults = Vec::new();
        plan.check(&mut |from, why| faults.push((from, format!("{}: {why}", at(from)))));
        faults.sort();
        if faults.is_empty() {
            Ok(plan)
        } else {
            Err(PlanError { faults: faults.into_iter().map(|f| f.1).collect() })
        }
    }

    fn check(&self, fault: &mut dyn FnMut(usize, String)) {
        let length = self.length();
        if length.is_zero() || length > LENGTH_MOST {
            let most = humantime::format_duration(LENGTH_MOST);
            fault(self.length.span().start, format!("length: more than nothing and at most {most}"));
        }
        let mut within = |key: &str, value: &Spanned<usize>, least: usize, most: usize| {
            if !(least..=most).contains(value.get_ref()) {
                fault(value.span().start, format!("{key} = {}: from {least} to {most}", value.get_ref()));
            }
        };
        within("regions", &self.regions, 1, PROCESSES_MOST);
        within("zones", &self.zones, self.regions(), MEMBERS_MOST);
        within("sites", &self.sites, self.zones(), MEMBERS_MOST);
        within("proxies", &self.proxies, 1, MEMBERS_MOST.saturating_sub(self.nodes));
        within("real", &self.real, 0, REAL_MOST);
        within("listed", &self.listed, 1, LISTED_MOST);
        within("asked", &self.asked, 0, LISTED_MOST);
        within("hosts", &self.hosts, 1, 32);
        if self.processes() > PROCESSES_MOST {
            let why =
                format!("{} processes, of which a rig starts {PROCESSES_MOST} at most", self.processes());
            fault(self.sites.span().start, why);
        }
        let bad = |n: f64| !n.is_finite() || n < 0.0;
        let (purges, changes) = (self.purges, self.changes);
        if bad(purges.per_second) || purges.per_second * length.as_secs_f64() > PURGES_MOST {
            fault(0, format!("purges.per_second: from 0, and at most {PURGES_MOST} in all"));
        }
        if !(1..=7).contains(&purges.publishers) {
            fault(0, "purges.publishers: from 1 to 7".into());
        }
        if bad(changes.per_day) || changes.per_day > DAY_S || changes.burst == 0 || changes.burst > 1000 {
            fault(0, "changes: at most one a second, in bursts of 1 to 1000".into());
        }
        if changes.routes > 100_000 {
            fault(0, "changes.routes: at most 100,000".into());
        }
        let sets = |which: &[usize], pick: Option<usize>, of: usize| match (which, pick) {
            ([], None) => Some("name them with `which`, or draw so many with `pick`".to_owned()),
            ([_, ..], Some(_)) => Some("`which` or `pick`, not both".to_owned()),
            ([], Some(n)) if n == 0 || n > of => Some(format!("pick = {n}: from 1 to {of}")),
            (which, _) => which.iter().find(|n| **n >= of).map(|n| format!("{n}: there are {of}, from 0")),
        };
        for kill in &self.kills {
            let (from, kill) = (kill.span().start, kill.get_ref());
            let of = self.count(kill.role);
            if of == 0 {
                fault(from, format!("there is no {:?} in this experiment", kill.role));
            } else if let Some(why) = sets(&kill.which, kill.pick, of) {
                fault(from, why);
            }
            if kill.at.0 + kill.spread.0 + kill.span.0 > length {
                fault(from, "it would outlast the experiment's length".into());
            }
        }
        for cut in &self.cuts {
            let (from, cut) = (cut.span().start, cut.get_ref());
            if cut.which.contains(&0) || self.regions() < 2 {
                fault(from, "the first region can't be cut from itself".into());
            } else if let Some(why) = sets(&cut.which, cut.pick.map(|n| n + 1), self.regions()) {
                fault(from, why);
            }
            if cut.at.0 + cut.span.0 > length {
                fault(from, "it would outlast the experiment's length".into());
            }
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

    /// How many there are of a role.
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

    /// Children that the rig starts.
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
                steps.push((at, Do::Kill(kill.role, one)));
                steps.push((at + kill.span.0, Do::Start(kill.role, one)));
            }
        }
        for (n, cut) in self.cuts.iter().enumerate() {
            let (cut, mut rng) = (cut.get_ref(), rng(2, n));
            for region in draw(&cut.which, cut.pick, 1, self.regions(), &mut rng) {
                steps.push((cut.at.0, Do::Cut(region)));
                steps.push((cut.at.0 + cut.span.0, Do::Heal(region)));
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
        let period = Duration::from_secs_f64(burst as f64 * DAY_S / per_day);
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

    /// Whether something due at `at` came while a fault was in force, or so close before or after one that it may
    /// have been met by it.
    pub fn under_fault(&self, schedule: &Schedule, at: Duration, around: Duration) -> bool {
        let begins = |step: &Do| matches!(step, Do::Kill(..) | Do::Cut(_));
        let ends = |begun: &Do, step: &Do| match (begun, step) {
            (Do::Kill(role, n), Do::Start(other, m)) => (role, n) == (other, m),
            (Do::Cut(n), Do::Heal(m)) => n == m,
            _ => false,
        };
        schedule.steps.iter().enumerate().filter(|(_, (_, step))| begins(step)).any(|(n, (from, begun))| {
            let end = schedule.steps[n..].iter().find(|(_, step)| ends(begun, step)).map(|s| s.0);
            at + around >= *from && end.is_none_or(|end| at <= end + around)
        })
    }
}

#[cfg(test)]
mod tests;
