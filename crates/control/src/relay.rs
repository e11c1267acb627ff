//! Starting a root that takes purges, and a relay: a follower of those upstream, a publisher to those below.

use crate::client::{follow, Host, Upward};
use crate::follower::{Follower, Identity, Times};
use crate::frame::{FromService, FRAME_MOST};
use crate::keeper::{keeper, Keeper};
use crate::publisher::Publisher;
use crate::purge_log::PurgeLog;
use crate::purges::Purges;
use crate::service::Service;
use crate::version::{Stamp, Version};
use aniseyoke_fanout::{Progress, Settings};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Everybody below has answered a version within this time, or it is told as refused.
const ANSWERED_WITHIN: Duration = Duration::from_secs(30);
/// How often those that have not are looked at without one having answered.
const LOOK: Duration = Duration::from_millis(500);
/// Reasons that are passed on of a refusal.
const REASONS: usize = 20;

/// A service that takes purges, with its log in a folder.
pub struct Root {
    /// The service.
    pub service: Rc<Service>,
    purges: Rc<Purges>,
    keeper: Keeper,
}

impl Root {
    /// A root around a publisher. `entries`: so many purges are kept at least; `batch`: calls that come within it are
    /// kept and sent as one; `epoch`: a number higher than any epoch before.
    ///
    /// # Errors
    /// As [`PurgeLog::open`].
    pub fn open(
        publisher: Publisher,
        dir: &Path,
        (settings, entries): (Settings, usize),
        batch: Duration,
        epoch: u64,
        say: fn(&str),
    ) -> Result<Self, String> {
        let opened = PurgeLog::open(dir, entries, epoch)?;
        opened.say.iter().for_each(|what| say(what));
        // What the keeper has gathered goes out at once.
        let settings = Settings { batch: 0, ..settings };
        let purges = Rc::new(Purges::root("root", settings, opened.log, say));
        let service = Service::with(publisher, Some(purges.clone()), false);
        let keeper = Keeper { file: opened.file, publishers: opened.publishers, batch, say, stuck: None };
        Ok(Root { service, purges, keeper })
    }

    /// Takes purges, for good. `epoch` gives a higher number than any before.
    pub async fn keep(self, epoch: impl Fn() -> Result<u64, String>) -> Infallible {
        let (taker, calls) = keeper();
        self.service.takes(taker);
        self.keeper.run(self.service, self.purges, calls, epoch).await
    }
}

/// What a relay is to be.
pub struct Relaying {
    /// Its name, the same after a restart, and the first part of the names of those below it.
    pub name: String,
    /// Whom it follows, in turn.
    pub upstream: Vec<SocketAddr>,
    /// Its times and bounds for purges.
    pub settings: Settings,
    /// So many purges are kept.
    pub entries: usize,
    /// A number drawn at its start.
    pub boot: u64,
    /// Something for those on call.
    pub say: fn(&str),
}

/// Relays, for good; operators ask at `door`, where there is one.
pub async fn relay(relaying: Relaying, proxies: TcpListener, door: Option<TcpListener>) -> Infallible {
    let (service, follows) = parts(relaying);
    tokio::task::spawn_local(service.clone().serve(proxies));
    if let Some(door) = door {
        tokio::task::spawn_local(service.hear(door));
    }
    follows.await
}

/// A relay's service for those below, and what follows upstream for good.
pub(crate) fn parts(relaying: Relaying) -> (Rc<Service>, impl Future<Output = Infallible>) {
    let Relaying { name, upstream, settings, entries, boot, say } = relaying;
    let purges = Rc::new(Purges::relay(&name, settings, entries, say));
    let service = Service::with(Publisher::new(0), Some(purges.clone()), true);
    let identity = Identity { instance: name, boot, labels: BTreeMap::new(), frame_most: FRAME_MOST };
    let follower = Follower::new(identity, upstream.len(), None, Times::default(), boot);
    let below =
        Below { service: service.clone(), purges, say, newer: Notify::new(), superseded: Cell::new(false) };
    (service, follow(follower, upstream, FRAME_MOST, below))
}

/// What is below a relay, to the follower that it is upstream.
struct Below {
    service: Rc<Service>,
    purges: Rc<Purges>,
    say: fn(&str),
    newer: Notify,
    superseded: Cell<bool>,
}

impl Below {
    fn refusals(&self, stamp: Stamp) -> Vec<String> {
        let rows = self.service.look(Publisher::rows);
        let refused = rows.into_iter().filter_map(|row| {
            let (_, reasons) = row.refused.filter(|(refused, _)| *refused == stamp)?;
            Some(format!("{}: {}", row.instance, reasons.join("; ")))
        });
        refused.take(REASONS).collect()
    }

    fn late(&self, stamp: Stamp) -> Vec<String> {
        let rows = self.service.look(Publisher::rows);
        let late = rows.into_iter().filter(|row| row.running != Some(stamp));
        late.map(|row| format!("{}: it has not answered", row.instance)).take(REASONS).collect()
    }
}

impl Host for Below {
    /// In force here is in force at all who are connected below.
    async fn apply(&self, version: Version) -> Result<(), Vec<String>> {
        let stamp = version.stamp;
        self.superseded.set(false);
        self.service.adopt(version).map_err(|why| vec![why])?;
        let start = Instant::now();
        while self.service.look(|p| p.pending(stamp)) > 0 {
            if self.superseded.get() {
                return Err(vec!["a newer version came before all below had answered".into()]);
            }
            if start.elapsed() > ANSWERED_WITHIN {
                return Err(self.late(stamp));
            }
            tokio::select! {
                _ = timeout(LOOK, self.service.answered.notified()) => {}
                () = self.newer.notified() => {}
            }
        }
        match self.refusals(stamp) {
            refusals if refusals.is_empty() => Ok(()),
            refusals => Err(refusals),
        }
    }

    fn keep(&self, _version: Version) {}

    fn say(&self, what: &str) {
        (self.say)(what);
    }

    fn answered(&self) -> [u64; 3] {
        self.service.answers()
    }

    fn stands(&self) -> Option<Progress> {
        Some(self.purges.look(|relay| relay.progress()))
    }

    fn connected(&self) {
        self.purges.connected(self.service.now());
    }

    fn purges(&self, frame: FromService) {
        self.purges.come(self.service.now(), frame);
    }

    async fn upward(&self) -> Upward {
        self.purges.upward().await
    }

    fn newer(&self) {
        self.superseded.set(true);
        self.newer.notify_one();
    }
}
