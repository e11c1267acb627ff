//! The engine's mutable state, including open requests and their attempts.

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

/// The state that is changed by network events and by actions of the decision module.
pub struct EngineState<T: Transport> {
    pub balancer: Balancer,
    pub next_id: RequestId,
    pub requests: FxHashMap<RequestId, OpenRequest<T>>,
    /// `None` if only the decision module bounds the number of attempts in flight.
    pub limits: Option<Limits>,
    /// The configuration in force.
    pub config: Arc<EngineConfig>,
    /// The endpoint list as reported by discovery.
    pub endpoint_list: EndpointList,
    pub start_times: StartTimes,
}

impl<T: Transport> EngineState<T> {
    /// Returns an attempt of a request that still has unfinished attempts.
    pub fn attempt(&self, id: RequestId, number: usize) -> Option<&Attempt<T::Handle>> {
        self.requests.get(&id)?.attempts.get(number)
    }

    /// Removes a request that is answered and has no queued attempt and none in flight.
    pub fn forget_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(OpenRequest::is_finished) {
            self.requests.remove(&id);
        }
    }
}

/// A request that is not answered yet, or that still has unfinished attempts.
pub struct OpenRequest<T: Transport> {
    pub class: usize,
    pub tenant: Option<usize>,
    pub job: Rc<T::Job>,
    /// Whether attempts in flight may be cancelled, by the settings in force when the request arrived.
    pub may_cancel: bool,
    /// For how long nodes recognize a retry by its idempotency key; `None` if the class does not use one.
    pub idempotency_window: Option<Nanos>,
    /// The client's timeout, counted from the last byte of its request, less the margin for the network.
    pub client_timeout: Nanos,
    /// `None` until the last byte is received.
    pub deadline: Option<Nanos>,
    /// `None` once the final answer is sent.
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

    /// Returns the time left until the deadline, or the full timeout if the last byte has not been received.
    pub fn time_left(&self, now: Nanos) -> Nanos {
        self.deadline.map_or(self.client_timeout, |deadline| deadline.saturating_sub(now))
    }

    /// Returns the earliest sending time of all attempts before `number` that may have been executed.
    fn first_executed_before(&self, number: usize) -> Option<Nanos> {
        let earlier = self.attempts.iter().take(number);
        earlier.filter(|attempt| !attempt.never_executed).map(|attempt| attempt.sent_at).min()
    }

    /// Returns for how long nodes still recognize this attempt as a retry by its idempotency key; `None` if
    /// the request has no such key or no earlier attempt may have been executed.
    pub fn idempotency_time_left(&self, number: usize, now: Nanos) -> Option<Nanos> {
        let (first, window) = (self.first_executed_before(number)?, self.idempotency_window?);
        Some(first.saturating_add(window).saturating_sub(now))
    }

    /// Returns the numbers of the attempts that wait in a queue.
    pub fn queued_attempts(&self) -> Vec<usize> {
        let attempts = self.attempts.iter().enumerate();
        let queued = attempts.filter(|(_, attempt)| matches!(attempt.phase, AttemptPhase::Queued));
        queued.map(|(number, _)| number).collect()
    }
}

/// One attempt of a request at a node.
pub struct Attempt<H> {
    pub server: ServerId,
    /// When it was sent, or when the last byte of its request was received, if that was later.
    pub sent_at: Nanos,
    /// How long it may take after `sent_at`.
    pub time_limit: Nanos,
    pub phase: AttemptPhase<H>,
    /// Whether it is certain that the node never executed it.
    pub never_executed: bool,
}

impl<H> Attempt<H> {
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended)
    }

    pub fn is_in_flight(&self) -> bool {
        matches!(self.phase, AttemptPhase::InFlight { .. })
    }

    /// Returns what is left of the time limit, at least 1 ns.
    pub fn time_left(&self, now: Nanos) -> Nanos {
        self.time_limit.saturating_sub(now.saturating_sub(self.sent_at)).max(1)
    }
}

/// The phase of an attempt.
pub enum AttemptPhase<H> {
    /// It waits for capacity at its node; nothing has been sent.
    Queued,
    /// It was passed to the transport.
    InFlight { started_at: Nanos, handle: Rc<H>, task: AbortHandle },
    /// It has an outcome.
    Ended,
}
