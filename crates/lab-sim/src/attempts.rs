//! Attempts that proxies send to members: opening a connection, arrival, reply, and the outcome that is
//! reported to the decision module.

use super::counts::Cause;
use super::proxy::{ProxyAttempt, SimProxy};
use super::ramp::ColdArrival;
use super::run::EPOCH;
use super::*;
use aniseyoke_decision::api::{Event, Outcome, ServerId, Status};
use aniseyoke_lab_day::Idempotency;
use aniseyoke_lab_load::Outcome as ClientOutcome;
use aniseyoke_lab_world::{Attempt, ProcessState};

impl Sim {
    pub(super) fn send(&mut self, proxy: u32, id: u64, server: ServerId, timeout: Nanos) {
        let now = self.now;
        let Some(member) = self.member(server) else { return };
        let origin = self.world.is_origin(member);
        let target = self.target_column(member);
        let second = self.second(now);
        let sim_proxy = &mut self.proxies[proxy as usize];
        self.counts.drain_violations += u64::from(sim_proxy.violates_drain(EPOCH + now, server));
        let Some(pending) = sim_proxy.pending.get_mut(&id) else { return };
        let left = pending.deadline.saturating_sub(now);
        let index = pending.attempts.len() as u32;
        self.attempt_count += 1;
        let attempt_id = self.attempt_count;
        pending.attempts.push(ProxyAttempt { server, attempt_id, sent: now, ended: false });
        let idle_connection = sim_proxy.connection(now, server);
        self.in_flight.insert(
            attempt_id,
            InFlightAttempt {
                proxy,
                request: id,
                index,
                member,
                new_connection: idle_connection.is_none(),
                reached: false,
                dead: false,
                origin,
                permit_by: None,
            },
        );
        if is_answered(sim_proxy, id) || left == 0 {
            return self.end_attempt(attempt_id, Status::NotSent);
        }
        if idle_connection == Some(false) {
            self.counts.reused += 1;
        }
        if let Some(s) = self.counts.at(second) {
            s.sent[target] += 1;
        }
        let wait = if timeout == 0 { left } else { timeout.min(left) };
        self.schedule_after(wait, SimEvent::AttemptTimeout(attempt_id));
        if idle_connection.is_none() {
            // As in the real proxy, an attempt waits for a permit for at most half of its timeout.
            self.in_flight.get_mut(&attempt_id).into_iter().for_each(|o| o.permit_by = Some(now + wait / 2));
            return self.open_connection(attempt_id);
        }
        let delay = self.network_delay();
        self.schedule_after(delay, SimEvent::AttemptArrival(attempt_id));
    }

    /// Opens a connection for an attempt, or waits for a permit to do so.
    pub(super) fn open_connection(&mut self, attempt_id: AttemptId) {
        let now = self.now;
        let Some(attempt) = self.in_flight.get(&attempt_id) else { return };
        let (proxy, member, origin, by) =
            (attempt.proxy, attempt.member, attempt.origin, attempt.permit_by.unwrap_or(now));
        let server = self.server(member);
        if let Some((permits, _)) = &mut self.proxies[proxy as usize].permits {
            if let Err(wait) = permits.try_acquire(EPOCH + now, server) {
                if now + wait > by {
                    return self.end_attempt(attempt_id, Status::NotSent);
                }
                return self.schedule_after(wait, SimEvent::OpenConnection(attempt_id));
            }
        }
        self.connection_load.opened(now, member, origin);
        let second = self.second(now);
        self.counts.at(second).into_iter().for_each(|s| s.opened += 1);
        let delay = 3 * self.network_delay();
        self.schedule_after(delay, SimEvent::AttemptArrival(attempt_id));
    }

    /// Handles the arrival of an attempt's last byte at its member.
    pub(super) fn attempt_arrived(&mut self, attempt_id: AttemptId) {
        let Some(attempt) = self.in_flight.get_mut(&attempt_id) else { return };
        let (proxy, request, member, new_connection) =
            (attempt.proxy, attempt.request, attempt.member, attempt.new_connection);
        match self.world.process(member) {
            ProcessState::Up => {}
            ProcessState::Down => {
                let reply = if new_connection { AttemptReply::ConnectFailed } else { AttemptReply::Reset };
                let delay = self.network_delay();
                return self.schedule_after(delay, SimEvent::AttemptReply(attempt_id, reply));
            }
            ProcessState::Silent if new_connection => {
                return self.schedule_after(
                    CONNECT_TIMEOUT,
                    SimEvent::AttemptReply(attempt_id, AttemptReply::ConnectFailed),
                )
            }
            ProcessState::Silent => return,
        }
        attempt.reached = true;
        let origin = attempt.origin;
        self.connection_load.in_flight(member, origin, true);
        if let Some((started, allowed)) = self.world.slow_start_budget(member, self.now) {
            let server = self.server(member);
            let notified = self.proxies[proxy as usize].knows_start(server, EPOCH + started);
            self.ramp.arrived(self.now, ColdArrival { member, started, allowed, notified });
        }
        let Some(pending) = self.proxies[proxy as usize].pending.get(&request) else { return };
        let client = &self.clients[pending.client as usize];
        let world_attempt = Attempt {
            attempt_id,
            member,
            request: mix(u64::from(proxy), request, 0xa5c),
            class: Some(pending.class),
            key: client.arrival.key,
            write: self.day.load.classes[pending.class].write,
            idempotency_key: Some(client.arrival.number),
        };
        let mut effects = std::mem::take(&mut self.effects);
        self.world.arrive(self.now, world_attempt, &mut effects);
        self.effects = effects;
    }

    /// Handles a response, or the end of the connection, at the proxy.
    pub(super) fn attempt_replied(&mut self, attempt_id: AttemptId, reply: AttemptReply) {
        let Some(attempt) = self.in_flight.get(&attempt_id).filter(|o| !o.dead) else { return };
        let (proxy, member, origin) = (attempt.proxy, attempt.member, attempt.origin);
        if !origin && !matches!(reply, AttemptReply::ConnectFailed | AttemptReply::Reset) {
            if let Some(load) = self.world.load(self.now, member) {
                let server = self.server(member);
                self.feed(proxy, Event::LoadReport { server, load });
            }
        }
        match reply {
            AttemptReply::Served { hit } => self.served(attempt_id, hit),
            AttemptReply::Miss => self.end_attempt(attempt_id, Status::Miss),
            AttemptReply::Error => self.end_attempt(attempt_id, Status::Error),
            AttemptReply::Rejected => self.end_attempt(attempt_id, Status::Rejected),
            AttemptReply::ConnectFailed => self.end_attempt(attempt_id, Status::ConnectFailed),
            AttemptReply::Reset => self.end_attempt(attempt_id, Status::Reset),
        }
    }

    pub(super) fn served(&mut self, attempt_id: AttemptId, hit: bool) {
        let Some(attempt) = self.in_flight.get(&attempt_id) else { return };
        let (proxy, id) = (attempt.proxy, attempt.request);
        let Some(pending) = self.proxies[proxy as usize].pending.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut pending.answered, true);
        let (slot, number, arrived) = (pending.client, pending.attempt_number, pending.arrived);
        if first {
            let latency_objective = nanos(self.day.load.classes[pending.class].latency_objective);
            let late = self.now > self.clients[slot as usize].due + latency_objective;
            let cause = match (late, hit) {
                (true, _) => Cause::Late,
                (_, true) => Cause::Hit,
                _ => Cause::Fetched,
            };
            self.count(arrived, cause);
        }
        self.end_attempt_as(attempt_id, Status::Ok, Some(hit));
        if first {
            self.attempt_ended(slot, number, ClientOutcome::Served, None);
        }
    }

    pub(super) fn end_attempt(&mut self, attempt_id: AttemptId, status: Status) {
        self.end_attempt_as(attempt_id, status, (status == Status::Miss).then_some(false));
    }

    /// Ends an attempt and reports its outcome to the decision module.
    pub(super) fn end_attempt_as(&mut self, attempt_id: AttemptId, status: Status, hit: Option<bool>) {
        let Some(attempt) = self.in_flight.remove(&attempt_id) else { return };
        if attempt.reached {
            self.connection_load.in_flight(attempt.member, attempt.origin, false);
        }
        let (proxy, id, index) = (attempt.proxy, attempt.request, attempt.index);
        let usable = matches!(status, Status::Ok | Status::Miss | Status::Error | Status::Rejected);
        if !usable {
            let mut effects = std::mem::take(&mut self.effects);
            self.world.cancel(attempt_id, &mut effects);
            self.effects = effects;
        }
        if status == Status::Timeout {
            let target = self.target_column(attempt.member);
            let second = self.second(self.now);
            self.counts.at(second).into_iter().for_each(|s| s.timed_out[target] += 1);
        }
        let now = self.now;
        let sim_proxy = &mut self.proxies[proxy as usize];
        let Some(pending) = sim_proxy.pending.get_mut(&id) else { return };
        let Some(proxy_attempt) = pending.attempts.get_mut(index as usize) else { return };
        proxy_attempt.ended = true;
        let (server, elapsed) = (proxy_attempt.server, now - proxy_attempt.sent);
        pending.last = Some((status, attempt.origin));
        let last = pending.answered;
        if usable {
            sim_proxy.idle.entry(server).or_default().push((now, !attempt.new_connection));
        }
        let outcome = Outcome { id, attempt: index, server, status, elapsed, last, hit };
        self.feed(proxy, Event::Outcome(outcome));
        self.proxies[proxy as usize].remove_if_done(id);
    }

    pub(super) fn cancel_attempt(&mut self, proxy: u32, id: u64, number: usize) {
        let pending = self.proxies[proxy as usize].pending.get(&id);
        let attempt = pending.and_then(|p| p.attempts.get(number)).filter(|a| !a.ended);
        if let Some(attempt_id) = attempt.map(|a| a.attempt_id) {
            self.end_attempt(attempt_id, Status::Cancelled);
        }
    }

    /// Handles the end of a member's process: resets the attempts in flight at it and drops idle connections
    /// to it.
    pub(super) fn reset_member(&mut self, member: usize) {
        let server = self.server(member);
        self.proxies.iter_mut().for_each(|h| drop(h.idle.remove(&server)));
        let mut broken: Vec<AttemptId> =
            self.in_flight.iter().filter(|(_, o)| o.member == member && o.reached).map(|(t, _)| *t).collect();
        broken.sort_unstable();
        for attempt_id in broken {
            let delay = self.network_delay();
            self.schedule_after(delay, SimEvent::AttemptReply(attempt_id, AttemptReply::Reset));
        }
    }

    /// Counts the execution of a non-idempotent write for its client's request, over all attempts.
    pub(super) fn write_executed(&mut self, attempt_id: AttemptId) {
        let Some(number) = self.non_idempotent_request(attempt_id) else { return };
        let executions = self.executions.entry(number).or_insert(0);
        *executions += 1;
        self.counts.executed_twice += u64::from(*executions == 2);
    }

    pub(super) fn non_idempotent_request(&self, attempt_id: AttemptId) -> Option<u64> {
        let attempt = self.in_flight.get(&attempt_id)?;
        let pending = self.proxies[attempt.proxy as usize].pending.get(&attempt.request)?;
        let non_idempotent = self.day.load.classes[pending.class].idempotency == Idempotency::NotIdempotent;
        non_idempotent.then(|| self.clients[pending.client as usize].arrival.number)
    }

    /// The column of a member in the counts: warm nodes, cold nodes, or the origin.
    fn target_column(&self, member: usize) -> usize {
        if self.world.is_origin(member) {
            2
        } else {
            usize::from(self.world.is_cold(member, self.now))
        }
    }
}

fn is_answered(sim_proxy: &SimProxy, id: u64) -> bool {
    sim_proxy.pending.get(&id).is_none_or(|p| p.answered)
}
