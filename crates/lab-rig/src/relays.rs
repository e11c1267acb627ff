//! The relays of an experiment, which run on a separate thread and runtime. There is one relay for each link from a proxy,
//! opened when the link is first requested.

use super::board::{FaultBoard, LinkEnd};
use super::relay::{self, Link, Relay, RelayCounters};
use aniseyoke_lab_day::clock::mix;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// The maximum number of open relays. Links beyond it connect directly to their targets, and are counted.
const MAX_RELAYS: usize = 20_000;

/// All relays of an experiment.
pub struct Relays {
    handle: Handle,
    board: FaultBoard,
    seed: u64,
    relays: Mutex<RelayTable>,
    stop: Mutex<Option<(oneshot::Sender<()>, JoinHandle<()>)>>,
}

#[derive(Default)]
struct RelayTable {
    by_link: HashMap<(usize, SocketAddr), Relay>,
    unrelayed: u64,
}

/// The counters of all relays of an experiment, summed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RelayTotals {
    /// Relays opened.
    pub relays: u64,
    /// Connections accepted.
    pub taken: u64,
    /// Connections closed immediately by `drop`.
    pub dropped: u64,
    /// Connections truncated by `cut`.
    pub cut: u64,
    /// Connections reset.
    pub reset: u64,
    /// Connections stalled temporarily or permanently.
    pub held: u64,
    /// Connections whose target could not be reached.
    pub unreached: u64,
    /// Requests for a link that got the address of the target, since the limit of relays was reached or the relay could not be
    /// opened.
    pub unrelayed: u64,
}

impl Relays {
    /// Starts the thread of the relays.
    ///
    /// # Errors
    /// Returns an error if the thread or its runtime could not be created.
    pub fn start(board: FaultBoard, seed: u64) -> io::Result<Arc<Relays>> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name("relays".into()).spawn(move || {
            // Returns when the sender is used or dropped.
            let _ = runtime.block_on(stopped);
        })?;
        Ok(Arc::new(Relays {
            handle,
            board,
            seed,
            relays: Mutex::default(),
            stop: Mutex::new(Some((stop, thread))),
        }))
    }

    /// Returns the address at which `proxy` connects to the link end `to` that listens at `target`.
    pub fn route(&self, proxy: usize, target: SocketAddr, to: LinkEnd) -> SocketAddr {
        let mut relays = self.relays.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(relay) = relays.by_link.get(&(proxy, target)) {
            return relay.addr;
        }
        if relays.by_link.len() >= MAX_RELAYS {
            relays.unrelayed += 1;
            return target;
        }
        let link = Link { from: LinkEnd::Proxy(proxy), to, target };
        let seed = mix(self.seed, proxy as u64, u64::from(target.port()));
        match relay::open(&self.handle, link, self.board.watch(), seed) {
            Ok(relay) => {
                let addr = relay.addr;
                relays.by_link.insert((proxy, target), relay);
                addr
            }
            Err(e) => {
                tracing::error!(
                    "failed to open a relay from proxy {proxy} to {target}, connecting directly: {e}"
                );
                relays.unrelayed += 1;
                target
            }
        }
    }

    /// Returns the counters of all relays, summed.
    pub fn totals(&self) -> RelayTotals {
        let relays = self.relays.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut totals = RelayTotals {
            relays: relays.by_link.len() as u64,
            unrelayed: relays.unrelayed,
            ..RelayTotals::default()
        };
        for relay in relays.by_link.values() {
            let c = &relay.counts;
            totals.taken += RelayCounters::get(&c.taken);
            totals.dropped += RelayCounters::get(&c.dropped);
            totals.cut += RelayCounters::get(&c.cut);
            totals.reset += RelayCounters::get(&c.reset);
            totals.held += RelayCounters::get(&c.held);
            totals.unreached += RelayCounters::get(&c.unreached);
        }
        totals
    }

    /// Closes all relays and their connections.
    pub fn close(&self) {
        let stop = self.stop.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        if let Some((stop, thread)) = stop {
            // The thread may have ended already.
            let _ = stop.send(());
            let _ = thread.join();
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.close();
    }
}
