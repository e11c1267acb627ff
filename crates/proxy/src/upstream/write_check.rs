//! The last check before the first byte of an attempt is written. Between the decision on an attempt and its writing the
//! process may be held up: the client may have left since, the time may have gone by, the node may have been told to drain.

use super::handle::AttemptHandle;
use super::Upstreams;
use crate::socket::{FirstWriteCheck, Glance, Waiter};
use aniseyoke_decision::api::ServerId;
use std::rc::Weak;
use std::time::Duration;
use tokio::time::Instant;

/// A client that may have left counts as having been asked for so long: half of the time after which nothing may be
/// begun for one that has.
const RECENTLY_ASKED: Duration = Duration::from_millis(50);

/// What the first byte of an attempt depends on.
pub struct WriteCheck {
    /// The pool that knows the node.
    pub pool: Weak<Upstreams>,
    /// The node.
    pub server: ServerId,
    /// The node's epoch when its connection was chosen.
    pub epoch: u64,
    /// The engine's handle on the attempt.
    pub handle: Weak<AttemptHandle>,
    /// The client.
    pub waiter: Option<Waiter>,
    /// When the client was last asked whether it is there.
    pub asked_at: Instant,
    /// When the attempt is over.
    pub due: Instant,
}

impl FirstWriteCheck for WriteCheck {
    /// The client is looked at last: what it does after that is seen by nobody, however long the process is held up before
    /// the write itself.
    fn time_left(&self) -> Option<Duration> {
        let now = Instant::now();
        let left = self.due.checked_duration_since(now).filter(|left| !left.is_zero())?;
        let same_epoch = self.pool.upgrade()?.epoch(self.server) == Some(self.epoch);
        let handle = self.handle.upgrade()?;
        if !same_epoch || handle.forbids_writing(now) {
            return None;
        }
        let present = match self.waiter.as_ref().map_or(Glance::Present, Waiter::glance) {
            Glance::Present => true,
            // By a reading of the clock of its own: the process may have been held up since the first one.
            Glance::Unknown => self.asked_at.elapsed() < RECENTLY_ASKED,
            Glance::Gone => false,
        };
        present.then_some(left)
    }
}
