//! A two-phase commit of a version across all proxies, which takes effect everywhere or nowhere even while some proxies
//! are down. No I/O, no clock.
//!
//! A replicated [`Log`] of records decides: once it has the commit or abort of a change, nothing takes that back. The
//! [`Leader`] of the control services has each proxy prepare a change, and requests its commit once every proxy that may
//! serve requests has voted for it; a [`Member`] is a proxy's side. A proxy that is cut off can't go on serving under an
//! older version because of its lease: it serves only while it holds one, and one is granted only to a proxy that runs
//! the committed version. `docs/design-commit.md` specifies the protocol, and why it is correct.
//!
//! `tests/commit` runs this code in a model checker (stateright), under every order of messages, losses, crashes and
//! changes of leader at a small size.

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

/// Nanoseconds on a steady clock of each party's own.
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

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// For how long a proxy may serve, counted from when it requested the lease.
    pub lease: Nanos,
    /// More than the clocks of two machines drift apart over a lease.
    pub margin: Nanos,
    /// A change that is not prepared everywhere after so long is aborted.
    pub prepare: Nanos,
}

/// Why times do not fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimesError {
    /// No proxy could ever serve.
    #[error("a lease of no length would let no proxy serve requests")]
    NoLease,
    /// A change would be aborted before the lease of a proxy that has died is over.
    #[error("the time to prepare a change has to be longer than a lease and its margin: otherwise a proxy that dies would cause each change to be aborted")]
    PrepareTooShort,
}

impl Times {
    /// So long after a lease was granted its proxy surely no longer serves under it.
    pub fn lease_with_margin(&self) -> Nanos {
        self.lease.saturating_add(self.margin)
    }

    /// Checks that the times fit together.
    ///
    /// # Errors
    /// Why they do not.
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
