//! The relays of an experiment, on a thread and runtime of their own: one for each proxy and each party it reaches,
//! opened the first time that the link is named.

use super::board::{Board, Party};
use super::relay::{self, Counts, Link, Relay};
use aniseyoke_lab_day::clock::mix;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// So many relays may stand at once; a link past that goes straight to its target, and is counted.
const RELAYS_MOST: usize = 20_000;

/// All relays of an experiment.
pub struct Mesh {
    handle: Handle,
    board: Board,
    seed: u64,
    relays: Mutex<Relays>,
    stop: Mutex<Option<(oneshot::Sender<()>, JoinHandle<()>)>>,
}

#[derive(Default)]
struct Relays {
    by_link: HashMap<(usize, SocketAddr), Relay>,
    unrelayed: u64,
}

/// What the relays of a link did, summed over all relays of the experiment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Totals {
    /// Relays opened.
    pub relays: u64,
    /// Connections taken.
    pub taken: u64,
    /// Closed at once by `drop`.
    pub dropped: u64,
    /// Cut in their bytes.
    pub cut: u64,
    /// Reset.
    pub reset: u64,
    /// Held silent.
    pub held: u64,
    /// Whose target could not be reached.
    pub unreached: u64,
    /// Links that found no room for a relay and went straight.
    pub unrelayed: u64,
}

impl Mesh {
    /// Starts the relays' thread.
    ///
    /// # Errors
    /// If no thread or runtime could be had.
    pub fn start(board: Board, seed: u64) -> io::Result<Arc<Mesh>> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name("relays".into()).spawn(move || {
            // Ended when the mesh is: the sender is dropped or used.
            let _ = runtime.block_on(stopped);
        })?;
        Ok(Arc::new(Mesh {
            handle,
            board,
            seed,
            relays: Mutex::default(),
            stop: Mutex::new(Some((stop, thread))),
        }))
    }

    /// Where proxy `proxy` is to reach party `to` that listens at `target`.
    pub fn route(&self, proxy: usize, target: SocketAddr, to: Party) -> SocketAddr {
        let mut relays = self.relays.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(relay) = relays.by_link.get(&(proxy, target)) {
            return relay.addr;
        }
        if relays.by_link.len() >= RELAYS_MOST {
            relays.unrelayed += 1;
            return target;
        }
        let link = Link { from: Party::Proxy(proxy), to, target };
        let seed = mix(self.seed, proxy as u64, u64::from(target.port()));
        match relay::open(&self.handle, link, self.board.watch(), seed) {
            Ok(relay) => {
                let addr = relay.addr;
                relays.by_link.insert((proxy, target), relay);
                addr
            }
            Err(e) => {
                tracing::error!("no relay for proxy {proxy} to {target}: {e}");
                relays.unrelayed += 1;
                target
            }
        }
    }

    /// What all relays did so far.
    pub fn totals(&self) -> Totals {
        let relays = self.relays.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut totals =
            Totals { relays: relays.by_link.len() as u64, unrelayed: relays.unrelayed, ..Totals::default() };
        for relay in relays.by_link.values() {
            let c = &relay.counts;
            totals.taken += Counts::get(&c.taken);
            totals.dropped += Counts::get(&c.dropped);
            totals.cut += Counts::get(&c.cut);
            totals.reset += Counts::get(&c.reset);
            totals.held += Counts::get(&c.held);
            totals.unreached += Counts::get(&c.unreached);
        }
        totals
    }

    /// Ends every relay and its connections.
    pub fn close(&self) {
        let stop = self.stop.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        if let Some((stop, thread)) = stop {
            // A thread that has ended needs no telling.
            let _ = stop.send(());
            let _ = thread.join();
        }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.close();
    }
}
