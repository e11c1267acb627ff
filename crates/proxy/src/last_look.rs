//! What is looked at in the very moment in which the first byte of a request is written, and the time that its node is
//! told. Danger: between the decision on an attempt and its writing the process may be held up: its client may have
//! left since, its time may have gone by, its node may have been told to drain.

use crate::socket::{Glance, Waiter};
use crate::upstream::{Tether, Upstreams};
use aniseyoke_decision::api::ServerId;
use std::rc::Weak;
use std::time::Duration;
use tokio::time::Instant;

/// A client that may have left counts as having been asked for so long: half of the time after which nothing may be
/// begun for one that has.
const ASKED_LATELY: Duration = Duration::from_millis(50);
/// The name of the header that tells the time, as it stands in a head.
const TIME_LEFT: &[u8] = b"\r\nx-time-left: ";
/// A second has so many of the units in which a time is told.
const UNITS: u128 = 10_000;

/// What the first byte of an attempt's request waits on.
pub struct LastLook {
    pub pool: Weak<Upstreams>,
    pub server: ServerId,
    /// Of the node, when its connection was chosen.
    pub epoch: u64,
    pub tether: Weak<Tether>,
    pub waiter: Option<Waiter>,
    /// When the client was last asked whether it is there.
    pub asked: Instant,
    /// When the attempt is over.
    pub due: Instant,
}

impl LastLook {
    /// The time that is left if the request may be written now. The client is looked at last: what it does after that is
    /// seen by nobody, however long the process is held up before the write itself.
    pub fn left(&self) -> Option<Duration> {
        let now = Instant::now();
        let left = self.due.checked_duration_since(now).filter(|left| !left.is_zero())?;
        let open = self.pool.upgrade()?.epoch(self.server) == Some(self.epoch);
        let tether = self.tether.upgrade()?;
        if !open || tether.shut(now) {
            return None;
        }
        let there = match self.waiter.as_ref().map_or(Glance::There, Waiter::glance) {
            Glance::There => true,
            // Danger: the process may have been held up behind the first reading of the clock.
            Glance::Unsure => self.asked.elapsed() < ASKED_LATELY,
            Glance::Gone => false,
        };
        there.then_some(left)
    }
}

/// A time as its header tells it: in seconds, never more than it is.
pub fn told(left: Duration) -> String {
    let units = left.as_nanos() / (1_000_000_000 / UNITS);
    format!("{}.{:04}", units / UNITS, units % UNITS)
}

/// The head with the time that is left now in place of the one that it was made with, in as many bytes; none if it tells
/// none, or less than that.
pub fn retold(head: &[u8], left: Duration) -> Option<Vec<u8>> {
    let from = head.windows(TIME_LEFT.len()).position(|part| part == TIME_LEFT)? + TIME_LEFT.len();
    let width = head[from..].iter().position(|byte| *byte == b'\r')?;
    let now = told(left);
    if now.len() > width {
        return None;
    }
    let mut head = head.to_vec();
    let (field, filled) = (&mut head[from..from + width], now.as_bytes());
    field.fill(b'0');
    // Fewer digits before the point leave room for more of them behind it.
    field[..filled.len()].copy_from_slice(filled);
    Some(head)
}

#[cfg(test)]
mod tests;
