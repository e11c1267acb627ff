//! Drives a [`Relay`] on the connections of a service: passes messages and the time to it, and carries out
//! its actions.

use crate::client::UpstreamMessage;
use crate::clock::Clock;
use crate::connections::{Connections, MAX_QUEUED_FRAMES};
use crate::frame::{encode, OperatorResponse, ProxyMessage, ServiceMessage};
use crate::latency::LatencyTracker;
use crate::outgoing::{ConnectionId, OutgoingFrame};
use aniseyoke_fanout::relay::{ChildHello, Report};
use aniseyoke_fanout::{Keys, Log, Progress, Relay, RelayAction, Settings};
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Size of a frame of purges without its keys.
const FRAME_OVERHEAD_BYTES: usize = 200;
/// Size of each key in such a frame.
const KEY_BYTES: usize = 11;
/// Changes within this time are handled together. Otherwise each of thousands of acknowledgements would cause
/// an iteration over all children.
const COALESCE_DELAY: Duration = Duration::from_millis(1);
/// Maximum length of a child's name.
const MAX_NAME_BYTES: usize = 256;

/// The messages to be sent upstream: a `hello`, if one is due, and the latest report.
#[derive(Default)]
struct UpstreamQueue {
    hello: bool,
    report: Option<Report>,
}

/// The [`Relay`] of a root or of a relay process, with the state that connects it to sockets.
pub struct PurgeDriver {
    relay: RefCell<Relay>,
    latency: RefCell<LatencyTracker>,
    upstream: RefCell<UpstreamQueue>,
    /// Notified when the next tick of the relay may have become due earlier.
    changed: Notify,
    /// Notified when a message to the upstream is queued.
    upstream_ready: Notify,
    warn: fn(&str),
}

impl PurgeDriver {
    /// Creates the driver of a root with this log.
    pub fn root(name: &str, settings: Settings, log: Log, warn: fn(&str)) -> Self {
        Self::new(Relay::root(name, settings, log, 0), warn)
    }

    /// Creates the driver of a relay with a log of this capacity.
    pub fn relay(name: &str, settings: Settings, log_capacity: usize, warn: fn(&str)) -> Self {
        Self::new(Relay::new(name, settings, log_capacity, 0), warn)
    }

    fn new(relay: Relay, warn: fn(&str)) -> Self {
        PurgeDriver {
            relay: RefCell::new(relay),
            latency: RefCell::default(),
            upstream: RefCell::default(),
            changed: Notify::new(),
            upstream_ready: Notify::new(),
            warn,
        }
    }

    /// Calls a function with the relay and returns its result.
    pub fn with_relay<T>(&self, read: impl FnOnce(&Relay) -> T) -> T {
        read(&self.relay.borrow())
    }

    /// Handles a message of a child. If the result is false, the connection has to be closed.
    #[must_use]
    pub(crate) fn receive_downstream(&self, now: u64, id: ConnectionId, message: &ProxyMessage) -> bool {
        let mut relay = self.relay.borrow_mut();
        match message {
            ProxyMessage::Hello { purges: Some(position), instance, boot, max_frame_bytes, .. } => {
                let is_named = !instance.is_empty() && instance.len() <= MAX_NAME_BYTES;
                let hello = ChildHello {
                    name: instance,
                    boot: *boot,
                    position: *position,
                    max_frame_entries: max_frame_bytes.saturating_sub(FRAME_OVERHEAD_BYTES) / KEY_BYTES,
                };
                if !is_named || !relay.child_connected(now, id, hello) {
                    return false;
                }
            }
            ProxyMessage::PurgeAck { epoch, through, lagging, names } => {
                let position = Progress { epoch: *epoch, through: *through };
                relay.child_acked(now, id, Report { position, lagging: *lagging, names: names.clone() });
            }
            _ => return true,
        }
        self.changed.notify_one();
        true
    }

    /// Handles the end of a child's connection.
    pub(crate) fn child_disconnected(&self, now: u64, id: ConnectionId) {
        self.relay.borrow_mut().child_disconnected(now, id);
        self.changed.notify_one();
    }

    /// Appends purges, which are stored on disk already, to the root's log in memory.
    pub(crate) fn append(&self, now: u64, keys: &[u64]) -> Progress {
        let mut relay = self.relay.borrow_mut();
        let after = relay.log().newest();
        let position = relay.append(now, keys);
        self.latency.borrow_mut().numbered(now, after, position.through);
        self.changed.notify_one();
        position
    }

    /// Starts a new epoch of the root.
    pub(crate) fn start_epoch(&self, now: u64, epoch: u64) {
        self.relay.borrow_mut().start_epoch(now, epoch);
        self.latency.borrow_mut().forget_pending();
        self.changed.notify_one();
    }

    /// Handles a new connection to the upstream.
    pub(crate) fn upstream_connected(&self, now: u64) {
        self.relay.borrow_mut().upstream_connected(now);
        *self.upstream.borrow_mut() = UpstreamQueue::default();
        self.changed.notify_one();
    }

    /// Handles a message of the upstream.
    pub(crate) fn receive_upstream(&self, now: u64, message: ServiceMessage) {
        let mut actions = Vec::new();
        match message {
            ServiceMessage::Purges { epoch, after, keys } => {
                self.relay.borrow_mut().receive_purges(now, epoch, after, &keys.0, &mut actions);
            }
            ServiceMessage::Flush { epoch, through } => {
                self.relay.borrow_mut().receive_flush(now, Progress { epoch, through });
            }
            _ => return,
        }
        if actions.contains(&RelayAction::Resync) {
            self.queue_hello();
        }
        self.changed.notify_one();
    }

    fn queue_hello(&self) {
        self.upstream.borrow_mut().hello = true;
        self.upstream_ready.notify_one();
    }

    /// Waits for the next message to the upstream.
    pub(crate) async fn next_upstream(&self) -> UpstreamMessage {
        loop {
            if let Some(next) = self.take_upstream() {
                return next;
            }
            self.upstream_ready.notified().await;
        }
    }

    fn take_upstream(&self) -> Option<UpstreamMessage> {
        let mut queue = self.upstream.borrow_mut();
        if std::mem::take(&mut queue.hello) {
            return Some(UpstreamMessage::Hello);
        }
        let Report { position, lagging, names } = queue.report.take()?;
        let Progress { epoch, through } = position;
        Some(UpstreamMessage::Send(ProxyMessage::PurgeAck { epoch, through, lagging, names }))
    }

    /// Returns how far purges have been applied, as a response for operators.
    pub(crate) fn status(&self) -> OperatorResponse {
        let relay = self.relay.borrow();
        let Report { position, lagging, names } = relay.last_report().clone();
        OperatorResponse::PurgeStatus {
            epoch: position.epoch,
            newest: relay.log().newest(),
            applied: position.through,
            unnamed: lagging.saturating_sub(names.len() as u64),
            lagging: names,
            latency: self.latency.borrow().latency(),
        }
    }

    /// Calls the relay's ticks when they are due and carries out its actions, forever.
    pub(crate) async fn run(self: Rc<Self>, connections: Rc<Connections>, clock: Clock) -> Infallible {
        loop {
            let now = clock.now();
            let wait = Duration::from_nanos(self.relay.borrow().next_tick(now).saturating_sub(now));
            // A change may make the next tick due earlier.
            if timeout(wait, self.changed.notified()).await.is_ok() {
                sleep(COALESCE_DELAY).await;
                let now = clock.now();
                if self.relay.borrow().next_tick(now) > now {
                    continue;
                }
            }
            let (now, mut actions) = (clock.now(), Vec::new());
            self.relay.borrow_mut().tick(now, &mut actions);
            self.perform(&connections, now, actions);
        }
    }

    fn perform(&self, connections: &Connections, now: u64, actions: Vec<RelayAction>) {
        // A child whose queue is full gets no further purges, since it would miss some in between.
        let mut full: FxHashSet<ConnectionId> = FxHashSet::default();
        for action in actions {
            match action {
                RelayAction::Purges { to, epoch, after, keys } => {
                    let has_keys = !keys.is_empty();
                    let message = ServiceMessage::Purges { epoch, after, keys: Keys(keys) };
                    for id in multicast(connections, to, &message, &mut full) {
                        if has_keys {
                            self.relay.borrow_mut().send_failed(now, id, after);
                        }
                    }
                }
                RelayAction::Flush { to, position: Progress { epoch, through } } => {
                    let message = ServiceMessage::Flush { epoch, through };
                    let Ok(bytes) = encode(&message) else { continue };
                    let frame = OutgoingFrame { to, bytes: bytes.into(), close_after: false };
                    if !connections.send(frame) {
                        connections.close(to);
                    }
                }
                RelayAction::Resync => self.queue_hello(),
                RelayAction::Report(report) => self.handle_report(now, report),
                RelayAction::Disconnect(id, reason) => {
                    (self.warn)(&reason);
                    connections.close(id);
                }
                RelayAction::Warn(message) => (self.warn)(&message),
            }
        }
    }

    fn handle_report(&self, now: u64, report: Report) {
        self.latency.borrow_mut().applied(now, report.position.through, report.lagging > 0);
        if report.position.epoch > 0 {
            self.upstream.borrow_mut().report = Some(report);
            self.upstream_ready.notify_one();
        }
    }
}

/// Sends a message to all connections in `to`, except those in `full`. Returns the connections whose queue
/// had no capacity for it, and adds them to `full`.
fn multicast(
    connections: &Connections,
    to: Vec<ConnectionId>,
    message: &ServiceMessage,
    full: &mut FxHashSet<ConnectionId>,
) -> Vec<ConnectionId> {
    let Ok(bytes) = encode(message) else { return Vec::new() };
    let bytes: Arc<[u8]> = bytes.into();
    let mut failed = Vec::new();
    for id in to {
        if full.contains(&id) {
            continue;
        }
        // Half of each queue is reserved for versions of the configuration.
        let has_capacity = connections.queue_capacity(id) > MAX_QUEUED_FRAMES / 2;
        let frame = OutgoingFrame { to: id, bytes: bytes.clone(), close_after: false };
        if !has_capacity || !connections.send(frame) {
            full.insert(id);
            failed.push(id);
        }
    }
    failed
}
