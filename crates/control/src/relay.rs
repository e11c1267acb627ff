//! Starts roots and relays. A root is a service that accepts purges from publishers. A relay follows
//! its upstreams, and is a service for its children.

use crate::client::{follow, FollowerHandler, UpstreamMessage};
use crate::follower::{Follower, Identity, Rejection, RequestCounts, Times};
use crate::frame::{ServiceMessage, MAX_FRAME_BYTES};
use crate::operators;
use crate::publisher::Publisher;
use crate::purge_log::{OpenedLog, PurgeLog, PurgeLogError};
use crate::purge_queue::purge_queue;
use crate::purge_writer::PurgeWriter;
use crate::purges::PurgeDriver;
use crate::service::Service;
use crate::version::{Stamp, Version};
use aniseyoke_fanout::{Progress, Settings};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// A relay rejects a version that not all children have answered within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the checks for pending children while no answers arrive.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of reasons in a rejection that is forwarded upstream.
const MAX_REASONS: usize = 20;

/// The configuration of a root.
pub struct RootConfig {
    /// Times and limits of its relay.
    pub settings: Settings,
    /// Minimum number of purges that the log retains.
    pub log_capacity: usize,
    /// How long requests are collected before they are stored and distributed as one batch.
    pub batch: Duration,
    /// The epoch of a new log, which has to be higher than any before.
    pub epoch: u64,
    /// Writes a warning to the log.
    pub warn: fn(&str),
}

/// A service that accepts purges and stores them in a log on disk.
pub struct Root {
    /// The service.
    pub service: Rc<Service>,
    purges: Rc<PurgeDriver>,
    writer: PurgeWriter,
}

impl Root {
    /// Creates a root that publishes the versions of `publisher`, with its log of purges in `folder`.
    ///
    /// # Errors
    /// As [`PurgeLog::open`].
    pub fn open(publisher: Publisher, folder: &Path, config: RootConfig) -> Result<Self, PurgeLogError> {
        let RootConfig { settings, log_capacity, batch, epoch, warn } = config;
        let OpenedLog { disk, log, publishers, warnings } = PurgeLog::open(folder, log_capacity, epoch)?;
        warnings.iter().for_each(|message| warn(message));
        // The writer has collected a batch already, so that the relay sends it at once.
        let settings = Settings { batch: 0, ..settings };
        let purges = Rc::new(PurgeDriver::root("root", settings, log, warn));
        let service = Service::with_purges(publisher, Some(purges.clone()), false);
        let writer = PurgeWriter { log: disk, publishers, batch, warn, epoch_failure: None };
        Ok(Root { service, purges, writer })
    }

    /// Accepts purges forever. `next_epoch` has to return a number higher than any epoch before.
    pub async fn run<E: Display>(self, next_epoch: impl Fn() -> Result<u64, E>) -> Infallible {
        let (queue, requests) = purge_queue();
        self.service.accept_purges(queue);
        self.writer.run(self.service.clock(), self.purges, requests, next_epoch).await
    }
}

/// The configuration of a relay.
pub struct RelayConfig {
    /// Its name, which stays the same after a restart. The names of all members below it begin with it.
    pub name: String,
    /// The services or relays that it follows. It connects to one at a time, and to the next one
    /// after a failure.
    pub upstream: Vec<SocketAddr>,
    /// Times and limits of its relay.
    pub settings: Settings,
    /// Number of purges that the log retains.
    pub log_capacity: usize,
    /// A number that was drawn when its process started, and identifies that start.
    pub boot: u64,
    /// Writes a warning to the log.
    pub warn: fn(&str),
}

/// Runs a relay forever. `proxies` is the listener for its children. Operators are served if there is a
/// listener for them.
pub async fn run(config: RelayConfig, proxies: TcpListener, operators: Option<TcpListener>) -> Infallible {
    let (service, follow_upstream) = relay_parts(config);
    tokio::task::spawn_local(service.clone().serve(proxies));
    if let Some(operators) = operators {
        tokio::task::spawn_local(operators::serve(service, operators));
    }
    follow_upstream.await
}

/// Creates a relay. Returns its service for the children, and a future that follows the upstreams forever.
pub(crate) fn relay_parts(config: RelayConfig) -> (Rc<Service>, impl Future<Output = Infallible>) {
    let RelayConfig { name, upstream, settings, log_capacity, boot, warn } = config;
    let purges = Rc::new(PurgeDriver::relay(&name, settings, log_capacity, warn));
    let service = Service::with_purges(Publisher::new(0), Some(purges.clone()), true);
    let identity =
        Identity { instance: name, boot, labels: BTreeMap::new(), max_frame_bytes: MAX_FRAME_BYTES };
    let follower = Follower::new(identity, upstream.len(), None, Times::default(), boot);
    let downstream = Downstream {
        service: service.clone(),
        purges,
        warn,
        newer_version_queued: Notify::new(),
        superseded: Cell::new(false),
    };
    (service, follow(follower, upstream, MAX_FRAME_BYTES, downstream))
}

/// The children of a relay. As the handler of the relay's follower, it applies the upstream's versions and
/// purges to them.
struct Downstream {
    service: Rc<Service>,
    purges: Rc<PurgeDriver>,
    warn: fn(&str),
    newer_version_queued: Notify,
    /// Whether a newer version is queued behind the one that children are answering.
    superseded: Cell<bool>,
}

impl Downstream {
    /// Returns the reasons why children have rejected a version.
    fn rejections(&self, stamp: Stamp) -> Vec<String> {
        let statuses = self.service.with_publisher(Publisher::statuses);
        let rejections = statuses.into_iter().filter_map(|status| {
            let (_, reasons) = status.rejected.filter(|(rejected, _)| *rejected == stamp)?;
            Some(format!("{}: {}", status.instance, reasons.join("; ")))
        });
        rejections.take(MAX_REASONS).collect()
    }

    /// Returns a reason for each child that has not answered a version.
    fn unanswered(&self, stamp: Stamp) -> Vec<String> {
        let statuses = self.service.with_publisher(Publisher::statuses);
        let unanswered = statuses.into_iter().filter(|status| status.running != Some(stamp));
        unanswered
            .map(|status| format!("{}: it has not answered", status.instance))
            .take(MAX_REASONS)
            .collect()
    }
}

impl FollowerHandler for Downstream {
    /// Applies a version. It is in force at a relay once it is in force at all connected children.
    async fn apply(&self, version: Version) -> Result<(), Rejection> {
        let stamp = version.stamp;
        self.superseded.set(false);
        self.service.adopt(version).map_err(|error| error.to_string())?;
        let start = Instant::now();
        while self.service.with_publisher(|p| p.pending(stamp)) > 0 {
            if self.superseded.get() {
                return Err("a newer version arrived before all children had answered".to_owned().into());
            }
            if start.elapsed() > ANSWER_TIMEOUT {
                return Err(self.unanswered(stamp).into());
            }
            tokio::select! {
                _ = timeout(CHECK_INTERVAL, self.service.answered.notified()) => {}
                () = self.newer_version_queued.notified() => {}
            }
        }
        match self.rejections(stamp) {
            rejections if rejections.is_empty() => Ok(()),
            rejections => Err(rejections.into()),
        }
    }

    fn persist(&self, _version: Version) {}

    fn warn(&self, message: &str) {
        (self.warn)(message);
    }

    fn take_request_counts(&self) -> RequestCounts {
        self.service.take_request_counts()
    }

    fn purge_progress(&self) -> Option<Progress> {
        Some(self.purges.with_relay(|relay| relay.progress()))
    }

    fn connected(&self) {
        self.purges.upstream_connected(self.service.clock().now());
    }

    fn receive_purges(&self, message: ServiceMessage) {
        self.purges.receive_upstream(self.service.clock().now(), message);
    }

    async fn next_upstream(&self) -> UpstreamMessage {
        self.purges.next_upstream().await
    }

    fn newer_version_queued(&self) {
        self.superseded.set(true);
        self.newer_version_queued.notify_one();
    }
}
