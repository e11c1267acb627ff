//! The body of an answer on its way to the client: held whole, or passed on as the node gives it.

use super::budget::Held;
use super::LARGEST;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::any::Any;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// A node that gives nothing for so long in the midst of its answer has broken off.
const GIVES_WITHIN: Duration = Duration::from_secs(10);

/// An answer that is passed on while it still comes. Dropped after its end, it gives its connection back.
pub struct Relay {
    ahead: Option<Bytes>,
    rest: Incoming,
    passed: u64,
    stall: Pin<Box<Sleep>>,
    ended: bool,
    /// Called once the answer has come whole.
    done: Option<Box<dyn FnOnce()>>,
}

impl Relay {
    /// `ahead` has been read of it already; `done` is called when all of it has come.
    pub fn new(ahead: Bytes, rest: Incoming, done: impl FnOnce() + 'static) -> Self {
        let stall = Box::pin(sleep(GIVES_WITHIN));
        Relay { ahead: Some(ahead), rest, passed: 0, stall, ended: false, done: Some(Box::new(done)) }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(ahead) = self.ahead.take() {
            self.ended = self.rest.is_end_stream();
            self.stall.as_mut().reset(Instant::now() + GIVES_WITHIN);
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
                    self.stall.as_mut().reset(Instant::now() + GIVES_WITHIN);
                    self.ended = self.rest.is_end_stream();
                    // Trailers belong to the connection to the node.
                    let Ok(data) = frame.into_data() else { continue };
                    self.passed += data.len() as u64;
                    if self.passed > LARGEST {
                        return Poll::Ready(Some(Err(io::Error::other("the answer does not end"))));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(done) = self.done.take().filter(|_| self.ended) {
            done();
        }
    }
}

enum Kind {
    Whole(Option<Bytes>),
    Relay(Box<Relay>),
}

/// The body of an answer to a client.
pub struct Outgoing {
    kind: Kind,
    /// Kept until the body has gone.
    kept: Vec<Box<dyn Any>>,
}

impl Outgoing {
    pub fn whole(bytes: Bytes, held: Option<Held>) -> Self {
        let kept = held.map(|held| Box::new(held) as Box<dyn Any>);
        Outgoing { kind: Kind::Whole(Some(bytes)), kept: kept.into_iter().collect() }
    }

    /// Whether it still comes while it goes.
    pub fn relayed(&self) -> bool {
        matches!(self.kind, Kind::Relay(_))
    }

    /// Holds something for as long as the body goes.
    pub fn keep(&mut self, it: impl Any) {
        self.kept.push(Box::new(it));
    }
}

impl From<Relay> for Outgoing {
    fn from(relay: Relay) -> Self {
        Outgoing { kind: Kind::Relay(Box::new(relay)), kept: Vec::new() }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut self.kind {
            Kind::Whole(bytes) => bytes.take().map(Ok),
            Kind::Relay(relay) => ready!(relay.poll_data(cx)),
        };
        if let Some(Err(e)) = &next {
            tracing::info!("an answer broke off on its way: {e}");
        }
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Kind::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Kind::Relay(relay) => match relay.rest.size_hint().exact() {
                Some(rest) => SizeHint::with_exact(rest + relay.ahead.as_ref().map_or(0, Bytes::len) as u64),
                None => SizeHint::default(),
            },
        }
    }
}
