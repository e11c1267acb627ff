//! Admission control: which part of the requests is rejected unsent because servers answer too many late,
//! those of little priority first.
//!
//! Requests are judged in windows of arrival. Once what became of a window's requests is known, the
//! admitted parts move by the part of them that was late or rejected.

use super::request::FailureCause;
use super::*;

/// The part late of a window past which less is admitted: well over what a silent fifth of the servers makes.
const LATE: f64 = 0.35;
/// The part late or rejected past which requests of low priority are rejected; below half of it more are
/// admitted.
const BUSY: f64 = 0.1;
/// How much faster what is admitted grows again while hardly anything is late. Danger: growing alike slowly
/// in any case, one silence has half of all rejected for a minute after it, with the servers idle.
const REGAIN: f64 = 0.9;
/// Requests with less than this part of the usual weight for their time are of low priority.
const LOW_PRIORITY: f64 = 0.5;
/// Fewer requests than this say nothing against the servers; the window stays open for more, for a while.
const REQUESTS_LEAST: f64 = 8.0;
/// The least part of all requests that is admitted.
const ADMITTED_LEAST: f64 = 0.05;
/// The least part of the requests of low priority that is admitted.
const LOW_PRIORITY_LEAST: f64 = 0.02;
/// The part that a rejection by a server counts as late, where new connections have a price.
const REJECTED_AS_LATE: f64 = 0.5;

/// What became of the requests that arrived in a window of time.
#[derive(Clone, Default)]
struct Window {
    from: Nanos,
    /// When it closed to new arrivals.
    until: Option<Nanos>,
    sent: f64,
    ended: f64,
    late: f64,
    rejected: f64,
    /// Weight and time of all requests asked for, for the usual weight of a second's work.
    weight: f64,
    time: f64,
}

impl Window {
    fn holds(&self, arrived: Nanos, end: Nanos) -> bool {
        (self.from..self.until.unwrap_or(end)).contains(&arrived)
    }
}

/// What is admitted.
pub struct Admission {
    /// The settings in force.
    pub settings: Arc<Settings>,
    window: Window,
    /// Usual weight of a second's work.
    usual_weight: f64,
    /// The part of the requests that is admitted.
    admitted: f64,
    /// The part of those of low priority that is admitted of these.
    low_priority_admitted: f64,
    /// What each tenant may still send within its quota.
    pub(super) quotas: Vec<TokenBucket>,
}

impl Admission {
    /// Everything is admitted.
    pub fn new(settings: Arc<Settings>) -> Self {
        let quotas = vec![TokenBucket { tokens: 1.0, refilled_at: 0 }; settings.tenants.len()];
        Admission {
            settings,
            window: Window::default(),
            usual_weight: 0.0,
            admitted: 1.0,
            low_priority_admitted: 1.0,
            quotas,
        }
    }

    /// The part of the requests that is admitted, of those of low priority or of the others.
    pub fn admitted(&self, low_priority: bool) -> f64 {
        self.admitted * if low_priority { self.low_priority_admitted } else { 1.0 }
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self) {
        self.window.sent += indicator(self.window.until.is_none());
    }

    /// Takes note of how a request that was sent has ended; `earned` is the part of its weight that its
    /// answer had.
    pub fn record_end(&mut self, request: &ActiveRequest, earned: f64) {
        // One that came past its objective could not have been in time: it says nothing of the servers.
        let counts = request.judges_servers && !request.attempts.is_empty();
        if counts && self.window.holds(request.arrived, Nanos::MAX) {
            self.window.ended += 1.0;
            match request.failure_cause {
                _ if earned > 0.0 => {}
                FailureCause::Late => self.window.late += 1.0,
                FailureCause::Overloaded => self.window.rejected += 1.0,
                FailureCause::Other => {}
            }
        }
    }

    /// Moves the admitted parts by what became of those of one window that were sent. What was rejected
    /// unsent says nothing, or rejecting would feed itself.
    fn adjust(&mut self, now: Nanos, settle: Nanos, window: Window) {
        let ended = window.ended.max(REQUESTS_LEAST);
        let (late, busy) = (window.late / ended, (window.late + window.rejected) / ended);
        if window.time > 0.0 {
            self.usual_weight = window.weight / window.time;
        }
        // The windows of a proxy with little traffic last long: what is admitted again goes by time, or it
        // would take minutes.
        let steps = (now.saturating_sub(window.from) as f64 / (1.5 * settle as f64)).clamp(1.0, 8.0);
        let growth = |ill: f64| (1.1 + REGAIN * (1.0 - ill).max(0.0)).powf(steps);
        // By chance a few of a small window go wrong.
        let chance = 1.5 * (BUSY / window.ended.max(1.0)).sqrt();
        if busy > BUSY + chance {
            self.low_priority_admitted = (self.low_priority_admitted * 0.5).max(LOW_PRIORITY_LEAST);
        } else if busy < BUSY / 2.0 + chance {
            let grown = self.low_priority_admitted * growth(busy / (BUSY / 2.0 + chance));
            self.low_priority_admitted = (grown + 0.01 * steps).min(1.0);
        }
        // To be rejected costs a handshake; where those have a price, hammering full servers is waste.
        let waste = if self.settings.handshake_cost > 0.0 { REJECTED_AS_LATE } else { 0.0 };
        let late = late + waste * window.rejected / ended;
        if late > LATE {
            self.admitted = (self.admitted * (1.0 - late).max(0.1)).max(ADMITTED_LEAST);
        } else if late < LATE / 2.0 {
            self.admitted = (self.admitted * growth(late / (LATE / 2.0)) + 0.02 * steps).min(1.0);
        }
    }
}

impl Balancer {
    /// The usual latency objective: what most of a window's requests came to is known by then.
    fn settling_time(&self) -> Nanos {
        let classes = self.settings.classes.iter().zip(self.traffic.latencies());
        let each = classes.map(|(c, latency)| (c.latency_objective as f64, latency.count + 0.1));
        let (sum, count) = each.fold((0.0, 1e-9), |(sum, n), (time, count)| (sum + time * count, n + count));
        ((sum / count) as Nanos).clamp(100 * MS, 4 * SECOND)
    }

    /// Closes a window to new arrivals once enough have come, and judges it once what came of these is known.
    /// Danger: judging by what ends just now answers to the load of before, and swings between all and none.
    fn judge_window(&mut self, now: Nanos) {
        let settle = self.settling_time();
        let window = &mut self.admission.window;
        let Some(until) = window.until else {
            let age = now.saturating_sub(window.from);
            if window.sent >= REQUESTS_LEAST && age >= settle / 2 || age >= 4 * settle {
                window.until = Some(now);
            }
            return;
        };
        if now < until.saturating_add(settle) {
            return;
        }
        let mut window = std::mem::replace(window, Window { from: now, ..Window::default() });
        let overdue = self.overdue(now, &window);
        (window.late, window.ended) = (window.late + overdue, window.ended + overdue);
        self.admission.adjust(now, settle, window);
    }

    /// The requests of a window that are still in flight: they have run past their objective. Danger: where
    /// clients wait for longer, servers that answer nothing would not be seen until they give up. What
    /// waits at the origin is not the servers' doing.
    fn overdue(&self, now: Nanos, window: &Window) -> f64 {
        let overdue = self.requests.values().filter(|r| {
            let last = r.attempts.last().and_then(|a| self.servers.get(a.server));
            let at_servers = !r.fetch_expected || self.origin.is_healthy();
            at_servers
                && window.holds(r.arrived, now)
                && last.is_some_and(|s| self.servers.can_be_candidate(s))
        });
        overdue.count() as f64
    }

    /// The part of a class's and tenant's requests to reject unsent: those of low priority for their work
    /// first.
    pub(super) fn rejected_part(&mut self, now: Nanos, request: &mut ActiveRequest) -> f64 {
        self.judge_window(now);
        let time = self.traffic.latency(Some(request.class)).mean.max(1.0);
        let class = self.settings.classes.get(request.class);
        let mut weight = class.map_or(1.0, |c| c.priority_weight.max(1e-9));
        if self.settings.weight_by_work {
            weight *= time;
        }
        let admission = &mut self.admission;
        if !admission.within_quota(now, request.tenant, 0.0) {
            weight *= self.settings.over_quota_weight.clamp(0.0, 1.0);
        }
        admission.window.weight += weight;
        admission.window.time += time;
        let ratio = weight / time / admission.usual_weight.max(1e-30);
        let mut admitted = 1.0 - (1.0 - admission.admitted).powf(ratio.clamp(0.25, 4.0));
        request.low_priority = ratio < LOW_PRIORITY && admission.usual_weight > 0.0;
        if request.low_priority {
            admitted *= admission.low_priority_admitted;
        }
        1.0 - admitted
    }
}
