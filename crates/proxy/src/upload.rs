//! The body of a client's request: buffered while it is small, else streamed to the node as it comes.

use super::budget::{Budget, Reservation};
use super::{MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant, Sleep};

/// A client that sends nothing for so long in the middle of its body has stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Beyond that time the body must come at this rate on average.
const MIN_BYTES_PER_SECOND: f64 = 16e3;
/// How often a body that waits for room in the budget tries again.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Why a body can't be received.
#[derive(Debug, Error, PartialEq)]
pub enum UploadError {
    /// It is longer than is allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The client sends it too slowly, or not at all.
    #[error("the body did not come in time")]
    Stalled,
    /// It ended before its end.
    #[error("the body is broken")]
    Broken,
    /// The budget for buffered bodies is used up.
    #[error("no room for the body")]
    NoRoom,
}

/// The body of a request, as attempts send it.
pub enum Payload {
    Whole { bytes: Bytes, _held: Option<Reservation> },
    Upload(Rc<Upload>),
}

impl Payload {
    pub fn empty() -> Self {
        Payload::Whole { bytes: Bytes::new(), _held: None }
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        matches!(self, Payload::Whole { bytes, .. } if bytes.is_empty())
    }

    /// The body for one more attempt, if it can be sent once more.
    pub fn send(&self) -> Option<Sending> {
        match self {
            Payload::Whole { bytes, .. } => Some(Sending::Whole(Full::new(bytes.clone()))),
            Payload::Upload(upload) => Upload::send(upload).map(Sending::Upload),
        }
    }

    /// Returns once the client's last byte has come.
    pub async fn taken(&self) {
        if let Payload::Upload(upload) = self {
            upload.taken().await;
        }
    }

    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Whole { .. } => None,
            Payload::Upload(upload) => Some(upload),
        }
    }
}

/// How long the client has been waited for, against what it has sent.
struct ReceiveRate {
    waited: Duration,
    received: u64,
}

impl ReceiveRate {
    /// Whether a client sends so slowly that it would hold its connection for good.
    fn too_slow(&self) -> bool {
        self.waited.saturating_sub(STALL_TIMEOUT).as_secs_f64() * MIN_BYTES_PER_SECOND > self.received as f64
    }
}

/// Reads a body whole, or so much of it that it has to be passed on as it comes. `large`: it may be.
pub async fn read(mut body: Incoming, large: bool, budget: &Rc<Budget>) -> Result<Payload, UploadError> {
    let told = body.size_hint();
    let most = if large { MAX_STREAMED_BODY_BYTES } else { MAX_BUFFERED_BODY_BYTES as u64 };
    if told.lower() > most {
        return Err(UploadError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Payload::empty());
    }
    let room = told
        .exact()
        .map_or(MAX_BUFFERED_BODY_BYTES, |length| length.min(MAX_BUFFERED_BODY_BYTES as u64) as usize);
    let since = Instant::now();
    let mut held = loop {
        match budget.reserve(room) {
            Some(held) => break held,
            None if since.elapsed() > STALL_TIMEOUT => return Err(UploadError::NoRoom),
            None => sleep(BUDGET_RETRY_INTERVAL).await,
        }
    };
    let mut rate = ReceiveRate { waited: Duration::ZERO, received: 0 };
    let mut ahead = Vec::new();
    while !body.is_end_stream() {
        let asked = Instant::now();
        let frame = timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| UploadError::Stalled)?;
        rate.waited += asked.elapsed();
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| UploadError::Broken)?.into_data() else { continue };
        rate.received += data.len() as u64;
        if rate.too_slow() {
            return Err(UploadError::Stalled);
        }
        if rate.received <= MAX_BUFFERED_BODY_BYTES as u64 && told.lower() <= MAX_BUFFERED_BODY_BYTES as u64 {
            ahead.extend_from_slice(&data);
            continue;
        }
        if !large {
            return Err(UploadError::TooLarge);
        }
        ahead.extend_from_slice(&data);
        held.shrink(ahead.len());
        let upload = Upload {
            length: told.exact(),
            ahead: RefCell::new(Some((ahead.into(), held))),
            rest: RefCell::new(Some((body, rate))),
            taken: Cell::new(false),
            failed: Cell::new(false),
            news: Notify::new(),
            then: RefCell::default(),
        };
        return Ok(Payload::Upload(Rc::new(upload)));
    }
    held.shrink(ahead.len());
    Ok(Payload::Whole { bytes: ahead.into(), _held: Some(held) })
}

/// A body that is passed on as it comes.
pub struct Upload {
    length: Option<u64>,
    /// What has been read of it; kept until more is.
    ahead: RefCell<Option<(Bytes, Reservation)>>,
    /// What has not been read; gone once an attempt has begun to.
    rest: RefCell<Option<(Incoming, ReceiveRate)>>,
    taken: Cell<bool>,
    failed: Cell<bool>,
    news: Notify,
    then: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl Upload {
    /// The body for one more attempt; none where an attempt has taken some of it that is not kept.
    fn send(upload: &Rc<Upload>) -> Option<UploadBody> {
        let ahead = upload.ahead.borrow().as_ref().map(|(ahead, _)| ahead.clone())?;
        let stall = Box::pin(sleep(STALL_TIMEOUT));
        Some(UploadBody { upload: upload.clone(), ahead: Some(ahead), rest: None, asked: None, stall })
    }

    /// Has something done once the client's last byte has come.
    pub fn on_taken(&self, then: impl FnOnce() + 'static) {
        self.then.replace(Some(Box::new(then)));
    }

    /// Returns once the client's last byte has come.
    pub async fn taken(&self) {
        while !self.taken.get() {
            self.news.notified().await;
        }
    }

    /// Whether the client failed to send the rest.
    pub fn failed(&self) -> bool {
        self.failed.get()
    }
}

/// One attempt's sending of an upload.
pub struct UploadBody {
    upload: Rc<Upload>,
    ahead: Option<Bytes>,
    rest: Option<(Incoming, ReceiveRate)>,
    /// Since when the client has been waited for.
    asked: Option<Instant>,
    stall: Pin<Box<Sleep>>,
}

impl UploadBody {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        if let Some(ahead) = self.ahead.take() {
            return Poll::Ready(Some(Ok(ahead)));
        }
        if self.rest.is_none() {
            self.rest = self.upload.rest.take();
            self.upload.ahead.take();
        }
        let Some((rest, rate)) = &mut self.rest else { return Poll::Ready(Some(Err(UploadError::Broken))) };
        loop {
            let polled = Pin::new(&mut *rest).poll_frame(cx);
            let Poll::Ready(frame) = polled else {
                if self.asked.is_none() {
                    self.asked = Some(Instant::now());
                    self.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                }
                ready!(self.stall.as_mut().poll(cx));
                return Poll::Ready(Some(Err(UploadError::Stalled)));
            };
            rate.waited += self.asked.take().map_or(Duration::ZERO, |asked| asked.elapsed());
            let data = match frame {
                None => {
                    self.upload.end();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(UploadError::Broken))),
                Some(Ok(frame)) => frame.into_data(),
            };
            if rest.is_end_stream() {
                self.upload.end();
            }
            let Ok(data) = data else { continue };
            rate.received += data.len() as u64;
            return Poll::Ready(Some(match rate {
                rate if rate.received > MAX_STREAMED_BODY_BYTES => Err(UploadError::TooLarge),
                rate if rate.too_slow() => Err(UploadError::Stalled),
                _ => Ok(data),
            }));
        }
    }
}

impl Upload {
    fn end(&self) {
        self.taken.set(true);
        self.news.notify_waiters();
        let then = self.then.take();
        if let Some(then) = then {
            then();
        }
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = ready!(self.poll_data(cx));
        if let Some(Err(_)) = &next {
            self.upload.failed.set(true);
        }
        let broken = |fault| io::Error::other(format!("the client's body: {fault:?}"));
        Poll::Ready(next.map(|data| data.map(Frame::data).map_err(broken)))
    }

    fn size_hint(&self) -> SizeHint {
        // Asked for once, before anything is sent.
        self.upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// The body of one attempt's request.
pub enum Sending {
    Whole(Full<Bytes>),
    Upload(UploadBody),
}

impl Body for Sending {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Sending::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Sending::Upload(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Sending::Whole(body) => body.is_end_stream(),
            Sending::Upload(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Whole(body) => body.size_hint(),
            Sending::Upload(body) => body.size_hint(),
        }
    }
}
