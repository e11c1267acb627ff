//! One attempt at a node, from the choice of its connection to its outcome.

use super::answer::{receive, Received};
use super::connection::{Connection, ReservedConnection};
use super::handle::AttemptHandle;
use super::job::Job;
use super::write_check::WriteCheck;
use super::{Outcome, Upstreams};
use crate::time_left::{self, TIME_LEFT};
use crate::upload::Sending;
use crate::MAX_BUFFERED_BODY_BYTES;
use aniseyoke_decision::api::{ServerId, Status};
use hyper::header::{HeaderValue, HOST};
use hyper::Request;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// So many bytes may come in answer to a request: a body, what frames it, and interim answers ahead. Hyper reads on for as
/// long as interim answers come, and hands none of them over.
const MAX_ANSWER_BYTES: usize = 8 * MAX_BUFFERED_BODY_BYTES;
/// How often an attempt is tried anew whose request was withheld by the check before its first byte.
const MAX_WITHHELD: usize = 2;

/// An attempt that is being made.
pub(super) struct Attempt<'a> {
    pub(super) pool: &'a Rc<Upstreams>,
    pub(super) server: ServerId,
    pub(super) job: &'a Job,
    /// When it is over, where the request has come whole.
    pub(super) due: Instant,
    /// How long it may take in all.
    pub(super) time_limit: Duration,
    pub(super) handle: &'a Rc<AttemptHandle>,
}

/// Why a try on one connection has no outcome.
enum TryError {
    /// The attempt ends with this status.
    Ended(Status),
    /// A connection that had been used before ended before anything ran: another is tried.
    ConnectionEnded,
    /// The check before the first byte withheld the request: the process was held up, or its work came in another order. Who
    /// may have left is asked anew.
    Withheld,
}

/// A connection on which the request may be sent.
struct ReadyConnection {
    connection: Connection,
    reused: bool,
    addr: SocketAddr,
    /// The node's epoch when it was chosen.
    epoch: u64,
    body: Sending,
    /// When the client was last asked whether it is there.
    asked_at: Instant,
}

impl Attempt<'_> {
    /// Makes the attempt: until it is due, or, where the last byte of its request still comes, so long from then on.
    pub(super) async fn run(&self) -> Outcome {
        tokio::select! {
            biased;
            () = self.handle.never_sent() => Status::NotSent.into(),
            outcome = self.exchange() => outcome,
            () = self.over() => {
                // A request that was not written whole has not run.
                if self.handle.is_written() { Status::Timeout } else { Status::ConnectFailed }.into()
            }
        }
    }

    /// Returns once the time for the attempt is over, or its node is stuck.
    async fn over(&self) {
        let time_over = async {
            match self.job.body.upload() {
                None => sleep_until(self.due).await,
                Some(upload) => {
                    upload.taken().await;
                    sleep(self.time_limit).await;
                }
            }
        };
        tokio::select! {
            () = self.handle.stuck() => {}
            () = time_over => {}
        }
    }

    /// Tries one connection after the other.
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
                    if withheld > MAX_WITHHELD || now >= self.due || self.handle.forbids_writing(now) {
                        return Status::NotSent.into();
                    }
                }
            }
        }
    }

    /// Sends the request on one connection and receives the answer.
    async fn try_connection(&self) -> Result<Outcome, TryError> {
        let ready = self.prepare_connection().await?;
        let ReadyConnection { mut connection, reused, addr, epoch, body, asked_at } = ready;
        connection.socket.begin_message(MAX_ANSWER_BYTES, Box::new(self.write_check(epoch, asked_at)));
        self.handle.set_socket(connection.socket.clone());
        if self.job.body.upload().is_some() {
            connection.socket.prepare_for_streaming();
        }
        let response = connection.sender.send_request(self.request(body, addr)).await;
        let Ok(response) = response else { return Err(self.send_error(&connection, reused)) };
        match receive(response, &self.pool.budget).await {
            Received::Unusable => Err(TryError::Ended(Status::Reset)),
            Received::Whole(outcome) => {
                if connection.socket.is_fully_written() {
                    self.pool.keep_used(self.server, epoch, connection);
                }
                Ok(outcome)
            }
            Received::Streamed(answer) => {
                connection.socket.prepare_for_streaming();
                let (pool, server) = (Rc::downgrade(self.pool), self.server);
                Ok(answer.into_outcome(move || {
                    if let Some(pool) = pool.upgrade().filter(|_| connection.socket.is_fully_written()) {
                        pool.keep_used(server, epoch, connection);
                    }
                }))
            }
        }
    }

    /// Chooses an idle connection or opens one, once the client is known to be there.
    async fn prepare_connection(&self) -> Result<ReadyConnection, TryError> {
        const NOT_SENT: TryError = TryError::Ended(Status::NotSent);
        // A wait for a permit comes before the body is taken: what an attempt has read of an upload is gone with it.
        let idle = self.pool.permit(self.server, self.due, self.time_limit).await.ok_or(NOT_SENT)?;
        let mut asked_at = Instant::now();
        let asked = self.job.confirm_client(self.handle).await.map_err(|_| NOT_SENT)?;
        let idle = idle.filter(|idle| !asked || idle.is_clean());
        let body = self.job.body.send().ok_or(NOT_SENT)?;
        let (addr, epoch) = self.pool.open_to(self.server).ok_or(NOT_SENT)?;
        let idle = idle.or_else(|| self.pool.take_idle(self.server));
        let (mut connection, reused) = match idle.and_then(ReservedConnection::into_connection) {
            Some(connection) => (connection, true),
            None => {
                let connection = self.pool.connect(addr).await.map_err(TryError::Ended)?;
                asked_at = Instant::now();
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
        // While the connection came up the node may have been told to drain or have restarted, or the request may have had
        // its answer. Nothing may be written then.
        if self.handle.forbids_writing(Instant::now()) || self.pool.epoch(self.server) != Some(epoch) {
            return Err(NOT_SENT);
        }
        Ok(ReadyConnection { connection, reused, addr, epoch, body, asked_at })
    }

    fn write_check(&self, epoch: u64, asked_at: Instant) -> WriteCheck {
        WriteCheck {
            pool: Rc::downgrade(self.pool),
            server: self.server,
            epoch,
            handle: Rc::downgrade(self.handle),
            waiter: self.job.waiter.clone(),
            asked_at,
            due: self.due,
        }
    }

    /// What it means that a request got no answer on its connection.
    fn send_error(&self, connection: &Connection, reused: bool) -> TryError {
        if connection.socket.is_withheld() {
            return TryError::Withheld;
        }
        // The client's own failure says nothing of the node.
        if self.job.body.upload().is_some_and(|upload| upload.failed()) {
            return TryError::Ended(Status::NotSent);
        }
        // After its last byte the request may have run, and is not for this side to repeat.
        if connection.socket.is_fully_written() {
            return TryError::Ended(Status::Reset);
        }
        if reused {
            return TryError::ConnectionEnded;
        }
        TryError::Ended(Status::ConnectFailed)
    }

    fn request(&self, body: Sending, addr: SocketAddr) -> Request<Sending> {
        let mut request = Request::new(body);
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = self.job.uri.clone();
        let headers = request.headers_mut();
        headers.reserve(self.job.headers.len() + 2);
        // The check before the first byte replaces it; it is ahead of the others, so that it is among the bytes that are
        // written first.
        let left = self.due.saturating_duration_since(Instant::now());
        if let Ok(left) = HeaderValue::try_from(time_left::format(left)) {
            headers.insert(TIME_LEFT, left);
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
