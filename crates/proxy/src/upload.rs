//! The body of a client's request: buffered if it is small, else streamed to the node as it is received.

use super::body_arrival::BodyArrival;
use super::budget::{Budget, Reservation};
use super::{MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep, timeout, Instant, Sleep};

/// A client that sends no data for this long in the middle of a body has stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The minimum average rate of a body, once the client has been waited for longer than [`STALL_TIMEOUT`].
const MIN_BYTES_PER_SECOND: f64 = 16e3;
/// A body that has not arrived waits for free bytes in the budget no longer than this. If its client then stalls,
/// its connection ends within the 3 s that a stalled client may hold it.
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(700);
/// How often a body that waits for free bytes in the budget retries.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Why a body could not be received.
#[derive(Debug, Error, PartialEq)]
pub enum UploadError {
    /// The body is longer than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The client sends the body too slowly or has stalled.
    #[error("the body was not received in time")]
    Stalled,
    /// The body ended early or is malformed.
    #[error("the body ended early or is malformed")]
    Broken,
    /// The budget for buffered bodies is exhausted.
    #[error("the budget for buffered bodies is exhausted")]
    NoRoom,
}

/// The body of a client's request, as attempts send it.
pub enum Payload {
    Buffered(Bytes),
    Streamed(Rc<Upload>),
}

impl Payload {
    pub fn empty() -> Self {
        Payload::Buffered(Bytes::new())
    }

    /// Whether the body is buffered and empty.
    pub fn is_empty(&self) -> bool {
        matches!(self, Payload::Buffered(bytes) if bytes.is_empty())
    }

    /// Returns the body for one more attempt; `None` if it can't be sent again.
    pub fn for_attempt(&self) -> Option<AttemptBody> {
        match self {
            Payload::Buffered(bytes) => Some(AttemptBody::Buffered(Full::new(bytes.clone()))),
            Payload::Streamed(upload) => Upload::for_attempt(upload).map(AttemptBody::Streamed),
        }
    }

    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streamed(upload) => Some(upload),
        }
    }
}

/// How long a client has been waited for, and how many bytes it has sent.
struct ReceiveRate {
    waited: Duration,
    received: u64,
}

impl ReceiveRate {
    /// Whether the client sends so slowly that it would occupy its connection indefinitely.
    fn too_slow(&self) -> bool {
        self.waited.saturating_sub(STALL_TIMEOUT).as_secs_f64() * MIN_BYTES_PER_SECOND > self.received as f64
    }
}

/// Reads a body: to its end if it is small, else up to the point where it has to be streamed. Accepts up to
/// [`MAX_STREAMED_BODY_BYTES`] with `allow_large`, else up to [`MAX_BUFFERED_BODY_BYTES`]. Its end is recorded in
/// `arrival`. Once that has come, the body waits for free bytes in the budget for half of `time_left` at most, so
/// that a client whose body finds no room has time to ask again.
pub async fn read(
    mut body: Incoming,
    allow_large: bool,
    budget: &Arc<Budget>,
    arrival: &Rc<BodyArrival>,
    time_left: Duration,
) -> Result<Payload, UploadError> {
    let size = body.size_hint();
    let max_length = if allow_large { MAX_STREAMED_BODY_BYTES } else { MAX_BUFFERED_BODY_BYTES as u64 };
    if size.lower() > max_length {
        return Err(UploadError::TooLarge);
    }
    if body.is_end_stream() {
        arrival.record();
        return Ok(Payload::empty());
    }
    let reserved_bytes = size
        .exact()
        .map_or(MAX_BUFFERED_BODY_BYTES, |length| length.min(MAX_BUFFERED_BODY_BYTES as u64) as usize);
    let reservation = reserve(budget, reserved_bytes, arrival, time_left).await?;
    let mut rate = ReceiveRate { waited: Duration::ZERO, received: 0 };
    let mut read_ahead = Vec::new();
    while !body.is_end_stream() {
        let wait_start = Instant::now();
        let frame = timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| UploadError::Stalled)?;
        rate.waited += wait_start.elapsed();
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| UploadError::Broken)?.into_data() else { continue };
        rate.received += data.len() as u64;
        if rate.too_slow() {
            return Err(UploadError::Stalled);
        }
        if rate.received <= MAX_BUFFERED_BODY_BYTES as u64 && size.lower() <= MAX_BUFFERED_BODY_BYTES as u64 {
            read_ahead.extend_from_slice(&data);
            continue;
        }
        if !allow_large {
            return Err(UploadError::TooLarge);
        }
        read_ahead.extend_from_slice(&data);
        let upload = Upload {
            length: size.exact(),
            read_ahead: RefCell::new(Some(reservation.hold(read_ahead))),
            rest: RefCell::new(Some((body, rate))),
            arrival: arrival.clone(),
            read_to_end: Cell::new(false),
            failed: Cell::new(false),
        };
        return Ok(Payload::Streamed(Rc::new(upload)));
    }
    arrival.record();
    Ok(Payload::Buffered(reservation.hold(read_ahead)))
}

/// Reserves memory for a body, and waits for it if none is free.
async fn reserve(
    budget: &Arc<Budget>,
    bytes: usize,
    arrival: &BodyArrival,
    time_left: Duration,
) -> Result<Reservation, UploadError> {
    let started_at = Instant::now();
    let waits_too_long = || match arrival.at() {
        None => started_at.elapsed() > MAX_BUDGET_WAIT,
        Some(arrived_at) => arrived_at.elapsed() > time_left / 2 || started_at.elapsed() > STALL_TIMEOUT,
    };
    loop {
        match budget.reserve(bytes) {
            Some(reservation) => return Ok(reservation),
            None if waits_too_long() => return Err(UploadError::NoRoom),
            None => sleep(BUDGET_RETRY_INTERVAL).await,
        }
    }
}

/// A body that is streamed to a node as it is received.
pub struct Upload {
    length: Option<u64>,
    /// The bytes read before streaming began; dropped when an attempt reads further.
    read_ahead: RefCell<Option<Bytes>>,
    /// The rest of the body; taken by the first attempt that reads further.
    rest: RefCell<Option<(Incoming, ReceiveRate)>>,
    arrival: Rc<BodyArrival>,
    /// Whether an attempt has read the body to its end.
    read_to_end: Cell<bool>,
    failed: Cell<bool>,
}

impl Upload {
    /// Returns the body for one more attempt; `None` if an attempt has read bytes that are not buffered.
    fn for_attempt(upload: &Rc<Upload>) -> Option<UploadBody> {
        let read_ahead = upload.read_ahead.borrow().clone()?;
        let stall_timer = Box::pin(sleep(STALL_TIMEOUT));
        Some(UploadBody {
            upload: upload.clone(),
            read_ahead: Some(read_ahead),
            rest: None,
            wait_start: None,
            stall_timer,
        })
    }

    /// Returns the arrival of the client's last byte.
    pub fn arrival(&self) -> &Rc<BodyArrival> {
        &self.arrival
    }

    /// Whether an attempt has read the body to its end.
    pub fn is_read_to_end(&self) -> bool {
        self.read_to_end.get()
    }

    fn end(&self) {
        self.read_to_end.set(true);
        self.arrival.record();
    }

    /// Whether the rest of the body could not be received from the client.
    pub fn failed(&self) -> bool {
        self.failed.get()
    }
}

/// An upload as the body of one attempt's request.
pub struct UploadBody {
    upload: Rc<Upload>,
    read_ahead: Option<Bytes>,
    rest: Option<(Incoming, ReceiveRate)>,
    /// When the current wait for the client began.
    wait_start: Option<Instant>,
    stall_timer: Pin<Box<Sleep>>,
}

impl UploadBody {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        if let Some(read_ahead) = self.read_ahead.take() {
            return Poll::Ready(Some(Ok(read_ahead)));
        }
        if self.rest.is_none() {
            self.rest = self.upload.rest.take();
            self.upload.read_ahead.take();
        }
        let Some((rest, rate)) = &mut self.rest else { return Poll::Ready(Some(Err(UploadError::Broken))) };
        loop {
            let polled = Pin::new(&mut *rest).poll_frame(cx);
            let Poll::Ready(frame) = polled else {
                if self.wait_start.is_none() {
                    self.wait_start = Some(Instant::now());
                    self.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                }
                ready!(self.stall_timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(UploadError::Stalled)));
            };
            rate.waited += self.wait_start.take().map_or(Duration::ZERO, |start| start.elapsed());
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
        let to_io_error =
            |error| io::Error::other(format!("the client's body could not be received: {error:?}"));
        Poll::Ready(next.map(|data| data.map(Frame::data).map_err(to_io_error)))
    }

    fn size_hint(&self) -> SizeHint {
        // Hyper asks once, before anything is sent, so the full length is correct.
        self.upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// The body of one attempt's request: buffered or streamed.
pub enum AttemptBody {
    Buffered(Full<Bytes>),
    Streamed(UploadBody),
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            AttemptBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            AttemptBody::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streamed(body) => body.size_hint(),
        }
    }
}
