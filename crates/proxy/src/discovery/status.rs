//! The status of the endpoint list in use, for the admin endpoint: its source, its age and the counts of
//! polls.

use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Source of the endpoint list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// There is no list.
    Nothing,
    /// The platform's file at the start.
    Platform,
    /// The cache on disk.
    Disk,
    /// The discovery service.
    Service,
}

impl ListSource {
    fn name(self) -> &'static str {
        match self {
            ListSource::Nothing => "nothing",
            ListSource::Platform => "platform",
            ListSource::Disk => "disk",
            ListSource::Service => "service",
        }
    }
}

/// The state of the endpoint list in use and the counts of its polls.
pub struct ListStatus {
    source: Cell<ListSource>,
    version: Cell<Option<u64>>,
    /// When the list was last confirmed, and its age at that time; `None` if never. It does not use the wall
    /// clock, so that a clock step does not change the age.
    confirmed: Cell<Option<(Instant, Duration)>>,
    polls: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

impl ListStatus {
    /// Creates the status of a list of `version` that was confirmed `age` ago.
    pub fn new(source: ListSource, version: Option<u64>, age: Option<Duration>) -> Rc<Self> {
        Rc::new(ListStatus {
            source: Cell::new(source),
            version: Cell::new(version),
            confirmed: Cell::new(age.map(|age| (Instant::now(), age))),
            polls: Cell::default(),
            rejected: Cell::default(),
            failed: Cell::default(),
        })
    }

    /// Returns the status as JSON for the admin endpoint.
    pub fn to_json(&self) -> serde_json::Value {
        let age = self.confirmed.get().map(|(confirmed, age)| (confirmed.elapsed() + age).as_secs_f64());
        json!({
            "from": self.source.get().name(),
            "version": self.version.get(),
            "age_s": age,
            "calls": self.polls.get(),
            "refused": self.rejected.get(),
            "failed": self.failed.get(),
        })
    }

    /// Counts a poll that is sent.
    pub(super) fn count_poll(&self) {
        increment(&self.polls);
    }

    /// Counts a poll that the service rejected.
    pub(super) fn count_rejected(&self) {
        increment(&self.rejected);
    }

    /// Counts a poll that failed.
    pub(super) fn count_failed(&self) {
        increment(&self.failed);
    }

    /// Records that the service has just confirmed `version` of the list.
    pub(super) fn confirm(&self, version: u64) {
        if self.source.replace(ListSource::Service) != ListSource::Service {
            tracing::info!("endpoint list version {version} received from the discovery service");
        }
        self.version.set(Some(version));
        self.confirmed.set(Some((Instant::now(), Duration::ZERO)));
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
