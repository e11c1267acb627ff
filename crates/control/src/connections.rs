//! The outgoing queues of the service's open connections.

use crate::outgoing::{ConnectionId, OutgoingFrame};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// Capacity of a connection's queue of outgoing frames. A proxy that reads too slowly to keep it from
/// overflowing is disconnected.
pub(crate) const MAX_QUEUED_FRAMES: usize = 16;

/// The sending half of a connection's queue.
struct Connection {
    queue: mpsc::Sender<OutgoingFrame>,
    closed: Rc<Notify>,
}

/// The receiving half of a connection's queue, for the task that serves the connection.
pub(crate) struct ConnectionQueue {
    /// The id of the connection.
    pub id: ConnectionId,
    /// The frames to be written.
    pub frames: mpsc::Receiver<OutgoingFrame>,
    /// Notified when the connection has to be closed without writing the queued frames.
    pub closed: Rc<Notify>,
}

/// The open connections of a service.
#[derive(Default)]
pub(crate) struct Connections {
    open: RefCell<FxHashMap<ConnectionId, Connection>>,
    last_id: Cell<ConnectionId>,
}

impl Connections {
    /// Registers a connection under a new id, and returns the receiving half of its queue.
    pub fn open(&self) -> ConnectionQueue {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let closed = Rc::new(Notify::new());
        self.open.borrow_mut().insert(id, Connection { queue, closed: closed.clone() });
        ConnectionQueue { id, frames, closed }
    }

    /// The number of frames that fit into a connection's queue now; 0 if there is no such connection.
    pub fn queue_capacity(&self, id: ConnectionId) -> usize {
        self.open.borrow().get(&id).map_or(0, |connection| connection.queue.capacity())
    }

    /// Queues a frame for its connection. Returns false if there is no such connection or its queue is full.
    pub fn send(&self, frame: OutgoingFrame) -> bool {
        let open = self.open.borrow();
        open.get(&frame.to).is_some_and(|connection| connection.queue.try_send(frame).is_ok())
    }

    /// Queues a frame for its connection. If the queue is full, removes the connection, which closes it once
    /// the queued frames are written. A proxy that reads nothing would otherwise keep frames in memory that
    /// all other proxies have read.
    pub fn send_or_close(&self, frame: OutgoingFrame) {
        let to = frame.to;
        if !self.send(frame) {
            self.remove(to);
        }
    }

    /// Closes a connection immediately, without writing its queued frames.
    pub fn close(&self, id: ConnectionId) {
        if let Some(connection) = self.open.borrow_mut().remove(&id) {
            connection.closed.notify_one();
        }
    }

    /// Removes a connection. Frames that are queued already are still written.
    pub fn remove(&self, id: ConnectionId) {
        self.open.borrow_mut().remove(&id);
    }
}
