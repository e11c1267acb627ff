//! Retries calls that a signal interrupted: an interruption says nothing about the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The maximum number of consecutive retries of one call. More interruptions than that have another cause.
const MAX_RETRIES: usize = 1000;

/// Makes a call, and retries it while signals interrupt it.
///
/// # Errors
/// The error of the call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_RETRIES {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

fn poll_uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    for _ in 0..MAX_RETRIES {
        match call() {
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

/// A stream that retries interrupted reads and writes; the runtime's own streams return interruptions as
/// errors.
#[derive(Debug)]
pub struct UninterruptedStream<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for UninterruptedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for UninterruptedStream<S> {
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
