//! Requests from their arrival to their one final answer.

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

/// A client's request, in the decision module's terms.
pub struct IncomingRequest<J> {
    /// Its id is assigned by the engine.
    pub request: Request,
    /// What attempts carry.
    pub job: J,
    /// When its last byte came, or its head, where the rest is still to come: its time counts from then.
    pub received_at: Instant,
}

impl<T: Transport> Engine<T> {
    /// Takes a request in; its final answer comes by the handle that is returned.
    pub fn submit(&self, incoming: IncomingRequest<T::Job>) -> PendingResponse<T> {
        let IncomingRequest { mut request, job, received_at } = incoming;
        let state = &mut *self.state.borrow_mut();
        let (now, instant) = self.clock.read();
        let body_pending = job.body_pending();
        // Danger: between its arrival and now the process may have been held up, or have asked after the client.
        let passed =
            if body_pending { Duration::ZERO } else { instant.saturating_duration_since(received_at) };
        let client_patience = request.remaining.saturating_sub(passed.as_nanos() as Nanos);
        let margin = deadline_margin(client_patience);
        request.remaining = client_patience - margin;
        request.id = state.next_id;
        state.next_id += 1;
        // Danger: were routes and pools read at two times, a change of configuration could come between them.
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
        // With half of the margin left a request that the decision module has left unanswered is failed.
        let time_limit = Duration::from_nanos(client_patience - margin / 2);
        let engine = self.weak_self.clone();
        PendingResponse { id, answer: Some(answer), time_limit, job: Rc::downgrade(&job), engine }
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
            client_patience: request.remaining,
            deadline,
            answer_sender: Some(answer_sender),
            attempts: Vec::new(),
        }
    }

    /// Has the engine hear of the last byte of a request's body.
    fn watch_body(&self, id: RequestId, job: &T::Job) {
        let weak_self = self.weak_self.clone();
        job.on_body_received(move || {
            if let Some(engine) = weak_self.upgrade() {
                engine.body_received(id);
            }
        });
    }

    /// The last byte has come of a request that arrived before it: its time runs from now.
    fn body_received(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(&id) else { return };
        request.deadline = Some(now.saturating_add(request.client_patience));
        for attempt in request.attempts.iter_mut().filter(|attempt| !attempt.has_ended()) {
            attempt.sent_at = now;
            if let AttemptPhase::InFlight { started_at, .. } = &mut attempt.phase {
                *started_at = now;
            }
        }
        self.handle_event(state, Event::BodyReceived(id));
    }

    /// Gives the final answer, if none was given.
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
        // A client that has just left needs none.
        let _ = answer_sender.send(answer);
        self.close_request(state, id, events);
    }

    /// Ends what is in flight for a request that is over, where it may be cancelled. Danger: it would go on for nobody.
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
    /// The client has gone, or has been told that it is too late: nothing more is done for the request.
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
