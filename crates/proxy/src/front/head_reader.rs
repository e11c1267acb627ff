//! Passes a client's bytes to hyper one request at a time, and checks each request head before hyper reads it.

use crate::socket::{Io, Socket};
use crate::MAX_READ_BUFFER_BYTES;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// As many headers as hyper takes.
const MAX_HEADERS: usize = 100;
/// Bytes read at a time while a head is due.
const READ_SIZE: usize = 4096;
/// All that is still to come may be forwarded.
const UNLIMITED: u64 = u64::MAX;

/// How a client's sending ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputEnd {
    /// The client ended it in order.
    Closed,
    /// The socket failed, as it does when the client resets the connection.
    Failed,
}

/// What has come of a connection's request heads.
#[derive(Default)]
pub struct HeadProgress {
    /// When the first byte of a head came that is incomplete; none: there is no such head.
    pub partial_since: Cell<Option<Instant>>,
    /// When bytes of a head last came.
    pub last_bytes_at: Cell<Option<Instant>>,
    /// How many bytes have been read of it.
    pub partial_bytes: Cell<usize>,
    /// How many complete heads have come.
    pub complete: Cell<u64>,
    /// Why the last of them must be rejected.
    pub rejection: Cell<Option<&'static str>>,
    /// Its body has no length in the head, so nothing behind it is read as a head.
    pub unbounded_body: Cell<bool>,
    /// How the client's sending ended, once that has been read.
    pub input_end: Cell<Option<InputEnd>>,
}

/// Hyper's end of a client's connection.
pub struct HeadReader {
    io: Io,
    heads: Rc<HeadProgress>,
    /// Read and not yet passed on.
    buffer: Vec<u8>,
    /// So many bytes may be passed on: what is left of a head that was checked and of its body.
    forwardable: u64,
}

impl HeadReader {
    /// Reads from `socket` and notes in `heads` what has come.
    pub fn new(socket: Rc<Socket>, heads: Rc<HeadProgress>) -> Self {
        HeadReader { io: Io(socket), heads, buffer: Vec::new(), forwardable: 0 }
    }

    /// Reads into `part`, and notes when nothing more will come.
    fn poll_input(&self, cx: &mut Context<'_>, part: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = ready!(self.io.poll_fill(cx, part));
        match read {
            Ok(0) => self.heads.input_end.set(Some(InputEnd::Closed)),
            Err(_) => self.heads.input_end.set(Some(InputEnd::Failed)),
            Ok(_) => {}
        }
        Poll::Ready(read)
    }

    /// How many bytes may be passed on, once the head in the buffer is complete or can never be; hyper says what is wrong
    /// with it then.
    fn check_head(&self) -> Option<u64> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length as u64,
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_READ_BUFFER_BYTES => return None,
            _ => return Some(UNLIMITED),
        };
        let named = |name: &'static str| {
            let of_name = move |h: &&httparse::Header<'_>| h.name.eq_ignore_ascii_case(name);
            request.headers.iter().filter(of_name).map(|h| h.value)
        };
        let content_length = named("content-length").next();
        let chunked = named("transfer-encoding").next().is_some();
        let has_fragment = request.path.is_some_and(|path| path.contains('#'));
        let rejection = match (content_length, chunked) {
            // A proxy and a node that each believe another of the two see other requests in the same
            // bytes. Hyper takes the one out and shows nothing of it.
            (Some(_), true) => Some("both Content-Length and Transfer-Encoding"),
            // Hyper drops this part, so that another path would go on.
            _ if has_fragment => Some("bad path"),
            _ => None,
        };
        self.heads.partial_since.set(None);
        self.heads.partial_bytes.set(0);
        self.heads.complete.set(self.heads.complete.get() + 1);
        self.heads.rejection.set(rejection);
        self.heads.unbounded_body.set(chunked);
        let body = content_length.map_or(Some(0), |v| std::str::from_utf8(v).ok()?.parse::<u64>().ok());
        let request =
            body.filter(|_| !chunked && rejection.is_none()).and_then(|body| length.checked_add(body));
        Some(request.unwrap_or(UNLIMITED))
    }
}

impl AsyncRead for HeadReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let me = &mut *self;
        while me.forwardable == 0 {
            if !me.buffer.is_empty() {
                if let Some(bytes) = me.check_head() {
                    me.forwardable = bytes;
                    break;
                }
            }
            let mut chunk = [0; READ_SIZE];
            match ready!(me.poll_input(cx, &mut chunk))? {
                0 => me.forwardable = UNLIMITED,
                n => {
                    let now = Some(Instant::now());
                    if me.buffer.is_empty() {
                        me.heads.partial_since.set(now);
                    }
                    me.heads.last_bytes_at.set(now);
                    me.buffer.extend_from_slice(&chunk[..n]);
                    me.heads.partial_bytes.set(me.buffer.len());
                }
            }
        }
        let limit = buf.remaining().min(usize::try_from(me.forwardable).unwrap_or(usize::MAX));
        let n = if me.buffer.is_empty() {
            let n = ready!(me.poll_input(cx, buf.initialize_unfilled_to(limit)))?;
            buf.advance(n);
            n
        } else {
            let n = limit.min(me.buffer.len());
            buf.put_slice(&me.buffer[..n]);
            me.buffer.drain(..n);
            if me.buffer.is_empty() {
                // An idle connection holds nothing.
                me.buffer = Vec::new();
            } else if me.forwardable == n as u64 {
                me.heads.partial_since.set(Some(Instant::now()));
                me.heads.partial_bytes.set(me.buffer.len());
            }
            n
        };
        if me.forwardable != UNLIMITED {
            me.forwardable -= n as u64;
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
