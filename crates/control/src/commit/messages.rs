//! The messages between the leader and the members.

use super::{Change, Nanos};
use crate::version::Stamp;
use serde::{Deserialize, Serialize};

/// A message from a proxy to the leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum MemberMessage {
    /// Reports the proxy's state and requests a lease.
    #[serde(rename = "renew")]
    Heartbeat {
        /// When the heartbeat was sent, on the proxy's clock; returned with the lease.
        #[serde(rename = "asked")]
        sent_at: Nanos,
        /// The version that the proxy runs.
        #[serde(rename = "runs")]
        running: Option<Change>,
        /// The change that it has prepared and not activated.
        prepared: Option<Change>,
    },
    /// Votes for a change: the proxy has validated and stored it, and can activate it at once.
    #[serde(rename = "prepared")]
    VoteCommit {
        /// The change.
        change: Change,
    },
    /// Votes against a change: the proxy can't activate it.
    #[serde(rename = "refused")]
    VoteAbort {
        /// The change.
        change: Change,
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A message from the leader to a proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum LeaderMessage {
    /// Requests that the proxy validates and stores a change without activating it.
    Prepare {
        /// The change.
        change: Change,
    },
    /// Requests that the proxy activates a change, which is committed.
    Commit {
        /// The change.
        change: Change,
    },
    /// Requests that the proxy discards a change, which is aborted.
    Abort {
        /// The stamp of the change.
        stamp: Stamp,
    },
    /// Grants a lease.
    #[serde(rename = "granted")]
    Lease {
        /// When the lease was requested, on the proxy's clock; its duration counts from then.
        #[serde(rename = "asked")]
        requested_at: Nanos,
        /// The committed version. A proxy that runs another one must not use the lease.
        committed: Option<Change>,
    },
}
