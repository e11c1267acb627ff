//! Admission control: the fraction of requests that is rejected unsent because servers answer too many late.
//! Requests of low priority are rejected first.
//!
//! Requests are grouped into windows by their arrival. Once the outcomes of a window's requests are known,
//! the admitted fractions are adjusted by the fraction that was late or rejected.

use super::request::FailureCause;
use super::*;

/// Late fraction of a window above which less is admitted. It is well above the late fraction that results
/// when a fifth of the servers does not answer.
const LATE_THRESHOLD: f64 = 0.35;
/// Late or rejected fraction of a window above which fewer requests of low priority are admitted; below half
/// of it, more are admitted.
const BUSY_THRESHOLD: f64 = 0.1;
/// How much faster the admitted fraction grows while hardly any request is late. With the same slow growth in
/// every case, half of all requests were rejected for a minute after a single hang, with the servers idle.
const FAST_GROWTH: f64 = 0.9;
/// Requests with less than this fraction of the usual priority weight for their time are of low priority.
const LOW_PRIORITY_RATIO: f64 = 0.5;
/// Minimum number of requests that a window is judged by; the window stays open for longer to reach it, up to
/// a limit.
const MIN_REQUESTS: f64 = 8.0;
/// Minimum admitted fraction of all requests.
const MIN_ADMITTED: f64 = 0.05;
/// Minimum admitted fraction of the requests of low priority.
const MIN_LOW_PRIORITY_ADMITTED: f64 = 0.02;
/// The fraction of a late request that a rejection by a server counts for, if new connections have a cost.
const REJECTION_LATE_WEIGHT: f64 = 0.5;

/// Outcomes of the requests that arrived in a window of time.
#[derive(Clone, Default)]
struct Window {
    from: Nanos,
    /// Time at which it closed to new arrivals.
    until: Option<Nanos>,
    sent: f64,
    ended: f64,
    late: f64,
    rejected: f64,
    /// Sum of the priority weights of all its requests, including the rejected ones.
    weight: f64,
    /// Sum of the mean answer times of the classes of these requests.
    time: f64,
}

impl Window {
    fn contains(&self, arrived: Nanos, end: Nanos) -> bool {
        (self.from..self.until.unwrap_or(end)).contains(&arrived)
    }
}

/// The admitted fractions, and the window that adjusts them.
pub struct Admission {
    /// The settings in force.
    pub settings: Arc<Settings>,
    window: Window,
    /// Usual priority weight per unit of answer time.
    usual_weight: f64,
    /// The admitted fraction of the requests.
    admitted: f64,
    /// The fraction of these that is admitted among the requests of low priority.
    low_priority_admitted: f64,
    /// The token bucket of each tenant's quota.
    pub(super) quotas: Vec<TokenBucket>,
}

impl Admission {
    /// Creates a state that admits all requests.
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

    /// Returns the admitted fraction of the requests of low priority, or of the others.
    pub fn admitted(&self, low_priority: bool) -> f64 {
        self.admitted * if low_priority { self.low_priority_admitted } else { 1.0 }
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self) {
        self.window.sent += indicator(self.window.until.is_none());
    }

    /// Records the end of a request; `weight_fraction` is the fraction of its priority weight that its answer
    /// has.
    pub fn record_end(&mut self, request: &ActiveRequest, weight_fraction: f64) {
        // A request that arrived with too little time could not be answered in time whatever the servers do.
        let counts = request.judges_servers && !request.attempts.is_empty();
        if counts && self.window.contains(request.arrived, Nanos::MAX) {
            self.window.ended += 1.0;
            match request.failure_cause {
                _ if weight_fraction > 0.0 => {}
                FailureCause::Late => self.window.late += 1.0,
                FailureCause::Overloaded => self.window.rejected += 1.0,
                FailureCause::Other => {}
            }
        }
    }

    /// Adjusts the admitted fractions by the outcomes of the requests of a window that were sent. Requests
    /// that were rejected unsent do not count, since otherwise rejections would cause more rejections.
    fn adjust(&mut self, now: Nanos, settling_time: Nanos, window: Window) {
        let ended = window.ended.max(MIN_REQUESTS);
        let (late, busy) = (window.late / ended, (window.late + window.rejected) / ended);
        if window.time > 0.0 {
            self.usual_weight = window.weight / window.time;
        }
        // The windows of a proxy with little traffic are long. Growth depends on the time passed, since
        // otherwise recovery would take minutes.
        let steps = (now.saturating_sub(window.from) as f64 / (1.5 * settling_time as f64)).clamp(1.0, 8.0);
        let growth = |severity: f64| (1.1 + FAST_GROWTH * (1.0 - severity).max(0.0)).powf(steps);
        // Margin for random failures in a small window.
        let margin = 1.5 * (BUSY_THRESHOLD / window.ended.max(1.0)).sqrt();
        if busy > BUSY_THRESHOLD + margin {
            self.low_priority_admitted = (self.low_priority_admitted * 0.5).max(MIN_LOW_PRIORITY_ADMITTED);
        } else if busy < BUSY_THRESHOLD / 2.0 + margin {
            let grown = self.low_priority_admitted * growth(busy / (BUSY_THRESHOLD / 2.0 + margin));
            self.low_priority_admitted = (grown + 0.01 * steps).min(1.0);
        }
        // A rejection costs a handshake. If handshakes have a cost, sending more to full servers wastes it.
        let rejection_weight = if self.settings.handshake_cost > 0.0 { REJECTION_LATE_WEIGHT } else { 0.0 };
        let late = late + rejection_weight * window.rejected / ended;
        if late > LATE_THRESHOLD {
            self.admitted = (self.admitted * (1.0 - late).max(0.1)).max(MIN_ADMITTED);
        } else if late < LATE_THRESHOLD / 2.0 {
            self.admitted = (self.admitted * growth(late / (LATE_THRESHOLD / 2.0)) + 0.02 * steps).min(1.0);
        }
    }
}

impl Balancer {
    /// Returns the average latency objective, after which the outcomes of most of a window's requests are
    /// known.
    fn settling_time(&self) -> Nanos {
        let classes = self.settings.classes.iter().zip(self.traffic.latencies());
        let each = classes.map(|(c, latency)| (c.latency_objective as f64, latency.count + 0.1));
        let (sum, count) = each.fold((0.0, 1e-9), |(sum, n), (time, count)| (sum + time * count, n + count));
        ((sum / count) as Nanos).clamp(100 * MS, 4 * SECOND)
    }

    /// Closes the window to new arrivals once it has enough, and evaluates it once their outcomes are known.
    /// Evaluating the requests that end at the moment would react to an earlier load, and oscillate between
    /// admitting all and none.
    fn evaluate_window(&mut self, now: Nanos) {
        let settling_time = self.settling_time();
        let window = &mut self.admission.window;
        let Some(until) = window.until else {
            let age = now.saturating_sub(window.from);
            if window.sent >= MIN_REQUESTS && age >= settling_time / 2 || age >= 4 * settling_time {
                window.until = Some(now);
            }
            return;
        };
        if now < until.saturating_add(settling_time) {
            return;
        }
        let mut window = std::mem::replace(window, Window { from: now, ..Window::default() });
        let overdue = self.overdue(now, &window);
        (window.late, window.ended) = (window.late + overdue, window.ended + overdue);
        self.admission.adjust(now, settling_time, window);
    }

    /// Returns the number of requests of a window that are still in flight, which are past their objective.
    /// If they were not counted, servers that do not answer would go unnoticed until the clients give up.
    /// Requests that wait for an overloaded origin do not count against the servers, nor do those whose
    /// answer began in time.
    fn overdue(&self, now: Nanos, window: &Window) -> f64 {
        let overdue = self.requests.values().filter(|r| {
            let last = r.attempts.last().and_then(|a| self.servers.get(a.server));
            let at_servers = !r.fetch_expected || self.origin.is_healthy();
            at_servers
                && !r.response_started_in_time()
                && window.contains(r.arrived, now)
                && last.is_some_and(|s| self.servers.is_eligible_for_keys(s))
        });
        overdue.count() as f64
    }

    /// Returns the probability with which a request is rejected unsent; it is higher for requests with a low
    /// priority weight for their work.
    pub(super) fn rejection_probability(&mut self, now: Nanos, request: &mut ActiveRequest) -> f64 {
        self.evaluate_window(now);
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
        request.low_priority = ratio < LOW_PRIORITY_RATIO && admission.usual_weight > 0.0;
        if request.low_priority {
            admitted *= admission.low_priority_admitted;
        }
        1.0 - admitted
    }
}
