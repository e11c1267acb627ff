//! What goes over the wire: frames of a length and a JSON text.

use crate::publisher::Row;
use crate::rollout::Plan;
use crate::version::{Body, Stamp};
use aniseyoke_fanout::{Keys, Progress};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// A frame's text is at most this long, in bytes.
pub const FRAME_MOST: usize = 16 << 20;
/// The bytes that hold a frame's length, the highest first.
pub const HEAD: usize = 4;
/// Names of those that lack purges, in one message; more do not count.
pub const NAMES_MOST: usize = 16;

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// From a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FromProxy {
    /// First of all: who it is and what it runs.
    Hello {
        /// The version of this protocol.
        protocol: u32,
        /// Its name, the same after a restart.
        instance: String,
        /// A number drawn at its start.
        boot: u64,
        /// What operators call it by in rollouts.
        labels: BTreeMap<String, String>,
        /// Longer frames it does not read, in bytes.
        frame_most: usize,
        /// The stamp and the digest of what it runs, if a service ever told it.
        running: Option<(Stamp, String)>,
        /// Where it stands in the log of purges; none: it takes no purges.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        purges: Option<Progress>,
    },
    /// Everything in the log of purges through a number is done by all that is below the sender, but some.
    Purged {
        /// The log's epoch.
        epoch: u64,
        /// Through which number.
        through: u64,
        /// How many lack something of it.
        #[serde(default, skip_serializing_if = "is_zero")]
        lacking: u64,
        /// Some of them, as `name@number`: each with what it stands at. At most [`NAMES_MOST`] count.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        names: Vec<String>,
    },
    /// A version is in force.
    Taken {
        /// Which.
        stamp: Stamp,
    },
    /// A version was turned down; what ran before still runs.
    Refused {
        /// Which.
        stamp: Stamp,
        /// Why: a line each.
        reasons: Vec<String>,
    },
    /// A delta can't be applied here; the whole is wanted.
    Whole,
    /// What became of requests since the last report, under the version that runs.
    Report {
        /// Which version runs.
        stamp: Stamp,
        /// Requests that were served.
        served: u64,
        /// Refused.
        refused: u64,
        /// Failed.
        failed: u64,
    },
    /// It is still there.
    Alive,
}

/// From a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FromService {
    /// A whole version.
    Full {
        /// When it was made.
        stamp: Stamp,
        /// The digest of its body.
        digest: String,
        /// Its body.
        body: Body,
    },
    /// What leads from one version to another.
    Delta {
        /// The version that it leads from.
        base: Stamp,
        /// The one that it leads to.
        stamp: Stamp,
        /// The digest of what comes out.
        digest: String,
        /// A JSON Patch (RFC 6902).
        patch: json_patch::Patch,
    },
    /// What is running there is what this service wants there.
    Current {
        /// Which version that is.
        stamp: Stamp,
    },
    /// Entries of the log of purges. With no keys it says that nothing newer than `after` is known where it comes from,
    /// at the time it is sent, all the way up to the root.
    Purges {
        /// The log's epoch.
        epoch: u64,
        /// The number of the entry before the first of these.
        after: u64,
        /// The keys of the entries `after + 1` and on.
        keys: Keys,
    },
    /// What the receiver lacks of the log of purges is no longer kept: everything that it held before is to be dropped;
    /// then it stands at `through`.
    Flush {
        /// The log's epoch.
        epoch: u64,
        /// Where the receiver stands then.
        through: u64,
    },
    /// It is still there.
    Alive,
    /// It will not serve this proxy, and why.
    Goodbye {
        /// Why.
        why: String,
    },
}

/// From an operator's tool, one a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FromOperator {
    /// Publish a body as the newest version.
    Publish {
        /// The operator's file as JSON.
        body: Value,
        /// How it is brought out.
        #[serde(default)]
        plan: Plan,
    },
    /// Publish what an earlier version said as the newest.
    RollBack {
        /// The earlier version.
        to: Stamp,
        /// How it is brought out.
        #[serde(default)]
        plan: Plan,
    },
    /// Let nobody else have the newest.
    Halt {
        /// Why.
        why: String,
    },
    /// Tell who runs what.
    Status,
    /// Have objects dropped everywhere.
    Purge {
        /// Who wants it: a name that stays the same over its restarts.
        publisher: String,
        /// The publisher's own number of this call, rising. A call that is made again under the same number gets the
        /// same answer, and nothing is numbered a second time.
        sequence: u64,
        /// The objects' keys; XXH3-64 of each is what goes over the wire.
        keys: Vec<String>,
    },
    /// Tell how far purges have come.
    Purges,
}

/// A service's answer to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ToOperator {
    /// It is published.
    Published {
        /// As this version.
        stamp: Stamp,
    },
    /// It was not done.
    No {
        /// Why.
        why: String,
    },
    /// Who runs what.
    Status {
        /// The newest version.
        newest: Option<Stamp>,
        /// How far it has come.
        rollout: Option<String>,
        /// All proxies that are connected.
        proxies: Vec<Row>,
    },
    /// The purges are numbered, kept, and on their way.
    Purging {
        /// The log's epoch.
        epoch: u64,
        /// The number of the last of them.
        through: u64,
    },
    /// How far purges have come.
    Purges {
        /// The log's epoch.
        epoch: u64,
        /// The newest number.
        newest: u64,
        /// Everybody below has done everything through this number, but those that lack something.
        done: u64,
        /// Those that lack something of it, as `name@number`: each with what it stands at.
        lacking: Vec<String>,
        /// How many lack something beside those named.
        unnamed: u64,
        /// How long purges took from their numbering to being known as done everywhere.
        took: Took,
    },
}

/// How long the last purges took, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Took {
    /// How many are counted.
    pub count: u64,
    /// Half of them took no longer.
    pub p50: f64,
    /// 99 in a hundred took no longer.
    pub p99: f64,
    /// The one that took longest.
    pub most: f64,
    /// Beside these, how many were done by all but some that lacked them.
    pub short: u64,
}

/// The version of this protocol.
pub const PROTOCOL: u32 = 1;

/// Why bytes are no frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Longer than [`FRAME_MOST`], or than the reader's own bound.
    TooLong(usize),
    /// No JSON of a known form.
    Unreadable(String),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::TooLong(length) => write!(f, "a frame of {length} bytes is too long"),
            Malformed::Unreadable(why) => write!(f, "a frame can't be read: {why}"),
        }
    }
}

/// A message as bytes.
///
/// # Errors
/// If it is too long.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, Malformed> {
    let text = serde_json::to_vec(message).map_err(|e| Malformed::Unreadable(e.to_string()))?;
    if text.len() > FRAME_MOST {
        return Err(Malformed::TooLong(text.len()));
    }
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend(text);
    Ok(bytes)
}

/// Takes the first message off the front of what has come, of at most `most` bytes; none if it is not whole yet.
///
/// # Errors
/// If what has come can never be a message; nothing behind it can be read then. The length is judged before any of it
/// is waited for.
pub fn decode<T: DeserializeOwned>(came: &mut Vec<u8>, most: usize) -> Result<Option<T>, Malformed> {
    let Some(head) = came.first_chunk::<HEAD>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > most.min(FRAME_MOST) {
        return Err(Malformed::TooLong(length));
    }
    let Some(text) = came.get(HEAD..HEAD + length) else { return Ok(None) };
    let message = serde_json::from_slice(text).map_err(|e| Malformed::Unreadable(e.to_string()))?;
    came.drain(..HEAD + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;
