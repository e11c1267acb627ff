//! Passes the bytes of a client to hyper one request at a time, and checks each request head before hyper
//! reads it.

use super::framing::{self, Framing};
use super::rejection::Rejection;
use super::unread_body::UnreadBody;
use crate::socket::{Io, Socket};
use crate::MAX_READ_BUFFER_BYTES;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Maximum number of headers, the same as hyper's.
const MAX_HEADERS: usize = 100;
/// Number of bytes per read while a head is expected.
const READ_SIZE: usize = 4096;
/// Value of `HeadReader::forwardable` when all further input may be forwarded.
const UNLIMITED: u64 = u64::MAX;

/// How the input from a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputEnd {
    /// The client closed its sending side.
    Closed,
    /// The socket failed, for example because the client reset the connection.
    Failed,
}

/// What has been read of the request heads on a connection.
#[derive(Default)]
pub struct HeadProgress {
    /// When the first byte of the partial head was read; `None` if there is no partial head.
    pub partial_since: Cell<Option<Instant>>,
    /// When bytes of a head were last read.
    pub last_bytes_at: Cell<Option<Instant>>,
    /// Number of bytes of the partial head that have been read.
    pub partial_bytes: Cell<usize>,
    /// Number of complete heads that have been read.
    pub complete: Cell<u64>,
    /// Why the last complete head must be rejected, if it must.
    pub rejection: Cell<Option<Rejection>>,
    /// Whether a head was rejected. What follows it is not read: it may be the rest of the rejected request.
    pub is_rejected: Cell<bool>,
    /// Whether the last complete head states no length for its body, so that no further input is parsed as a
    /// head.
    pub unbounded_body: Cell<bool>,
    /// What is still to be read of the body that follows the last complete head.
    pub unread_body: RefCell<UnreadBody>,
    /// Number of bytes that have been read from the connection.
    pub bytes_read: Cell<u64>,
    /// How the input ended, once the end has been read.
    pub input_end: Cell<Option<InputEnd>>,
}

/// The stream of a client connection that hyper reads and writes.
pub struct HeadReader {
    io: Io,
    heads: Rc<HeadProgress>,
    /// Bytes that were read and not yet forwarded to hyper.
    buffer: Vec<u8>,
    /// Number of bytes that may be forwarded: the rest of a checked head and its body.
    forwardable: u64,
}

impl HeadReader {
    /// Creates a reader for `socket` that records the progress in `heads`.
    pub fn new(socket: Rc<Socket>, heads: Rc<HeadProgress>) -> Self {
        HeadReader { io: Io(socket), heads, buffer: Vec::new(), forwardable: 0 }
    }

    /// Reads into `buf`, and records the end of the input.
    fn poll_input(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = ready!(self.io.poll_read_into(cx, buf));
        match read {
            Ok(0) => self.heads.input_end.set(Some(InputEnd::Closed)),
            Err(_) => self.heads.input_end.set(Some(InputEnd::Failed)),
            Ok(count) => self.heads.bytes_read.set(self.heads.bytes_read.get() + count as u64),
        }
        Poll::Ready(read)
    }

    /// Returns the number of bytes that may be forwarded, or `None` while the head in the buffer is
    /// incomplete. A head that is malformed or too long is forwarded, so that hyper responds with the error.
    fn check_head(&mut self) -> Option<u64> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length as u64,
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_READ_BUFFER_BYTES => return None,
            _ => return Some(UNLIMITED),
        };
        let framing = match check(&request) {
            Ok(framing) => framing,
            Err(rejection) => {
                let substitute = substitute(&request);
                return Some(self.reject(rejection, substitute));
            }
        };
        self.head_completed();
        self.heads.unbounded_body.set(framing == Framing::Chunked);
        let mut unread_body = match framing {
            Framing::Length(body) => UnreadBody::Length(body),
            Framing::Chunked => UnreadBody::chunked(),
            Framing::Malformed => UnreadBody::Unknown,
        };
        unread_body.read(&self.buffer[length as usize..]);
        self.heads.unread_body.replace(unread_body);
        Some(match framing {
            Framing::Length(body) => length.checked_add(body).unwrap_or(UNLIMITED),
            Framing::Chunked | Framing::Malformed => UNLIMITED,
        })
    }

    /// Counts a complete head.
    fn head_completed(&self) {
        self.heads.partial_since.set(None);
        self.heads.partial_bytes.set(0);
        self.heads.complete.set(self.heads.complete.get() + 1);
    }

    /// Rejects the request in the buffer. Hyper gets `substitute` in its place, so that it asks for the response
    /// whatever it would make of the request, and nothing that follows. Returns the length of the substitute.
    fn reject(&mut self, rejection: Rejection, substitute: String) -> u64 {
        self.head_completed();
        self.heads.rejection.set(Some(rejection));
        self.heads.is_rejected.set(true);
        self.heads.unbounded_body.set(false);
        self.heads.unread_body.replace(UnreadBody::Length(0));
        self.buffer = substitute.into_bytes();
        self.buffer.len() as u64
    }
}

/// Checks a request head that hyper would accept or reject in a way of its own.
fn check(request: &httparse::Request<'_, '_>) -> Result<Framing, Rejection> {
    let framing = framing::of_request(request.version, request.headers)?;
    // Hyper drops the fragment, so that a different path would be forwarded.
    if request.path.is_some_and(|path| path.contains('#')) {
        return Err(Rejection::bad_request("bad path"));
    }
    Ok(framing)
}

/// Returns a request without a body that is answered in the form of this one: a response to HEAD has no body,
/// and one to HTTP/1.0 has that version's framing.
fn substitute(request: &httparse::Request<'_, '_>) -> String {
    let method = if request.method == Some("HEAD") { "HEAD" } else { "GET" };
    let minor_version = request.version.unwrap_or(1);
    format!("{method} / HTTP/1.{minor_version}\r\n\r\n")
}

impl AsyncRead for HeadReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.forwardable == 0 && this.heads.is_rejected.get() {
            // Hyper closes the connection after the response, which no further input delays.
            return Poll::Pending;
        }
        while this.forwardable == 0 {
            if !this.buffer.is_empty() {
                if let Some(bytes) = this.check_head() {
                    this.forwardable = bytes;
                    break;
                }
            }
            let mut chunk = [0; READ_SIZE];
            match ready!(this.poll_input(cx, &mut chunk))? {
                0 => this.forwardable = UNLIMITED,
                n => {
                    let now = Some(Instant::now());
                    if this.buffer.is_empty() {
                        this.heads.partial_since.set(now);
                    }
                    this.heads.last_bytes_at.set(now);
                    this.buffer.extend_from_slice(&chunk[..n]);
                    this.heads.partial_bytes.set(this.buffer.len());
                }
            }
        }
        let limit = buf.remaining().min(usize::try_from(this.forwardable).unwrap_or(usize::MAX));
        let n = if this.buffer.is_empty() {
            let unfilled = buf.initialize_unfilled_to(limit);
            let n = ready!(this.poll_input(cx, unfilled))?;
            this.heads.unread_body.borrow_mut().read(&unfilled[..n]);
            buf.advance(n);
            n
        } else {
            let n = limit.min(this.buffer.len());
            buf.put_slice(&this.buffer[..n]);
            this.buffer.drain(..n);
            if this.buffer.is_empty() {
                // An idle connection must not hold memory.
                this.buffer = Vec::new();
            } else if this.forwardable == n as u64 {
                this.heads.partial_since.set(Some(Instant::now()));
                this.heads.partial_bytes.set(this.buffer.len());
            }
            n
        };
        if this.forwardable != UNLIMITED {
            this.forwardable -= n as u64;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadReader {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
