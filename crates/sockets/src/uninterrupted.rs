//! Calls that a signal has interrupted are made again: that says nothing of the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// So often in a row a call is made again. A machine that interrupts more often than that has another fault.
const AGAIN_MOST: usize = 1000;

/// Makes a call, and again where a signal has interrupted it.
///
/// # Errors
/// As the call's.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..AGAIN_MOST {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            made => return made,
        }
    }
    call()
}

fn poll_uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    for _ in 0..AGAIN_MOST {
        match call() {
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {}
            made => return made,
        }
    }
    call()
}

/// A stream whose reads and writes go on over interruptions: the runtime's own streams hand these on as errors.
#[derive(Debug)]
pub struct Uninterrupted<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_shutdown(cx))
    }
}
