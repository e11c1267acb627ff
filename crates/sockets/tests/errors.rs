//! Tests the classification of socket errors and the retry of interrupted calls.

use aniseyoke_sockets::{
    classify_accept_error, connect, is_local_shortage, uninterrupted, AcceptError, ConnectError,
    UninterruptedStream,
};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};
use tokio::net::TcpListener;

#[test]
fn accept_errors_are_classified_as_documented() {
    let classified = |numbers: &[i32]| -> Vec<AcceptError> {
        numbers.iter().map(|n| classify_accept_error(&io::Error::from_raw_os_error(*n))).collect()
    };
    let transient = [libc::ECONNABORTED, libc::EPROTO, libc::EINTR, libc::EHOSTUNREACH];
    let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    assert_eq!(classified(&transient), [AcceptError::Transient; 4]);
    assert_eq!(classified(&shortages), [AcceptError::Shortage; 4]);
    assert_eq!(classified(&[libc::EBADF, libc::EINVAL]), [AcceptError::Other; 2]);
}

#[test]
fn a_local_shortage_is_distinguished_from_a_fault_of_the_peer() {
    let local = |number| is_local_shortage(&io::Error::from_raw_os_error(number));
    assert!([libc::ENFILE, libc::ENOBUFS, libc::EADDRNOTAVAIL].into_iter().all(local));
    assert!(![libc::ECONNREFUSED, libc::ETIMEDOUT, libc::ENETUNREACH].into_iter().any(local));
}

#[test]
fn an_interrupted_call_is_retried_a_limited_number_of_times() {
    let mut calls = 0;
    let result = uninterrupted(|| {
        calls += 1;
        if calls < 3 {
            Err(io::ErrorKind::Interrupted.into())
        } else {
            Ok(calls)
        }
    });
    assert_eq!(result.expect("made"), 3);
    let always_interrupted = uninterrupted(|| -> io::Result<()> { Err(io::ErrorKind::Interrupted.into()) });
    assert_eq!(always_interrupted.expect_err("always interrupted").kind(), io::ErrorKind::Interrupted);
}

/// A reader that interrupts every other read, and yields `remaining` bytes.
struct InterruptedReader {
    interrupt: bool,
    remaining: u8,
}

impl AsyncRead for InterruptedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.interrupt = !self.interrupt;
        if self.interrupt {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        if self.remaining > 0 {
            self.remaining -= 1;
            buf.put_slice(b"x");
        }
        Poll::Ready(Ok(()))
    }
}

#[tokio::test]
async fn a_stream_retries_interrupted_reads() {
    let mut received = String::new();
    let mut stream = UninterruptedStream(InterruptedReader { interrupt: false, remaining: 3 });
    stream.read_to_string(&mut received).await.expect("read");
    assert_eq!(received, "xxx");
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_a_remote_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("an address");
    assert!(connect(addr, || panic!("there is no shortage")).await.is_ok());
    drop(listener);
    assert!(matches!(connect(addr, || ()).await, Err(ConnectError::Remote(_))));
}
