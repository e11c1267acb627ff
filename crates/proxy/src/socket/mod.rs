//! A TCP stream under hyper, which records what has been written and whether the peer has closed the
//! connection.
//!
//! - This module is the stream and the state of its writes.
//! - `io` is the stream as hyper reads and writes it.
//! - `presence` checks whether a peer that waits for an answer is still connected.

mod io;
mod presence;

pub use io::Io;
pub use presence::{PeekedPresence, PeerHandle, Presence, Probe};

use crate::descriptors::DescriptorPermit;
use crate::KERNEL_BUFFER_BYTES;
use aniseyoke_sockets::{is_transient_shortage, uninterrupted};
use presence::PeerState;
use rustix::net::{recv, RecvFlags};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind, Result};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What the kernel's receive buffer holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UnreadInput {
    /// Nothing, and the peer has not ended its sending.
    Nothing,
    /// Unread bytes, or the end of the connection.
    BytesOrEnd,
    /// The kernel lacked memory and reported nothing.
    Unknown,
}

/// Follows a message that is written and its answer: a check right before the first byte of the message is written,
/// and notes of what happens then.
pub trait MessageObserver {
    /// Returns how much time the message has left; `None` if it must no longer be written.
    fn time_left(&self) -> Option<Duration>;

    /// Notes that the first byte is being written.
    fn write_begins(&self);

    /// Notes that the first byte of the answer has been read.
    fn answer_begins(&self);
}

/// A TCP stream shared between hyper, which reads and writes it through [`Io`], and the tasks that watch it.
pub struct Socket {
    stream: TcpStream,
    /// Whether bytes were written since [`Socket::begin_message`].
    write_began: Cell<bool>,
    /// Whether all bytes have been written that hyper has had to write since then.
    fully_written: Cell<bool>,
    /// Whether the kernel's buffer is full, so that hyper has bytes still to write.
    write_blocked: Cell<bool>,
    /// Whether the connection is to close in order once all bytes have been written, and to be reset before.
    closes_in_order_once_flushed: Cell<bool>,
    /// Woken once all bytes have been written.
    flush_waker: RefCell<Option<Waker>>,
    /// When bytes were last written.
    last_write: Cell<Instant>,
    /// How many more bytes may be received.
    max_incoming: Cell<usize>,
    /// How many bytes are read at once at most.
    max_read: Cell<usize>,
    /// What follows the message and its answer.
    observer: RefCell<Option<Box<dyn MessageObserver>>>,
    /// When bytes of the answer to the message were last read.
    last_answer_read: Cell<Option<Instant>>,
    /// Whether the check forbade the write.
    withheld: Cell<bool>,
    /// The known state of the peer.
    peer: PeerState,
    _permit: DescriptorPermit,
}

impl Socket {
    /// Creates a socket over a stream; `permit` is for its descriptor.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Rc<Self> {
        // Nagle's algorithm would delay a small answer until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            write_began: Cell::new(false),
            fully_written: Cell::new(false),
            write_blocked: Cell::new(false),
            closes_in_order_once_flushed: Cell::new(false),
            flush_waker: RefCell::default(),
            last_write: Cell::new(Instant::now()),
            max_incoming: Cell::new(usize::MAX),
            max_read: Cell::new(usize::MAX),
            observer: RefCell::default(),
            last_answer_read: Cell::default(),
            withheld: Cell::new(false),
            peer: PeerState::default(),
            _permit: permit,
        })
    }

    /// Prepares for a new message, written only if `observer` then allows it; at most `max_incoming` bytes may
    /// be received in answer.
    pub fn begin_message(&self, max_incoming: usize, observer: Box<dyn MessageObserver>) {
        self.observer.replace(Some(observer));
        self.last_answer_read.set(None);
        self.max_incoming.set(max_incoming);
        self.max_read.set(usize::MAX);
        self.write_began.set(false);
        self.fully_written.set(false);
    }

    /// Whether all of the message has been written that hyper has been given so far; more of a streamed body may
    /// follow.
    pub fn is_fully_written(&self) -> bool {
        self.fully_written.get()
    }

    /// Whether the message was not written because the check before its first byte forbade it.
    pub fn is_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Whether bytes are still to be written because the kernel's buffer is full.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Limits how many bytes are read at once, until the next message: hyper's buffers follow the size of the reads.
    pub fn limit_reads(&self, max_read: usize) {
        self.max_read.set(max_read);
    }

    /// Completes once no bytes are still to be written.
    pub fn poll_flushed(&self, cx: &Context<'_>) -> Poll<()> {
        if !self.write_blocked.get() {
            return Poll::Ready(());
        }
        self.flush_waker.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Whether bytes are still to be written and none could be for longer than `timeout`.
    pub fn is_stuck(&self, timeout: Duration) -> bool {
        self.write_blocked.get() && self.last_write.get().elapsed() > timeout
    }

    /// Whether bytes were written within this time.
    pub fn wrote_within(&self, time: Duration) -> bool {
        self.write_began.get() && self.last_write.get().elapsed() < time
    }

    /// Returns when bytes of the answer to the message were last read; `None` if none were.
    pub fn last_answer_read(&self) -> Option<Instant> {
        self.last_answer_read.get()
    }

    /// Notes that bytes were read; after the beginning of a message they belong to its answer.
    fn note_read(&self) {
        if !self.write_began.get() {
            return;
        }
        let Some(observer) = &*self.observer.borrow() else { return };
        if self.last_answer_read.replace(Some(Instant::now())).is_none() {
            observer.answer_begins();
        }
    }

    /// Sets how many more bytes may be received.
    pub fn allow_incoming(&self, max_incoming: usize) {
        self.max_incoming.set(max_incoming);
    }

    /// Prepares for a large body: limits the kernel's buffers.
    pub fn prepare_for_streaming(&self) {
        let stream = SockRef::from(&self.stream);
        // The connection also works with its default buffers, so errors are ignored.
        let _ = stream.set_send_buffer_size(KERNEL_BUFFER_BYTES);
        let _ = stream.set_recv_buffer_size(KERNEL_BUFFER_BYTES);
    }

    /// Returns what the kernel's receive buffer holds. Asks the kernel, since the runtime learns of new bytes
    /// only at its next poll.
    pub fn unread_input(&self) -> UnreadInput {
        match self.peek_byte() {
            Err(e) if e.kind() == ErrorKind::WouldBlock => UnreadInput::Nothing,
            Err(e) if is_transient_shortage(&e) => UnreadInput::Unknown,
            Ok(_) | Err(_) => UnreadInput::BytesOrEnd,
        }
    }

    /// Whether the kernel's receive buffer is known to be empty and the peer not to have ended its sending.
    pub fn has_no_input(&self) -> bool {
        self.unread_input() == UnreadInput::Nothing
    }

    /// Returns the number of received bytes that are unread; 0 if the kernel does not tell.
    pub fn unread_bytes(&self) -> usize {
        let unread = rustix::io::ioctl_fionread(&self.stream).unwrap_or(0);
        usize::try_from(unread).unwrap_or(usize::MAX)
    }

    /// Returns at most `length` unread bytes, which stay unread.
    pub fn peek(&self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        let peeked =
            uninterrupted(|| recv(&self.stream, &mut bytes[..], RecvFlags::PEEK).map_err(Error::from));
        bytes.truncate(peeked.map_or(0, |(_, length)| length));
        bytes
    }

    /// Sends a complete text while nothing else is being sent. If the socket can't accept it, it is dropped.
    pub fn try_send(&self, text: &[u8]) {
        let _ = uninterrupted(|| self.stream.try_write(text));
    }

    /// Shuts down both directions immediately, even if others still hold the stream.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Sets whether closing the stream resets the connection. With a reset, unacknowledged bytes are never
    /// sent again; without one, the kernel goes on retransmitting them for minutes.
    pub fn reset_on_close(&self, enabled: bool) {
        // If the option can't be set, the connection closes in order, as by default.
        let _ = SockRef::from(&self.stream).set_linger(enabled.then_some(Duration::ZERO));
    }

    /// Ends [`Self::reset_on_close`] once all bytes have been written.
    pub fn close_in_order_once_flushed(&self) {
        self.closes_in_order_once_flushed.set(true);
    }

    /// Peeks at one byte in the kernel's receive buffer: returns 1 if there is one, and 0 if the peer has
    /// ended its sending.
    fn peek_byte(&self) -> Result<usize> {
        uninterrupted(|| SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]))
    }
}

#[cfg(test)]
mod tests;
