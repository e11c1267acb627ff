//! A two-phase commit of a version across all proxies, which takes effect everywhere or nowhere even while
//! some proxies are down. Does no I/O and reads no clock: the caller passes the time and carries out the
//! returned actions.
//!
//! A replicated [`Log`] of records decides: the commit or abort of a change in it is final. The [`Leader`] of
//! the control services has each proxy prepare a change, and requests its commit once every proxy that may
//! serve requests has voted for it; a [`Member`] is a proxy's side. Leases keep a proxy that is cut off from
//! serving under an older version: it serves only while it holds one, and one is granted only to a proxy that
//! runs the committed version. `docs/design-commit.md` specifies the protocol, and why it is correct.
//!
//! `tests/commit` runs this code in a model checker (stateright), under every order of messages, losses,
//! crashes and changes of leader at a small size.

mod leader;
mod log;
mod member;
mod messages;

pub use leader::{Leader, LeaderAction, MemberState, PublishRejected};
pub use log::{Log, Record, RecordError};
pub use member::{Member, MemberAction, PrepareError};
pub use messages::{LeaderMessage, MemberMessage};

use crate::version::Stamp;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Nanoseconds on the monotonic clock of one process; not comparable between processes.
pub type Nanos = u64;

/// A proxy's name.
pub type Name = Arc<str>;

/// A version by its stamp and the digest of its body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The version's stamp.
    pub stamp: Stamp,
    /// SHA-256 of its body, in hex.
    pub digest: Arc<str>,
}

/// Durations of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// The length of a lease: how long a proxy may serve requests, counted from when it requested the lease.
    pub lease: Nanos,
    /// Must exceed the drift between the clocks of two machines over a lease.
    pub margin: Nanos,
    /// The time to prepare a change. A change that is not prepared everywhere by then is aborted.
    pub prepare: Nanos,
}

/// Why [`Times`] are inconsistent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimesError {
    /// The lease has no length, so no proxy could ever serve requests.
    #[error("a lease of no length would let no proxy serve requests")]
    NoLease,
    /// A change would be aborted before the lease of a crashed proxy expires.
    #[error("the time to prepare a change has to be longer than a lease and its margin: otherwise a proxy that dies would cause each change to be aborted")]
    PrepareTooShort,
}

impl Times {
    /// Returns the time after which a lease, counted from its grant on the leader's clock, has expired on the
    /// proxy's clock too.
    pub fn lease_with_margin(&self) -> Nanos {
        self.lease.saturating_add(self.margin)
    }

    /// Checks that the times are consistent.
    ///
    /// # Errors
    /// Why they are not.
    pub fn check(&self) -> Result<(), TimesError> {
        if self.lease == 0 {
            return Err(TimesError::NoLease);
        }
        if self.prepare <= self.lease_with_margin() {
            return Err(TimesError::PrepareTooShort);
        }
        Ok(())
    }
}
