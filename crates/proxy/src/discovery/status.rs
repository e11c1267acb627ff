//! What the admin endpoint shows of the endpoint list in use: where it came from, its age, and how its polls went.

use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where the endpoint list in use came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// There is none.
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
    /// When it was last known to be right, and how old it was then; none: never. A wall clock that steps later does not
    /// change its age.
    confirmed: Cell<Option<(Instant, Duration)>>,
    polls: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

impl ListStatus {
    /// The status of a list of a version that was known to be right so long ago.
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

    /// The status in the admin endpoint's JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let age = self.confirmed.get().map(|(since, age)| (since.elapsed() + age).as_secs_f64());
        json!({
            "from": self.source.get().name(),
            "version": self.version.get(),
            "age_s": age,
            "calls": self.polls.get(),
            "refused": self.rejected.get(),
            "failed": self.failed.get(),
        })
    }

    /// Counts a poll that goes out.
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

    /// The service has confirmed this version of the list just now.
    pub(super) fn confirm(&self, version: u64) {
        if self.source.replace(ListSource::Service) != ListSource::Service {
            tracing::info!("the endpoint list is now the discovery service's, version {version}");
        }
        self.version.set(Some(version));
        self.confirmed.set(Some((Instant::now(), Duration::ZERO)));
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
