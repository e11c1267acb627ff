//! Encoded frames that a service sends to proxies.

use crate::frame::{encode, FrameError, ServiceMessage};
use crate::version::Version;
use std::sync::Arc;

/// Identifies a connection of a service.
pub type ConnectionId = u64;

/// An encoded frame to be sent. The bytes are shared between all connections that get the same message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFrame {
    /// The connection to send it on.
    pub to: ConnectionId,
    /// The encoded frame.
    pub bytes: Arc<[u8]>,
    /// Whether the connection is closed after this frame is written.
    pub close_after: bool,
}

/// Encodes an update to a version: a delta from `base` if there is one and the delta is shorter, or else a
/// snapshot.
pub(crate) fn encode_update(base: Option<&Version>, version: &Version) -> Result<Arc<[u8]>, FrameError> {
    let Version { stamp, digest, body } = version.clone();
    let snapshot = encode(&ServiceMessage::Snapshot { stamp, digest: digest.clone(), body })?;
    let delta = base.map(|base| {
        let patch = base.delta(version);
        encode(&ServiceMessage::Delta { base: base.stamp, stamp, digest, patch })
    });
    Ok(match delta {
        Some(Ok(delta)) if delta.len() < snapshot.len() => delta.into(),
        _ => snapshot.into(),
    })
}

/// Encodes a message for one connection. Returns `None` if it is too long.
pub(crate) fn unicast(to: ConnectionId, message: &ServiceMessage) -> Option<OutgoingFrame> {
    encode(message).ok().map(|bytes| OutgoingFrame { to, bytes: bytes.into(), close_after: false })
}

/// Appends a `goodbye` message after which the connection is closed.
pub(crate) fn goodbye(to: ConnectionId, reason: &str, out: &mut Vec<OutgoingFrame>) {
    let frame = unicast(to, &ServiceMessage::Goodbye { reason: reason.to_owned() });
    out.extend(frame.map(|frame| OutgoingFrame { close_after: true, ..frame }));
}
