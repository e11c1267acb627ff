//! The model of a site on loopback sockets, in real time: cache nodes, the ledger, discovery, and the front.

mod discovery;
mod door;
mod front;
mod hall;
mod node;
pub mod wire;

pub use discovery::parameter;
pub use front::{Front, Health};

use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_day::Day;
use hall::Hall;
use hdrhistogram::Histogram;
use serde_json::Value;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Where proxy `.0` is to reach a member that listens at `.1` and is of kind `.2` (`ledger` for the ledger): the fault
/// rig's relays stand there. Without one, at the member.
pub type Mesh = std::sync::Arc<dyn Fn(usize, SocketAddr, &str) -> SocketAddr + Send + Sync>;

/// What the fault rig asks of a site beyond its day.
#[derive(Clone, Default)]
pub struct Rigging {
    /// Where each proxy reaches each member.
    pub mesh: Option<Mesh>,
    /// Calls a second that the list service takes in all; past that it answers 503 with `Retry-After`.
    pub asks_most: Option<u64>,
    /// What that `Retry-After` says, in seconds.
    pub retry_after_s: f64,
    /// What cache nodes take of connections.
    pub bears: aniseyoke_lab_world::connection_load::Bears,
}

/// Restarts that may wait to be carried out.
const ORDERS_MOST: usize = 1024;

/// What a site counted over its day.
pub struct Counts {
    /// How late the model's events were played, in microseconds.
    pub lateness: Histogram<u64>,
    /// Requests that reached the ledger: fetches and writes.
    pub ledger_asks: u64,
    /// Reads answered from a node's memory.
    pub hits: u64,
    /// Reads that a node missed.
    pub misses: u64,
    /// Calls at the list service, for each second from the site's opening.
    pub list_asks: Vec<u64>,
    /// Of those, refused for being past what it takes a second.
    pub list_refused: Vec<u64>,
    /// What cache nodes and the ledger were met with.
    pub met: [aniseyoke_lab_world::connection_load::Met; 2],
}

/// A site that stands, on a thread of its own.
pub struct Site {
    /// Where discovery answers, an address for each proxy.
    pub discovery: Vec<SocketAddr>,
    /// Where each member listened when the site opened, the ledger last.
    pub members: Vec<SocketAddr>,
    /// The list as it stood when the site opened, in discovery's form, for each proxy.
    pub known: Vec<Value>,
    /// Proxies that are to be restarted, as the day goes.
    pub orders: mpsc::Receiver<usize>,
    begin: Option<oneshot::Sender<()>>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Counts>,
}

struct Opened {
    discovery: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    known: Vec<Value>,
}

impl Site {
    /// Opens a site; nothing goes wrong before [`Site::begin`].
    ///
    /// # Errors
    /// If the system lacks addresses, descriptors or threads.
    pub fn open(
        day: &Day,
        clock: Clock,
        recorder: impl FnOnce() -> Recorder + Send + 'static,
    ) -> io::Result<Site> {
        Site::open_rigged(day, clock, recorder, Rigging::default())
    }

    /// Opens a site as the rig wants it: lists that name, for each proxy, the address that the mesh gives for each
    /// member, and a list service that takes so many calls a second.
    ///
    /// # Errors
    /// As [`Site::open`].
    pub fn open_rigged(
        day: &Day,
        clock: Clock,
        recorder: impl FnOnce() -> Recorder + Send + 'static,
        rigging: Rigging,
    ) -> io::Result<Site> {
        let (stop, stopped) = oneshot::channel();
        let (begin, begun) = oneshot::channel();
        let (orders_out, orders) = mpsc::channel(ORDERS_MOST);
        let (opened_out, opened) = std::sync::mpsc::channel();
        let day = day.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let stand = move || {
            let local = tokio::task::LocalSet::new();
            let hall = Hall::new(&day, clock, recorder(), orders_out, rigging);
            let standing = hall.clone();
            local.block_on(&runtime, async move {
                // Who opens the site waits for this.
                let _ = opened_out.send(open(&standing).await);
                tokio::task::spawn_local(standing.clone().drive());
                tokio::task::spawn_local(standing.clone().report());
                let beginning = standing.clone();
                tokio::task::spawn_local(async move {
                    if begun.await.is_ok() {
                        beginning.begin();
                    }
                });
                // Whoever held the site and let go of it wants it closed.
                let _ = stopped.await;
            });
            hall.recorder.flush();
            drop(local);
            let counts = Counts {
                lateness: hall.lateness.borrow().clone(),
                ledger_asks: hall.ledger_asks.get(),
                hits: hall.hits.get(),
                misses: hall.misses.get(),
                list_asks: hall.list_asks.borrow().clone(),
                list_refused: hall.list_refused.borrow().clone(),
                met: hall.toll.borrow().met(),
            };
            counts
        };
        let thread = std::thread::Builder::new().name("site".into()).spawn(stand)?;
        let opened = opened.recv().map_err(|_| io::Error::other("the site did not open"))??;
        let Opened { discovery, members, known } = opened;
        Ok(Site { discovery, members, known, orders, begin: Some(begin), stop, thread })
    }

    /// The day begins: troubles strike at their times from now on.
    pub fn begin(&mut self) {
        if let Some(begin) = self.begin.take() {
            // A site that has ended by itself is noticed when it is closed.
            let _ = begin.send(());
        }
    }

    /// Closes the site and returns what it counted.
    pub fn close(self) -> Counts {
        // A site that has ended by itself has nothing to be told.
        let _ = self.stop.send(());
        self.thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }
}

async fn open(hall: &std::rc::Rc<Hall>) -> io::Result<Opened> {
    hall.open_doors()?;
    let mut addrs = Vec::new();
    for proxy in 0..hall.day.site.proxy.count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        addrs.push(listener.local_addr()?);
        tokio::task::spawn_local(discovery::attend(hall.clone(), proxy, listener));
    }
    let lines = hall.world.borrow().roster().all();
    let members = hall.posts.borrow().iter().map(|p| p.addr).collect();
    let known = (0..addrs.len()).map(|proxy| discovery::list(hall, proxy, &lines, true)).collect();
    Ok(Opened { discovery: addrs, members, known })
}
