//! The event loop: takes the next event from the queue, passes it to the decision modules and the site model,
//! and counts.

use super::counts::Cause;
use super::proxy::{PendingRequest, SimProxy};
use super::*;
use aniseyoke_decision::api::{
    server_id, Action, Entry, Event, ListKind, Nanos as Time, Request, ServerId, State, Status,
};
use aniseyoke_lab_load::Outcome as ClientOutcome;
use aniseyoke_lab_world::{Delivery, Endpoint, EndpointState, ProcessState, Reply};

/// Start of the decision module's clock. It is above 0 because a start time of 0 means long ago to the
/// module.
pub(super) const EPOCH: Time = 1_000 * SECOND;
/// Without a list service, a proxy receives the list this long after it subscribes.
const LIST_DELAY: Nanos = 5 * MILLISECOND;

impl Sim {
    pub(super) fn start(&mut self) {
        self.world.speed_up_origin(0, WARM_UP_ORIGIN_SPEED);
        for p in 0..self.proxies.len() {
            self.proxies[p].version = self.world.endpoint_list().version();
            let entries =
                self.world.endpoint_list().all().into_iter().map(|endpoint| self.entry(endpoint)).collect();
            self.feed(p as u32, Event::EndpointList { kind: ListKind::Cached, entries });
        }
        if let Some(first) = self.arrivals.peek() {
            let due = first.due;
            self.queue.push(due, SimEvent::NextRequest);
        }
        self.queue.push(self.reported_from, SimEvent::DayBegins);
        if let Some(crowd) = &self.options.crowd {
            self.queue.push(self.reported_from + nanos(crowd.at), SimEvent::CrowdRequest);
        }
    }

    /// Runs the simulation until the day is over and every request has ended.
    pub fn run(mut self) -> Counts {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            if self.finished(event) {
                break;
            }
            self.handle(event);
            self.advance_model();
        }
        self.counts.events = self.queue.pushed();
        self.counts.load = self.connection_load.load();
        self.counts.slow_start = self.ramp.stats();
        self.counts
    }

    /// Whether the day is over and every request has ended.
    fn finished(&self, next: SimEvent) -> bool {
        let ended = self.now > self.reported_from + nanos(self.day.length);
        ended && !next.is_load() && self.clients.len() == self.free_clients.len()
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::NextRequest => self.next_request_due(),
            SimEvent::CrowdRequest => self.start_crowd_request(),
            SimEvent::WorldDue => {}
            SimEvent::DayBegins => {
                self.world.speed_up_origin(self.now, 1.0);
                self.world.begin(self.now);
            }
            SimEvent::ClientAttempt(slot) => self.start_attempt(slot),
            SimEvent::ClientAbort(slot, number) => {
                let client = &self.clients[slot as usize];
                if let Some((proxy, request)) =
                    client.proxy_request.filter(|_| client.attempt_number == number)
                {
                    self.abandon(proxy, request, Cause::Left);
                    self.attempt_ended(slot, number, ClientOutcome::Left, None);
                }
            }
            SimEvent::Deadline(proxy, request) => self.deadline_reached(proxy, request),
            SimEvent::Timer(proxy, token) => self.feed(proxy, Event::Timer(token)),
            SimEvent::AttemptArrival(attempt_id) => self.attempt_arrived(attempt_id),
            SimEvent::AttemptReply(attempt_id, reply) => self.attempt_replied(attempt_id, reply),
            SimEvent::AttemptTimeout(attempt_id) => self.end_attempt(attempt_id, Status::Timeout),
            SimEvent::ListAnswer(proxy) => self.list_answered(proxy),
            SimEvent::ListCall(proxy) => self.list_call_arrived(proxy),
            SimEvent::WatchExpiry(proxy, number) => self.watch_expired(proxy, number),
            SimEvent::ListFailure(proxy, rejected) => self.list_call_failed(proxy, rejected),
            SimEvent::OpenConnection(attempt_id) => self.open_connection(attempt_id),
        }
    }

    /// Advances the model to the current time, applies its effects and schedules its next event.
    fn advance_model(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        self.world.tick(self.now, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(effect);
        }
        self.effects = effects;
        if let Some(due) = self.world.next_due() {
            if self.world_due != Some(due) {
                self.world_due = Some(due);
                self.queue.push(due.max(self.now), SimEvent::WorldDue);
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { attempt_id, reply: Reply::Served { .. }, delivery: Delivery::Stuck } => {
                if let Some(in_flight) = self.in_flight.get_mut(&attempt_id) {
                    in_flight.dead = true;
                }
            }
            Effect::Reply { attempt_id, reply, delivery } => {
                let reply = match (reply, delivery) {
                    (Reply::Served { hit, .. }, Delivery::Unmodified | Delivery::Fragmented(_)) => {
                        AttemptReply::Served { hit }
                    }
                    (Reply::Served { .. }, Delivery::Truncated) => AttemptReply::Reset,
                    (Reply::Served { .. }, _) | (Reply::Error, _) => AttemptReply::Error,
                    (Reply::Miss, _) => AttemptReply::Miss,
                    (Reply::Rejected, _) => {
                        let origin = self.in_flight.get(&attempt_id).is_some_and(|o| o.origin);
                        self.connection_load.rejected(origin);
                        AttemptReply::Rejected
                    }
                };
                let delay = self.network_delay();
                self.schedule_after(delay, SimEvent::AttemptReply(attempt_id, reply));
            }
            Effect::Executed(attempt_id) => self.write_executed(attempt_id),
            Effect::ProcessState(member, ProcessState::Down) => self.reset_member(member),
            Effect::HalfOpen(member) => {
                // Attempts in flight receive no reply; idle connections are dropped.
                let server = self.server(member);
                self.proxies.iter_mut().for_each(|h| drop(h.idle.remove(&server)));
                let affected = self.in_flight.values_mut().filter(|o| o.member == member && o.reached);
                affected.for_each(|o| o.dead = true);
            }
            Effect::NodeOverloaded(_) => {
                self.counts.node_overloads += u64::from(self.now >= self.reported_from)
            }
            Effect::OriginOverloaded(_) => {
                self.counts.origin_overloads += u64::from(self.now >= self.reported_from)
            }
            Effect::Listed(_) => self.list_changed(),
            Effect::Cancelled(_)
            | Effect::Joined(_)
            | Effect::ProcessState(..)
            | Effect::Discovery(_)
            | Effect::RestartProxy(_) => {}
        }
    }

    pub(super) fn server(&self, member: usize) -> ServerId {
        server_id(self.world.name(member).0)
    }

    fn entry(&self, endpoint: Endpoint) -> Entry {
        let (id, kind) = self.world.name(endpoint.member);
        let kinds = &self.day.site.cache.kinds;
        Entry {
            server: server_id(id),
            zone: 0,
            kind: kinds.iter().position(|k| k.name == kind).unwrap_or(kinds.len()) as u32,
            cell: 0,
            state: match endpoint.state {
                EndpointState::Ready => State::Ready,
                EndpointState::Draining => State::Draining,
                EndpointState::Gone => State::Gone,
            },
            weight: 1.0,
            started: endpoint.started.map_or(0, |at| EPOCH + at),
        }
    }

    /// Delivers to a proxy the list changes since its version, or the full list.
    pub(super) fn deliver_list(&mut self, proxy: u32) {
        let since = self.proxies[proxy as usize].version;
        let (kind, endpoints) =
            match self.world.endpoint_list().since(since).filter(|_| self.proxies[proxy as usize].subscribed)
            {
                Some(endpoints) => (ListKind::Delta, endpoints),
                None => (ListKind::Full, self.world.endpoint_list().all()),
            };
        self.proxies[proxy as usize].version = self.world.endpoint_list().version();
        self.proxies[proxy as usize].subscribed = true;
        let entries = endpoints.into_iter().map(|endpoint| self.entry(endpoint)).collect();
        self.feed(proxy, Event::EndpointList { kind, entries });
    }

    /// Passes an event to a proxy's decision module and performs the resulting actions.
    pub(super) fn feed(&mut self, proxy: u32, event: Event) {
        self.proxies[proxy as usize].feed(EPOCH + self.now, event);
        let mut actions = std::mem::take(&mut self.proxies[proxy as usize].actions);
        for action in actions.drain(..) {
            self.perform(proxy, action);
        }
        if self.proxies[proxy as usize].actions.is_empty() {
            self.proxies[proxy as usize].actions = actions;
        }
    }

    fn perform(&mut self, proxy: u32, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(proxy, id, server, timeout),
            // Simulated answers arrive whole, so that none is announced by its first byte.
            Action::AwaitResponse { .. } => {}
            Action::Cancel { id, attempt } => self.cancel_attempt(proxy, id, attempt as usize),
            Action::Reject { id, retry_after } => {
                self.answer(proxy, id, ClientOutcome::Refused, Some(Duration::from_nanos(retry_after)));
            }
            Action::Fail { id } => self.answer(proxy, id, ClientOutcome::Failed, None),
            Action::Timer { token, delay } => self.schedule_after(delay, SimEvent::Timer(proxy, token)),
            Action::CloseIdle(server) => drop(self.proxies[proxy as usize].idle.remove(&server)),
            Action::Subscribe if self.options.list.is_some() => self.call_list(proxy, true),
            Action::Subscribe => self.schedule_after(LIST_DELAY, SimEvent::ListAnswer(proxy)),
        }
    }

    /// Handles the arrival of a client's attempt at a proxy.
    pub(super) fn arrive(&mut self, proxy: u32, slot: u32, patience: Nanos) {
        let client = &self.clients[slot as usize];
        let arrival = client.arrival;
        let class = &self.day.load.classes[arrival.class];
        let (write, sim_proxy) = (class.write, &mut self.proxies[proxy as usize]);
        let (id, remaining) =
            sim_proxy.accept(self.now, slot, client.attempt_number, arrival.class, patience);
        self.clients[slot as usize].proxy_request = Some((proxy, id));
        self.schedule_after(SimProxy::deadline(patience), SimEvent::Deadline(proxy, id));
        let request = Request {
            id,
            class: arrival.class as u32,
            tenant: Some(arrival.tenant as u32),
            pool: None,
            key: Some(arrival.key),
            remaining,
            write,
            retry: false,
            body_pending: false,
        };
        self.feed(proxy, Event::Arrival(request));
    }

    pub(super) fn member(&mut self, server: ServerId) -> Option<usize> {
        for m in self.members_by_server.len()..self.world.members() {
            let server = self.server(m);
            self.members_by_server.insert(server, m);
        }
        self.members_by_server.get(&server).copied()
    }

    /// Handles the module's final rejection or failure of a request.
    pub(super) fn answer(&mut self, proxy: u32, id: u64, outcome: ClientOutcome, wait: Option<Duration>) {
        let Some(pending) = self.proxies[proxy as usize].pending.get_mut(&id) else { return };
        if std::mem::replace(&mut pending.answered, true) {
            self.counts.answered_twice += 1;
            return;
        }
        let (slot, number, arrived) = (pending.client, pending.attempt_number, pending.arrived);
        let cause = failure_cause(pending);
        self.count(arrived, cause);
        self.end_attempts(proxy, id);
        self.attempt_ended(slot, number, outcome, wait);
    }

    pub(super) fn count(&mut self, arrived: Nanos, cause: Cause) {
        let second = self.second(arrived);
        let at = super::CAUSES.iter().position(|c| *c == cause).unwrap_or(0);
        self.counts.at(second).into_iter().for_each(|s| s.causes[at] += 1);
    }

    /// Cancels the attempts in flight of a request that has ended.
    pub(super) fn end_attempts(&mut self, proxy: u32, id: u64) {
        let attempts = self.proxies[proxy as usize].pending.get(&id).map_or(0, |p| p.attempts.len());
        (0..attempts).for_each(|number| self.cancel_attempt(proxy, id, number));
        self.proxies[proxy as usize].remove_if_done(id);
    }

    /// Ends a request whose client has disconnected or whose deadline has passed; returns whether it was
    /// still open.
    fn abandon(&mut self, proxy: u32, id: u64, cause: Cause) -> bool {
        let Some(pending) = self.proxies[proxy as usize].pending.get_mut(&id) else { return false };
        if std::mem::replace(&mut pending.answered, true) {
            return false;
        }
        let arrived = pending.arrived;
        self.count(arrived, cause);
        self.feed(proxy, Event::ClientLeft(id));
        self.end_attempts(proxy, id);
        true
    }

    pub(super) fn deadline_reached(&mut self, proxy: u32, id: u64) {
        let pending = self.proxies[proxy as usize].pending.get(&id);
        let Some((slot, number)) = pending.map(|p| (p.client, p.attempt_number)) else { return };
        if self.abandon(proxy, id, Cause::Unanswered) {
            self.attempt_ended(slot, number, ClientOutcome::Failed, None);
        }
    }
}

/// The cause of a request's failure, derived from the end of its last attempt.
fn failure_cause(pending: &PendingRequest) -> Cause {
    match pending.last {
        None => Cause::RejectedUnsent,
        Some((Status::Miss, _)) => Cause::OriginNotAsked,
        Some((Status::Timeout, false)) => Cause::NodeTimeout,
        Some((Status::Timeout, true)) => Cause::OriginTimeout,
        Some((_, false)) => Cause::NodeFailed,
        Some((_, true)) => Cause::OriginFailed,
    }
}
