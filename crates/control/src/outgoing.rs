//! Frames on their way to proxies.

use crate::frame::{encode, FrameError, ServiceMessage};
use crate::version::Version;
use std::sync::Arc;

/// A connection.
pub type ConnectionId = u64;

/// A frame to be sent, encoded once for all who get the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFrame {
    /// The connection.
    pub to: ConnectionId,
    /// The encoded frame.
    pub bytes: Arc<[u8]>,
    /// Whether the connection is closed after this frame.
    pub close_after: bool,
}

/// The frame that leads to a version: a delta where there is a base and that is shorter, or a snapshot.
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

/// A frame for one connection.
pub(crate) fn unicast(to: ConnectionId, message: &ServiceMessage) -> Option<OutgoingFrame> {
    encode(message).ok().map(|bytes| OutgoingFrame { to, bytes: bytes.into(), close_after: false })
}

/// Appends a `goodbye` that closes its connection.
pub(crate) fn goodbye(to: ConnectionId, reason: &str, out: &mut Vec<OutgoingFrame>) {
    let frame = unicast(to, &ServiceMessage::Goodbye { reason: reason.to_owned() });
    out.extend(frame.map(|frame| OutgoingFrame { close_after: true, ..frame }));
}
