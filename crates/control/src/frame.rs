//! The wire format: frames of a length and a JSON text, and all messages.

use crate::rollout::Plan;
use crate::version::{CanonicalJson, Stamp};
use aniseyoke_fanout::{Keys, Progress};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The version of this protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest text of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// The size of the length in front of each text, in bytes; it is big-endian.
pub const HEADER_BYTES: usize = 4;
/// How many names of lagging members one message lists.
pub const MAX_NAMES: usize = 16;

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A message from a proxy, or from a relay to its upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ProxyMessage {
    /// The first message of a connection: who the proxy is and what it runs.
    Hello {
        /// The version of this protocol.
        protocol: u32,
        /// The proxy's name, the same after a restart.
        instance: String,
        /// A number drawn when its process started.
        boot: u64,
        /// Labels by which operators select it in rollouts.
        labels: BTreeMap<String, String>,
        /// The longest frame that it reads, in bytes.
        #[serde(rename = "frame_most")]
        max_frame_bytes: usize,
        /// The stamp and the digest of the version that it runs, if it got that from a service.
        running: Option<(Stamp, String)>,
        /// Its position in the log of purges; none where it does not subscribe to purges.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        purges: Option<Progress>,
    },
    /// Acknowledges purges: the sender and everyone below it has applied the log up to a number, except those that lag.
    #[serde(rename = "purged")]
    PurgeAck {
        /// The log's epoch.
        epoch: u64,
        /// Up to which number.
        through: u64,
        /// How many lag behind it.
        #[serde(default, rename = "lacking", skip_serializing_if = "is_zero")]
        lagging: u64,
        /// Some of them, as `name@number` with their own positions; at most [`MAX_NAMES`] are considered.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        names: Vec<String>,
    },
    /// A version is in force.
    #[serde(rename = "taken")]
    Ack {
        /// The version.
        stamp: Stamp,
    },
    /// A version was rejected; the one before stays in force.
    #[serde(rename = "refused")]
    Nack {
        /// The version.
        stamp: Stamp,
        /// The reasons, a line each.
        reasons: Vec<String>,
    },
    /// A delta can't be applied; a snapshot is needed.
    #[serde(rename = "whole")]
    SnapshotRequest,
    /// Counts of requests since the last report, under the version that runs.
    Report {
        /// The version that runs.
        stamp: Stamp,
        /// Requests served.
        served: u64,
        /// Requests rejected.
        #[serde(rename = "refused")]
        rejected: u64,
        /// Requests failed.
        failed: u64,
    },
    /// The proxy is alive.
    #[serde(rename = "alive")]
    Heartbeat,
}

/// A message from a service, or from a relay to its children.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceMessage {
    /// A complete version.
    #[serde(rename = "full")]
    Snapshot {
        /// The version's stamp.
        stamp: Stamp,
        /// The digest of its body.
        digest: String,
        /// Its body.
        body: CanonicalJson,
    },
    /// The change from one version to another.
    Delta {
        /// The version that it applies to.
        base: Stamp,
        /// The version that it results in.
        stamp: Stamp,
        /// The digest of the resulting body.
        digest: String,
        /// A JSON Patch (RFC 6902).
        patch: json_patch::Patch,
    },
    /// The proxy runs the version that it should run.
    #[serde(rename = "current")]
    UpToDate {
        /// That version.
        stamp: Stamp,
    },
    /// Entries of the log of purges. Without keys it is a heartbeat: when the root sent it, nothing newer than `after`
    /// was known.
    Purges {
        /// The log's epoch.
        epoch: u64,
        /// The number before the first entry.
        after: u64,
        /// The keys of the entries from `after + 1` on.
        keys: Keys,
    },
    /// The log no longer has the entries that the receiver lacks: it has to drop every object, and is at `through` then.
    Flush {
        /// The log's epoch.
        epoch: u64,
        /// The receiver's position afterwards.
        through: u64,
    },
    /// The service is alive.
    #[serde(rename = "alive")]
    Heartbeat,
    /// The service closes the connection.
    Goodbye {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A request of an operator's tool, one a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OperatorRequest {
    /// Publish a body as the newest version.
    Publish {
        /// The operator's file as JSON.
        body: Value,
        /// How it is rolled out.
        #[serde(default)]
        plan: Plan,
    },
    /// Publish the body of an earlier version as the newest version.
    RollBack {
        /// The earlier version.
        to: Stamp,
        /// How it is rolled out.
        #[serde(default)]
        plan: Plan,
    },
    /// Stop the rollout of the newest version.
    Halt {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Report which proxy runs what.
    Status,
    /// Purge objects everywhere.
    Purge {
        /// The publisher's name, the same after a restart.
        publisher: String,
        /// The publisher's own number of this request, rising. A request that is retried under the same number gets the
        /// same answer, and its purges are not numbered again.
        sequence: u64,
        /// The objects' keys; XXH3-64 of each is what is distributed.
        keys: Vec<String>,
    },
    /// Report how far purges have been applied.
    #[serde(rename = "purges")]
    PurgeStatus,
}

/// A service's response to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OperatorResponse {
    /// The version is published.
    Published {
        /// Its stamp.
        stamp: Stamp,
    },
    /// The request was rejected, and changed nothing.
    #[serde(rename = "no")]
    Rejected {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Which proxy runs what.
    Status {
        /// The newest version.
        newest: Option<Stamp>,
        /// The state of its rollout.
        rollout: Option<String>,
        /// All connected proxies.
        proxies: Vec<ProxyStatus>,
    },
    /// The purges are numbered and stored, and are being distributed.
    #[serde(rename = "purging")]
    PurgeAccepted {
        /// The log's epoch.
        epoch: u64,
        /// The number of the last of them.
        through: u64,
    },
    /// How far purges have been applied.
    #[serde(rename = "purges")]
    PurgeStatus {
        /// The log's epoch.
        epoch: u64,
        /// The newest number.
        newest: u64,
        /// Everyone has applied everything up to this number, except those that lag.
        #[serde(rename = "done")]
        applied: u64,
        /// Those that lag, as `name@number` with their own positions.
        #[serde(rename = "lacking")]
        lagging: Vec<String>,
        /// How many lag besides those that are listed.
        unnamed: u64,
        /// How long purges took from their numbering until they were known to be applied everywhere.
        #[serde(rename = "took")]
        latency: PurgeLatency,
    },
}

/// What a proxy runs, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// Its name.
    pub instance: String,
    /// A number drawn when its process started.
    pub boot: u64,
    /// The version that it runs.
    pub running: Option<Stamp>,
    /// The version that it should run.
    pub wanted: Option<Stamp>,
    /// How long after the version was published the proxy acknowledged it, in nanoseconds; none where it ran it when it
    /// connected.
    #[serde(default, rename = "took")]
    pub ack_latency: Option<u64>,
    /// The last version that it rejected, and the reasons.
    #[serde(rename = "refused")]
    pub rejected: Option<(Stamp, Vec<String>)>,
}

/// How long recent purges took, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PurgeLatency {
    /// How many are counted.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: f64,
    /// How many others were not applied everywhere, since some members lagged.
    #[serde(rename = "short")]
    pub incomplete: u64,
}

/// Why a message can't be encoded, or bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// Longer than [`MAX_FRAME_BYTES`], or than the reader's own limit.
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// Not the JSON of a known message.
    #[error("a frame is not valid: {0}")]
    Json(#[from] serde_json::Error),
}

/// Encodes a message as a frame.
///
/// # Errors
/// If it is too long.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let text = serde_json::to_vec(message)?;
    if text.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(text.len()));
    }
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend(text);
    Ok(bytes)
}

/// Decodes the first frame of a buffer and removes it from there; none if it is not complete yet. `limit`: the longest
/// text that is accepted, in bytes.
///
/// # Errors
/// If the buffer can't begin with a valid frame; nothing behind it can be decoded then. The length is checked before
/// more bytes are waited for.
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
