//! What is still to be read of the body of a client's request, and whether that has arrived.

use super::chunked_end::ChunkedEnd;
use crate::socket::Socket;

/// The most bytes of a chunked body that are searched for its end while they are unread. More do not wait in
/// the receive buffer of a connection whose chunked body is streamed.
const MAX_SEARCHED_BYTES: usize = 4 * crate::KERNEL_BUFFER_BYTES;

/// The part of a request's body that has not been read from its connection.
#[derive(Default)]
pub enum UnreadBody {
    /// This many bytes are to be read.
    Length(u64),
    /// Chunks are to be read.
    Chunked {
        /// Follows the chunks that have been read.
        end: ChunkedEnd,
        /// Number of unread bytes that have been searched without finding the end.
        searched: usize,
    },
    /// Where the body ends is unknown, as its head is malformed.
    #[default]
    Unknown,
}

impl UnreadBody {
    /// Creates the state of a chunked body that begins.
    pub fn chunked() -> Self {
        UnreadBody::Chunked { end: ChunkedEnd::default(), searched: 0 }
    }

    /// Whether the body is chunked.
    pub fn is_chunked(&self) -> bool {
        matches!(self, UnreadBody::Chunked { .. })
    }

    /// Notes the next bytes of the body that were read.
    pub fn read(&mut self, bytes: &[u8]) {
        match self {
            UnreadBody::Length(length) => *length = length.saturating_sub(bytes.len() as u64),
            UnreadBody::Chunked { end, searched } => {
                end.advance(bytes);
                *searched = 0;
            }
            UnreadBody::Unknown => {}
        }
    }

    /// Returns how many bytes of the body have not arrived, if its length is known.
    pub fn missing(&self, socket: &Socket) -> Option<u64> {
        match self {
            UnreadBody::Length(length) => Some(length.saturating_sub(socket.unread_bytes() as u64)),
            UnreadBody::Chunked { .. } | UnreadBody::Unknown => None,
        }
    }

    /// Whether the rest of the body has arrived in the kernel's receive buffer of its connection.
    pub fn has_arrived(&mut self, socket: &Socket) -> bool {
        match self {
            UnreadBody::Length(0) => true,
            UnreadBody::Length(length) => socket.unread_bytes() as u64 >= *length,
            UnreadBody::Chunked { end, .. } if end.is_reached() => true,
            UnreadBody::Chunked { end, searched } => {
                let unread = socket.unread_bytes();
                if unread == *searched || unread > MAX_SEARCHED_BYTES {
                    return false;
                }
                *searched = unread;
                let mut rest = end.clone();
                rest.advance(&socket.peek(unread));
                rest.is_reached()
            }
            UnreadBody::Unknown => false,
        }
    }
}

#[cfg(test)]
mod tests;
