//! A request's claim on its one final answer.

use crate::engine::Engine;
use crate::fleet::{Fleet, Job};
use aniseyoke_decision::api::RequestId;
use std::rc::Weak;
use std::time::Duration;
use tokio::sync::oneshot;

/// The final answer of a request.
pub enum Answer<R> {
    /// As a node gave it.
    Served(R),
    /// Not done, a repeat is harmless; with the advised wait.
    Refused(Duration),
    /// Failed, nothing promised.
    Failed,
    /// The module had no answer in time.
    Overdue,
}

/// A claim on one final answer. Dropped before the answer has come, it tells the module that the client left.
pub struct Ticket<F: Fleet> {
    pub(crate) id: RequestId,
    pub(crate) answered: Option<oneshot::Receiver<Answer<F::Reply>>>,
    pub(crate) guard: Duration,
    pub(crate) job: Weak<F::Job>,
    pub(crate) engine: Weak<Engine<F>>,
}

impl<F: Fleet> Ticket<F> {
    /// Waits for the final answer, at most until just before the client stops waiting.
    pub async fn answer(&mut self) -> Answer<F::Reply> {
        let Some(answered) = self.answered.as_mut() else { return Answer::Overdue };
        let late = async {
            F::Job::taken(self.job.clone()).await;
            tokio::time::sleep(self.guard).await;
        };
        let got = tokio::select! {
            biased;
            got = answered => Some(got),
            () = late => None,
        };
        match got {
            Some(Ok(answer)) => {
                self.answered = None;
                answer
            }
            Some(Err(_)) => Answer::Failed,
            None => Answer::Overdue,
        }
    }
}

impl<F: Fleet> Drop for Ticket<F> {
    fn drop(&mut self) {
        if self.answered.is_some() {
            if let Some(engine) = self.engine.upgrade() {
                engine.leave(self.id);
            }
        }
    }
}
