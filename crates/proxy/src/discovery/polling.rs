//! When the discovery service is polled, where the operator's file limits that, and what follows each poll: the status that
//! the admin endpoint shows, and the cache on disk.

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

/// How long the service may take at first, beyond the wait of the watch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// The poll schedule by the operator's rules and the platform's. Where a time of the operator's is out of bounds, the log
/// names its key and what it counts as.
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
                "{key}: {configured:?} counts as {bounded:?}: a change must be here before it counts as notified"
            );
        }
    }
    PollSchedule::new(bounded, position, nanos(unix_time()), 0)
}

/// The poll schedule, if polls are limited, and what is updated after each poll.
pub struct ListPolling {
    schedule: Option<PollSchedule>,
    began: Instant,
    status: Rc<ListStatus>,
    cache: Option<CachedListWriter>,
}

impl ListPolling {
    /// Without a `schedule` polls are not limited, and only the status and the cache are updated.
    pub fn new(
        schedule: Option<PollSchedule>,
        status: Rc<ListStatus>,
        cache: Option<CachedListWriter>,
    ) -> Self {
        ListPolling { schedule, began: Instant::now(), status, cache }
    }

    fn now(&self) -> Nanos {
        nanos(self.began.elapsed())
    }

    /// How long until the next poll may go out; none: polls are not limited.
    pub(super) fn next_poll_in(&self) -> Option<Duration> {
        let now = self.now();
        self.schedule.as_ref().map(|schedule| Duration::from_nanos(schedule.next_poll(now) - now))
    }

    /// For how long a watch that goes out now asks the service to wait for a change, where polls are limited.
    pub(super) fn watch_duration(&self) -> Option<Duration> {
        self.schedule.as_ref().map(|schedule| Duration::from_nanos(schedule.watch_duration(self.now())))
    }

    /// After what time a poll that goes out now is given up, where polls are limited; `full`: it asks for the full list,
    /// without waiting for a change.
    pub(super) fn poll_timeout(&self, full: bool) -> Option<Duration> {
        let (now, schedule) = (self.now(), self.schedule.as_ref()?);
        let watch = if full { 0 } else { schedule.watch_duration(now) };
        Some(Duration::from_nanos(schedule.call_timeout(now, watch)))
    }

    /// A poll goes out.
    pub(super) fn poll_started(&mut self) {
        let now = self.now();
        self.schedule.iter_mut().for_each(|schedule| schedule.poll_started(now));
        self.status.count_poll();
    }

    /// The service has sent the list, or that nothing of it changed.
    pub(super) fn answered(&mut self, list: &EndpointList) {
        self.schedule.iter_mut().for_each(PollSchedule::answered);
        self.status.confirm(list.version);
        self.cache.iter_mut().for_each(|cache| cache.update(list));
    }

    /// A poll brought no list.
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

    /// The service is at another address.
    pub(super) fn address_changed(&mut self) {
        let now = self.now();
        self.schedule.iter_mut().for_each(|schedule| schedule.address_changed(now));
    }
}
