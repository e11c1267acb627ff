//! The engine, which owns the decision module and all requests, attempts and timers. It passes network events
//! to the decision module and executes the resulting actions. Each request gets exactly one final answer.

mod attempts;
mod configuration;
mod endpoints;
mod requests;
mod state;

pub use configuration::ReconfigureError;
pub use requests::IncomingRequest;

use crate::clock::Clock;
use crate::config::EngineConfig;
use crate::counters::RequestCounters;
use crate::endpoint_list::{Endpoint, EndpointList};
use crate::limits::{Limits, LimitsConfigError};
use crate::pending_response::Answer;
use crate::start_times::StartTimes;
use crate::transport::Transport;
use aniseyoke_decision::api::{Action, Event, ListKind, Nanos};
use aniseyoke_decision::Balancer;
use rustc_hash::FxHashMap;
use state::EngineState;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Counts of attempts that wait for capacity at their nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueStatus {
    /// Number of attempts waiting now.
    pub waiting: usize,
    /// Number of attempts rejected by the limits since the start.
    pub rejected: u64,
}

/// The owner of the decision module and of all requests, attempts and timers; sends attempts over a
/// transport.
pub struct Engine<T: Transport> {
    clock: Clock,
    state: RefCell<EngineState<T>>,
    transport: Rc<T>,
    /// Requests to subscribe to the endpoint list.
    discovery_requests: mpsc::UnboundedSender<()>,
    counters: Arc<RequestCounters>,
    /// Whether discovery has reported a list since the start.
    list_received: Cell<bool>,
    /// The time by which requests must be answered whose last byte arrives from now on, if there is one.
    answer_by: Rc<Cell<Option<Instant>>>,
    weak_self: Weak<Engine<T>>,
}

impl<T: Transport> Engine<T> {
    /// Creates an engine and starts its decision module with `known`, the last known endpoint list. A message
    /// on `discovery_requests` asks the receiver to subscribe to the endpoint list.
    ///
    /// # Errors
    /// If a key of the configuration's limits has an invalid value.
    pub fn new(
        config: Arc<EngineConfig>,
        seed: u64,
        known: &[Endpoint],
        transport: Rc<T>,
        discovery_requests: mpsc::UnboundedSender<()>,
    ) -> Result<Rc<Self>, LimitsConfigError> {
        let limits = config.limits.clone();
        let limits = limits.map(|limits| Limits::new(limits, &config.settings)).transpose()?;
        let state = EngineState {
            balancer: Balancer::new(config.settings.clone(), seed),
            next_id: 1,
            requests: FxHashMap::default(),
            limits,
            config,
            endpoint_list: EndpointList::default(),
            start_times: StartTimes::default(),
        };
        let engine = Rc::new_cyclic(|weak_self| Engine {
            clock: Clock::new(),
            state: RefCell::new(state),
            transport,
            discovery_requests,
            counters: Arc::default(),
            list_received: Cell::new(false),
            answer_by: Rc::default(),
            weak_self: weak_self.clone(),
        });
        engine.update_endpoints(ListKind::Cached, known);
        Ok(engine)
    }

    /// Sets the time by which each request must be answered whose last byte arrives from now on.
    pub fn set_answer_deadline(&self, deadline: Instant) {
        self.answer_by.set(Some(deadline));
    }

    /// Returns how long a request may take whose last byte arrives at `at`, at most `time`.
    pub fn time_limit(&self, at: Instant, time: Duration) -> Duration {
        Duration::from_nanos(self.limited_time(time.as_nanos() as Nanos, at))
    }

    /// Returns how long requests may take whose last byte arrives at `now`, at most `time`.
    fn limited_time(&self, time: Nanos, now: Instant) -> Nanos {
        let left = |deadline: Instant| deadline.saturating_duration_since(now).as_nanos() as Nanos;
        self.answer_by.get().map_or(time, |deadline| time.min(left(deadline)))
    }

    /// Whether any node is ready to serve requests.
    pub fn can_serve(&self) -> bool {
        self.transport.any_ready()
    }

    /// Returns the counters of requests by outcome, which other threads may read.
    pub fn counters(&self) -> Arc<RequestCounters> {
        self.counters.clone()
    }

    /// Returns the status of the queues; `None` if no limits are configured.
    pub fn queue_status(&self) -> Option<QueueStatus> {
        let state = self.state.borrow();
        let limits = state.limits.as_ref()?;
        Some(QueueStatus { waiting: limits.waiting(), rejected: limits.rejected() })
    }

    /// Passes an event to the decision module and executes its actions, then does the same for all events
    /// that result.
    fn handle_event(&self, state: &mut EngineState<T>, event: Event) {
        self.handle_events(state, VecDeque::from([event]));
    }

    fn handle_events(&self, state: &mut EngineState<T>, mut events: VecDeque<Event>) {
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(state, action, &mut events);
            }
        }
    }

    fn execute_action(&self, state: &mut EngineState<T>, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Send { id, server, timeout } => self.send_attempt(state, id, server, timeout, events),
            Action::AwaitResponse { id, attempt, max_pause } => {
                self.await_response(state, id, attempt as usize, max_pause);
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(state, id, attempt as usize, events),
            Action::Reject { id, retry_after } => {
                let retry_after = Duration::from_nanos(retry_after);
                self.answer_request(state, id, Answer::Rejected(retry_after), events);
            }
            Action::Fail { id } => self.answer_request(state, id, Answer::Failed, events),
            Action::Timer { token, delay } => self.schedule(delay, move |engine| {
                engine.handle_event(&mut engine.state.borrow_mut(), Event::Timer(token));
            }),
            Action::CloseIdle(server) => self.transport.close_idle(server),
            // Sending fails only at shutdown, when the receiver has been dropped.
            Action::Subscribe => drop(self.discovery_requests.send(())),
        }
    }

    /// Calls `callback` after a delay, if the engine still exists then.
    fn schedule(&self, delay: Nanos, callback: impl FnOnce(&Self) + 'static) {
        let weak_self = self.weak_self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_nanos(delay)).await;
            if let Some(engine) = weak_self.upgrade() {
                callback(&engine);
            }
        });
    }
}

#[cfg(test)]
mod tests;
