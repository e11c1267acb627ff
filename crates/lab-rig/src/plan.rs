//! An experiment of the rig as one TOML file: the site's size, the load, and faults on links and processes by time.
//! Read whole, checked with places (`file:line:col`), and made into one schedule that follows from the seed alone.

use super::board::{Active, Fault, Group};
use aniseyoke_lab_day::clock::mix;
use aniseyoke_lab_day::plan_file::{place, PlanError};
use aniseyoke_lab_world::connection_load::Bears;
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// So many real proxies a rig on one machine starts at most.
pub const PROXIES_MOST: usize = 128;
/// An experiment runs no longer than this.
pub const LENGTH_MOST: Duration = Duration::from_secs(30 * 60);

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The day that gives site, classes and load: a built-in name or a file.
    pub day: String,
    /// Real proxies.
    pub proxies: Spanned<usize>,
    /// Cache nodes, if not the day's; load and ledger go with them.
    pub nodes: Option<usize>,
    /// For how long requests arrive, if not the day's.
    #[serde(default, with = "humantime_serde")]
    pub length: Option<Duration>,
    /// First tries a second, if not the day's.
    pub rate: Option<f64>,
    /// What the list service takes.
    #[serde(default)]
    pub list: ListService,
    /// What cache nodes take of connections.
    #[serde(default)]
    pub bears: Bears,
    /// Processes whose wall clock is wrong, from their first start on.
    #[serde(default, rename = "clock")]
    pub clocks: Vec<Spanned<ClockStep>>,
    /// Faults on links.
    #[serde(default, rename = "link")]
    pub links: Vec<Spanned<LinkStep>>,
    /// Faults on processes.
    #[serde(default, rename = "process")]
    pub processes: Vec<Spanned<ProcessStep>>,
}

/// What the list service's stand-in takes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// Calls a second in all that it answers; past that, 503 with `Retry-After`. No limit if not given.
    pub asks_per_second: Option<u64>,
    /// What its refusals advise.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
}

impl Default for ListService {
    fn default() -> Self {
        ListService { asks_per_second: None, retry_after: Duration::from_secs(1) }
    }
}

/// Proxies whose wall clock is wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockStep {
    /// Which.
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
pub struct LinkStep {
    /// When it strikes, from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(rename = "for", with = "humantime_serde")]
    pub span: Duration,
    /// Up to so much later, drawn from the seed.
    #[serde(default, with = "humantime_serde")]
    pub spread: Duration,
    /// What it does.
    pub fault: Fault,
    /// One side, as sets: `proxies`, `proxy:N`, `proxy:N-M`, `discovery`, `ledger`, `nodes`.
    pub a: Vec<String>,
    /// The other side.
    pub b: Vec<String>,
    /// The part of connections that `drop` and `cut` strike.
    #[serde(default = "whole")]
    pub part: f64,
    /// What `delay` adds.
    #[serde(default, with = "humantime_serde")]
    pub delay: Duration,
    /// Up to so much more.
    #[serde(default, with = "humantime_serde")]
    pub jitter: Duration,
    /// What `bandwidth` lets through, in bytes a second.
    #[serde(default)]
    pub bytes_per_second: u64,
    /// It strikes before the proxies start, and `at` is not waited for; `for` still counts from the start of the load.
    #[serde(default)]
    pub early: bool,
}

fn whole() -> f64 {
    1.0
}

/// What is done to a process.
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

/// What a restarted proxy finds in its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// What its predecessor left.
    #[default]
    Kept,
    /// Nothing.
    Cleared,
    /// What its predecessor left, with a byte changed in the middle of each file.
    Spoilt,
}

/// A fault on proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessStep {
    /// When, from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Up to so much later, drawn from the seed for each proxy.
    #[serde(default, with = "humantime_serde")]
    pub spread: Duration,
    /// What is done.
    pub action: Action,
    /// To which proxies.
    #[serde(default = "every")]
    pub proxies: Vec<String>,
    /// To so many of them, drawn from the seed; all if not given.
    pub pick: Option<usize>,
    /// How long a pause lasts, or how long a proxy stays down.
    #[serde(rename = "for", with = "humantime_serde")]
    pub span: Duration,
    /// Whether an ended one is started again.
    #[serde(default = "yes")]
    pub restart: bool,
    /// What it then finds in its folder.
    #[serde(default)]
    pub state: State,
}

fn every() -> Vec<String> {
    vec!["proxies".into()]
}

fn yes() -> bool {
    true
}

/// One thing to be done at its time.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// A fault is on a link before the proxies start.
    Begin(Active),
    /// A fault goes on a link.
    Strike(Active),
    /// Fault `.0` is lifted.
    Lift(usize),
    /// A proxy is signalled.
    Signal(usize, Action),
    /// A proxy that was paused goes on.
    Resume(usize),
    /// A proxy that ended is started again.
    Start(usize, State),
}

/// The schedule: what is done when, from the start of the load, in order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Steps, in order of time.
    pub steps: Vec<(Duration, Do)>,
}

impl Plan {
    /// Reads an experiment from its text; `file` is named in errors.
    ///
    /// # Errors
    /// Every fault found, each as `file:line:col: reason`.
    pub fn parse(file: &str, text: &str) -> Result<Plan, PlanError> {
        let at = |span: Option<std::ops::Range<usize>>| {
            let (line, col) = place(text, span.map_or(0, |s| s.start));
            format!("{file}:{line}:{col}")
        };
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            faults: vec![format!("{}: {}", at(e.span()), e.message().trim_end())],
        })?;
        let mut faults = Vec::new();
        let mut fault =
            |span: std::ops::Range<usize>, why: String| faults.push(format!("{}: {why}", at(Some(span))));
        let proxies = plan.proxies();
        if proxies == 0 || proxies > PROXIES_MOST {
            fault(plan.proxies.span(), format!("proxies = {proxies}: from 1 to {PROXIES_MOST}"));
        }
        let length = plan.length.unwrap_or(Duration::MAX);
        let mut unplaced = Vec::new();
        if plan.length.is_some_and(|l| l.is_zero() || l > LENGTH_MOST) {
            // A duration's place is not kept by its reader; the key is named instead.
            let most = humantime::format_duration(LENGTH_MOST);
            unplaced.push(format!("{file}: length: more than nothing and at most {most}"));
        }
        let named = |words: &[String], fault: &mut dyn FnMut(String)| {
            for word in words {
                match Group::parse(word) {
                    Ok(group) if group.last_proxy().is_some_and(|last| last >= proxies) => {
                        fault(format!("`{word}`: there are {proxies} proxies, from 0"));
                    }
                    Ok(_) => {}
                    Err(why) => fault(why),
                }
            }
        };
        for step in &plan.links {
            let (span, link) = (step.span(), step.get_ref());
            let mut here = |why: String| fault(span.clone(), why);
            if link.a.is_empty() || link.b.is_empty() {
                here("a link fault needs sets on both sides, `a` and `b`".into());
            }
            named(&link.a, &mut here);
            named(&link.b, &mut here);
            if !(0.0..=1.0).contains(&link.part) {
                here(format!("part = {}: a part from 0 to 1", link.part));
            }
            if link.fault == Fault::Delay && link.delay.is_zero() && link.jitter.is_zero() {
                here("a delay needs `delay` or `jitter`".into());
            }
            if link.fault == Fault::Bandwidth && link.bytes_per_second == 0 {
                here("bandwidth needs `bytes_per_second` above 0".into());
            }
            if link.at + link.spread + link.span > length {
                here("it would outlast the experiment's length".into());
            }
        }
        for step in &plan.clocks {
            let (span, clock) = (step.span(), step.get_ref());
            let mut here = |why: String| fault(span.clone(), why);
            named(&clock.proxies, &mut here);
            if clock.ahead.is_zero() == clock.behind.is_zero() {
                here("a clock is wrong by `ahead` or by `behind`, one of the two".into());
            }
        }
        for step in &plan.processes {
            let (span, process) = (step.span(), step.get_ref());
            let mut here = |why: String| fault(span.clone(), why);
            named(&process.proxies, &mut here);
            if process.pick == Some(0) {
                here("pick = 0 picks nothing".into());
            }
            if process.at + process.spread + process.span > length {
                here("it would outlast the experiment's length".into());
            }
        }
        faults.extend(unplaced);
        if faults.is_empty() {
            Ok(plan)
        } else {
            Err(PlanError { faults })
        }
    }

    /// How many real proxies it starts.
    pub fn proxies(&self) -> usize {
        *self.proxies.get_ref()
    }

    /// How wrong a proxy's clock is, as the proxy reads it; none: it is right.
    pub fn clock(&self, proxy: usize) -> Option<String> {
        let wrong = self.clocks.iter().map(Spanned::get_ref).find(|clock| {
            let sets = clock.proxies.iter().filter_map(|w| Group::parse(w).ok());
            sets.into_iter().any(|g| g.holds(super::board::Party::Proxy(proxy)))
        })?;
        let ahead = wrong.behind.is_zero();
        let by = if ahead { wrong.ahead } else { wrong.behind };
        Some(format!("{}{}", if ahead { '+' } else { '-' }, humantime::format_duration(by)))
    }

    /// The schedule that the seed makes of it.
    pub fn schedule(&self, seed: u64) -> Schedule {
        let mut steps = Vec::new();
        let groups =
            |words: &[String]| -> Vec<Group> { words.iter().filter_map(|w| Group::parse(w).ok()).collect() };
        for (id, step) in self.links.iter().enumerate() {
            let link = step.get_ref();
            let mut rng = Xoshiro256PlusPlus::seed_from_u64(mix(seed, 0x11c, id as u64));
            let at = link.at + link.spread.mul_f64(rng.random::<f64>());
            let at = if link.early { Duration::ZERO } else { at };
            let active = Active {
                id,
                fault: link.fault,
                a: groups(&link.a),
                b: groups(&link.b),
                part: link.part,
                delay: link.delay,
                jitter: link.jitter,
                rate: link.bytes_per_second,
                struck: 0,
            };
            steps.push((at, if link.early { Do::Begin(active) } else { Do::Strike(active) }));
            steps.push((at + link.span, Do::Lift(id)));
        }
        for (n, step) in self.processes.iter().enumerate() {
            let process = step.get_ref();
            let mut rng = Xoshiro256PlusPlus::seed_from_u64(mix(seed, 0x9c0, n as u64));
            let sets = groups(&process.proxies);
            let mut chosen: Vec<usize> = (0..self.proxies())
                .filter(|p| sets.iter().any(|g| g.holds(super::board::Party::Proxy(*p))))
                .collect();
            chosen.shuffle(&mut rng);
            chosen.truncate(process.pick.unwrap_or(chosen.len()));
            chosen.sort_unstable();
            for proxy in chosen {
                let at = process.at + process.spread.mul_f64(rng.random::<f64>());
                steps.push((at, Do::Signal(proxy, process.action)));
                let after = at + process.span;
                match process.action {
                    Action::Pause => steps.push((after, Do::Resume(proxy))),
                    _ if process.restart => steps.push((after, Do::Start(proxy, process.state))),
                    _ => {}
                }
            }
        }
        // Stable: what comes at one time is done in the order of the file.
        steps.sort_by_key(|(at, _)| *at);
        Schedule { steps }
    }
}

#[cfg(test)]
mod tests;
