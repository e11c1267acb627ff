//! The body of an answer to a client: buffered, or streamed as it comes from the node.

use super::budget::Reservation;
use super::MAX_STREAMED_BODY_BYTES;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::any::Any;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// A node that sends nothing for so long in the middle of its answer has broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer that is streamed while it still comes. Dropped after its end, it returns its connection to the pool.
pub struct StreamedBody {
    ahead: Option<Bytes>,
    rest: Incoming,
    relayed_bytes: u64,
    stall: Pin<Box<Sleep>>,
    ended: bool,
    /// Called once the answer has come whole.
    done: Option<Box<dyn FnOnce()>>,
}

impl StreamedBody {
    /// `ahead` has been read of it already; `done` is called when all of it has come.
    pub fn new(ahead: Bytes, rest: Incoming, done: impl FnOnce() + 'static) -> Self {
        let stall = Box::pin(sleep(STALL_TIMEOUT));
        StreamedBody {
            ahead: Some(ahead),
            rest,
            relayed_bytes: 0,
            stall,
            ended: false,
            done: Some(Box::new(done)),
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(ahead) = self.ahead.take() {
            self.ended = self.rest.is_end_stream();
            self.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
            return Poll::Ready(Some(Ok(ahead)));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::Error::other("the node gives nothing more"))));
                }
                Poll::Ready(None) => {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    self.ended = self.rest.is_end_stream();
                    // Trailers belong to the connection to the node.
                    let Ok(data) = frame.into_data() else { continue };
                    self.relayed_bytes += data.len() as u64;
                    if self.relayed_bytes > MAX_STREAMED_BODY_BYTES {
                        return Poll::Ready(Some(Err(io::Error::other("the answer does not end"))));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if let Some(done) = self.done.take().filter(|_| self.ended) {
            done();
        }
    }
}

enum BodyKind {
    Buffered(Option<Bytes>),
    Streamed(Box<StreamedBody>),
}

/// The body of an answer to a client.
pub struct ResponseBody {
    kind: BodyKind,
    /// Dropped once the body has been sent.
    held: Vec<Box<dyn Any>>,
}

impl ResponseBody {
    /// A buffered body, and its reservation in the budget.
    pub fn buffered(bytes: Bytes, held: Option<Reservation>) -> Self {
        let held = held.map(|held| Box::new(held) as Box<dyn Any>);
        ResponseBody { kind: BodyKind::Buffered(Some(bytes)), held: held.into_iter().collect() }
    }

    /// Whether it is streamed.
    pub fn is_streamed(&self) -> bool {
        matches!(self.kind, BodyKind::Streamed(_))
    }

    /// Holds something until the body has been sent.
    pub fn hold_until_sent(&mut self, it: impl Any) {
        self.held.push(Box::new(it));
    }
}

impl From<StreamedBody> for ResponseBody {
    fn from(streamed: StreamedBody) -> Self {
        ResponseBody { kind: BodyKind::Streamed(Box::new(streamed)), held: Vec::new() }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut self.kind {
            BodyKind::Buffered(bytes) => bytes.take().map(Ok),
            BodyKind::Streamed(streamed) => ready!(streamed.poll_data(cx)),
        };
        if let Some(Err(e)) = &next {
            tracing::info!("an answer broke off on its way: {e}");
        }
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            BodyKind::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodyKind::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            BodyKind::Streamed(streamed) => match streamed.rest.size_hint().exact() {
                Some(rest) => {
                    SizeHint::with_exact(rest + streamed.ahead.as_ref().map_or(0, Bytes::len) as u64)
                }
                None => SizeHint::default(),
            },
        }
    }
}
