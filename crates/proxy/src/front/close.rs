//! The end of a client connection: its cause, the steps of a close, and the log record.

use super::head_reader::InputEnd;
use std::fmt;
use std::net::SocketAddr;

/// Why the proxy closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client does not read its answer.
    AnswerUnread,
    /// A request head was not complete in time.
    HeadOverdue,
    /// A request head stopped arriving during a drain.
    HeadStopped,
    /// No request arrived within the idle timeout, or within the grace period of a drain.
    Idle,
    /// The descriptor is needed for another client.
    Displaced,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::AnswerUnread => "its answer is not read",
            CloseReason::HeadOverdue => "its head is overdue",
            CloseReason::HeadStopped => "its head has stopped",
            CloseReason::Idle => "idle",
            CloseReason::Displaced => "displaced",
        })
    }
}

/// The next step of a close.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseStep {
    /// Close immediately: no answer is due.
    Now,
    /// Close after the answer that is due.
    AfterAnswer,
    /// Close after the answer to the partially read request that follows the one in progress.
    AfterNextAnswer,
    /// Decide again after pending input has been read.
    CheckInput,
}

/// What ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// The client closed it.
    Client,
    /// The socket failed, for example because the client reset the connection.
    SocketFailure,
    /// The last answer announced the close.
    LastAnswer,
    /// A head could not be parsed; hyper responded with an error.
    MalformedHead,
    /// The proxy closed it.
    Closed(CloseReason),
}

impl EndCause {
    /// Returns why hyper stopped serving a connection. `input_end` is how its input ended, if it did.
    pub fn of_served(served: &hyper::Result<()>, input_end: Option<InputEnd>) -> Self {
        match (served, input_end) {
            (Err(error), _) if error.is_parse() => EndCause::MalformedHead,
            (_, Some(InputEnd::Closed)) => EndCause::Client,
            (Ok(()), None) => EndCause::LastAnswer,
            _ => EndCause::SocketFailure,
        }
    }
}

impl fmt::Display for EndCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndCause::Client => f.write_str("ended by its client"),
            EndCause::SocketFailure => f.write_str("its socket failed"),
            EndCause::LastAnswer => f.write_str("ended with an answer"),
            EndCause::MalformedHead => f.write_str("malformed head"),
            EndCause::Closed(reason) => reason.fmt(f),
        }
    }
}

/// The log record of a connection that ends. A request was read and lost if `requests` exceeds `answered`, or
/// if the proxy closed the connection with `partial_bytes` and without a refusal. If `unread_bytes` remain in
/// the kernel, it resets the connection.
#[derive(Debug)]
pub struct ConnectionEnd {
    /// The client's address.
    pub peer: SocketAddr,
    /// What ended the connection.
    pub cause: EndCause,
    /// Why the proxy was closing the connection, if it was.
    pub close_reason: Option<CloseReason>,
    /// Number of requests that were read.
    pub requests: u64,
    /// Number of requests that were answered.
    pub answered: u64,
    /// Number of bytes of a further, partial request that were read.
    pub partial_bytes: usize,
    /// Whether the partial request was rejected.
    pub refused: bool,
    /// Number of received bytes that were not read.
    pub unread_bytes: usize,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} closed ({}", self.peer, self.cause)?;
        match self.close_reason {
            Some(reason) if self.cause != EndCause::Closed(reason) => {
                write!(f, "; was to be closed: {reason}")?;
            }
            _ => {}
        }
        let refused = if self.refused { " refused" } else { "" };
        write!(
            f,
            "): {} requests read, {} answered, {} bytes of another{refused}, {} bytes unread",
            self.requests, self.answered, self.partial_bytes, self.unread_bytes
        )
    }
}
