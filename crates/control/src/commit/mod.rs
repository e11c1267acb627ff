//! A change of version that takes hold everywhere or nowhere, also while some proxies are down. No I/O, no clock.
//!
//! A [`Log`] of records decides: once a change has its commit or abort there, nothing takes that back. The [`Leader`] of
//! the control services has each proxy prepare a change, and asks for the commit when every proxy that may take
//! requests has prepared it; a [`Member`] is a proxy's side. What keeps a proxy that hears nothing from going on by an
//! older version is its lease: it takes requests only while it holds one, and one is granted only to who runs what
//! is committed. `docs/design-commit.md` states the protocol, and why it holds.
//!
//! The same code is run by `tests/commit_model.rs`, where stateright plays every order of messages, losses, crashes and
//! changes of leader at a small size.

mod leader;
mod log;
mod member;

pub use leader::{Leader, Order, Standing};
pub use log::{Log, Record, Unfit};
pub use member::{Member, Step};

use crate::version::Stamp;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Nanoseconds on a clock that never steps back; each party's own.
pub type Nanos = u64;

/// A proxy's name.
pub type Name = Arc<str>;

/// A version by its stamp, and the digest of what it says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Which.
    pub stamp: Stamp,
    /// SHA-256 of its body, in hex.
    pub digest: Arc<str>,
}

/// How long things may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// A proxy takes requests for so long after it asked for the lease that it was granted.
    pub lease: Nanos,
    /// What the clocks of two machines may differ by over a lease, and more.
    pub margin: Nanos,
    /// A change that was not prepared everywhere after so long is aborted.
    pub prepare: Nanos,
}

impl Times {
    /// From the time at which a lease was granted on, its proxy takes no requests under it any more after so long.
    pub fn over(&self) -> Nanos {
        self.lease.saturating_add(self.margin)
    }

    /// Whether they fit together.
    ///
    /// # Errors
    /// Says what does not.
    pub fn check(&self) -> Result<(), String> {
        if self.lease == 0 {
            return Err("a lease of no length would let no proxy take requests".into());
        }
        if self.prepare <= self.over() {
            return Err("a change has to be given longer than a lease and its margin: a proxy that dies would have each one aborted".into());
        }
        Ok(())
    }
}

/// From a proxy to the leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ToLeader {
    /// It wants a lease.
    Renew {
        /// When it asked, on its own clock; told back with the grant.
        asked: Nanos,
        /// What it runs.
        runs: Option<Change>,
        /// What it has prepared and not switched to.
        prepared: Option<Change>,
    },
    /// A change is checked and kept, and can be switched to at once.
    Prepared {
        /// Which.
        change: Change,
    },
    /// A change can't be put in force there.
    Refused {
        /// Which.
        change: Change,
        /// Why.
        why: String,
    },
}

/// From the leader to a proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ToMember {
    /// Check a change and keep it; do not switch to it.
    Prepare {
        /// Which.
        change: Change,
    },
    /// A change is committed: switch to it.
    Commit {
        /// Which.
        change: Change,
    },
    /// A change is aborted: forget it.
    Abort {
        /// Which.
        stamp: Stamp,
    },
    /// A lease.
    Granted {
        /// When it was asked for, on the proxy's clock: it counts from then.
        asked: Nanos,
        /// What is committed; who runs anything else holds no lease.
        committed: Option<Change>,
    },
}
