//! What failing socket calls mean: which are made again, which are this machine's own shortage, and which say something of
//! the other side.
#![forbid(unsafe_code)]

mod connect;
mod errors;
mod uninterrupted;

pub use connect::{connect, ConnectError};
pub use errors::{classify_accept_error, is_local_shortage, is_transient_shortage, AcceptError};
pub use uninterrupted::{uninterrupted, Uninterrupted};
