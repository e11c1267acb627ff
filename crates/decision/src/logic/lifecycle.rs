//! The lifecycle of a request: its admission or rejection, its attempts with their timeouts, and its single
//! final answer.

use super::*;

/// The wait that a rejection advises while nothing is overloaded.
const SHORT_RETRY_AFTER: Nanos = 50 * MS;
/// The fraction of an advised wait that is random. Without it, clients rejected at the same time would all
/// retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.5;

impl Balancer {
    /// Handles an arriving request: sends it to a server, or gives it its final answer at once.
    pub(super) fn arrival(&mut self, now: Nanos, r: Request, actions: &mut Vec<Action>) {
        self.traffic.record_arrival(now);
        self.retry_budget.earn(r.tenant.map(|t| t as usize));
        let index = r.class as usize;
        let class = self.settings.classes.get(index).cloned().unwrap_or_default();
        let objective = self.time_to_objective(&r, &class);
        let pool = r.pool.map(|p| p as usize);
        let bucket = r.key.map(|key| self.buckets.bucket_of(index, pool, key));
        let hopeless = self.is_hopeless(index, objective, &class);
        let mut request = ActiveRequest {
            class: index,
            pool,
            bucket,
            write: r.write,
            body_pending: r.body_pending,
            objective_at: now.saturating_add(objective),
            deadline: now.saturating_add(r.remaining),
            tenant: r.tenant.map(|t| t as usize),
            arrived: now,
            judges_servers: !self.is_short(index, objective, &class),
            settings: self.settings.clone(),
            ..ActiveRequest::default()
        };
        let rejection_probability = self.rejection_probability(now, &mut request);
        let mut rejected =
            hopeless || rejection_probability > 0.0 && self.random.draw() < rejection_probability;
        let mut spread = 1;
        if let Some(bucket) = bucket.filter(|_| !rejected) {
            spread = self.record_in_bucket(now, bucket);
            // A bucket that was not read yet may be cached all the same, so its requests are not rejected
            // while fetches are in time.
            let cache_state = self.buckets.cache_state(bucket);
            request.fetch_expected = !self.settings.cache_aside && !r.write && !cache_state.cached;
            rejected = self.origin_rejects(&request, cache_state.read);
        }
        let drawn = self.random.draw();
        let target = match (rejected, self.settings.cache_aside && r.write) {
            (true, _) => None,
            (_, true) => self.choose_origin(now, &request, drawn),
            _ => self.choose_server(now, &request, spread),
        };
        self.requests.insert(r.id, request);
        match target {
            Some(server) if r.remaining > 0 => {
                self.admission.record_sent();
                self.send(now, r.id, server, actions);
            }
            _ => self.give_up(now, r.id, actions),
        }
    }

    /// Counts a request in its bucket; returns the number of servers that share the bucket.
    fn record_in_bucket(&mut self, now: Nanos, bucket: u32) -> usize {
        self.buckets.rank(&self.servers, bucket);
        let (arrivals, servers) = (self.traffic.arrivals.sum, self.servers.eligible_count);
        self.buckets.record_request(now, bucket, arrivals, servers)
    }

    /// Sends an attempt if the rules and slow start allow it; otherwise gives up on the request unless
    /// another attempt is in flight.
    pub(super) fn send(&mut self, now: Nanos, id: RequestId, index: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let eligible = self.is_eligible(now, request, self.servers.at(index));
        let (class, fetch, in_flight) = (request.class, request.fetch_expected, request.has_pending());
        if !(eligible && self.slow_start_admits(now, index)) {
            if !in_flight {
                self.give_up(now, id, actions);
            }
            return;
        }
        // All attempts spend their slow start permits here, after every other check.
        self.slow_start_spend(now, index, class);
        let to_origin = self.servers.is_origin(self.servers.at(index));
        if to_origin || fetch {
            self.origin.in_flight += 1.0;
        }
        let after_ejection = self.record_send(now, index);
        let entry = &self.servers.at(index).entry;
        let (server, zone, cell) = (entry.server, entry.zone, entry.cell);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent: now,
            pending: true,
            response_started: None,
            may_have_run: false,
        });
        let timeout = self.attempt_timeout(now, id, to_origin, after_ejection, actions);
        actions.push(Action::Send { id, server, timeout });
    }

    /// Counts an attempt at its server; returns whether it is the first one after an ejection.
    fn record_send(&mut self, now: Nanos, index: u32) -> bool {
        let threshold = self.ejection_threshold(now);
        self.servers.in_flight += 1.0;
        let s = self.servers.at_mut(index);
        s.in_flight += 1.0;
        let after_ejection = s.failure_evidence >= 0.5 * threshold && s.ejection_time > 0;
        if after_ejection {
            // Prevents a second attempt there before the answer to this one is due.
            s.ejected_until = now.saturating_add(s.ejection_time.max(SECOND));
        }
        after_ejection
    }

    /// Returns the timeout of the attempt that a request has just started; 0: until the client gives up.
    /// Starts the timer of a hedged request if one may follow.
    fn attempt_timeout(
        &self,
        now: Nanos,
        id: RequestId,
        to_origin: bool,
        after_ejection: bool,
        actions: &mut Vec<Action>,
    ) -> Nanos {
        let Some(request) = self.requests.get(&id) else { return 0 };
        let attempts_left = (request.attempts.len() as u32) < request.settings.max_attempts;
        let time_left = request.time_left(now);
        let class = self.settings.classes.get(request.class);
        let repeatable = class.is_some_and(Class::may_repeat);
        let delay = self.hedging_delay(request.class, time_left, after_ejection);
        // Work for an answer that has lost all its value would delay other requests.
        let worthless_late = time_left > 0.0 && class.is_some_and(|c| c.late_weight <= 0.0);
        let timeout = if worthless_late { time_left as Nanos } else { 0 };
        let in_time = delay + self.traffic.latency(Some(request.class)).mean < time_left;
        if !(repeatable && attempts_left && !to_origin && in_time) {
            return timeout;
        }
        if request.settings.hedging {
            // Without hedging, a lost answer or a hung server would hold the request until its objective.
            // While all servers are slow, the delay exceeds the time left and no hedged request is sent.
            actions.push(Action::Timer { token: hedging::TOKEN_BIT | id, delay: delay as Nanos });
            timeout
        } else if self.settings.cache_aside {
            delay as Nanos
        } else {
            timeout
        }
    }

    /// Handles the end of an attempt: updates the statistics, then ends the request or takes its next step.
    pub(super) fn outcome(&mut self, now: Nanos, o: Outcome, actions: &mut Vec<Action>) {
        if self.servers.attempt_ended(now, &o, actions) {
            self.failure_rates.record_connect(o.status);
        }
        let to_origin = self.servers.get(o.server).is_some_and(|s| self.servers.is_origin(s));
        let known = self.requests.get(&o.id).map(|request| (request.class, request.fetch_expected));
        let class = known.map(|(class, _)| class);
        let fetch = to_origin || known.is_some_and(|(_, fetch)| fetch);
        let cut_short = self.was_cut_short(now, &o, class);
        if fetch {
            let wait = self.wait_for_response(&o);
            self.origin.record_fetch(now, class, &o, wait, self.failure_rates.failures);
        }
        // If the server does not report hit or miss, an answer no slower than usual counts as a hit.
        let usual = self.traffic.latency(class).mean_plus(2.0);
        self.record_outcome(now, &o, class, cut_short);
        let Some(request) = self.requests.get_mut(&o.id) else { return };
        if let Some(attempt) = request.attempts.get_mut(o.attempt as usize) {
            attempt.pending = false;
            attempt.may_have_run = !o.status.never_ran();
        }
        request.failure_cause = FailureCause::of(&o, fetch);
        if request.failure_cause == FailureCause::Late && request.response_started_in_time() {
            request.failure_cause = FailureCause::Other;
        }
        self.learn_from_answer(&o, to_origin, (o.elapsed as f64) < usual);
        if o.last {
            self.finish(now, &o, actions);
        } else {
            self.proceed(now, &o, to_origin, actions);
        }
    }

    /// Whether an attempt ended because its client waits for less than the latency objective. Such an attempt
    /// was not late yet; counting it as a failure would eject healthy servers.
    fn was_cut_short(&self, now: Nanos, o: &Outcome, class: Option<usize>) -> bool {
        let objective = class.and_then(|c| self.settings.classes.get(c)).map_or(0, |c| c.latency_objective);
        let over = self.requests.get(&o.id).is_some_and(|r| now.saturating_add(MS) >= r.deadline);
        over && o.status == Status::Timeout && o.elapsed < objective
    }

    /// Records what an answer shows about the cached copies of the bucket and the work of the class; `soon`
    /// if it was no slower than usual.
    fn learn_from_answer(&mut self, o: &Outcome, to_origin: bool, soon: bool) {
        let Some(request) = self.requests.get(&o.id) else { return };
        let answered = o.status == Status::Ok;
        let counts = !request.write && !matches!(o.status, Status::Cancelled | Status::NotSent);
        if let Some(bucket) = request.bucket.filter(|_| counts) {
            self.buckets.record_read(bucket, o.server, answered, o.hit.unwrap_or(soon));
        }
        if answered && o.hit != Some(false) && !to_origin {
            self.work.record_answer(request.class, o.elapsed);
        }
    }

    /// Ends a request that has its answer: records the result and cancels the attempts still in flight, but
    /// for those whose end is to show whether their servers hang.
    fn finish(&mut self, now: Nanos, o: &Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_request(o.id) else { return };
        let class = self.settings.classes.get(request.class);
        let (late_weight, objective) = class.map_or((0.0, 0), |c| (c.late_weight, c.latency_objective));
        let served = o.status == Status::Ok;
        let mut weight_fraction = 0.0;
        if served {
            self.admission.within_quota(now, request.tenant, 1.0);
            weight_fraction = if now <= request.objective_at { 1.0 } else { late_weight };
        }
        self.admission.record_end(&request, weight_fraction);
        self.record_wait(now, &request, served);
        if request.settings.cancellation {
            let cancelled = |a: &Attempt| a.pending && !request.may_finish_response(a, objective);
            let pending = request.attempts.iter().enumerate().filter(|(_, a)| cancelled(a));
            actions.extend(pending.map(|(n, _)| Action::Cancel { id: o.id, attempt: n as u32 }));
        }
    }

    /// Removes a request and releases its fetches at the origin.
    fn remove_request(&mut self, id: RequestId) -> Option<ActiveRequest> {
        let request = self.requests.remove(&id)?;
        if request.fetch_expected {
            self.origin.release(request.attempts.iter().filter(|a| a.pending).count() as f64);
        }
        Some(request)
    }

    /// Handles a client that disconnected: the request ends without an answer.
    pub(super) fn client_left(&mut self, now: Nanos, id: RequestId) {
        let Some(mut request) = self.remove_request(id) else { return };
        // A client that disconnects early is no sign of late servers; counting it as one would reject too
        // much.
        request.judges_servers &= now >= request.objective_at;
        self.record_unserved(now, &request);
    }

    /// Handles the end of a request's body: its time limits count from now.
    pub(super) fn body_received(&mut self, now: Nanos, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.body_pending = false;
            let shift = now.saturating_sub(std::mem::replace(&mut request.arrived, now));
            request.objective_at += shift;
            request.deadline += shift;
        }
    }

    /// Records a request that was not served.
    fn record_unserved(&mut self, now: Nanos, request: &ActiveRequest) {
        self.admission.record_end(request, 0.0);
        self.record_wait(now, request, false);
    }

    /// Gives a request its final answer when no further attempt is possible: a rejection if a retry is safe,
    /// a failure otherwise.
    pub(super) fn give_up(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_request(id) else { return };
        self.record_unserved(now, &request);
        let class = self.settings.classes.get(request.class);
        let ran = request.attempts.iter().any(|a| a.pending || a.may_have_run);
        let retry_is_safe = match class.map_or(Idempotency::NonIdempotent, |c| c.idempotency) {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !ran || class.is_some_and(|c| c.group == Group::All),
            Idempotency::NonIdempotent => !ran,
        };
        if !retry_is_safe {
            return actions.push(Action::Fail { id });
        }
        let worthless_late = class.is_some_and(|c| c.late_weight <= 0.0);
        let too_late = now >= request.objective_at && !request.attempts.is_empty() && worthless_late;
        let retry_after = self.advised_wait(too_late, request.low_priority);
        actions.push(Action::Reject { id, retry_after });
    }

    /// Returns the wait that a rejection advises: a short one for the fraction of requests that would be
    /// admitted then, a long one for the rest. If all rejected clients were advised a long wait while only a
    /// few requests in a hundred are rejected, these clients would not return at all.
    fn advised_wait(&mut self, too_late: bool, low_priority: bool) -> Nanos {
        let long_wait = too_late || self.random.draw() > self.admission.admitted(low_priority);
        let max_wait = if long_wait { Nanos::MAX } else { SHORT_RETRY_AFTER };
        let max_wait = self.settings.max_retry_after.min(max_wait) as f64;
        (max_wait * (1.0 - RETRY_AFTER_JITTER * self.random.draw())) as Nanos
    }
}
