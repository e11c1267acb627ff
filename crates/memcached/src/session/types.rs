//! Types that a session and its driver exchange.

use crate::response_queue::{QueueLimits, RequestNumber};
use crate::{Extras, Header, Limits, Status};
use bytes::Bytes;

/// A point in time, or a duration, in nanoseconds; the origin is arbitrary.
pub type Nanos = u64;

pub(super) const SECOND: Nanos = 1_000_000_000;

/// Limits and timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct SessionConfig {
    /// Maximum length of keys and values.
    pub limits: Limits,
    /// Limits of requests in flight and of responses that wait to be written.
    pub queue: QueueLimits,
    /// Whether clients must authenticate before operations other than NOOP, VERSION, QUIT and SASL.
    pub require_authentication: bool,
    /// Maximum time from the first byte of a packet until header, extras and key have arrived.
    pub header_timeout: Nanos,
    /// Maximum time until the next part of a value arrives.
    pub value_timeout: Nanos,
    /// A connection without requests in flight is closed after this time.
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

/// What the driver has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request for the core. Its value, if any, follows in parts, then [`Event::RequestComplete`].
    Request {
        /// Identifies the request.
        request: RequestNumber,
        /// The header of the request; its key is a copy, not a slice of the read buffer.
        header: Header,
    },
    /// A part of the value of a request.
    Value(RequestNumber, Bytes),
    /// A request has arrived completely.
    RequestComplete(RequestNumber),
    /// A client authenticates. The driver checks the credentials, then calls
    /// [`Session::credentials_checked`](super::Session::credentials_checked).
    Authenticate {
        /// Identifies the request.
        request: RequestNumber,
        /// The header of the request.
        header: Header,
        /// The credentials, to be parsed by [`parse_plain`](crate::sasl::parse_plain).
        value: Bytes,
    },
}

/// The core's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response<B> {
    /// The status of the request.
    pub status: Status,
    /// Extras of the response: the flags of the value, if there is one.
    pub extras: Extras,
    /// The version of the value.
    pub cas: u64,
    /// The value: its length in bytes, and its source. With `None` the value is the text of the status.
    pub value: Option<(usize, B)>,
    /// Number of bytes of the value that are held in memory until the response is written.
    pub buffered: usize,
}

impl<B> Response<B> {
    /// Creates a response without a value.
    pub fn of_status(status: Status) -> Self {
        Response { status, extras: Extras::None, cas: 0, value: None, buffered: 0 }
    }
}

/// Bytes to write, followed by a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output<B> {
    /// A header with extras and key, or a complete packet.
    pub bytes: Bytes,
    /// The value to write after `bytes`.
    pub value: Option<B>,
}

/// Why a connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeout {
    /// A header or a part of a value did not arrive in time.
    Incomplete,
    /// The connection was idle for too long.
    Idle,
}
