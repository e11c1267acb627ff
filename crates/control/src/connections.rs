//! The queues to the service's open connections.

use crate::outgoing::{ConnectionId, OutgoingFrame};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// How many frames wait for a proxy to read them; a proxy that leaves more unread is disconnected.
pub(crate) const QUEUE_FRAMES: usize = 16;

/// The sending half of a connection's queue.
struct Connection {
    queue: mpsc::Sender<OutgoingFrame>,
    closed: Rc<Notify>,
}

/// The receiving half of a connection's queue, for the task that serves the connection.
pub(crate) struct ConnectionQueue {
    /// The connection.
    pub id: ConnectionId,
    /// Frames to be written.
    pub frames: mpsc::Receiver<OutgoingFrame>,
    /// Notified when the connection has to be closed.
    pub closed: Rc<Notify>,
}

/// All open connections.
#[derive(Default)]
pub(crate) struct Connections {
    open: RefCell<FxHashMap<ConnectionId, Connection>>,
    last_id: Cell<ConnectionId>,
}

impl Connections {
    /// Adds a connection under a new id.
    pub fn open(&self) -> ConnectionQueue {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        let closed = Rc::new(Notify::new());
        self.open.borrow_mut().insert(id, Connection { queue, closed: closed.clone() });
        ConnectionQueue { id, frames, closed }
    }

    /// How many more frames a connection's queue accepts.
    pub fn queue_capacity(&self, id: ConnectionId) -> usize {
        self.open.borrow().get(&id).map_or(0, |connection| connection.queue.capacity())
    }

    /// Puts a frame into its connection's queue. False if there is no such connection, or its queue is full.
    pub fn send(&self, frame: OutgoingFrame) -> bool {
        let open = self.open.borrow();
        open.get(&frame.to).is_some_and(|connection| connection.queue.try_send(frame).is_ok())
    }

    /// Puts a frame into its connection's queue. Where that is full the connection ends once the queue is written.
    /// Danger: a proxy that reads nothing would otherwise hold the frames that all others have read.
    pub fn send_or_close(&self, frame: OutgoingFrame) {
        let to = frame.to;
        if !self.send(frame) {
            self.forget(to);
        }
    }

    /// Closes a connection at once.
    pub fn close(&self, id: ConnectionId) {
        if let Some(connection) = self.open.borrow_mut().remove(&id) {
            connection.closed.notify_one();
        }
    }

    /// Removes a connection. Its queue ends after the frames that are in it.
    pub fn forget(&self, id: ConnectionId) {
        self.open.borrow_mut().remove(&id);
    }
}
