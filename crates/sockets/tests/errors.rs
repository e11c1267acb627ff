//! What errors mean, and what is made again.

use aniseyoke_sockets::{
    classify_accept_error, connect, is_local_shortage, uninterrupted, AcceptError, ConnectError,
    Uninterrupted,
};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};
use tokio::net::TcpListener;

#[test]
fn failed_accepts_are_sorted_as_documented() {
    let sorted = |numbers: &[i32]| -> Vec<AcceptError> {
        numbers.iter().map(|n| classify_accept_error(&io::Error::from_raw_os_error(*n))).collect()
    };
    let passing = [libc::ECONNABORTED, libc::EPROTO, libc::EINTR, libc::EHOSTUNREACH];
    let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    assert_eq!(sorted(&passing), [AcceptError::Transient; 4]);
    assert_eq!(sorted(&shortages), [AcceptError::Shortage; 4]);
    assert_eq!(sorted(&[libc::EBADF, libc::EINVAL]), [AcceptError::Other; 2]);
}

#[test]
fn a_shortage_of_this_machine_is_no_fault_of_the_other_side() {
    let local = |number| is_local_shortage(&io::Error::from_raw_os_error(number));
    assert!([libc::ENFILE, libc::ENOBUFS, libc::EADDRNOTAVAIL].into_iter().all(local));
    assert!(![libc::ECONNREFUSED, libc::ETIMEDOUT, libc::ENETUNREACH].into_iter().any(local));
}

#[test]
fn an_interrupted_call_is_made_again_and_not_for_ever() {
    let mut calls = 0;
    let made = uninterrupted(|| {
        calls += 1;
        if calls < 3 {
            Err(io::ErrorKind::Interrupted.into())
        } else {
            Ok(calls)
        }
    });
    assert_eq!(made.expect("made"), 3);
    let never = uninterrupted(|| -> io::Result<()> { Err(io::ErrorKind::Interrupted.into()) });
    assert_eq!(never.expect_err("never made").kind(), io::ErrorKind::Interrupted);
}

/// Every other read is interrupted.
struct Flaky {
    again: bool,
    left: u8,
}

impl AsyncRead for Flaky {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.again = !self.again;
        if self.again {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        if self.left > 0 {
            self.left -= 1;
            buf.put_slice(b"x");
        }
        Poll::Ready(Ok(()))
    }
}

#[tokio::test]
async fn a_stream_goes_on_over_interruptions() {
    let mut came = String::new();
    let mut stream = Uninterrupted(Flaky { again: false, left: 3 });
    stream.read_to_string(&mut came).await.expect("read");
    assert_eq!(came, "xxx");
}

#[tokio::test]
async fn who_refuses_a_connection_is_told_apart_from_a_shortage() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("an address");
    assert!(connect(addr, || panic!("nothing is short")).await.is_ok());
    drop(listener);
    assert!(matches!(connect(addr, || ()).await, Err(ConnectError::Remote(_))));
}
