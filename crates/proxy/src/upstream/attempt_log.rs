//! Log records and counters of attempts: the request and node of each, and how it ended.

use super::answer::AnswerError;
use super::job::Job;
use crate::metrics::{Metric, Metrics};
use aniseyoke_decision::api::{ServerId, Status};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// Records the end of an attempt; one that is dropped before was cancelled.
pub(super) struct AttemptLog {
    metrics: Rc<Metrics>,
    job: Rc<Job>,
    server: ServerId,
    addr: Cell<Option<SocketAddr>>,
    started_at: Instant,
    /// When the first byte of the answer was received.
    response_at: Cell<Option<Instant>>,
    /// When the head of the answer was received.
    head_at: Cell<Option<Instant>>,
    ended: Cell<bool>,
}

impl AttemptLog {
    /// Starts the record of an attempt that begins now.
    pub(super) fn new(metrics: Rc<Metrics>, job: Rc<Job>, server: ServerId) -> Self {
        AttemptLog {
            metrics,
            job,
            server,
            addr: Cell::default(),
            started_at: Instant::now(),
            response_at: Cell::default(),
            head_at: Cell::default(),
            ended: Cell::default(),
        }
    }

    /// Notes the address that the attempt is made at.
    pub(super) fn connected(&self, addr: SocketAddr) {
        self.addr.set(Some(addr));
    }

    /// Notes that the answer has begun to arrive.
    pub(super) fn response_started(&self) {
        self.response_at.set(Some(Instant::now()));
    }

    /// Notes that the head of the answer has been received.
    pub(super) fn head_received(&self) {
        self.head_at.set(Some(Instant::now()));
    }

    /// Records that the answer can't be used.
    pub(super) fn unusable(&self, error: &AnswerError) {
        tracing::info!("{} has an answer that can't be used: {error}", self.describe());
    }

    /// Records the outcome.
    pub(super) fn end(&self, status: Status) {
        self.ended.set(true);
        if self.has_answer_begun() && status == Status::Timeout {
            self.metrics.count(Metric::TimedOut);
            tracing::info!("{} ended in the middle of its answer, for lack of time", self.describe());
        } else {
            tracing::debug!("{} ended: {status:?}", self.describe());
        }
    }

    fn has_answer_begun(&self) -> bool {
        self.head_at.get().is_some() || self.response_at.get().is_some()
    }

    fn describe(&self) -> String {
        let addr = self.addr.get().map_or_else(|| "no address".to_owned(), |addr| addr.to_string());
        let answer = match (self.head_at.get(), self.response_at.get()) {
            (Some(at), _) => format!("the head of an answer after {:?}", at - self.started_at),
            (None, Some(at)) => {
                format!("the first byte of an answer after {:?} and no whole head", at - self.started_at)
            }
            (None, None) => "no answer".to_owned(),
        };
        format!(
            "request {}: attempt at {:016x} ({addr}), {:?} long, {answer},",
            self.job.id.to_str().unwrap_or_default(),
            self.server,
            self.started_at.elapsed()
        )
    }
}

impl Drop for AttemptLog {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        if self.has_answer_begun() {
            self.metrics.count(Metric::Cancelled);
        }
        tracing::debug!("{} cancelled", self.describe());
    }
}
