//! A request's one final answer, and the handle by which its client waits for it.

use crate::transport::{Job, Transport};
use aniseyoke_decision::api::RequestId;
use std::rc::Weak;
use std::time::Duration;
use tokio::sync::oneshot;

/// The final answer of a request.
pub enum Answer<R> {
    /// The answer of a node.
    Served(R),
    /// Rejected and never executed, so that a retry does no harm; with the wait advised before it, or zero.
    Rejected(Duration),
    /// Failed; it may have been executed.
    Failed,
    /// The decision module gave no answer in time.
    TimedOut,
}

/// Whoever is to hear that nobody waits for a request's answer any more.
pub(crate) trait AbandonRequest {
    /// Nobody waits for this request's answer any more.
    fn abandon(&self, id: RequestId);
}

/// A handle on a request's final answer. Dropped before the answer has come, it tells the engine that the client left.
pub struct PendingResponse<T: Transport> {
    pub(crate) id: RequestId,
    /// None once the answer has come.
    pub(crate) answer: Option<oneshot::Receiver<Answer<T::Reply>>>,
    /// How long to wait after the last byte of the request.
    pub(crate) time_limit: Duration,
    pub(crate) job: Weak<T::Job>,
    pub(crate) engine: Weak<dyn AbandonRequest>,
}

impl<T: Transport> PendingResponse<T> {
    /// Waits for the final answer, at most until just before the client stops waiting.
    pub async fn answer(&mut self) -> Answer<T::Reply> {
        let Some(answer) = self.answer.as_mut() else { return Answer::TimedOut };
        let deadline = async {
            T::Job::body_received(self.job.clone()).await;
            tokio::time::sleep(self.time_limit).await;
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
