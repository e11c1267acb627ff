//! The body of an answer to a client: buffered, or streamed as it comes from the node.

use super::metrics::{Metric, Metrics};
use super::socket::Socket;
use super::MAX_STREAMED_BODY_BYTES;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::Version;
use std::any::Any;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// A node that sends no data for this long in the middle of an answer has failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What the log and the counters tell of a streamed answer.
pub struct StreamRecord {
    pub metrics: Rc<Metrics>,
    /// The id of the request.
    pub request_id: HeaderValue,
}

impl StreamRecord {
    /// Records that the node did not give the answer to its end.
    fn broken_by_node(&self, error: &io::Error, relayed_bytes: u64) {
        self.metrics.count(Metric::BrokenByNode);
        let id = self.request_id.to_str().unwrap_or_default();
        tracing::info!(
            "request {id}: an answer to a client ended early after {relayed_bytes} bytes: {error}"
        );
    }

    /// Records that the answer was dropped before its end.
    fn not_taken(&self, relayed_bytes: u64) {
        self.metrics.count(Metric::NotTaken);
        let id = self.request_id.to_str().unwrap_or_default();
        tracing::debug!("request {id}: an answer was not taken to its end, {relayed_bytes} bytes were");
    }
}

/// The body of an answer that is streamed while it is received. Dropped after its end, it returns its
/// connection to the pool.
pub struct StreamedBody {
    read_ahead: Option<Bytes>,
    rest: Incoming,
    relayed_bytes: u64,
    stall_timer: Pin<Box<Sleep>>,
    ended: bool,
    /// Whether the node failed to give the whole body.
    failed: bool,
    record: StreamRecord,
    /// Called on drop if the answer was received to its end.
    on_complete: Option<Box<dyn FnOnce()>>,
}

impl StreamedBody {
    /// Creates the body from the part that was already read and the rest; `on_complete` is called on drop if
    /// the body was received to its end.
    pub fn new(
        read_ahead: Bytes,
        rest: Incoming,
        record: StreamRecord,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        let stall_timer = Box::pin(sleep(STALL_TIMEOUT));
        StreamedBody {
            read_ahead: Some(read_ahead).filter(|read_ahead| !read_ahead.is_empty()),
            rest,
            relayed_bytes: 0,
            stall_timer,
            ended: false,
            failed: false,
            record,
            on_complete: Some(Box::new(on_complete)),
        }
    }

    /// Gives the node its full time again, since nothing was read from it.
    fn postpone_stall(&mut self) {
        self.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(read_ahead) = self.read_ahead.take() {
            self.ended = self.rest.is_end_stream();
            self.relayed_bytes += read_ahead.len() as u64;
            self.postpone_stall();
            return Poll::Ready(Some(Ok(read_ahead)));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.stall_timer.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::Error::other(
                        "the node stalled in the middle of its answer",
                    ))));
                }
                Poll::Ready(None) => {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.postpone_stall();
                    self.ended = self.rest.is_end_stream();
                    // Trailers are hop-by-hop: they are not forwarded.
                    let Ok(data) = frame.into_data() else { continue };
                    self.relayed_bytes += data.len() as u64;
                    if self.relayed_bytes > MAX_STREAMED_BODY_BYTES {
                        return Poll::Ready(Some(Err(io::Error::other("the answer is longer than allowed"))));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if !self.ended {
            if !self.failed {
                self.record.not_taken(self.relayed_bytes);
            }
            return;
        }
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }
}

enum BodyKind {
    Buffered(Option<Bytes>),
    Streamed(Box<StreamedBody>),
}

/// The body of an answer to a client: buffered or streamed.
pub struct ResponseBody {
    kind: BodyKind,
    /// The connection that the body is written to, if it is streamed.
    receiver: Option<Rc<Socket>>,
    /// Whether the end of that connection is the end of the body.
    ends_with_connection: bool,
    /// Values that are dropped once the body has been sent.
    guards: Vec<Box<dyn Any>>,
}

impl ResponseBody {
    /// Creates a buffered body.
    pub fn buffered(bytes: Bytes) -> Self {
        ResponseBody {
            kind: BodyKind::Buffered(Some(bytes)),
            receiver: None,
            ends_with_connection: false,
            guards: Vec::new(),
        }
    }

    /// Whether the body is streamed.
    pub fn is_streamed(&self) -> bool {
        matches!(self.kind, BodyKind::Streamed(_))
    }

    /// Reads no more of the body while bytes are still to be written to this connection. If the client knows the
    /// end of the body only by that of the connection, as in HTTP/1.0, the connection is reset unless the body is
    /// whole.
    pub fn follow(&mut self, receiver: Rc<Socket>, version: Version) {
        self.ends_with_connection = version == Version::HTTP_10 && self.size_hint().exact().is_none();
        if self.ends_with_connection {
            receiver.reset_on_close(true);
        }
        self.receiver = Some(receiver);
    }

    /// Keeps `value` until the body has been sent, then drops it.
    pub fn hold_until_sent(&mut self, value: impl Any) {
        self.guards.push(Box::new(value));
    }
}

impl From<StreamedBody> for ResponseBody {
    fn from(streamed: StreamedBody) -> Self {
        ResponseBody {
            kind: BodyKind::Streamed(Box::new(streamed)),
            receiver: None,
            ends_with_connection: false,
            guards: Vec::new(),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        let next = match &mut this.kind {
            BodyKind::Buffered(bytes) => bytes.take().map(Ok),
            BodyKind::Streamed(streamed) => {
                if this.receiver.as_ref().is_some_and(|receiver| receiver.poll_flushed(cx).is_pending()) {
                    streamed.postpone_stall();
                    return Poll::Pending;
                }
                let next = ready!(streamed.poll_data(cx));
                if let Some(Err(error)) = &next {
                    streamed.failed = true;
                    streamed.record.broken_by_node(error, streamed.relayed_bytes);
                }
                if next.is_none() && this.ends_with_connection {
                    this.receiver.iter().for_each(|receiver| receiver.close_in_order_once_flushed());
                }
                next
            }
        };
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
                    SizeHint::with_exact(rest + streamed.read_ahead.as_ref().map_or(0, Bytes::len) as u64)
                }
                None => SizeHint::default(),
            },
        }
    }
}
