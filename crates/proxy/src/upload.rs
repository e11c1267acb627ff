//! The body of a client's request: read whole while it is small, else passed on to the node as it comes.

use super::budget::{Budget, Held};
use super::{BODY_MOST, LARGEST};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant, Sleep};

/// A client that sends nothing for so long in the midst of its body has stalled.
const COMES_WITHIN: Duration = Duration::from_secs(2);
/// Beyond that a body comes at no less than this, in bytes a second, on the whole.
const SLOWEST: f64 = 16e3;
/// How long a body waits for room in the budget before the next look.
const ROOM_AGAIN: Duration = Duration::from_millis(10);

/// Why a body can't be had.
#[derive(Debug, PartialEq)]
pub enum Fault {
    TooLarge,
    Stalled,
    Broken,
    NoRoom,
}

/// The body of a request, as attempts send it.
pub enum Payload {
    Whole { bytes: Bytes, _held: Option<Held> },
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
struct Pace {
    waited: Duration,
    came: u64,
}

impl Pace {
    /// Danger: a byte now and then would hold a connection for good.
    fn too_slow(&self) -> bool {
        self.waited.saturating_sub(COMES_WITHIN).as_secs_f64() * SLOWEST > self.came as f64
    }
}

/// Reads a body whole, or so much of it that it has to be passed on as it comes. `large`: it may be.
pub async fn read(mut body: Incoming, large: bool, budget: &Rc<Budget>) -> Result<Payload, Fault> {
    let told = body.size_hint();
    let most = if large { LARGEST } else { BODY_MOST as u64 };
    if told.lower() > most {
        return Err(Fault::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Payload::empty());
    }
    let room = told.exact().map_or(BODY_MOST, |length| length.min(BODY_MOST as u64) as usize);
    let since = Instant::now();
    let mut held = loop {
        match budget.take(room) {
            Some(held) => break held,
            None if since.elapsed() > COMES_WITHIN => return Err(Fault::NoRoom),
            None => sleep(ROOM_AGAIN).await,
        }
    };
    let mut pace = Pace { waited: Duration::ZERO, came: 0 };
    let mut ahead = Vec::new();
    while !body.is_end_stream() {
        let asked = Instant::now();
        let frame = timeout(COMES_WITHIN, body.frame()).await.map_err(|_| Fault::Stalled)?;
        pace.waited += asked.elapsed();
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| Fault::Broken)?.into_data() else { continue };
        pace.came += data.len() as u64;
        if pace.too_slow() {
            return Err(Fault::Stalled);
        }
        if pace.came <= BODY_MOST as u64 && told.lower() <= BODY_MOST as u64 {
            ahead.extend_from_slice(&data);
            continue;
        }
        if !large {
            return Err(Fault::TooLarge);
        }
        ahead.extend_from_slice(&data);
        held.shrink(ahead.len());
        let upload = Upload {
            length: told.exact(),
            ahead: RefCell::new(Some((ahead.into(), held))),
            rest: RefCell::new(Some((body, pace))),
            taken: Cell::new(false),
            fault: Cell::new(false),
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
    ahead: RefCell<Option<(Bytes, Held)>>,
    /// What has not been read; gone once an attempt has begun to.
    rest: RefCell<Option<(Incoming, Pace)>>,
    taken: Cell<bool>,
    fault: Cell<bool>,
    news: Notify,
    then: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl Upload {
    /// Danger: a body of which some is lost with an attempt must not go out as though it were whole.
    fn send(upload: &Rc<Upload>) -> Option<UploadBody> {
        let ahead = upload.ahead.borrow().as_ref().map(|(ahead, _)| ahead.clone())?;
        let stall = Box::pin(sleep(COMES_WITHIN));
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
        self.fault.get()
    }
}

/// One attempt's sending of an upload.
pub struct UploadBody {
    upload: Rc<Upload>,
    ahead: Option<Bytes>,
    rest: Option<(Incoming, Pace)>,
    /// Since when the client has been waited for.
    asked: Option<Instant>,
    stall: Pin<Box<Sleep>>,
}

impl UploadBody {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        if let Some(ahead) = self.ahead.take() {
            return Poll::Ready(Some(Ok(ahead)));
        }
        if self.rest.is_none() {
            self.rest = self.upload.rest.take();
            self.upload.ahead.take();
        }
        let Some((rest, pace)) = &mut self.rest else { return Poll::Ready(Some(Err(Fault::Broken))) };
        loop {
            let polled = Pin::new(&mut *rest).poll_frame(cx);
            let Poll::Ready(frame) = polled else {
                if self.asked.is_none() {
                    self.asked = Some(Instant::now());
                    self.stall.as_mut().reset(Instant::now() + COMES_WITHIN);
                }
                ready!(self.stall.as_mut().poll(cx));
                return Poll::Ready(Some(Err(Fault::Stalled)));
            };
            pace.waited += self.asked.take().map_or(Duration::ZERO, |asked| asked.elapsed());
            let data = match frame {
                None => {
                    self.upload.end();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(Fault::Broken))),
                Some(Ok(frame)) => frame.into_data(),
            };
            if rest.is_end_stream() {
                self.upload.end();
            }
            let Ok(data) = data else { continue };
            pace.came += data.len() as u64;
            return Poll::Ready(Some(match pace {
                pace if pace.came > LARGEST => Err(Fault::TooLarge),
                pace if pace.too_slow() => Err(Fault::Stalled),
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
            self.upload.fault.set(true);
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
