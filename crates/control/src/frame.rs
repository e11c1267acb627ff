//! What goes over the wire: frames of a length and a JSON text.

use crate::publisher::Row;
use crate::rollout::Plan;
use crate::version::{Body, Stamp};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// A frame's text is at most this long, in bytes.
pub const FRAME_MOST: usize = 16 << 20;
/// The bytes that hold a frame's length, the highest first.
pub const HEAD: usize = 4;

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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use serde_json::json;

    fn some() -> Vec<FromService> {
        let stamp = Stamp { epoch: 1, number: 2 };
        let patch = json_patch::diff(&json!({"a": 1}), &json!({"b": 1}));
        vec![
            FromService::Full { stamp, digest: "d".into(), body: Body::new(&json!({"a": 1})) },
            FromService::Delta { base: stamp, stamp, digest: "e".into(), patch },
            FromService::Current { stamp },
            FromService::Alive,
            FromService::Goodbye { why: "full".into() },
        ]
    }

    #[test]
    fn messages_are_read_however_their_bytes_are_cut() {
        let all: Vec<u8> = some().iter().flat_map(|m| encode(m).expect("short")).collect();
        for size in [1, 3, 7, all.len()] {
            let (mut came, mut read) = (Vec::new(), Vec::new());
            for part in all.chunks(size) {
                came.extend_from_slice(part);
                while let Some(message) = decode::<FromService>(&mut came, FRAME_MOST).expect("sound") {
                    read.push(message);
                }
            }
            assert_eq!((read, came.len()), (some(), 0));
        }
    }

    #[test]
    fn a_length_beyond_the_bound_is_turned_down_before_anything_is_kept_for_it() {
        let mut came = u32::MAX.to_be_bytes().to_vec();
        assert_eq!(decode::<FromService>(&mut came, 100), Err(Malformed::TooLong(u32::MAX as usize)));
        let mut came = 101u32.to_be_bytes().to_vec();
        assert_eq!(decode::<FromService>(&mut came, 100), Err(Malformed::TooLong(101)));
    }

    proptest! {
        #[test]
        fn no_bytes_are_a_panic(mut came in prop::collection::vec(any::<u8>(), 0..200)) {
            while let Ok(Some(_)) = decode::<FromProxy>(&mut came, 1000) {}
        }
    }
}
