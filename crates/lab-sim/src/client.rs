//! Requests of clients: their attempts, and whether and when a client retries.

use super::*;
use aniseyoke_lab_day::Idempotency;
use aniseyoke_lab_load::{attempt_limits, retry_delay, Arrival, ClientBehavior, Outcome, ABORT_DELAY};

/// A client's request that has not ended.
pub struct ClientRequest {
    pub arrival: Arrival,
    /// The id of its current attempt.
    pub request_id: u64,
    /// The number of the current attempt, from 0.
    pub attempt_number: u32,
    /// The proxy that handles the current attempt, and the request id at that proxy.
    pub proxy_request: Option<(u32, u64)>,
    /// The time at which the request is due, measured from the start of the warm-up.
    pub due: Nanos,
    /// Set for requests of the crowd: the maximum number of retries.
    pub crowd: Option<u32>,
    pub outcome: Outcome,
}

/// Delay before a client of the crowd retries.
const CROWD_RETRY_DELAY: Nanos = 5 * MILLISECOND;

impl Sim {
    /// Starts the day's next request and schedules the one after it.
    pub(super) fn next_request_due(&mut self) {
        let Some(arrival) = self.arrivals.next() else { return };
        self.start_request(arrival, None);
        if let Some(next) = self.arrivals.peek() {
            let at = next.due;
            self.queue.push(at, SimEvent::NextRequest);
        }
    }

    pub(super) fn start_crowd_request(&mut self) {
        let Some(crowd) = self.options.crowd.clone() else { return };
        let end = self.reported_from + nanos(crowd.at + crowd.length);
        if self.now >= end {
            return;
        }
        let mut rng = rand::SeedableRng::seed_from_u64(mix(self.day.seed, 0xc0d, self.crowd));
        let rng: &mut rand::rngs::Xoshiro256PlusPlus = &mut rng;
        let key = self.key_space.draw(rng);
        self.crowd += 1;
        let arrival = Arrival {
            number: (1 << 40) + self.crowd,
            due: self.now,
            class: 0,
            tenant: crowd.tenant,
            key,
            body: 0,
            behavior: ClientBehavior::Normal,
            honors_retry_after: false,
            impatient: false,
        };
        self.start_request(arrival, Some(crowd.retries));
        let gap = -(1.0 - self.draw()).ln() / crowd.rate.max(1e-9) * SECOND as f64;
        self.schedule_after(gap as Nanos, SimEvent::CrowdRequest);
    }

    fn start_request(&mut self, arrival: Arrival, crowd: Option<u32>) {
        let due = arrival.due;
        let client = ClientRequest {
            arrival,
            request_id: 0,
            attempt_number: 0,
            proxy_request: None,
            due,
            crowd,
            outcome: Outcome::Unreachable,
        };
        let slot = self.free_clients.pop().unwrap_or(self.clients.len() as u32);
        if slot as usize == self.clients.len() {
            self.clients.push(client);
        } else {
            self.clients[slot as usize] = client;
        }
        let first = self.second(due);
        self.counts.at(first).into_iter().for_each(|s| s.first += 1);
        self.start_attempt(slot);
    }

    /// Chooses the proxy that an attempt is sent to.
    fn choose_proxy(&mut self, slot: u32) -> u32 {
        let all = self.weights.last().copied().unwrap_or(1.0);
        let fraction = match (self.clients[slot as usize].crowd, &self.options.crowd) {
            (Some(_), Some(crowd)) => crowd.proxies,
            _ => 1.0,
        };
        let drawn = self.draw() * fraction * all;
        self.weights.partition_point(|sum| *sum <= drawn).min(self.proxies.len() - 1) as u32
    }

    /// Sends a client's next attempt, or ends the request if less than 5 ms remain.
    pub(super) fn start_attempt(&mut self, slot: u32) {
        let client = &self.clients[slot as usize];
        let class = &self.day.load.classes[client.arrival.class];
        let deadline_at = client.due + nanos(class.deadline);
        let left = deadline_at.saturating_sub(self.now);
        let (_, patience) = attempt_limits(&self.day, &client.arrival, left);
        if left < 5 * MILLISECOND {
            return self.end_request(slot);
        }
        let aborts = client.arrival.behavior == ClientBehavior::AbortsWaiting;
        let number = client.attempt_number;
        let request_id = mix(self.day.seed ^ 0x1d5, client.arrival.number, u64::from(number));
        self.clients[slot as usize].request_id = request_id;
        let second = self.second(self.now);
        self.counts.at(second).into_iter().for_each(|s| s.attempts += 1);
        let proxy = self.choose_proxy(slot);
        if aborts {
            self.schedule_after(nanos(ABORT_DELAY), SimEvent::ClientAbort(slot, number));
        }
        self.arrive(proxy, slot, patience);
    }

    /// Handles the end of a client's attempt: ends the request or schedules a retry.
    pub(super) fn attempt_ended(
        &mut self,
        slot: u32,
        number: u32,
        outcome: Outcome,
        retry_after: Option<Duration>,
    ) {
        let client = &mut self.clients[slot as usize];
        if client.attempt_number != number || client.proxy_request.is_none() {
            return;
        }
        client.proxy_request = None;
        client.outcome = outcome;
        if outcome == Outcome::Served
            && self.now > client.due + nanos(self.day.load.classes[client.arrival.class].latency_objective)
        {
            client.outcome = Outcome::Late;
        }
        let class = &self.day.load.classes[client.arrival.class];
        let max_retries = client.crowd.unwrap_or(attempt_limits(&self.day, &client.arrival, 0).0);
        let done = matches!(client.outcome, Outcome::Served | Outcome::Late | Outcome::Left);
        // A client cannot tell whether a non-idempotent request was executed, so it does not retry it.
        let maybe_executed = class.idempotency == Idempotency::NotIdempotent && outcome != Outcome::Refused;
        if done || maybe_executed || number >= max_retries {
            return self.end_request(slot);
        }
        let retry_after = retry_after.filter(|_| client.arrival.honors_retry_after);
        let delay = if client.crowd.is_some() {
            CROWD_RETRY_DELAY
        } else {
            nanos(retry_delay(&self.day, &client.arrival, number, retry_after))
        };
        client.attempt_number += 1;
        self.schedule_after(delay, SimEvent::ClientAttempt(slot));
    }

    /// Records the outcome of a request and releases its slot.
    fn end_request(&mut self, slot: u32) {
        let client = &self.clients[slot as usize];
        let latency = self.now.saturating_sub(client.due);
        let class = &self.day.load.classes[client.arrival.class];
        if let Some(since) = client.due.checked_sub(self.reported_from) {
            let stats = if client.crowd.is_some() { &mut self.counts.crowd } else { &mut self.counts.stats };
            stats.add(
                client.arrival.class,
                client.arrival.tenant,
                client.outcome,
                since,
                latency,
                class.weight,
            );
        }
        self.free_clients.push(slot);
    }
}
