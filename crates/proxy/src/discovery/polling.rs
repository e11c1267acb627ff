//! The poll schedule, if the operator's file limits polls of the discovery service, and the updates after
//! each poll: of the status that the admin endpoint shows, and of the cache on disk.

use super::error::PollError;
use super::kept::CachedListWriter;
use super::status::ListStatus;
use crate::config::EndpointList;
use crate::duration::nanos;
use crate::wall_clock::unix_time;
use aniseyoke_config::model::List;
use aniseyoke_pace::PollRules;
use aniseyoke_pace::{FleetPosition, Nanos, PollSchedule};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Initial timeout of an answer, on top of the duration of the watch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Returns the poll schedule for the operator's and the platform's settings. Logs each operator's setting
/// that is out of bounds, with the value that is used instead.
pub fn poll_schedule(list: &List, poll_within: Nanos, position: FleetPosition) -> PollSchedule {
    let rules = PollRules {
        interval: list.every.map_or_else(|| PollRules::default_interval(poll_within), nanos),
        max_backoff: nanos(list.back_off_most),
        answer_timeout: nanos(ANSWER_TIMEOUT),
        max_answer_timeout: nanos(list.answer_most),
    };
    let bounded = rules.bounded();
    let times = [
        ("list.every", list.every.map(nanos), bounded.interval),
        ("list.back_off_most", Some(rules.max_backoff), bounded.max_backoff),
        ("list.answer_most", Some(rules.max_answer_timeout), bounded.max_answer_timeout),
    ];
    for (key, configured, bounded) in times {
        if let Some(configured) = configured.filter(|configured| *configured != bounded) {
            let [configured, bounded] = [configured, bounded].map(Duration::from_nanos);
            tracing::warn!(
                "{key}: {configured:?} counts as {bounded:?}: a change must arrive before it counts as notified"
            );
        }
    }
    PollSchedule::new(bounded, position, nanos(unix_time()), 0)
}

/// The poll schedule, if polls are limited, and what is updated after each poll.
pub struct ListPolling {
    schedule: Option<PollSchedule>,
    started: Instant,
    status: Rc<ListStatus>,
    cache: Option<CachedListWriter>,
}

impl ListPolling {
    /// Without a `schedule`, polls are not limited, and only the status and the cache are updated.
    pub fn new(
        schedule: Option<PollSchedule>,
        status: Rc<ListStatus>,
        cache: Option<CachedListWriter>,
    ) -> Self {
        ListPolling { schedule, started: Instant::now(), status, cache }
    }

    fn now(&self) -> Nanos {
        nanos(self.started.elapsed())
    }

    /// Returns the time until the next poll may be sent, or `None` if polls are not limited.
    pub(super) fn next_poll_in(&self) -> Option<Duration> {
        let now = self.now();
        self.schedule.as_ref().map(|schedule| Duration::from_nanos(schedule.next_poll(now) - now))
    }

    /// Returns how long a watch that is sent now asks the service to wait for a change, or `None` if polls
    /// are not limited.
    pub(super) fn watch_duration(&self) -> Option<Duration> {
        self.schedule.as_ref().map(|schedule| Duration::from_nanos(schedule.watch_duration(self.now())))
    }

    /// Returns the timeout of a poll that is sent now, or `None` if polls are not limited. With `full` the
    /// poll requests the full list, and does not wait for a change.
    pub(super) fn poll_timeout(&self, full: bool) -> Option<Duration> {
        let (now, schedule) = (self.now(), self.schedule.as_ref()?);
        let watch = if full { 0 } else { schedule.watch_duration(now) };
        Some(Duration::from_nanos(schedule.call_timeout(now, watch)))
    }

    /// Records that a poll is being sent.
    pub(super) fn poll_started(&mut self) {
        let now = self.now();
        self.schedule.iter_mut().for_each(|schedule| schedule.poll_started(now));
        self.status.count_poll();
    }

    /// Records an answer: the list, changes to it, or that nothing changed.
    pub(super) fn answered(&mut self, list: &EndpointList) {
        self.schedule.iter_mut().for_each(PollSchedule::answered);
        self.status.confirm(list.version);
        self.cache.iter_mut().for_each(|cache| cache.update(list));
    }

    /// Records a poll that returned no list.
    pub(super) fn failed(&mut self, error: &PollError) {
        let now = self.now();
        match error {
            PollError::Rejected { .. } => self.status.count_rejected(),
            PollError::TimedOut | PollError::Failed(_) => self.status.count_failed(),
        }
        let Some(schedule) = &mut self.schedule else { return };
        match error {
            PollError::Rejected { retry_after, .. } => schedule.rejected(now, retry_after.map(nanos)),
            PollError::TimedOut => schedule.timed_out(now),
            PollError::Failed(_) => schedule.failed(now),
        }
    }

    /// Records that the service has moved to another address.
    pub(super) fn address_changed(&mut self) {
        let now = self.now();
        self.schedule.iter_mut().for_each(|schedule| schedule.address_changed(now));
    }
}
