//! What the engine holds of open requests and their attempts.

use crate::config::EngineConfig;
use crate::endpoint_list::EndpointList;
use crate::limits::Limits;
use crate::pending_response::Answer;
use crate::start_times::StartTimes;
use crate::transport::Transport;
use aniseyoke_decision::api::{Nanos, RequestId, ServerId};
use aniseyoke_decision::Balancer;
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// All that events of the network and of the decision module change.
pub struct EngineState<T: Transport> {
    pub balancer: Balancer,
    pub next_id: RequestId,
    pub requests: FxHashMap<RequestId, OpenRequest<T>>,
    /// None where the decision module alone bounds what is in flight.
    pub limits: Option<Limits>,
    /// The configuration in force.
    pub config: Arc<EngineConfig>,
    /// The endpoint list as discovery reports it.
    pub endpoint_list: EndpointList,
    pub start_times: StartTimes,
}

impl<T: Transport> EngineState<T> {
    /// Drops a request that has had its answer and has no attempt in flight.
    pub fn forget_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(OpenRequest::is_finished) {
            self.requests.remove(&id);
        }
    }
}

/// A request without its final answer, or with attempts still in flight.
pub struct OpenRequest<T: Transport> {
    pub class: usize,
    pub tenant: Option<usize>,
    pub job: Rc<T::Job>,
    /// Attempts in flight may be cancelled, by the settings that it came under.
    pub may_cancel: bool,
    /// For how long nodes recognize a retry by its idempotency key, where the class has one.
    pub idempotency_window: Option<Nanos>,
    /// How long the client waits from its last byte on.
    pub client_patience: Nanos,
    /// None while that byte has not come.
    pub deadline: Option<Nanos>,
    /// None once the final answer is given.
    pub answer_sender: Option<oneshot::Sender<Answer<T::Reply>>>,
    pub attempts: Vec<Attempt<T::Handle>>,
}

impl<T: Transport> OpenRequest<T> {
    pub fn is_answered(&self) -> bool {
        self.answer_sender.is_none()
    }

    fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.iter().all(Attempt::has_ended)
    }

    /// Time until its deadline; all of the client's patience while its last byte has not come.
    pub fn time_left(&self, now: Nanos) -> Nanos {
        self.deadline.map_or(self.client_patience, |deadline| deadline.saturating_sub(now))
    }

    /// When an attempt before this one was first sent that may have been executed.
    fn first_executed_before(&self, number: usize) -> Option<Nanos> {
        let earlier = self.attempts.iter().take(number);
        earlier.filter(|attempt| !attempt.never_executed).map(|attempt| attempt.sent_at).min()
    }

    /// For how long nodes still recognize this attempt as a retry; `None` where they need not.
    pub fn idempotency_time_left(&self, number: usize, now: Nanos) -> Option<Nanos> {
        let (first, window) = (self.first_executed_before(number)?, self.idempotency_window?);
        Some(first.saturating_add(window).saturating_sub(now))
    }

    /// Numbers of the attempts that wait in a queue.
    pub fn queued_attempts(&self) -> Vec<usize> {
        let attempts = self.attempts.iter().enumerate();
        let queued = attempts.filter(|(_, attempt)| matches!(attempt.phase, AttemptPhase::Queued));
        queued.map(|(number, _)| number).collect()
    }
}

/// One attempt of a request at a node.
pub struct Attempt<H> {
    pub server: ServerId,
    /// When it was sent, or the last byte of its request came.
    pub sent_at: Nanos,
    /// How long it may take from then on.
    pub time_limit: Nanos,
    pub phase: AttemptPhase<H>,
    /// It is certain that the node never executed it.
    pub never_executed: bool,
}

impl<H> Attempt<H> {
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended)
    }

    pub fn is_in_flight(&self) -> bool {
        matches!(self.phase, AttemptPhase::InFlight { .. })
    }

    /// What is left of its time limit, at least a nanosecond.
    pub fn time_left(&self, now: Nanos) -> Nanos {
        self.time_limit.saturating_sub(now.saturating_sub(self.sent_at)).max(1)
    }
}

/// How far an attempt has come.
pub enum AttemptPhase<H> {
    /// It waits for capacity at its node; nothing of it was sent.
    Queued,
    /// It was handed to the transport.
    InFlight { started_at: Nanos, handle: Rc<H>, task: AbortHandle },
    /// Its outcome is known.
    Ended,
}
