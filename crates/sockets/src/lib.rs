//! Classifies socket errors: calls to retry, local resource shortages, and faults of the peer.
#![forbid(unsafe_code)]

mod connect;
mod errors;
mod uninterrupted;

pub use connect::{connect, ConnectError};
pub use errors::{classify_accept_error, is_local_shortage, is_transient_shortage, AcceptError};
pub use uninterrupted::{uninterrupted, UninterruptedStream};
