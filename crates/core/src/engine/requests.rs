//! The life cycle of requests, from arrival to the final answer.

use super::state::{AttemptPhase, EngineState, OpenRequest};
use super::Engine;
use crate::counters::RequestOutcome;
use crate::deadline::deadline_margin;
use crate::pending_response::{AbandonRequest, Answer, PendingResponse};
use crate::transport::{Job, Transport};
use aniseyoke_decision::api::{Event, Idempotency, Nanos, Request, RequestId};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A client's request in the decision module's terms.
pub struct IncomingRequest<J> {
    /// The request; the engine assigns its id.
    pub request: Request,
    /// The transport's representation of the request, carried by attempts.
    pub job: J,
    /// When the last byte was received, or the head if the body is still incomplete. The client's timeout
    /// counts from then.
    pub received_at: Instant,
}

impl<T: Transport> Engine<T> {
    /// Accepts a request and returns a handle on its final answer.
    pub fn submit(&self, incoming: IncomingRequest<T::Job>) -> PendingResponse<T> {
        let IncomingRequest { mut request, job, received_at } = incoming;
        let state = &mut *self.state.borrow_mut();
        let (now, instant) = self.clock.read();
        let body_pending = job.body_pending();
        // Time may have elapsed since the request was received: the process may have been suspended, or may
        // have looked up the client.
        let elapsed =
            if body_pending { Duration::ZERO } else { instant.saturating_duration_since(received_at) };
        let client_timeout = request.remaining.saturating_sub(elapsed.as_nanos() as Nanos);
        let client_timeout = self.limited_time(client_timeout, instant);
        let margin = deadline_margin(client_timeout);
        request.remaining = client_timeout - margin;
        request.id = state.next_id;
        request.body_pending = body_pending;
        state.next_id += 1;
        // Routes and pools are read together, so that no change of configuration can happen between the two.
        let routes = &state.config.routing.table;
        if !routes.is_empty() {
            request.pool = routes.pool(Some(&request.class), request.tenant.as_ref(), job.key());
        }
        let (id, job) = (request.id, Rc::new(job));
        if body_pending {
            self.watch_body(id, &job);
        }
        let deadline = (!body_pending).then(|| now.saturating_add(request.remaining));
        let (answer_sender, answer) = oneshot::channel();
        let open = Self::open_request(state, &request, job.clone(), deadline, answer_sender);
        state.requests.insert(id, open);
        self.handle_event(state, Event::Arrival(request));
        // A request that the decision module leaves unanswered fails when half of the margin is left.
        let time_limit = Duration::from_nanos(client_timeout - margin / 2);
        let engine = self.weak_self.clone();
        let answer_by = self.answer_by.clone();
        PendingResponse { id, answer: Some(answer), time_limit, answer_by, job: Rc::downgrade(&job), engine }
    }

    fn open_request(
        state: &EngineState<T>,
        request: &Request,
        job: Rc<T::Job>,
        deadline: Option<Nanos>,
        answer_sender: oneshot::Sender<Answer<T::Reply>>,
    ) -> OpenRequest<T> {
        let settings = &state.config.settings;
        let class = settings.classes.get(request.class as usize);
        let with_key = class.filter(|class| class.idempotency == Idempotency::WithKey);
        OpenRequest {
            class: request.class as usize,
            tenant: request.tenant.map(|tenant| tenant as usize),
            job,
            may_cancel: settings.cancellation,
            idempotency_window: with_key.map(|class| class.dedup_window),
            client_timeout: request.remaining,
            deadline,
            answer_sender: Some(answer_sender),
            attempts: Vec::new(),
        }
    }

    /// Notifies the engine when the last byte of a request's body is received.
    fn watch_body(&self, id: RequestId, job: &T::Job) {
        let weak_self = self.weak_self.clone();
        job.on_body_received(move |received_at| {
            if let Some(engine) = weak_self.upgrade() {
                engine.body_received(id, received_at);
            }
        });
    }

    /// Handles the last byte of a request that arrived with an incomplete body: its time limits count from
    /// `received_at`.
    fn body_received(&self, id: RequestId, received_at: Instant) {
        let state = &mut *self.state.borrow_mut();
        let (now, instant) = self.clock.read();
        let Some(request) = state.requests.get_mut(&id) else { return };
        let elapsed = instant.saturating_duration_since(received_at);
        let received = now.saturating_sub(elapsed.as_nanos() as Nanos);
        let time_left = self.limited_time(request.client_timeout, received_at);
        request.deadline = Some(received.saturating_add(time_left));
        for attempt in request.attempts.iter_mut().filter(|attempt| !attempt.has_ended()) {
            attempt.sent_at = received;
            if let AttemptPhase::InFlight { started_at, .. } = &mut attempt.phase {
                *started_at = received;
            }
        }
        self.handle_event(state, Event::BodyReceived(id));
    }

    /// Sends the final answer to the client, if none was sent before.
    pub(super) fn answer_request(
        &self,
        state: &mut EngineState<T>,
        id: RequestId,
        answer: Answer<T::Reply>,
        events: &mut VecDeque<Event>,
    ) {
        let Some(request) = state.requests.get_mut(&id) else { return };
        let Some(answer_sender) = request.answer_sender.take() else { return };
        let rejected = matches!(answer, Answer::Rejected(_));
        self.counters.increment(if rejected { RequestOutcome::Rejected } else { RequestOutcome::Failed });
        // Sending fails if the client has just left.
        let _ = answer_sender.send(answer);
        self.close_request(state, id, events);
    }

    /// Ends a request: its queued attempts are cancelled, and so are those in flight, if the settings allow
    /// it. Otherwise nodes would work on attempts whose answers nobody waits for.
    fn close_request(&self, state: &mut EngineState<T>, id: RequestId, events: &mut VecDeque<Event>) {
        self.forbid_further_sends(state, id, events);
        let cancellable = state.requests.get(&id).filter(|request| request.may_cancel);
        for number in 0..cancellable.map_or(0, |request| request.attempts.len()) {
            self.cancel_attempt(state, id, number, events);
        }
        state.forget_if_finished(id);
    }
}

impl<T: Transport> AbandonRequest for Engine<T> {
    /// Ends a request whose client has left or has been sent a timeout.
    fn abandon(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(&id) else { return };
        if request.answer_sender.take().is_none() {
            return;
        }
        self.handle_event(state, Event::ClientLeft(id));
        let mut events = VecDeque::new();
        self.close_request(state, id, &mut events);
        self.handle_events(state, events);
    }
}
