//! When the list service is asked, where the operator's file limits that, and what is told of it.

use super::kept::Keeper;
use super::Fault;
use crate::config::Members;
use crate::wall_clock::unix_time;
use aniseyoke_config::model::List;
use aniseyoke_pace::PollRules;
use aniseyoke_pace::{FleetPosition, Nanos, PollSchedule};
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the service may take at first, beyond the wait that it was asked for.
const ANSWER: Duration = Duration::from_millis(1200);

pub fn nanos(time: Duration) -> Nanos {
    u64::try_from(time.as_nanos()).unwrap_or(Nanos::MAX)
}

/// Whence the list that is held came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// There is none.
    Nothing,
    /// The platform told it at the start.
    Platform,
    /// It was kept on disk.
    Disk,
    /// The service told it.
    Service,
}

/// What is told at the operators' door of the list that is held.
pub struct Held {
    source: Cell<Source>,
    version: Cell<Option<u64>>,
    /// When it was last known to be right; none: never.
    at: Cell<Option<Duration>>,
    calls: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

impl Held {
    /// A list of a version that was known to be right at a time.
    pub fn new(source: Source, version: Option<u64>, at: Option<Duration>) -> Rc<Self> {
        Rc::new(Held {
            source: Cell::new(source),
            version: Cell::new(version),
            at: Cell::new(at),
            calls: Cell::default(),
            refused: Cell::default(),
            failed: Cell::default(),
        })
    }

    /// As the door tells it.
    pub fn told(&self) -> serde_json::Value {
        let source = match self.source.get() {
            Source::Nothing => "nothing",
            Source::Platform => "platform",
            Source::Disk => "disk",
            Source::Service => "service",
        };
        let age = self.at.get().map(|at| unix_time().saturating_sub(at).as_secs_f64());
        json!({"from": source, "version": self.version.get(), "age_s": age, "calls": self.calls.get(),
               "refused": self.refused.get(), "failed": self.failed.get()})
    }
}

/// When calls go out, what is kept of their answers, and what is told of both.
pub struct Paced {
    polls: Option<PollSchedule>,
    began: Instant,
    held: Rc<Held>,
    keeper: Option<Keeper>,
}

/// When calls go out, by the operator's word and the platform's. Where a time of the operator's counts as another, the log
/// names its key.
pub fn polls(list: &List, must_ask_in: Nanos, place: FleetPosition) -> PollSchedule {
    let told = PollRules {
        interval: list.every.map_or_else(|| PollRules::default_interval(must_ask_in), nanos),
        max_backoff: nanos(list.back_off_most),
        answer_timeout: nanos(ANSWER),
        max_answer_timeout: nanos(list.answer_most),
    };
    let counts = told.bounded();
    let times = [
        ("list.every", list.every.map(nanos), counts.interval),
        ("list.back_off_most", Some(told.max_backoff), counts.max_backoff),
        ("list.answer_most", Some(told.max_answer_timeout), counts.max_answer_timeout),
    ];
    for (key, told, counts) in times {
        if let Some(told) = told.filter(|told| *told != counts) {
            let [told, counts] = [told, counts].map(Duration::from_nanos);
            tracing::warn!(
                "{key}: {told:?} counts as {counts:?}: a change is to be here before it counts as told"
            );
        }
    }
    PollSchedule::new(counts, place, nanos(unix_time()), 0)
}

impl Paced {
    /// Without `polls` the list is kept and told of, and calls are not paced.
    pub fn new(polls: Option<PollSchedule>, held: Rc<Held>, keeper: Option<Keeper>) -> Self {
        Paced { polls, began: Instant::now(), held, keeper }
    }

    fn now(&self) -> Nanos {
        nanos(self.began.elapsed())
    }

    /// How long until the next call may go out; none: calls are not paced.
    pub fn wait(&self) -> Option<Duration> {
        let now = self.now();
        self.polls.as_ref().map(|polls| Duration::from_nanos(polls.next_poll(now) - now))
    }

    /// For how long a call that goes out now asks the service to wait, where calls are paced.
    pub fn hold(&self) -> Option<Duration> {
        self.polls.as_ref().map(|polls| Duration::from_nanos(polls.watch_duration(self.now())))
    }

    /// After what time a call is given up that goes out now, where calls are paced; `whole`: it is for the whole list, and
    /// asks for no wait.
    pub fn limit(&self, whole: bool) -> Option<Duration> {
        let (now, polls) = (self.now(), self.polls.as_ref()?);
        let held = if whole { 0 } else { polls.watch_duration(now) };
        Some(Duration::from_nanos(polls.call_timeout(now, held)))
    }

    /// A call goes out.
    pub fn polled(&mut self) {
        let now = self.now();
        self.polls.iter_mut().for_each(|p| p.poll_started(now));
        self.held.calls.set(self.held.calls.get() + 1);
    }

    /// The service has told the list, or that nothing of it changed.
    pub fn answered(&mut self, members: &Members) {
        self.polls.iter_mut().for_each(PollSchedule::answered);
        if self.held.source.replace(Source::Service) != Source::Service {
            tracing::info!("the list service tells version {}", members.version);
        }
        self.held.version.set(Some(members.version));
        self.held.at.set(Some(unix_time()));
        self.keeper.iter_mut().for_each(|k| k.told(members));
    }

    pub(super) fn failed(&mut self, fault: &Fault) {
        let now = self.now();
        let polls = self.polls.iter_mut();
        let count = |of: &Cell<u64>| of.set(of.get() + 1);
        match fault {
            Fault::Refused(_, after) => {
                count(&self.held.refused);
                polls.for_each(|p| p.rejected(now, after.map(nanos)));
            }
            Fault::Late => {
                count(&self.held.failed);
                polls.for_each(|p| p.timed_out(now));
            }
            Fault::Broken(_) => {
                count(&self.held.failed);
                polls.for_each(|p| p.failed(now));
            }
        }
    }

    /// The service is at another address.
    pub fn moved(&mut self) {
        let now = self.now();
        self.polls.iter_mut().for_each(|p| p.address_changed(now));
    }
}
