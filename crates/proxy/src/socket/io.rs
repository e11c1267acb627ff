//! The socket as hyper reads and writes it.

use super::{Socket, UnreadInput};
use crate::time_left;
use aniseyoke_sockets::{is_transient_shortage, uninterrupted};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// The delay before an operation is retried for which the kernel lacked memory.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Wakes the task after [`SHORTAGE_RETRY_DELAY`]: the runtime signals readiness, but not that the kernel has
/// memory again.
fn wake_later<T>(cx: &Context<'_>) -> Poll<T> {
    let waker = cx.waker().clone();
    tokio::spawn(async move {
        sleep(SHORTAGE_RETRY_DELAY).await;
        waker.wake();
    });
    Poll::Pending
}

/// What the check before the first byte of a message allows.
enum FirstWrite {
    /// The bytes may be written; their head is replaced by this one, if there is one.
    Allowed(Option<Vec<u8>>),
    /// The kernel lacked memory for the check, which has to be repeated.
    Unchecked,
}

/// A [`Socket`] as hyper reads and writes it.
pub struct Io(pub Rc<Socket>);

impl Io {
    /// Reads into `buffer`; returns 0 if the peer has ended its sending.
    pub fn poll_read_into(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let length = buffer.len().min(self.0.max_read.get());
        let buffer = &mut buffer[..length];
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match uninterrupted(|| self.0.stream.try_read(buffer)) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if is_transient_shortage(&e) => return wake_later(cx),
                Ok(n) if n > self.0.max_incoming.get() => {
                    return Poll::Ready(Err(io::Error::other("the answer is longer than allowed")));
                }
                Ok(n) => {
                    self.0.max_incoming.set(self.0.max_incoming.get() - n);
                    if n > 0 {
                        self.0.note_read();
                    }
                    return Poll::Ready(Ok(n));
                }
                failed => return Poll::Ready(failed),
            }
        }
    }

    /// Returns how many of the first bytes of an answer have already been sent as probes.
    fn take_probe_bytes(&self, buf: &[u8]) -> Option<usize> {
        let probe_bytes = &self.0.peer.probe_bytes;
        let n = probe_bytes.get().min(buf.len());
        probe_bytes.set(probe_bytes.get() - n);
        (n > 0).then_some(n)
    }

    /// Runs the check before the first byte of a message, whose head gets the time left updated if it has that
    /// header.
    fn check_first_write(&self, head: &[u8]) -> io::Result<FirstWrite> {
        if self.0.write_began.get() {
            return Ok(FirstWrite::Allowed(None));
        }
        let observer = self.0.observer.borrow();
        let Some(observer) = &*observer else { return Ok(FirstWrite::Allowed(None)) };
        let Some(time_left) = observer.time_left() else {
            self.0.withheld.set(true);
            return Err(io::Error::other("the request was withheld by the check before its first byte"));
        };
        // Bytes that came before the request are no answer to it. The runtime learns of them only at its next poll.
        match self.0.unread_input() {
            UnreadInput::Nothing => {}
            UnreadInput::Unknown => return Ok(FirstWrite::Unchecked),
            UnreadInput::BytesOrEnd => {
                return Err(io::Error::other(
                    "bytes that belong to no request, or the end, came before the request",
                ));
            }
        }
        observer.write_begins();
        Ok(FirstWrite::Allowed(time_left::replace_in_head(head, time_left)))
    }

    /// Writes bytes that begin with `head`; `send` gets the replacement of `head`, if any.
    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        head: &[u8],
        send: impl Fn(&TcpStream, Option<&[u8]>) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.0.fully_written.set(false);
        loop {
            if self.0.stream.poll_write_ready(cx)?.is_pending() {
                self.0.write_blocked.set(true);
                return Poll::Pending;
            }
            let FirstWrite::Allowed(replaced) = self.check_first_write(head)? else {
                return wake_later(cx);
            };
            match uninterrupted(|| send(&self.0.stream, replaced.as_deref())) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if is_transient_shortage(&e) => {
                    self.0.write_blocked.set(true);
                    return wake_later(cx);
                }
                sent => {
                    self.0.write_began.set(true);
                    self.0.last_write.set(Instant::now());
                    return Poll::Ready(sent);
                }
            }
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let n = ready!(self.poll_read_into(cx, buf.initialize_unfilled()))?;
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if let Some(n) = self.take_probe_bytes(buf) {
            return Poll::Ready(Ok(n));
        }
        self.poll_send(cx, buf, |stream, replaced| stream.try_write(replaced.unwrap_or(buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = bufs.iter().position(|buf| !buf.is_empty()).unwrap_or(0);
        let (head, rest) =
            bufs[first.min(bufs.len())..].split_first().map_or((&[][..], &[][..]), |(h, r)| (h, r));
        if let Some(n) = self.take_probe_bytes(head) {
            return Poll::Ready(Ok(n));
        }
        self.poll_send(cx, head, |stream, replaced| match replaced {
            None => stream.try_write_vectored(bufs),
            Some(head) => {
                let all: Vec<_> = std::iter::once(IoSlice::new(head)).chain(rest.iter().copied()).collect();
                stream.try_write_vectored(&all)
            }
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper flushes the stream once its own buffer, which holds the complete message, is empty.
        self.0.write_blocked.set(false);
        self.0.fully_written.set(self.0.write_began.get());
        if self.0.closes_in_order_once_flushed.take() {
            self.0.reset_on_close(false);
        }
        if let Some(waker) = self.0.flush_waker.take() {
            waker.wake();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}
