//! A client connection: its state, its timeouts, and how it is served with hyper.

use super::answer::{close_connection, reject_request};
use super::close::{CloseReason, CloseStep, ConnectionEnd, EndCause};
use super::head_reader::{HeadProgress, HeadReader};
use super::upload_clock::{UploadClock, UploadProgress};
use super::Server;
use crate::body_arrival::BodyArrival;
use crate::descriptors::DescriptorPermit;
use crate::drain::Drain;
use crate::socket::{Io, Socket};
use crate::{MAX_READ_BUFFER_BYTES, MAX_STREAMED_BODY_BYTES};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};

/// A new connection is closed if its first request head is not complete within this time. Regular clients
/// take up to 2 s for a head, and a silent connection must be closed within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2700);
/// A new connection is expected to send its first request within this time.
pub const FIRST_REQUEST_SOON: Duration = Duration::from_millis(500);
/// On a connection that has had a request, a partial head must be completed within this time.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2700);
/// A client must read the rest of a buffered answer within this time.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// A client must read more of a streamed answer within this time.
const STREAM_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection without a request for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The rest of a rejected request is read for at most this time after the rejection.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(2);
/// How much of it is read at once.
const DISCARD_READ_BYTES: usize = 16 << 10;
/// Interval of the checks whether the rest of a body has arrived that is not being read.
const BODY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A client connection.
pub struct Client {
    /// The socket.
    pub socket: Rc<Socket>,
    /// The client's address.
    pub peer: SocketAddr,
    /// What has been read of its request heads.
    pub heads: Rc<HeadProgress>,
    /// Whether a request is in progress.
    pub has_open_request: Cell<bool>,
    /// Whether the answer to that request is being streamed.
    streams_answer: Cell<bool>,
    /// When the connection was accepted.
    pub accepted_at: Instant,
    /// When the connection was accepted or the last answer ended.
    pub idle_since: Cell<Instant>,
    /// Wakes the connection's task to take the next step of the close.
    close_signal: Notify,
    /// Why the connection is being closed, if it is.
    pub closing: Cell<Option<CloseReason>>,
    /// Number of requests that have been answered.
    pub answered: Cell<u64>,
    /// Whether a partially read request has been rejected.
    pub partial_head_refused: Cell<bool>,
    /// Whether pending input has been read since the close was requested.
    input_checked: Cell<bool>,
}

impl Client {
    /// Creates the state of a connection that was just accepted; `permit` is for its descriptor.
    pub fn new(stream: TcpStream, peer: SocketAddr, permit: DescriptorPermit) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Client {
            socket: Socket::new(stream, permit),
            peer,
            heads: Rc::default(),
            has_open_request: Cell::new(false),
            streams_answer: Cell::new(false),
            accepted_at: now,
            idle_since: Cell::new(now),
            close_signal: Notify::new(),
            closing: Cell::new(None),
            answered: Cell::new(0),
            partial_head_refused: Cell::new(false),
            input_checked: Cell::new(false),
        })
    }

    /// When a head was last read on the connection, or an answer ended.
    pub fn inactive_since(&self) -> Instant {
        self.heads.last_bytes_at.get().map_or(self.idle_since.get(), |at| at.max(self.idle_since.get()))
    }

    /// Whether the client has sent a request, and no partial head is pending.
    pub fn all_answered(&self) -> bool {
        self.heads.complete.get() > 0 && self.heads.partial_since.get().is_none()
    }

    /// Requests that the connection is closed, after the request in progress if there is one.
    pub fn request_close(&self, reason: CloseReason) {
        self.closing.set(Some(reason));
        self.close_signal.notify_one();
    }

    /// Waits until the next step of the close is due, and returns the reason for the close.
    async fn close_requested(&self) -> CloseReason {
        loop {
            self.close_signal.notified().await;
            if let Some(reason) = self.closing.get() {
                return reason;
            }
        }
    }

    /// Whether an answer that has begun is still to be written to its end.
    pub fn receives_answer(&self) -> bool {
        self.streams_answer.get() || self.socket.is_write_blocked()
    }

    /// Whether the client has read nothing of an answer for so long that the connection is closed.
    fn answer_unread(&self, now: Instant) -> bool {
        if self.has_open_request.get() {
            return self.socket.is_stuck(STREAM_READ_TIMEOUT);
        }
        self.socket.is_write_blocked()
            && now.saturating_duration_since(self.idle_since.get()) > ANSWER_READ_TIMEOUT
    }

    /// Records in `arrival` when the last byte of the body of the request in progress has arrived, whether or
    /// not it is read; never returns. A body whose client may have written its end long ago counts as arrived
    /// once the client's time is over: `due` returns when that is, for the moment of the last byte.
    pub async fn watch_body(
        &self,
        arrival: &BodyArrival,
        due: impl Fn(Instant) -> Option<Instant>,
    ) -> Infallible {
        let mut clock = UploadClock::new(self.heads.last_bytes_at.get().unwrap_or_else(Instant::now));
        while arrival.at().is_none() {
            if self.heads.unread_body.borrow_mut().has_arrived(&self.socket) {
                arrival.record();
                break;
            }
            let now = Instant::now();
            let unwritten_at = clock.observe(now, self.upload_progress());
            arrival.note_unwritten(unwritten_at);
            if due(unwritten_at).is_some_and(|due| now >= due) {
                tracing::info!(
                    "{}: a body is given up: it has been held up by its node for {:?}, {} bytes are unread",
                    self.peer,
                    now - unwritten_at,
                    self.socket.unread_bytes()
                );
                arrival.record();
                break;
            }
            sleep(BODY_CHECK_INTERVAL).await;
        }
        std::future::pending().await
    }

    fn upload_progress(&self) -> UploadProgress {
        UploadProgress {
            read: self.heads.bytes_read.get(),
            unread: self.socket.unread_bytes() as u64,
            missing: self.heads.unread_body.borrow().missing(&self.socket),
        }
    }

    /// Reads and discards what the client still sends of a rejected request, until its end, the time limit or a
    /// reason to close. Closing a connection with unread input resets it, which may discard the rejection.
    async fn discard_input(&self) {
        let input = async {
            let mut buffer = vec![0; DISCARD_READ_BYTES];
            let mut discarded = 0;
            while discarded <= MAX_STREAMED_BODY_BYTES {
                match poll_fn(|cx| Io(self.socket.clone()).poll_read_into(cx, &mut buffer)).await {
                    Ok(count @ 1..) => discarded += count as u64,
                    _ => return,
                }
            }
        };
        tokio::select! {
            biased;
            _ = self.close_requested() => {}
            _ = timeout(MAX_DISCARD_TIME, input) => {}
        }
    }

    /// Whether a part of a further request head has been read.
    fn has_partial_head(&self) -> bool {
        self.heads.partial_since.get().is_some()
    }

    /// Returns the log record of the connection, which is about to be dropped.
    fn end(&self, cause: EndCause) -> ConnectionEnd {
        ConnectionEnd {
            peer: self.peer,
            cause,
            close_reason: self.closing.get(),
            requests: self.heads.complete.get(),
            answered: self.answered.get(),
            partial_bytes: self.heads.partial_bytes.get(),
            refused: self.partial_head_refused.get(),
            unread_bytes: self.socket.unread_bytes(),
        }
    }

    /// Returns the next step of the close. A request may have arrived since the close was requested; once it
    /// has been read, it must be answered.
    fn next_close_step(&self) -> CloseStep {
        if self.answer_unread(Instant::now()) {
            return CloseStep::Now;
        }
        if self.has_open_request.get() || self.socket.is_write_blocked() {
            self.input_checked.set(false);
            return if self.has_partial_head() { CloseStep::AfterNextAnswer } else { CloseStep::AfterAnswer };
        }
        if !self.input_checked.get() && !self.socket.has_no_input() {
            self.input_checked.set(true);
            self.close_signal.notify_one();
            return CloseStep::CheckInput;
        }
        if self.has_partial_head() {
            self.socket.try_send(INCOMPLETE_REQUEST_ANSWER);
            self.partial_head_refused.set(true);
        }
        CloseStep::Now
    }

    /// Closes the connection if one of its timeouts has expired. A silent client, a head that is never
    /// completed and an answer that is not read would each hold a descriptor forever.
    pub fn close_if_overdue(&self, now: Instant, drain: &Drain) {
        if self.answer_unread(now) {
            return self.request_close(CloseReason::AnswerUnread);
        }
        if self.has_open_request.get() {
            return;
        }
        let exceeded = |from: Instant, limit: Duration| now.saturating_duration_since(from) > limit;
        let used = self.heads.complete.get() > 0;
        let head_overdue = if used {
            self.heads.partial_since.get().is_some_and(|since| exceeded(since, HEAD_TIMEOUT))
        } else {
            exceeded(self.accepted_at, FIRST_REQUEST_TIMEOUT)
        };
        // A draining process waits for a head that still makes progress, but not for one that has stopped.
        let head_stopped =
            drain.is_active() && !self.all_answered() && exceeded(self.inactive_since(), FIRST_REQUEST_SOON);
        let idle = (exceeded(self.idle_since.get(), IDLE_TIMEOUT)
            || drain.should_close_idle(self.idle_since.get(), now))
            && !self.has_partial_head()
            && self.socket.has_no_input();
        let reason = match (head_overdue, head_stopped, idle) {
            (true, ..) => CloseReason::HeadOverdue,
            (_, true, _) => CloseReason::HeadStopped,
            (.., true) => CloseReason::Idle,
            _ => return,
        };
        self.request_close(reason);
    }
}

/// The answer to a request that is still incomplete when its connection is closed.
const INCOMPLETE_REQUEST_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Marks a client connection as idle when the request in progress ends.
struct OpenRequest(Rc<Client>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.has_open_request.set(false);
        self.0.streams_answer.set(false);
        self.0.answered.set(self.0.answered.get() + 1);
        self.0.idle_since.set(Instant::now());
    }
}

impl Server {
    /// Spawns a task that serves a connection until it is closed.
    pub(super) fn serve_client(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        permit: DescriptorPermit,
    ) {
        let client = self.clients.register(Client::new(stream, peer, permit));
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let version = request.version();
                client.has_open_request.set(true);
                let rejection = client.heads.rejection.take();
                // The head's last byte arrived with the last bytes that were read, or earlier.
                let received_at = client.heads.last_bytes_at.get().unwrap_or_else(Instant::now);
                let (server, client) = (&self, &client);
                let open_request = OpenRequest(Rc::clone(client));
                async move {
                    let mut response = match rejection {
                        Some(rejection) => reject_request(&rejection, client),
                        None => server.respond(request, received_at, client).await,
                    };
                    // Close to the connection limit, a descriptor is worth more to the next client than to
                    // one that already has its answer.
                    let frees_descriptor = client.heads.complete.get() == 1 && server.is_nearly_full();
                    let close_after_answer =
                        frees_descriptor || server.drain.is_active() || client.closing.get().is_some();
                    // Closing now would leave a partially read pipelined request without an answer.
                    if close_after_answer && !client.has_partial_head() || client.heads.unbounded_body.get() {
                        close_connection(&mut response);
                    }
                    if response.body().is_streamed() {
                        client.socket.prepare_for_streaming();
                        client.streams_answer.set(true);
                        response.body_mut().follow(client.socket.clone(), version);
                        response.body_mut().hold_until_sent(open_request);
                    }
                    Ok::<_, Infallible>(response)
                }
            });
            // By default hyper drops the request of a client that has shut down its sending side and still
            // waits for the answer, and buffers some 400 KB per connection.
            let reader = HeadReader::new(client.socket.clone(), client.heads.clone());
            let connection = http1::Builder::new()
                .half_close(true)
                .max_buf_size(MAX_READ_BUFFER_BYTES)
                .serve_connection(TokioIo::new(reader), service);
            let mut connection = std::pin::pin!(connection);
            let cause = loop {
                // Pending input is read before the connection is closed.
                tokio::select! {
                    biased;
                    served = connection.as_mut() => break EndCause::of_served(&served, client.heads.input_end.get()),
                    reason = client.close_requested() => {
                        // Hyper waits without a timeout for the rest of a head.
                        match client.next_close_step() {
                            CloseStep::Now => break EndCause::Closed(reason),
                            CloseStep::AfterAnswer => connection.as_mut().graceful_shutdown(),
                            CloseStep::AfterNextAnswer => {}
                            CloseStep::CheckInput => yield_now().await,
                        }
                    }
                }
            };
            if client.heads.is_rejected.get() {
                client.discard_input().await;
            }
            tracing::debug!("{}", client.end(cause));
        });
    }
}
