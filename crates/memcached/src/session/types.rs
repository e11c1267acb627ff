//! What a session and its driver pass to each other.

use crate::response_queue::{QueueLimits, RequestNumber};
use crate::{Extras, Header, Limits, Status};
use bytes::Bytes;

/// Nanoseconds from any fixed point.
pub type Nanos = u64;

pub(super) const SECOND: Nanos = 1_000_000_000;

/// What a connection may do.
#[derive(Clone, Copy, Debug)]
pub struct SessionConfig {
    /// The longest key and value.
    pub limits: Limits,
    /// What may be in flight and what may wait.
    pub queue: QueueLimits,
    /// A client has to authenticate before anything else.
    pub require_authentication: bool,
    /// A packet that has begun has to arrive within this time, except for its value.
    pub header_timeout: Nanos,
    /// The next part of a value has to arrive within this time.
    pub value_timeout: Nanos,
    /// A connection with nothing in flight is closed after this time.
    pub idle_timeout: Nanos,
}

impl Default for SessionConfig {
    fn default() -> Self {
        SessionConfig {
            limits: Limits::default(),
            queue: QueueLimits { requests: 1024, bytes: 1 << 20 },
            require_authentication: false,
            header_timeout: 3 * SECOND,
            value_timeout: 10 * SECOND,
            idle_timeout: 60 * SECOND,
        }
    }
}

/// What the driver is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request for the core. Its value, if it has one, follows in parts, and then its end.
    Request {
        /// Identifies it.
        request: RequestNumber,
        /// What is requested. The key is a copy.
        header: Header,
    },
    /// A part of the value of a request.
    Value(RequestNumber, Bytes),
    /// A request has arrived completely.
    RequestComplete(RequestNumber),
    /// A client authenticates: check its credentials, then call
    /// [`Session::credentials_checked`](super::Session::credentials_checked).
    Authenticate {
        /// Identifies the request.
        request: RequestNumber,
        /// The request.
        header: Header,
        /// The credentials; [`parse_plain`](crate::sasl::parse_plain) reads them.
        value: Bytes,
    },
}

/// A response of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response<B> {
    /// What became of the request.
    pub status: Status,
    /// The flags of the value.
    pub extras: Extras,
    /// The version of the value.
    pub cas: u64,
    /// The value: its length in bytes, and where it comes from. None: the text of the status.
    pub value: Option<(usize, B)>,
    /// Bytes of it that are kept in memory while it waits.
    pub buffered: usize,
}

impl<B> Response<B> {
    /// A response without a value.
    pub fn of_status(status: Status) -> Self {
        Response { status, extras: Extras::None, cas: 0, value: None, buffered: 0 }
    }
}

/// Bytes to be written, and a value to be written behind them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output<B> {
    /// A header, or a whole packet.
    pub bytes: Bytes,
    /// The value that follows.
    pub value: Option<B>,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeout {
    /// A header or a value did not arrive completely.
    Incomplete,
    /// There was no request for a long time.
    Idle,
}
