//! One TCP stream under hyper: what has been written to it, and whether its peer has closed the connection.
//!
//! - this module is the stream and the state of what is written to it;
//! - `io` is hyper's end of it;
//! - `presence` tells whether a peer that waits for an answer is still there.

mod io;
mod presence;

pub use io::Io;
pub use presence::{Glance, Presence, Probe, Waiter};

use crate::descriptors::DescriptorPermit;
use crate::KERNEL_BUFFER_BYTES;
use aniseyoke_sockets::uninterrupted;
use presence::PeerState;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Unread bytes are counted up to this.
const MAX_COUNTED_UNREAD: usize = 4 << 10;

/// What is checked right before the first byte of a message is written.
pub trait FirstWriteCheck {
    /// How much time the message has left; none if it must not be written any more.
    fn time_left(&self) -> Option<Duration>;
}

/// A stream that several parties look at: hyper reads and writes it through [`Io`].
pub struct Socket {
    stream: TcpStream,
    /// Bytes were written since [`Socket::begin_message`].
    write_began: Cell<bool>,
    /// All that hyper had to write then has been written.
    fully_written: Cell<bool>,
    /// The kernel took no more bytes, so that hyper holds some.
    write_blocked: Cell<bool>,
    /// When bytes were last written.
    last_write: Cell<Instant>,
    /// So many more bytes may come.
    max_incoming: Cell<usize>,
    /// Checked before the first byte of the message is written.
    first_write_check: RefCell<Option<Box<dyn FirstWriteCheck>>>,
    /// The check forbade it.
    withheld: Cell<bool>,
    /// What is known of its peer.
    peer: PeerState,
    _permit: DescriptorPermit,
}

impl Socket {
    /// A socket over a stream; `permit` is for its descriptor.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Rc<Self> {
        // Without it a small answer waits for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            write_began: Cell::new(false),
            fully_written: Cell::new(false),
            write_blocked: Cell::new(false),
            last_write: Cell::new(Instant::now()),
            max_incoming: Cell::new(usize::MAX),
            first_write_check: RefCell::default(),
            withheld: Cell::new(false),
            peer: PeerState::default(),
            _permit: permit,
        })
    }

    /// A new message is about to be written, if `check` allows it then, and so many bytes may come in answer.
    pub fn begin_message(&self, max_incoming: usize, check: Box<dyn FirstWriteCheck>) {
        self.first_write_check.replace(Some(check));
        self.max_incoming.set(max_incoming);
        self.write_began.set(false);
        self.fully_written.set(false);
    }

    /// Whether the message's last byte has been written.
    pub fn is_fully_written(&self) -> bool {
        self.fully_written.get()
    }

    /// Whether the message was not written since the check before its first byte forbade it.
    pub fn is_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Whether something is still to be written for which the kernel has no room.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Whether nothing more could be written for so long.
    pub fn is_stuck(&self, timeout: Duration) -> bool {
        self.write_blocked.get() && self.last_write.get().elapsed() > timeout
    }

    /// Something large is to go over it: what comes has a limit elsewhere, and the kernel is to hold little.
    pub fn prepare_for_streaming(&self) {
        self.max_incoming.set(usize::MAX);
        let stream = SockRef::from(&self.stream);
        // A connection whose buffers stay as they are serves as well.
        let _ = stream.set_send_buffer_size(KERNEL_BUFFER_BYTES);
        let _ = stream.set_recv_buffer_size(KERNEL_BUFFER_BYTES);
    }

    /// Whether the kernel holds nothing that has come and was not read, not even the peer's end. The runtime learns of new
    /// bytes only when it next looks, so this asks the kernel.
    pub fn has_no_input(&self) -> bool {
        self.peek_byte().is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// How many bytes have come and were not read, counted up to [`MAX_COUNTED_UNREAD`].
    pub fn unread_bytes(&self) -> usize {
        let mut part = [MaybeUninit::uninit(); MAX_COUNTED_UNREAD];
        uninterrupted(|| SockRef::from(&self.stream).peek(&mut part)).unwrap_or(0)
    }

    /// Sends what stands alone, where nothing else is being sent. A peer that can't take it goes without.
    pub fn try_send(&self, text: &[u8]) {
        let _ = uninterrupted(|| self.stream.try_write(text));
    }

    /// Ends both directions now, whoever still holds the stream.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// From here on its end is a reset: what the peer's machine has not acknowledged by then is never sent again. Or it ends in
    /// order, and the kernel goes on sending that for minutes.
    pub fn reset_on_close(&self, resets: bool) {
        // One that can't be set ends in order, which is as good as it was.
        let _ = SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO));
    }

    /// How many bytes the kernel has of the next one; 0 at the peer's end.
    fn peek_byte(&self) -> Result<usize> {
        uninterrupted(|| SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]))
    }
}

#[cfg(test)]
mod tests;
