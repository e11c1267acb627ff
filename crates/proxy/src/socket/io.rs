//! Hyper's end of a socket.

use super::Socket;
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

/// What the kernel has no memory for is tried again so much later.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Wakes the task a little later: the runtime tells of new bytes and of room, and not of memory that the kernel has again.
fn wake_later<T>(cx: &Context<'_>) -> Poll<T> {
    let waker = cx.waker().clone();
    tokio::spawn(async move {
        sleep(SHORTAGE_RETRY_DELAY).await;
        waker.wake();
    });
    Poll::Pending
}

/// Hyper's end of a [`Socket`].
pub struct Io(pub Rc<Socket>);

impl Io {
    /// Reads into `part`; 0: the peer has ended its sending.
    pub fn poll_fill(&self, cx: &mut Context<'_>, part: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match uninterrupted(|| self.0.stream.try_read(part)) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if is_transient_shortage(&e) => return wake_later(cx),
                Ok(n) if n > self.0.max_incoming.get() => {
                    return Poll::Ready(Err(io::Error::other("the answer does not end")));
                }
                Ok(n) => {
                    self.0.max_incoming.set(self.0.max_incoming.get() - n);
                    return Poll::Ready(Ok(n));
                }
                failed => return Poll::Ready(failed),
            }
        }
    }

    /// How many of these bytes, which begin an answer, have been sent ahead as probes.
    fn take_probe_bytes(&self, buf: &[u8]) -> Option<usize> {
        let probe_bytes = &self.0.peer.probe_bytes;
        let n = probe_bytes.get().min(buf.len());
        probe_bytes.set(probe_bytes.get() - n);
        (n > 0).then_some(n)
    }

    /// Checks a message before its first byte; returns its head with the time that is left now, where it tells one.
    fn check_first_write(&self, head: &[u8]) -> io::Result<Option<Vec<u8>>> {
        if self.0.write_began.get() {
            return Ok(None);
        }
        let check = self.0.first_write_check.borrow();
        let Some(check) = &*check else { return Ok(None) };
        let Some(left) = check.time_left() else {
            self.0.withheld.set(true);
            return Err(io::Error::other("held back"));
        };
        Ok(time_left::replace_in_head(head, left))
    }

    /// Writes what begins with `head`; `send` gets what replaces that.
    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        head: &[u8],
        send: impl Fn(&TcpStream, Option<&[u8]>) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.0.stream.poll_write_ready(cx)?.is_pending() {
                self.0.write_blocked.set(true);
                return Poll::Pending;
            }
            let replaced = self.check_first_write(head)?;
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
        let n = ready!(self.poll_fill(cx, buf.initialize_unfilled()))?;
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
        // Hyper flushes the stream once its own buffer, which holds the whole message, is empty.
        self.0.write_blocked.set(false);
        self.0.fully_written.set(self.0.write_began.get());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}
