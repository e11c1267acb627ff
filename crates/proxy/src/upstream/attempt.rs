//! One attempt at a node, from the choice of its connection to its outcome.

use super::answer::{receive, Received};
use super::attempt_log::AttemptLog;
use super::connection::{Connection, ReservedConnection};
use super::handle::AttemptHandle;
use super::job::Job;
use super::write_check::WriteCheck;
use super::{Outcome, Upstreams};
use crate::relay::StreamRecord;
use crate::time_left::{self, TIME_LEFT};
use crate::upload::AttemptBody;
use crate::{MAX_BUFFERED_BODY_BYTES, MAX_READ_BUFFER_BYTES};
use aniseyoke_decision::api::{ServerId, Status};
use hyper::header::{HeaderValue, HOST};
use hyper::Request;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// The maximum number of bytes received until the head of an answer is complete. Hyper reads on as long as interim
/// answers arrive, and does not report them; each costs time to parse.
const MAX_HEAD_BYTES: usize = 4 * MAX_READ_BUFFER_BYTES;
/// The maximum number of bytes received of a body that is buffered. Eight times its largest size leaves room for
/// its framing.
const MAX_BODY_BYTES: usize = 8 * MAX_BUFFERED_BODY_BYTES;
/// How long an attempt whose time is over waits for unread bytes to be read.
const UNREAD_INPUT_GRACE: Duration = Duration::from_millis(2);
/// How often [`WriteCheck`] may withhold the request of an attempt before the attempt is given up.
const MAX_WITHHELD: usize = 2;

/// An attempt in flight.
pub(super) struct Attempt<'a> {
    pub(super) pool: &'a Rc<Upstreams>,
    pub(super) server: ServerId,
    pub(super) job: &'a Job,
    /// The deadline for writing the first byte of the request, and for the first byte of its answer. An attempt
    /// with a streamed body that has not arrived when it begins instead waits for that until
    /// [`Attempt::time_limit`] after the body's last byte arrived.
    pub(super) deadline: Instant,
    /// The total time allowed.
    pub(super) time_limit: Duration,
    pub(super) handle: &'a Rc<AttemptHandle>,
    pub(super) log: &'a AttemptLog,
}

/// Why the exchange on one connection ended without a usable answer.
enum TryError {
    /// The attempt ends with this status; no other connection is tried.
    Ended(Status),
    /// A reused connection closed before the request was fully written: another connection is tried.
    ConnectionEnded,
    /// [`WriteCheck`], which runs right before the first byte is written, did not allow the write: since the
    /// connection was chosen, the deadline passed, the node stopped accepting requests or its epoch changed,
    /// the engine forbade the write, or the client left or was not confirmed recently enough. This happens if
    /// the process is delayed, or if another task runs before the write. If time is left, the attempt chooses
    /// a connection and confirms the client again.
    Withheld,
}

/// A connection on which the request may be sent.
struct ReadyConnection {
    connection: Connection,
    reused: bool,
    addr: SocketAddr,
    /// The node's epoch when the connection was chosen.
    epoch: u64,
    body: AttemptBody,
    /// When the presence of the client was last checked.
    checked_at: Instant,
}

/// A connection whose answer has been received.
struct ConnectionUse {
    pool: Weak<Upstreams>,
    server: ServerId,
    /// The node's epoch when the connection was chosen.
    epoch: u64,
    connection: Connection,
    handle: Rc<AttemptHandle>,
}

impl ConnectionUse {
    /// Returns the connection to the pool once the request has been fully written too. A node may answer before
    /// it has received the whole body; the next request would have to wait for the rest of it.
    fn end(self) {
        if self.handle.is_written() {
            return self.put_used();
        }
        if self.handle.has_upload() {
            tokio::task::spawn_local(self.end_after_upload());
        }
    }

    /// Lets the client send the rest of its body. Hyper is ready for a request once that has been written.
    async fn end_after_upload(mut self) {
        let handle = self.handle.clone();
        let is_ready = tokio::select! {
            ready = self.connection.sender.ready() => ready.is_ok(),
            () = handle.stuck() => false,
        };
        if is_ready && handle.is_written() {
            self.put_used();
        }
    }

    fn put_used(self) {
        if let Some(pool) = self.pool.upgrade() {
            pool.put_used(self.server, self.epoch, self.connection);
        }
    }
}

impl Attempt<'_> {
    /// Makes the attempt. Without an answer it ends at its deadline or, if the body has not arrived when it
    /// begins, `time_limit` after the body's last byte arrived.
    pub(super) async fn run(&self) -> Outcome {
        tokio::select! {
            // `never_sent` resolves when the engine forbids writing before the request was fully written. As
            // this also closes the connection, it is polled first: otherwise the exchange might report the
            // closed connection as a failure of the node.
            biased;
            () = self.handle.never_sent() => Status::NotSent.into(),
            outcome = self.exchange() => outcome,
            () = self.wait_for_timeout() => self.timeout_status().into(),
        }
    }

    /// Returns the status of an attempt whose time is over. A request that was not fully written was not
    /// processed by the node: `ConnectFailed` stands for that, even if a connection was opened and a part of the
    /// request was written. A node that may still have been reading a long body is slow, and does not count as
    /// failed.
    fn timeout_status(&self) -> Status {
        let has_upload = self.job.body.upload().is_some();
        if self.handle.is_written() {
            let was_reading = has_upload && self.handle.wrote_within(self.time_limit / 2);
            return if was_reading { Status::Cancelled } else { Status::Timeout };
        }
        if has_upload && !self.handle.has_stopped_reading() {
            return Status::NotSent;
        }
        Status::ConnectFailed
    }

    /// Waits until the time for the attempt is over or its node is stuck: the request is not fully written,
    /// and the node has accepted no bytes of it for too long (see [`AttemptHandle::stuck`]).
    async fn wait_for_timeout(&self) {
        tokio::select! {
            () = self.handle.stuck() => {}
            () = self.time_over() => {}
        }
    }

    /// Waits until the time for the attempt is over. Once the answer has begun to arrive, that is the time that
    /// the engine allows then: the node is giving the answer, however long the rest of the head takes.
    async fn time_over(&self) {
        let wait = tokio::select! {
            biased;
            wait = self.handle.response_started() => wait,
            () = self.silent_too_long() => return,
        };
        self.log.response_started();
        let Some(wait) = wait else { return self.limit_reached(self.time_limit).await };
        let paused = async {
            match wait.max_pause {
                Some(max_pause) => self.handle.paused_for(max_pause).await,
                None => std::future::pending().await,
            }
        };
        let over = async {
            match wait.since {
                Some(since) => sleep_until(Instant::from_std(since) + wait.time_limit).await,
                None => self.limit_reached(wait.time_limit).await,
            }
        };
        tokio::select! {
            () = paused => {}
            () = over => {}
        }
    }

    /// Waits until the time for the first byte of the answer is over. If the process was delayed, that byte may
    /// be in the kernel's buffer by then.
    async fn silent_too_long(&self) {
        self.limit_reached(self.time_limit).await;
        if self.handle.has_unread_input() {
            sleep(UNREAD_INPUT_GRACE).await;
        }
    }

    /// Waits until the attempt's deadline or, if its body is still to come, `time_limit` after the arrival of the
    /// body's last byte.
    async fn limit_reached(&self, time_limit: Duration) {
        match self.job.body.upload() {
            Some(upload) if upload.arrival().at().is_none() => {
                let arrived_at = upload.arrival().wait().await;
                sleep_until(arrived_at + time_limit).await;
            }
            _ => sleep_until(self.deadline).await,
        }
    }

    /// Returns the deadline for an answer that has begun to arrive.
    fn response_deadline(&self) -> Instant {
        let wait = self.handle.response_wait();
        let until = wait.and_then(|wait| Some(Instant::from_std(wait.since?) + wait.time_limit));
        until.map_or(self.deadline, |until| until.max(self.deadline))
    }

    /// Tries connections one after the other until one gives an outcome.
    async fn exchange(&self) -> Outcome {
        let mut withheld = 0;
        loop {
            match self.try_connection().await {
                Ok(outcome) => return outcome,
                Err(TryError::Ended(status)) => return status.into(),
                Err(TryError::ConnectionEnded) => {}
                Err(TryError::Withheld) => {
                    withheld += 1;
                    let now = Instant::now();
                    if withheld > MAX_WITHHELD || now >= self.deadline || self.handle.forbids_writing(now) {
                        return Status::NotSent.into();
                    }
                }
            }
        }
    }

    /// Sends the request on one connection and receives the answer.
    async fn try_connection(&self) -> Result<Outcome, TryError> {
        let ready = self.prepare_connection().await?;
        let ReadyConnection { mut connection, reused, addr, epoch, body, checked_at } = ready;
        self.log.connected(addr);
        connection.socket.begin_message(MAX_HEAD_BYTES, Box::new(self.write_check(epoch, checked_at)));
        self.handle.set_exchange(connection.socket.clone(), self.job.body.upload().cloned());
        if self.job.body.upload().is_some() {
            connection.socket.prepare_for_streaming();
        }
        let response = connection.sender.send_request(self.request(body, addr)).await;
        let Ok(response) = response else { return Err(self.send_error(&connection, reused)) };
        self.log.head_received();
        connection.socket.allow_incoming(MAX_BODY_BYTES);
        match receive(response, &self.pool.answer_budget, self.response_deadline()).await {
            Received::Unusable(error) => {
                self.log.unusable(&error);
                Err(TryError::Ended(Status::Reset))
            }
            Received::Complete(outcome) => {
                self.connection_use(epoch, connection).end();
                Ok(outcome)
            }
            Received::Streamed(answer) => {
                let stream = self.pool.begin_stream(&connection);
                let connection_use = self.connection_use(epoch, connection);
                let record =
                    StreamRecord { metrics: self.pool.metrics.clone(), request_id: self.job.id.clone() };
                let on_complete = move || {
                    drop(stream);
                    connection_use.end();
                };
                Ok(answer.into_outcome(record, on_complete))
            }
        }
    }

    /// Chooses an idle connection or opens one, after checking that the client still waits.
    async fn prepare_connection(&self) -> Result<ReadyConnection, TryError> {
        const NOT_SENT: TryError = TryError::Ended(Status::NotSent);
        // If opening connections is limited, this returns an idle connection if there is one, and otherwise
        // acquires a permit. The body is taken later, since upload bytes that an attempt has read may not be
        // available to another attempt.
        let idle = self
            .pool
            .acquire_permit_or_idle(self.server, self.deadline, self.time_limit)
            .await
            .ok_or(NOT_SENT)?;
        let mut checked_at = Instant::now();
        let client_probed = self.job.confirm_client(self.handle).await.map_err(|_| NOT_SENT)?;
        // A probe waits for the client's reaction; meanwhile the idle connection may have closed
        // or received bytes.
        let idle = idle.filter(|idle| !client_probed || idle.is_clean());
        let body = self.job.body.for_attempt().ok_or(NOT_SENT)?;
        let (addr, epoch) = self.pool.address_and_epoch(self.server).ok_or(NOT_SENT)?;
        // There is none yet if opening is not limited, if a permit was acquired, or if the idle connection
        // was dropped just now. One may have become idle since.
        let idle = idle.or_else(|| self.pool.take_idle(self.server));
        let (mut connection, reused) = match idle.and_then(ReservedConnection::into_connection) {
            Some(connection) => (connection, true),
            None => {
                let connection = self.pool.connect(addr).await.map_err(TryError::Ended)?;
                // Opening a connection takes time, and the client may have left meanwhile.
                checked_at = Instant::now();
                self.job.confirm_client(self.handle).await.map_err(|_| NOT_SENT)?;
                (connection, false)
            }
        };
        if connection.sender.ready().await.is_err() {
            return Err(if reused {
                TryError::ConnectionEnded
            } else {
                TryError::Ended(Status::ConnectFailed)
            });
        }
        // While the connection was set up, the node may have started to drain or restarted, or the request
        // may have been answered. Nothing may be written then.
        if self.handle.forbids_writing(Instant::now()) || self.pool.epoch(self.server) != Some(epoch) {
            return Err(NOT_SENT);
        }
        Ok(ReadyConnection { connection, reused, addr, epoch, body, checked_at })
    }

    fn connection_use(&self, epoch: u64, connection: Connection) -> ConnectionUse {
        let pool = Rc::downgrade(self.pool);
        ConnectionUse { pool, server: self.server, epoch, connection, handle: self.handle.clone() }
    }

    fn write_check(&self, epoch: u64, checked_at: Instant) -> WriteCheck {
        WriteCheck {
            pool: Rc::downgrade(self.pool),
            server: self.server,
            epoch,
            handle: Rc::downgrade(self.handle),
            client_handle: self.job.client_handle.clone(),
            reserved_id: self.job.reserved_id.as_ref().map(Rc::downgrade).unwrap_or_default(),
            checked_at,
            deadline: self.deadline,
        }
    }

    /// Classifies a failure to get an answer on a connection.
    fn send_error(&self, connection: &Connection, reused: bool) -> TryError {
        if connection.socket.is_withheld() {
            return TryError::Withheld;
        }
        // A failure of the client says nothing about the node. `NotSent` means here that the node did not get
        // the complete request, though it may have got a part of the body.
        if self.job.body.upload().is_some_and(|upload| upload.failed()) {
            return TryError::Ended(Status::NotSent);
        }
        // The node may have processed a fully written request, so it must not be sent again here.
        if self.handle.is_written() {
            return TryError::Ended(Status::Reset);
        }
        if reused {
            return TryError::ConnectionEnded;
        }
        TryError::Ended(Status::ConnectFailed)
    }

    fn request(&self, body: AttemptBody, addr: SocketAddr) -> Request<AttemptBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = self.job.uri.clone();
        let headers = request.headers_mut();
        headers.reserve(self.job.headers.len() + 2);
        // The value of this header is updated when the first bytes are written, with the time left that
        // [`WriteCheck`] returns. The header comes first, so that it is in those bytes.
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if let Ok(value) = HeaderValue::try_from(time_left::format(time_left)) {
            headers.insert(TIME_LEFT, value);
        }
        for (name, value) in self.job.headers.iter().filter(|(name, _)| **name != TIME_LEFT) {
            headers.append(name, value.clone());
        }
        if !headers.contains_key(HOST) {
            if let Ok(host) = HeaderValue::try_from(addr.to_string()) {
                headers.insert(HOST, host);
            }
        }
        request
    }
}
