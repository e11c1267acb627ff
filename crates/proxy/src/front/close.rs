//! How a client's connection is closed: why, in which steps, and what the log tells of it.

use super::client::Client;
use std::fmt;
use std::net::SocketAddr;

/// Why this side closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client does not read its answer.
    AnswerUnread,
    /// A request head was not complete in time.
    HeadOverdue,
    /// A head has stopped while clients are asked to go elsewhere.
    HeadStopped,
    /// No request came for a while.
    Idle,
    /// Its descriptor is worth more to another client.
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

/// How a connection that is to be closed goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseStep {
    /// It is closed at once: no answer is due on it.
    Now,
    /// It is closed with the answer that is due.
    AfterAnswer,
    /// It is closed with the answer to the request that has been read in part behind the one whose answer is due.
    AfterNextAnswer,
    /// Decided again once the runtime has read what has come.
    CheckInput,
}

/// A connection in the moment of its close. `requests` above `answered`, or `partial_bytes` without a refusal, is a
/// request that was read and is lost; `unread_bytes` were left in the kernel, which resets the connection.
#[derive(Debug)]
pub struct ConnectionEnd {
    peer: SocketAddr,
    reason: Option<CloseReason>,
    requests: u64,
    answered: u64,
    partial_bytes: usize,
    refused: bool,
    unread_bytes: usize,
}

impl ConnectionEnd {
    /// The end of this connection, which is about to be closed.
    pub fn of(client: &Client) -> Self {
        ConnectionEnd {
            peer: client.peer,
            reason: client.closing.get(),
            requests: client.heads.complete.get(),
            answered: client.answered.get(),
            partial_bytes: client.heads.partial_bytes.get(),
            refused: client.partial_head_refused.get(),
            unread_bytes: client.socket.unread_bytes(),
        }
    }
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason {
            Some(reason) => write!(f, "{} closed ({reason})", self.peer)?,
            None => write!(f, "{} closed (ended by its client or with an answer)", self.peer)?,
        }
        let refused = if self.refused { " refused" } else { "" };
        write!(
            f,
            ": {} requests read, {} answered, {} bytes of another{refused}, {} bytes unread",
            self.requests, self.answered, self.partial_bytes, self.unread_bytes
        )
    }
}
