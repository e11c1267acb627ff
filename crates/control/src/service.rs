//! Runs a [`Publisher`] on TCP sockets, with a task for each proxy. A relay is a service that only forwards
//! the versions of its upstream.

use crate::clock::Clock;
use crate::connections::{ConnectionQueue, Connections};
use crate::follower::RequestCounts;
use crate::frame::{decode, OperatorResponse, ProxyMessage};
use crate::outgoing::{ConnectionId, OutgoingFrame};
use crate::publisher::{PublishError, Publisher};
use crate::purge_queue::PurgeQueue;
use crate::purges::PurgeDriver;
use crate::rollout::Plan;
use crate::store::StoreError;
use crate::version::{Stamp, Version};
use aniseyoke_sockets::{classify_accept_error, AcceptError, UninterruptedStream};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout};

/// The timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of a frame that is accepted from a proxy.
const MAX_PROXY_FRAME_BYTES: usize = 64 << 10;
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// The delay before the next `accept` after one failed. Without free file descriptors it fails immediately on
/// each call, so retrying without a delay would be a busy loop.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Size of the read buffer. Queued frames are also combined into one write until they reach this size.
pub(crate) const READ_BUFFER_BYTES: usize = 16 << 10;

/// A function that stores a version on disk.
type StoreVersion = Box<dyn FnMut(&Version) -> Result<(), StoreError>>;

/// A service that distributes versions, and optionally purges, to proxies.
pub struct Service {
    publisher: RefCell<Publisher>,
    connections: Rc<Connections>,
    clock: Clock,
    /// Notified when a proxy has acknowledged or rejected a version, or has disconnected.
    pub(crate) answered: Notify,
    purges: Option<Rc<PurgeDriver>>,
    purge_queue: RefCell<Option<PurgeQueue>>,
    /// Called with each version before it is published.
    store: RefCell<Option<StoreVersion>>,
    /// Whether storing a version failed. The disk may nevertheless contain that version instead of the newest
    /// one.
    is_store_stale: Cell<bool>,
    is_relay: bool,
}

impl Service {
    /// Creates a service that distributes no purges.
    pub fn new(publisher: Publisher) -> Rc<Self> {
        Self::with_purges(publisher, None, false)
    }

    /// Creates a service that also distributes purges if there is a driver for them. If `is_relay`, it gets
    /// its versions from an upstream, and operators can't publish any.
    pub fn with_purges(publisher: Publisher, purges: Option<Rc<PurgeDriver>>, is_relay: bool) -> Rc<Self> {
        Rc::new(Service {
            publisher: RefCell::new(publisher),
            connections: Rc::default(),
            clock: Clock::start(),
            answered: Notify::new(),
            purges,
            purge_queue: RefCell::default(),
            store: RefCell::default(),
            is_store_stale: Cell::new(false),
            is_relay,
        })
    }

    /// The clock that the service and its purges use.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether the service gets its versions from an upstream.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Calls a function with the publisher and returns its result.
    pub fn with_publisher<T>(&self, read: impl FnOnce(&Publisher) -> T) -> T {
        read(&self.publisher.borrow())
    }

    /// The newest version.
    pub fn newest(&self) -> Option<Version> {
        self.with_publisher(|p| p.newest().cloned())
    }

    /// Starts to accept purges, which are passed to this queue.
    pub(crate) fn accept_purges(&self, queue: PurgeQueue) {
        *self.purge_queue.borrow_mut() = Some(queue);
    }

    /// The queue that accepted purges are passed to, if purges are accepted.
    pub(crate) fn purge_queue(&self) -> Option<PurgeQueue> {
        self.purge_queue.borrow().clone()
    }

    /// The progress of purges; `None` if the service distributes none.
    pub(crate) fn purge_status(&self) -> Option<OperatorResponse> {
        self.purges.as_ref().map(|purges| purges.status())
    }

    /// Returns the numbers of requests that proxies have reported since the last call.
    pub(crate) fn take_request_counts(&self) -> RequestCounts {
        self.publisher.borrow_mut().take_request_counts()
    }

    /// Forwards a version of the upstream under its original stamp.
    ///
    /// # Errors
    /// As [`Publisher::adopt`].
    pub(crate) fn adopt(&self, version: Version) -> Result<(), PublishError> {
        self.update(|p, now, out| p.adopt(now, version, out))
    }

    /// Sets the function that stores each version before it is published.
    pub fn store_with(&self, store: impl FnMut(&Version) -> Result<(), StoreError> + 'static) {
        *self.store.borrow_mut() = Some(Box::new(store));
    }

    fn store(&self, version: &Version) -> Result<(), StoreError> {
        self.store.borrow_mut().as_mut().map_or(Ok(()), |store| store(version))
    }

    /// Stores the newest version again if storing a later one failed, so that a restart loads the newest
    /// version. Returns false if the version on disk may still be another one.
    pub fn repair_store(&self) -> bool {
        if self.is_store_stale.get() {
            let is_stored = self.newest().is_none_or(|newest| self.store(&newest).is_ok());
            self.is_store_stale.set(!is_stored);
        }
        !self.is_store_stale.get()
    }

    /// Stores a version and then publishes it. If it were stored later, a service that is killed after its
    /// response could restart with the previous version, and all proxies would revert to that.
    ///
    /// # Errors
    /// As [`Publisher::publish`], and if it can't be stored.
    pub fn publish(&self, body: Value, plan: Plan) -> Result<Stamp, PublishError> {
        let prepared = self.with_publisher(|p| p.prepare(&body, plan))?;
        let stored = self.store(prepared.version());
        self.is_store_stale.set(stored.is_err());
        stored?;
        Ok(self.update(|p, now, out| p.publish_prepared(now, prepared, out)))
    }

    /// Publishes the body of an earlier version as a new version.
    ///
    /// # Errors
    /// As [`Publisher::roll_back`].
    pub(crate) fn roll_back(&self, to: Stamp, plan: Plan) -> Result<Stamp, PublishError> {
        let body = self.with_publisher(|p| p.body_of(to))?;
        self.publish(body, plan)
    }

    /// Halts the rollout of the newest version.
    pub(crate) fn halt(&self, reason: &str) {
        self.publisher.borrow_mut().halt(reason);
    }

    /// Applies a change to the publisher, and sends the resulting frames.
    fn update<T>(&self, change: impl FnOnce(&mut Publisher, u64, &mut Vec<OutgoingFrame>) -> T) -> T {
        let mut out = Vec::new();
        let result = change(&mut self.publisher.borrow_mut(), self.clock.now(), &mut out);
        out.into_iter().for_each(|frame| self.connections.send_or_close(frame));
        result
    }

    /// Serves proxies and never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> Infallible {
        let ticked_service = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(TICK_INTERVAL).await;
                ticked_service.update(|p, now, out| p.tick(now, out));
            }
        });
        if let Some(purges) = self.purges.clone() {
            tokio::task::spawn_local(purges.run(self.connections.clone(), self.clock));
        }
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::task::spawn_local(self.clone().serve_proxy(stream))),
                Err(e) if classify_accept_error(&e) == AcceptError::Transient => {}
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn serve_proxy(self: Rc<Self>, stream: TcpStream) {
        let ConnectionQueue { id, frames, closed } = self.connections.open();
        // A failure only increases latency.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let (reader, writer) = (UninterruptedStream(reader), UninterruptedStream(writer));
        tokio::select! {
            () = write_frames(frames, writer) => {}
            () = self.read_messages(id, reader) => {}
            () = closed.notified() => {}
        }
        self.connections.remove(id);
        self.update(|p, _, _| p.disconnected(id));
        if let Some(purges) = &self.purges {
            purges.child_disconnected(self.clock.now(), id);
        }
        self.answered.notify_one();
    }

    /// Reads messages from a connection until it closes or an invalid frame arrives.
    async fn read_messages(&self, id: ConnectionId, mut reader: UninterruptedStream<OwnedReadHalf>) {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
        loop {
            match decode::<ProxyMessage>(&mut buffer, MAX_PROXY_FRAME_BYTES) {
                Ok(Some(message)) => self.receive(id, message),
                Ok(None) => match reader.read(&mut chunk).await {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
                    _ => return,
                },
                Err(_) => return,
            }
        }
    }

    fn receive(&self, id: ConnectionId, message: ProxyMessage) {
        let now = self.clock.now();
        let is_accepted =
            self.purges.as_ref().is_none_or(|purges| purges.receive_downstream(now, id, &message));
        let is_answer = matches!(message, ProxyMessage::Ack { .. } | ProxyMessage::Nack { .. });
        self.update(|p, now, out| p.receive(now, id, message, out));
        if is_answer {
            self.answered.notify_one();
        }
        if !is_accepted {
            self.connections.close(id);
        }
    }
}

/// Writes frames until the queue is closed, a write fails, or a frame with `close_after` is written.
async fn write_frames(
    mut frames: mpsc::Receiver<OutgoingFrame>,
    mut writer: UninterruptedStream<OwnedWriteHalf>,
) {
    while let Some(OutgoingFrame { mut bytes, mut close_after, .. }) = frames.recv().await {
        // Short queued frames are sent in one segment: sent separately, headers would be half of the traffic.
        while !close_after && bytes.len() < READ_BUFFER_BYTES {
            let Ok(next) = frames.try_recv() else { break };
            bytes = [&bytes[..], &next.bytes[..]].concat().into();
            close_after = next.close_after;
        }
        let written = timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) || close_after {
            return;
        }
    }
}
