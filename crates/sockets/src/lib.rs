//! What failing socket calls mean: which are made again, which are this machine's own shortage, and which say something of
//! the other side.
#![forbid(unsafe_code)]

mod connect;
mod errors;
mod uninterrupted;

pub use connect::{connect, ConnectError};
pub use errors::{accept_error, local_shortage, passing_shortage, AcceptError};
pub use uninterrupted::{uninterrupted, Uninterrupted};
