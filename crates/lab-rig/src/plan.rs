//! The fault plan of an experiment, read from one TOML file: the size of the site, the load, and timed faults on links and
//! processes. All problems of a file are reported at once, each with its position (`file:line:col`). The schedule of an
//! experiment is determined by its plan and a seed.

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

/// The maximum number of real proxies in one experiment.
pub const MAX_PROXIES: usize = 128;
/// The maximum length of an experiment.
pub const MAX_LENGTH: Duration = Duration::from_secs(30 * 60);

/// The fault plan of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The day that defines the site, the classes and the load: a built-in name or a file.
    pub day: String,
    /// The number of real proxies.
    pub proxies: Spanned<usize>,
    /// The number of cache nodes, overriding that of the day; the load and the origin are scaled accordingly.
    pub nodes: Option<usize>,
    /// How long requests arrive, overriding the day.
    #[serde(default, with = "humantime_serde")]
    pub length: Option<Duration>,
    /// Requests per second, overriding the day.
    pub rate: Option<f64>,
    /// Limits of the discovery service.
    #[serde(default)]
    pub list: ListService,
    /// The connection limits of cache nodes.
    #[serde(default, rename = "bears")]
    pub connection_limits: ConnectionLimits,
    /// Wall-clock offsets of proxies, in effect from their first start.
    #[serde(default, rename = "clock")]
    pub clocks: Vec<Spanned<ClockOffset>>,
    /// Faults on links.
    #[serde(default, rename = "link")]
    pub links: Vec<Spanned<LinkFault>>,
    /// Faults on processes.
    #[serde(default, rename = "process")]
    pub processes: Vec<Spanned<ProcessFault>>,
}

/// Limits of the simulated discovery service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// The total number of calls per second that it answers; excess calls get 503 with `Retry-After`. Unlimited if absent.
    #[serde(rename = "asks_per_second")]
    pub calls_per_second: Option<u64>,
    /// The `Retry-After` value of rejected calls.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
}

impl Default for ListService {
    fn default() -> Self {
        ListService { calls_per_second: None, retry_after: Duration::from_secs(1) }
    }
}

/// A wall-clock offset of proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockOffset {
    /// The names of the sets of proxies.
    pub proxies: Vec<String>,
    /// How far the clock is ahead; `behind` must be 0.
    #[serde(default, with = "humantime_serde")]
    pub ahead: Duration,
    /// How far the clock is behind; `ahead` must be 0.
    #[serde(default, with = "humantime_serde")]
    pub behind: Duration,
}

/// A temporary fault on the links between two sets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// When the fault is injected, counted from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long the fault stays active.
    #[serde(rename = "for", with = "humantime_serde")]
    pub span: Duration,
    /// The maximum random delay of the injection, derived from the seed.
    #[serde(default, with = "humantime_serde")]
    pub spread: Duration,
    /// The kind of fault.
    pub fault: Fault,
    /// The names of the sets on one side: `proxies`, `proxy:N`, `proxy:N-M`, `discovery`, `ledger`, `nodes`.
    pub a: Vec<String>,
    /// The names of the sets on the other side.
    pub b: Vec<String>,
    /// The fraction of connections affected by `drop` and `cut`.
    #[serde(default = "all_connections", rename = "part")]
    pub fraction: f64,
    /// The delay added by `delay`.
    #[serde(default, with = "humantime_serde")]
    pub delay: Duration,
    /// The maximum random time that `delay` adds to the delay.
    #[serde(default, with = "humantime_serde")]
    pub jitter: Duration,
    /// The limit of `bandwidth`, in bytes per second.
    #[serde(default)]
    pub bytes_per_second: u64,
    /// Whether the fault is injected before the proxies start, regardless of `at`; `for` still counts from the start of the
    /// load.
    #[serde(default)]
    pub early: bool,
}

fn all_connections() -> f64 {
    1.0
}

/// The action of a process fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Sends SIGKILL; the proxy is restarted after `for` if `restart` is set.
    Kill,
    /// Sends SIGTERM, so that the proxy drains and exits; it is restarted after `for` if `restart` is set.
    Term,
    /// Sends SIGSTOP, and SIGCONT after `for`.
    Pause,
}

/// The state of a proxy's directory at its restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderState {
    /// The files of the previous process are unchanged.
    #[default]
    Kept,
    /// The directory is removed.
    Cleared,
    /// Each file of the previous process has one byte changed in its middle.
    Spoilt,
}

/// A fault on proxy processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFault {
    /// When the action is performed, counted from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The maximum random delay of the action, derived from the seed for each proxy.
    #[serde(default, with = "humantime_serde")]
    pub spread: Duration,
    /// The action.
    pub action: Action,
    /// The names of the sets of proxies.
    #[serde(default = "all_proxies")]
    pub proxies: Vec<String>,
    /// The number of these proxies that are affected, chosen by the seed; all if absent.
    pub pick: Option<usize>,
    /// How long a pause lasts, or how long a terminated proxy stays down.
    #[serde(rename = "for", with = "humantime_serde")]
    pub span: Duration,
    /// Whether a terminated proxy is restarted.
    #[serde(default = "default_restart")]
    pub restart: bool,
    /// The state of the proxy's directory at the restart.
    #[serde(default)]
    pub state: FolderState,
}

fn all_proxies() -> Vec<String> {
    vec!["proxies".into()]
}

fn default_restart() -> bool {
    true
}

/// A step of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Injects a link fault before the proxies start.
    InjectBeforeStart(ActiveFault),
    /// Injects a link fault.
    Inject(ActiveFault),
    /// Clears the link fault with this id.
    Clear(usize),
    /// Performs an action on a proxy.
    Signal(usize, Action),
    /// Resumes a paused proxy.
    Resume(usize),
    /// Restarts a terminated proxy.
    Start(usize, FolderState),
}

/// The schedule of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The steps with their times, counted from the start of the load, in order of time.
    pub steps: Vec<(Duration, Step)>,
}

impl Plan {
    /// Parses a plan; errors name it `file`.
    ///
    /// # Errors
    /// Returns every problem found, each as `file:line:col: reason`.
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

    /// Returns the number of real proxies.
    pub fn proxies(&self) -> usize {
        *self.proxies.get_ref()
    }

    /// Returns the wall-clock offset of a proxy in the format that the proxy parses, or `None` if it has no offset.
    pub fn clock(&self, proxy: usize) -> Option<String> {
        let offset_entry = self.clocks.iter().map(Spanned::get_ref).find(|clock| {
            let sets = clock.proxies.iter().filter_map(|w| LinkEnds::parse(w).ok());
            sets.into_iter().any(|g| g.contains(LinkEnd::Proxy(proxy)))
        })?;
        let ahead = offset_entry.behind.is_zero();
        let by = if ahead { offset_entry.ahead } else { offset_entry.behind };
        Some(format!("{}{}", if ahead { '+' } else { '-' }, humantime::format_duration(by)))
    }

    /// Derives the schedule from the plan and a seed.
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
        // The sort is stable: steps due at the same time are executed in the order of the file.
        steps.sort_by_key(|(at, _)| *at);
        Schedule { steps }
    }
}

/// Parses the names of sets.
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
            injected_at: 0,
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
