//! The last check before the first byte of an attempt is written. The process may be delayed between the
//! decision on an attempt and the write: by then the client may have left, the time may be over, or the node
//! may be draining.

use super::handle::AttemptHandle;
use super::Upstreams;
use crate::request_ids::ReservedId;
use crate::socket::{MessageObserver, PeekedPresence, PeerHandle};
use aniseyoke_decision::api::ServerId;
use std::rc::Weak;
use std::time::Duration;
use tokio::time::Instant;

/// How long a presence check stays valid for a client that may have left: half of the time after which no
/// attempt may be started for a client that has left.
const PRESENCE_VALIDITY: Duration = Duration::from_millis(50);

/// The conditions for writing the first byte of an attempt.
pub struct WriteCheck {
    /// The pool that the node belongs to.
    pub pool: Weak<Upstreams>,
    pub server: ServerId,
    /// The node's epoch when its connection was chosen.
    pub epoch: u64,
    /// The engine's handle on the attempt.
    pub handle: Weak<AttemptHandle>,
    /// The client that waits for the answer.
    pub client_handle: Option<PeerHandle>,
    /// The id of the request, noted as sent when the write begins.
    pub reserved_id: Weak<ReservedId>,
    /// When the presence of the client was last checked.
    pub checked_at: Instant,
    /// The deadline of the attempt.
    pub deadline: Instant,
}

impl MessageObserver for WriteCheck {
    /// Checks the client last: a client that leaves after this check goes unnoticed, however long the process
    /// is delayed before the write itself.
    fn time_left(&self) -> Option<Duration> {
        let now = Instant::now();
        let left = self.deadline.checked_duration_since(now).filter(|left| !left.is_zero())?;
        let same_epoch = self.pool.upgrade()?.epoch(self.server) == Some(self.epoch);
        let handle = self.handle.upgrade()?;
        if !same_epoch || handle.forbids_writing(now) {
            return None;
        }
        let present =
            match self.client_handle.as_ref().map_or(PeekedPresence::Present, PeerHandle::peek_presence) {
                PeekedPresence::Present => true,
                // Reads the clock again, as the process may have been delayed since `now` was read.
                PeekedPresence::Unknown => self.checked_at.elapsed() < PRESENCE_VALIDITY,
                PeekedPresence::Gone => false,
            };
        present.then_some(left)
    }

    fn write_begins(&self) {
        if let Some(reserved_id) = self.reserved_id.upgrade() {
            reserved_id.mark_sent();
        }
    }

    fn answer_begins(&self) {
        if let Some(handle) = self.handle.upgrade() {
            handle.note_response();
        }
    }
}
