//! The final answer of a request, and the handle on which its client waits for it.

use crate::transport::{Job, Transport};
use aniseyoke_decision::api::RequestId;
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The final answer of a request.
pub enum Answer<R> {
    /// A node's answer.
    Served(R),
    /// Rejected and never executed, so a retry is safe. Contains the advised wait before a retry, or zero.
    Rejected(Duration),
    /// Failed; it may have been executed.
    Failed,
    /// The decision module gave no answer in time.
    TimedOut,
}

/// Receives notifications of requests that were abandoned by their clients.
pub(crate) trait AbandonRequest {
    /// Abandons a request for whose answer no client waits any more.
    fn abandon(&self, id: RequestId);
}

/// A handle on a request's final answer. Dropping it before the answer arrives notifies the engine that the
/// client left.
pub struct PendingResponse<T: Transport> {
    pub(crate) id: RequestId,
    /// `None` once the answer has arrived.
    pub(crate) answer: Option<oneshot::Receiver<Answer<T::Reply>>>,
    /// Maximum wait after the last byte of the request was received.
    pub(crate) time_limit: Duration,
    /// The time by which the answer is due if the last byte arrives after this was set.
    pub(crate) answer_by: Rc<Cell<Option<Instant>>>,
    pub(crate) job: Weak<T::Job>,
    pub(crate) engine: Weak<dyn AbandonRequest>,
}

impl<T: Transport> PendingResponse<T> {
    /// Waits for the final answer, at most until shortly before the client's own timeout.
    pub async fn answer(&mut self) -> Answer<T::Reply> {
        let Some(answer) = self.answer.as_mut() else { return Answer::TimedOut };
        let deadline = async {
            let received_at = T::Job::body_received(self.job.clone()).await;
            let until_due = |due: Instant| due.saturating_duration_since(received_at);
            let time_limit =
                self.answer_by.get().map_or(self.time_limit, |due| self.time_limit.min(until_due(due)));
            tokio::time::sleep_until((received_at + time_limit).into()).await;
        };
        let answer = tokio::select! {
            biased;
            answer = answer => Some(answer),
            () = deadline => None,
        };
        match answer {
            Some(Ok(answer)) => {
                self.answer = None;
                answer
            }
            Some(Err(_)) => Answer::Failed,
            None => Answer::TimedOut,
        }
    }
}

impl<T: Transport> Drop for PendingResponse<T> {
    fn drop(&mut self) {
        if self.answer.is_none() {
            return;
        }
        if let Some(engine) = self.engine.upgrade() {
            engine.abandon(self.id);
        }
    }
}
