//! An experiment of the rig as one TOML file: the site's size, the load, and faults on links and processes by time. It is
//! checked whole, each problem with its place (`file:line:col`), and made into a schedule that follows from the seed alone.

mod check;

use super::board::{ActiveFault, Fault, LinkEnd, LinkEnds};
use aniseyoke_lab_day::clock::mix;
use aniseyoke_lab_day::plan_file::{line_and_column, PlanError};
use aniseyoke_lab_world::connection_load::ConnectionLimits;
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// Real proxies of one experiment at most.
pub const MAX_PROXIES: usize = 128;
/// The longest experiment.
pub const MAX_LENGTH: Duration = Duration::from_secs(30 * 60);

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The day that gives site, classes and load: a built-in name or a file.
    pub day: String,
    /// Real proxies.
    pub proxies: Spanned<usize>,
    /// Cache nodes, if not the day's; load and origin scale with them.
    pub nodes: Option<usize>,
    /// For how long requests arrive, if not the day's.
    #[serde(default, with = "humantime_serde")]
    pub length: Option<Duration>,
    /// Requests a second, if not the day's.
    pub rate: Option<f64>,
    /// Limits of discovery.
    #[serde(default)]
    pub list: ListService,
    /// The connections that cache nodes accept.
    #[serde(default, rename = "bears")]
    pub connection_limits: ConnectionLimits,
    /// Processes whose wall clock is wrong, from their first start on.
    #[serde(default, rename = "clock")]
    pub clocks: Vec<Spanned<ClockOffset>>,
    /// Faults on links.
    #[serde(default, rename = "link")]
    pub links: Vec<Spanned<LinkFault>>,
    /// Faults on processes.
    #[serde(default, rename = "process")]
    pub processes: Vec<Spanned<ProcessFault>>,
}

/// Limits of the stand-in for discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// Calls a second in all that it answers; past that, 503 with `Retry-After`. No limit if not given.
    #[serde(rename = "asks_per_second")]
    pub calls_per_second: Option<u64>,
    /// The `Retry-After` of its rejections.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
}

impl Default for ListService {
    fn default() -> Self {
        ListService { calls_per_second: None, retry_after: Duration::from_secs(1) }
    }
}

/// Proxies whose wall clock is wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockOffset {
    /// The proxies, as sets.
    pub proxies: Vec<String>,
    /// By how much it is ahead...
    #[serde(default, with = "humantime_serde")]
    pub ahead: Duration,
    /// ...or behind.
    #[serde(default, with = "humantime_serde")]
    pub behind: Duration,
}

/// A fault on the links between two sets, for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// When it is injected, from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(rename = "for", with = "humantime_serde")]
    pub span: Duration,
    /// Up to this much later, drawn from the seed.
    #[serde(default, with = "humantime_serde")]
    pub spread: Duration,
    /// The fault.
    pub fault: Fault,
    /// One side, as sets: `proxies`, `proxy:N`, `proxy:N-M`, `discovery`, `ledger`, `nodes`.
    pub a: Vec<String>,
    /// The other side.
    pub b: Vec<String>,
    /// The fraction of connections that `drop` and `cut` hit.
    #[serde(default = "all_connections", rename = "part")]
    pub fraction: f64,
    /// What `delay` adds.
    #[serde(default, with = "humantime_serde")]
    pub delay: Duration,
    /// Up to this much more.
    #[serde(default, with = "humantime_serde")]
    pub jitter: Duration,
    /// What `bandwidth` lets through, in bytes a second.
    #[serde(default)]
    pub bytes_per_second: u64,
    /// Whether it is injected before the proxies start, whatever `at` says; `for` still counts from the start of the load.
    #[serde(default)]
    pub early: bool,
}

fn all_connections() -> f64 {
    1.0
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// SIGKILL; started again after `for` if `restart`.
    Kill,
    /// SIGTERM: it drains and ends; started again after `for` if `restart`.
    Term,
    /// SIGSTOP, and SIGCONT after `for`.
    Pause,
}

/// The contents of its folder that a restarted proxy finds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderState {
    /// What its predecessor left.
    #[default]
    Kept,
    /// None.
    Cleared,
    /// What its predecessor left, with a byte changed in the middle of each file.
    Spoilt,
}

/// A fault on proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFault {
    /// When, from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Up to this much later, drawn from the seed for each proxy.
    #[serde(default, with = "humantime_serde")]
    pub spread: Duration,
    /// The signal.
    pub action: Action,
    /// The proxies, as sets.
    #[serde(default = "all_proxies")]
    pub proxies: Vec<String>,
    /// This many of them, drawn from the seed; all if not given.
    pub pick: Option<usize>,
    /// How long a pause lasts, or how long a proxy stays down.
    #[serde(rename = "for", with = "humantime_serde")]
    pub span: Duration,
    /// Whether a proxy that ended is started again.
    #[serde(default = "default_restart")]
    pub restart: bool,
    /// What it then finds in its folder.
    #[serde(default)]
    pub state: FolderState,
}

fn all_proxies() -> Vec<String> {
    vec!["proxies".into()]
}

fn default_restart() -> bool {
    true
}

/// One step of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A fault is injected on links before the proxies start.
    InjectBeforeStart(ActiveFault),
    /// A fault is injected on links.
    Inject(ActiveFault),
    /// Fault `.0` is cleared.
    Clear(usize),
    /// A proxy is signalled.
    Signal(usize, Action),
    /// A paused proxy is resumed.
    Resume(usize),
    /// A proxy that ended is started again.
    Start(usize, FolderState),
}

/// The schedule of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Steps with their times from the start of the load, in order of time.
    pub steps: Vec<(Duration, Step)>,
}

impl Plan {
    /// Reads an experiment from its text; `file` is named in errors.
    ///
    /// # Errors
    /// Every problem found, each as `file:line:col: reason`.
    pub fn parse(file: &str, text: &str) -> Result<Plan, PlanError> {
        let at = |span: Option<std::ops::Range<usize>>| {
            let (line, col) = line_and_column(text, span.map_or(0, |s| s.start));
            format!("{file}:{line}:{col}")
        };
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            problems: vec![format!("{}: {}", at(e.span()), e.message().trim_end())],
        })?;
        let problems = check::problems(&plan, file, &at);
        if problems.is_empty() {
            Ok(plan)
        } else {
            Err(PlanError { problems })
        }
    }

    /// The number of real proxies.
    pub fn proxies(&self) -> usize {
        *self.proxies.get_ref()
    }

    /// By how much a proxy's clock is wrong, in the form that the proxy reads; none if it is right.
    pub fn clock(&self, proxy: usize) -> Option<String> {
        let offset_entry = self.clocks.iter().map(Spanned::get_ref).find(|clock| {
            let sets = clock.proxies.iter().filter_map(|w| LinkEnds::parse(w).ok());
            sets.into_iter().any(|g| g.contains(LinkEnd::Proxy(proxy)))
        })?;
        let ahead = offset_entry.behind.is_zero();
        let by = if ahead { offset_entry.ahead } else { offset_entry.behind };
        Some(format!("{}{}", if ahead { '+' } else { '-' }, humantime::format_duration(by)))
    }

    /// The schedule that a seed makes of it.
    pub fn schedule(&self, seed: u64) -> Schedule {
        let mut steps = Vec::new();
        for (id, step) in self.links.iter().enumerate() {
            let rng = Xoshiro256PlusPlus::seed_from_u64(mix(seed, 0x11c, id as u64));
            steps.extend(step.get_ref().steps(id, rng));
        }
        for (n, step) in self.processes.iter().enumerate() {
            let rng = Xoshiro256PlusPlus::seed_from_u64(mix(seed, 0x9c0, n as u64));
            steps.extend(step.get_ref().steps(self.proxies(), rng));
        }
        // Stable: steps due at one time are carried out in the order of the file.
        steps.sort_by_key(|(at, _)| *at);
        Schedule { steps }
    }
}

/// The sets that the words of an experiment name.
fn sets(names: &[String]) -> Vec<LinkEnds> {
    names.iter().filter_map(|name| LinkEnds::parse(name).ok()).collect()
}

impl LinkFault {
    fn steps(&self, id: usize, mut rng: Xoshiro256PlusPlus) -> [(Duration, Step); 2] {
        let at = self.at + self.spread.mul_f64(rng.random::<f64>());
        let at = if self.early { Duration::ZERO } else { at };
        let fault = ActiveFault {
            id,
            fault: self.fault,
            a: sets(&self.a),
            b: sets(&self.b),
            fraction: self.fraction,
            delay: self.delay,
            jitter: self.jitter,
            rate: self.bytes_per_second,
            injected_at_change: 0,
        };
        let inject = if self.early { Step::InjectBeforeStart(fault) } else { Step::Inject(fault) };
        [(at, inject), (at + self.span, Step::Clear(id))]
    }
}

impl ProcessFault {
    fn steps(&self, proxies: usize, mut rng: Xoshiro256PlusPlus) -> Vec<(Duration, Step)> {
        let sets = sets(&self.proxies);
        let named = |proxy: &usize| sets.iter().any(|set| set.contains(LinkEnd::Proxy(*proxy)));
        let mut chosen: Vec<usize> = (0..proxies).filter(named).collect();
        chosen.shuffle(&mut rng);
        chosen.truncate(self.pick.unwrap_or(chosen.len()));
        chosen.sort_unstable();
        let mut steps = Vec::new();
        for proxy in chosen {
            let at = self.at + self.spread.mul_f64(rng.random::<f64>());
            steps.push((at, Step::Signal(proxy, self.action)));
            let after = at + self.span;
            match self.action {
                Action::Pause => steps.push((after, Step::Resume(proxy))),
                _ if self.restart => steps.push((after, Step::Start(proxy, self.state))),
                _ => {}
            }
        }
        steps
    }
}

#[cfg(test)]
mod tests;
