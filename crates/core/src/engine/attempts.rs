//! The life cycle of attempts, from the decision module's action to the outcome.

use super::state::{Attempt, AttemptPhase, EngineState};
use super::Engine;
use crate::counters::RequestOutcome;
use crate::limits::{Admission, AdmissionRequest, CompletedAttempt, QueueAction};
use crate::pending_response::Answer;
use crate::transport::{AttemptHandle, AttemptOutcome, ResponseWait, Transport};
use aniseyoke_decision::api::{Event, Nanos, Outcome, RequestId, ServerId, Status};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

impl<T: Transport> Engine<T> {
    /// Sends an attempt, or queues it if its node has no capacity.
    pub(super) fn send_attempt(
        &self,
        state: &mut EngineState<T>,
        id: RequestId,
        server: ServerId,
        timeout: Nanos,
        events: &mut VecDeque<Event>,
    ) {
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(&id) else { return };
        let number = request.attempts.len();
        let time_left = request.time_left(now);
        let time_limit = if timeout == 0 { time_left } else { timeout.min(time_left) };
        let phase = AttemptPhase::Queued;
        request.attempts.push(Attempt { server, sent_at: now, time_limit, phase, never_executed: false });
        if request.is_answered() || time_left == 0 {
            return self.end_attempt(state, id, number, Status::NotSent, None, events);
        }
        let Some(limits) = state.limits.as_mut() else { return self.start_attempt(state, id, number) };
        let admission_request = AdmissionRequest {
            attempt: (id, number),
            server,
            class: request.class,
            tenant: request.tenant,
            deadline: now.saturating_add(time_limit),
        };
        let mut actions = Vec::new();
        match limits.admit(now, admission_request, &mut actions) {
            Admission::Admitted => self.start_attempt(state, id, number),
            Admission::Queued(wait) => {
                self.schedule(wait, move |engine| engine.queue_wait_expired(id, number));
            }
            Admission::Rejected => self.end_attempt(state, id, number, Status::Rejected, None, events),
        }
        self.execute_queue_actions(state, actions, events);
    }

    /// Passes an admitted attempt to the transport.
    pub(super) fn start_attempt(&self, state: &mut EngineState<T>, id: RequestId, number: usize) {
        let (now, instant) = self.clock.read();
        let Some(request) = state.requests.get_mut(&id) else { return };
        let job = request.job.clone();
        // A retry may be written long after it was decided on: it may wait in a queue and for a slow
        // connection.
        let idempotency_time_left = request.idempotency_time_left(number, now);
        let Some(attempt) = request.attempts.get_mut(number) else { return };
        let time_limit = Duration::from_nanos(attempt.time_left(now));
        let handle = Rc::new(T::Handle::default());
        if let Some(window_left) = idempotency_time_left {
            handle.forbid_writing_after(instant, Duration::from_nanos(window_left));
        }
        let weak_self = self.weak_self.clone();
        handle.on_response_started(move || {
            if let Some(engine) = weak_self.upgrade() {
                engine.response_started(id, number);
            }
        });
        let transport = self.transport.clone();
        let exchange = transport.attempt(attempt.server, job, instant, time_limit, handle.clone());
        let weak_self = self.weak_self.clone();
        let task = tokio::task::spawn_local(async move {
            let outcome = exchange.await;
            if let Some(engine) = weak_self.upgrade() {
                engine.attempt_ended(id, number, outcome);
            }
        });
        attempt.phase = AttemptPhase::InFlight { started_at: now, handle, task: task.abort_handle() };
    }

    /// Handles the first byte of the answer to an attempt.
    fn response_started(&self, id: RequestId, number: usize) {
        let state = &mut *self.state.borrow_mut();
        let in_flight = state.attempt(id, number).is_some_and(Attempt::is_in_flight);
        if in_flight {
            self.handle_event(state, Event::ResponseStarted { id, attempt: number as u32 });
        }
    }

    /// Lets an attempt whose answer has begun to arrive go on until the client gives up.
    pub(super) fn await_response(
        &self,
        state: &EngineState<T>,
        id: RequestId,
        number: usize,
        max_pause: Nanos,
    ) {
        let (now, instant) = self.clock.read();
        let Some(request) = state.requests.get(&id) else { return };
        let Some(AttemptPhase::InFlight { handle, .. }) = request.attempts.get(number).map(|a| &a.phase)
        else {
            return;
        };
        handle.await_response(ResponseWait {
            since: request.deadline.is_some().then_some(instant),
            time_limit: Duration::from_nanos(request.time_left(now)),
            max_pause: (max_pause > 0).then(|| Duration::from_nanos(max_pause)),
        });
    }

    /// Handles the outcome of an attempt that ended without being cancelled.
    fn attempt_ended(&self, id: RequestId, number: usize, outcome: AttemptOutcome<T::Reply>) {
        let state = &mut *self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get(number).filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        let server = attempt.server;
        let mut events: VecDeque<Event> =
            outcome.load.map(|load| Event::LoadReport { server, load }).into_iter().collect();
        let mut is_final_answer = false;
        if let Some(answer) = outcome.answer {
            if let Some(answer_sender) = request.answer_sender.take() {
                // Sending fails if the client has just left.
                let _ = answer_sender.send(Answer::Served(answer));
                self.counters.increment(RequestOutcome::Served);
                is_final_answer = true;
            }
        }
        self.end_attempt(state, id, number, outcome.status, outcome.hit, &mut events);
        if is_final_answer {
            self.forbid_further_sends(state, id, &mut events);
        }
        self.handle_events(state, events);
    }

    /// Rejects an attempt that has waited for capacity for the maximum time.
    fn queue_wait_expired(&self, id: RequestId, number: usize) {
        let state = &mut *self.state.borrow_mut();
        let now = self.clock.now();
        let limits = state.limits.as_mut();
        if limits.is_some_and(|limits| limits.wait_expired(now, (id, number))) {
            let mut events = VecDeque::new();
            self.end_attempt(state, id, number, Status::Rejected, None, &mut events);
            self.handle_events(state, events);
        }
    }

    fn execute_queue_actions(
        &self,
        state: &mut EngineState<T>,
        actions: Vec<QueueAction>,
        events: &mut VecDeque<Event>,
    ) {
        for action in actions {
            match action {
                QueueAction::Start((id, number)) => self.start_attempt(state, id, number),
                QueueAction::Reject((id, number)) => {
                    self.end_attempt(state, id, number, Status::Rejected, None, events);
                }
            }
        }
    }

    /// Records the outcome of an attempt, notifies the decision module, and starts attempts that waited for
    /// its capacity.
    fn end_attempt(
        &self,
        state: &mut EngineState<T>,
        id: RequestId,
        number: usize,
        status: Status,
        hit: Option<bool>,
        events: &mut VecDeque<Event>,
    ) {
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(&id) else { return };
        let (class, last) = (request.class, request.is_answered());
        let Some(attempt) = request.attempts.get_mut(number) else { return };
        let phase = std::mem::replace(&mut attempt.phase, AttemptPhase::Ended);
        attempt.never_executed = status.never_ran();
        let (server, elapsed) = (attempt.server, now.saturating_sub(attempt.sent_at));
        let outcome = Outcome { id, attempt: number as u32, server, status, elapsed, last, hit };
        events.push_back(Event::Outcome(outcome));
        if let AttemptPhase::InFlight { started_at, .. } = phase {
            let elapsed = now.saturating_sub(started_at);
            let completed = CompletedAttempt { server, class, status, elapsed, cache_hit: hit };
            self.free_capacity(state, now, completed, events);
        }
        state.forget_if_finished(id);
    }

    /// Releases the capacity of an attempt that was in flight, and starts attempts that waited for it.
    fn free_capacity(
        &self,
        state: &mut EngineState<T>,
        now: Nanos,
        completed: CompletedAttempt,
        events: &mut VecDeque<Event>,
    ) {
        let Some(limits) = state.limits.as_mut() else { return };
        let mut actions = Vec::new();
        if let Some(limit) = limits.attempt_completed(now, completed, &mut actions) {
            events.push_back(Event::ConcurrencyLimit { server: completed.server, limit });
        }
        self.execute_queue_actions(state, actions, events);
    }

    /// Cancels an attempt: if in flight, its connection is closed; if queued, it is removed from the queue.
    pub(super) fn cancel_attempt(
        &self,
        state: &mut EngineState<T>,
        id: RequestId,
        number: usize,
        events: &mut VecDeque<Event>,
    ) {
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(number) else { return };
        let status = match &attempt.phase {
            AttemptPhase::InFlight { handle, task, .. } => {
                handle.abort();
                task.abort();
                Status::Cancelled
            }
            AttemptPhase::Queued => {
                if let Some(limits) = state.limits.as_mut() {
                    limits.cancel(now, (id, number));
                }
                Status::NotSent
            }
            AttemptPhase::Ended => return,
        };
        self.end_attempt(state, id, number, status, None, events);
    }

    /// Stops all sending for a request after its final answer: in-flight attempts write nothing more, and
    /// queued ones are cancelled.
    pub(super) fn forbid_further_sends(
        &self,
        state: &mut EngineState<T>,
        id: RequestId,
        events: &mut VecDeque<Event>,
    ) {
        let Some(request) = state.requests.get(&id) else { return };
        for attempt in &request.attempts {
            if let AttemptPhase::InFlight { handle, .. } = &attempt.phase {
                handle.forbid_writing();
            }
        }
        for number in request.queued_attempts() {
            self.cancel_attempt(state, id, number, events);
        }
    }
}
