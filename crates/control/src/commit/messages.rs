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
        /// When it was sent, on the proxy's clock; returned with the lease.
        #[serde(rename = "asked")]
        sent_at: Nanos,
        /// The version that the proxy runs.
        #[serde(rename = "runs")]
        running: Option<Change>,
        /// The change that it has prepared and not activated.
        prepared: Option<Change>,
    },
    /// Votes for a change: it is validated and stored, and can be activated at once.
    #[serde(rename = "prepared")]
    VoteCommit {
        /// The change.
        change: Change,
    },
    /// Votes against a change: it can't be activated there.
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
    /// Validate and store a change, without activating it.
    Prepare {
        /// The change.
        change: Change,
    },
    /// A change is committed: activate it.
    Commit {
        /// The change.
        change: Change,
    },
    /// A change is aborted: discard it.
    Abort {
        /// The change.
        stamp: Stamp,
    },
    /// Grants a lease.
    #[serde(rename = "granted")]
    Lease {
        /// When it was requested, on the proxy's clock: it is valid from then on.
        #[serde(rename = "asked")]
        requested_at: Nanos,
        /// The committed version; a proxy that runs another one does not hold the lease.
        committed: Option<Change>,
    },
}
