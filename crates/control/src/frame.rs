//! The wire format of the control protocol: its messages, and their encoding as length-prefixed JSON frames.

use crate::rollout::Plan;
use crate::version::{CanonicalJson, Stamp};
use aniseyoke_fanout::{Keys, Progress};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The version of the protocol that this code implements.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a frame's JSON text, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Size of the length prefix, in bytes. The prefix is a big-endian integer and does not count itself.
pub const HEADER_BYTES: usize = 4;
/// Maximum number of lagging members that one message names.
pub const MAX_NAMES: usize = 16;

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A message from a proxy to a service, or from a relay to its upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ProxyMessage {
    /// The first message of a connection: identifies the proxy and the version that it runs. It is sent again
    /// on the same connection to request missing purges.
    Hello {
        /// The protocol version that the sender implements.
        protocol: u32,
        /// The proxy's name, which stays the same across restarts.
        instance: String,
        /// Identifies the process: a number drawn when it started.
        boot: u64,
        /// Labels by which rollout plans select the proxy.
        labels: BTreeMap<String, String>,
        /// Maximum length of a frame that the proxy accepts, in bytes.
        #[serde(rename = "frame_most")]
        max_frame_bytes: usize,
        /// The stamp and the digest of the version that the proxy runs, if a service published it.
        running: Option<(Stamp, String)>,
        /// The proxy's position in the purge log; absent if it does not subscribe to purges.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        purges: Option<Progress>,
    },
    /// Acknowledges purges: the sender and all members downstream of it, except those that lag, have applied
    /// the log up to `through`.
    #[serde(rename = "purged")]
    PurgeAck {
        /// The log's epoch.
        epoch: u64,
        /// The number of the last entry that is acknowledged.
        through: u64,
        /// The number of members that lag behind `through`.
        #[serde(default, rename = "lacking", skip_serializing_if = "is_zero")]
        lagging: u64,
        /// Some of these members, as `name@number` with the number of the last entry that each has applied;
        /// at most [`MAX_NAMES`] are considered.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        names: Vec<String>,
    },
    /// Acknowledges a version: it is in force at the proxy.
    #[serde(rename = "taken")]
    Ack {
        /// The stamp of the version.
        stamp: Stamp,
    },
    /// Rejects a version; the previous one stays in force.
    #[serde(rename = "refused")]
    Nack {
        /// The stamp of the version.
        stamp: Stamp,
        /// The reasons, each on a line of its own.
        reasons: Vec<String>,
    },
    /// Requests a snapshot, because a delta could not be applied.
    #[serde(rename = "whole")]
    SnapshotRequest,
    /// Numbers of requests that the proxy handled since its last report.
    Report {
        /// The stamp of the version that the proxy runs.
        stamp: Stamp,
        /// Requests that were served.
        served: u64,
        /// Requests that were rejected.
        #[serde(rename = "refused")]
        rejected: u64,
        /// Requests that failed.
        failed: u64,
    },
    /// Keeps the connection from timing out while nothing else is sent.
    #[serde(rename = "alive")]
    Heartbeat,
}

/// A message from a service to a proxy, or from a relay to its children.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceMessage {
    /// A version with its complete body.
    #[serde(rename = "full")]
    Snapshot {
        /// The version's stamp.
        stamp: Stamp,
        /// The digest of the body.
        digest: String,
        /// The body.
        body: CanonicalJson,
    },
    /// A version as the difference from an earlier one.
    Delta {
        /// The stamp of the version that the patch applies to.
        base: Stamp,
        /// The stamp of the version that results.
        stamp: Stamp,
        /// The digest of the resulting body.
        digest: String,
        /// The difference between the two bodies, as a JSON Patch (RFC 6902).
        patch: json_patch::Patch,
    },
    /// The proxy already runs the version that it is to run.
    #[serde(rename = "current")]
    UpToDate {
        /// The stamp of that version.
        stamp: Stamp,
    },
    /// Entries of the purge log. Without keys the message is a heartbeat: the log had no entry after `after`
    /// when the root sent it.
    Purges {
        /// The log's epoch.
        epoch: u64,
        /// The number of the entry before the first one.
        after: u64,
        /// The keys of the entries, which are numbered from `after + 1`.
        keys: Keys,
    },
    /// The log no longer contains all entries that the receiver is missing. The receiver has to drop every
    /// object, and continues from `through`.
    Flush {
        /// The log's epoch.
        epoch: u64,
        /// The receiver's position in the log after the flush.
        through: u64,
    },
    /// Keeps the connection from timing out while nothing else is sent.
    #[serde(rename = "alive")]
    Heartbeat,
    /// The last message of a connection that the service closes.
    Goodbye {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A request from an operator's tool; each connection carries one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OperatorRequest {
    /// Publishes a body as the newest version.
    Publish {
        /// The operator's configuration file, converted to JSON.
        body: Value,
        /// The plan by which the version is rolled out.
        #[serde(default)]
        plan: Plan,
    },
    /// Publishes the body of an earlier version as the newest version.
    RollBack {
        /// The stamp of the earlier version.
        to: Stamp,
        /// The plan by which the version is rolled out.
        #[serde(default)]
        plan: Plan,
    },
    /// Halts the rollout of the newest version.
    Halt {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Requests the version that each connected proxy runs.
    Status,
    /// Purges objects from all caches.
    Purge {
        /// The publisher's name, which stays the same across restarts.
        publisher: String,
        /// The number that the publisher gave this request; it increases with each new request and serves as
        /// idempotency key. A retry under the same number gets the same response, and its purges are not
        /// added to the log again.
        sequence: u64,
        /// The objects' keys. The XXH3-64 hash of each is distributed.
        keys: Vec<String>,
    },
    /// Requests the progress of purges.
    #[serde(rename = "purges")]
    PurgeStatus,
}

/// A response to an operator's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OperatorResponse {
    /// The version is published.
    Published {
        /// The stamp of the version.
        stamp: Stamp,
    },
    /// The request was rejected and had no effect.
    #[serde(rename = "no")]
    Rejected {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The version that each connected proxy runs.
    Status {
        /// The stamp of the newest version.
        newest: Option<Stamp>,
        /// The state of that version's rollout.
        rollout: Option<String>,
        /// The status of each connected proxy.
        proxies: Vec<ProxyStatus>,
    },
    /// The purges were added to the log and stored; their distribution has begun.
    #[serde(rename = "purging")]
    PurgeAccepted {
        /// The log's epoch.
        epoch: u64,
        /// The number of the last of these purges.
        through: u64,
    },
    /// The progress of purges.
    #[serde(rename = "purges")]
    PurgeStatus {
        /// The log's epoch.
        epoch: u64,
        /// The number of the newest entry.
        newest: u64,
        /// All members, except those that lag, have applied the log up to this number.
        #[serde(rename = "done")]
        applied: u64,
        /// Members that lag, as `name@number` with the number of the last entry that each has applied.
        #[serde(rename = "lacking")]
        lagging: Vec<String>,
        /// The number of lagging members that `lagging` does not list.
        unnamed: u64,
        /// The time from when purges were added to the log until they were acknowledged by all members.
        #[serde(rename = "took")]
        latency: PurgeLatency,
    },
}

/// The status of a connected proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// The proxy's name.
    pub instance: String,
    /// Identifies the process: a number drawn when it started.
    pub boot: u64,
    /// The stamp of the version that the proxy runs.
    pub running: Option<Stamp>,
    /// The stamp of the version that the proxy is to run.
    pub wanted: Option<Stamp>,
    /// The time from the publication of the version until the proxy acknowledged it, in nanoseconds; absent
    /// if the proxy already ran the version when it connected.
    #[serde(default, rename = "took")]
    pub ack_latency: Option<u64>,
    /// The stamp of the last version that the proxy rejected, and the reasons.
    #[serde(rename = "refused")]
    pub rejected: Option<(Stamp, Vec<String>)>,
}

/// Latency of recent purges, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PurgeLatency {
    /// The number of purges that the percentiles and the maximum cover.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: f64,
    /// The number of other purges, whose latency is unknown because some members lagged or too many purges
    /// were pending.
    #[serde(rename = "short")]
    pub incomplete: u64,
}

/// An error in encoding a message or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The text is longer than [`MAX_FRAME_BYTES`] or than the reader's limit. Contains its length in bytes.
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// The text is not the JSON of a known message.
    #[error("a frame is not valid: {0}")]
    Json(#[from] serde_json::Error),
}

/// Encodes a message as a frame.
///
/// # Errors
/// If the text would be longer than [`MAX_FRAME_BYTES`], or the message has no JSON form.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let text = serde_json::to_vec(message)?;
    if text.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(text.len()));
    }
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend(text);
    Ok(bytes)
}

/// Decodes the first frame of a buffer and removes it from the buffer. Returns `None` if the frame is
/// incomplete. `limit` is the maximum length of the text, in bytes.
///
/// # Errors
/// If the text is too long, or is not the JSON of a `T`. The rest of the buffer can't be decoded after an
/// error. The length is checked as soon as the prefix has arrived, before the text is complete.
pub fn decode<T: DeserializeOwned>(buffer: &mut Vec<u8>, limit: usize) -> Result<Option<T>, FrameError> {
    let Some(header) = buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*header) as usize;
    if length > limit.min(MAX_FRAME_BYTES) {
        return Err(FrameError::TooLong(length));
    }
    let Some(text) = buffer.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
    let message = serde_json::from_slice(text)?;
    buffer.drain(..HEADER_BYTES + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;
