//! What the core needs of a node side: a payload that it can't look into, attempts with that payload, and the list of
//! nodes. A node side speaks some protocol; the core knows none.

use aniseyoke_decision::api::{Entry, Load, ServerId, Status};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// A client's request as it goes on to any node, in a node side's own terms.
pub trait Job: 'static {
    /// The key as its client wrote it, for routes by prefix; empty where it has none.
    fn key(&self) -> &[u8];

    /// Whether the client's last byte is still to come.
    fn comes(&self) -> bool;

    /// Has `then` called once the client's last byte has come, if it is still to come.
    fn on_taken(&self, then: impl FnOnce() + 'static);

    /// Returns once the last byte of the request has come from its client, and never if it does not. It must not hold
    /// the job itself, or the wait would keep the client's connection.
    fn taken(job: Weak<Self>) -> impl Future<Output = ()>;
}

/// The core's hold on an attempt while it is out.
pub trait Tether: Default + 'static {
    /// The request is over: what is not yet written stays unwritten.
    fn bar(&self);

    /// Ends the attempt now, and its connection with it.
    fn cut(&self);

    /// What is not yet written so long after `since` stays unwritten: a repeat would no longer be known for one.
    fn only_within(&self, since: Instant, time: Duration);
}

/// What came of an attempt.
pub struct Ended<R> {
    /// How it ended, with what that tells of whether it ran.
    pub status: Status,
    /// Whether the node had the key, where it tells.
    pub hit: Option<bool>,
    /// What the node said of its load.
    pub load: Option<Load>,
    /// The answer, where it was served.
    pub answer: Option<R>,
}

impl<R> From<Status> for Ended<R> {
    fn from(status: Status) -> Self {
        Ended { status, hit: None, load: None, answer: None }
    }
}

/// All nodes that the list names, and attempts on them.
pub trait Fleet: 'static {
    /// A request as attempts carry it.
    type Job: Job;
    /// An answer on its way to whoever asked.
    type Reply: 'static;
    /// The hold on an attempt.
    type Tether: Tether;

    /// Takes news of the list; `whole` when nodes that it does not name are gone. No address: one that can't be read.
    fn update(&self, whole: bool, entries: &[(Entry, Option<SocketAddr>)]);

    /// Operators take a node out, or give it back; what is about to be written there must stay unwritten.
    fn ban(&self, server: ServerId, out: bool);

    /// Whether any node takes work.
    fn any_ready(&self) -> bool;

    /// Closes the connections to a node that carry no attempt.
    fn close_idle(&self, server: ServerId);

    /// One attempt: at most `wait` long from `since` on, or from the last byte of the request, where that still comes.
    fn attempt(
        self: Rc<Self>,
        server: ServerId,
        job: Rc<Self::Job>,
        since: Instant,
        wait: Duration,
        tether: Rc<Self::Tether>,
    ) -> impl Future<Output = Ended<Self::Reply>> + 'static;
}
