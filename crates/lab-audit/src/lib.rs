//! The auditor: checks the observations on the sockets against the rules. Each request is checked on its own,
//! some seconds after its end, and is then discarded. Observations of the site are checked immediately.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod evidence;
mod rules;

pub use evidence::{Evidence, Observation, Recorder};
pub use rules::{Rule, RuleChecker};

use aniseyoke_lab_day::clock::{nanos, Nanos, SECOND};
use aniseyoke_lab_day::Day;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread::JoinHandle;

/// Capacity of the channel to the auditor, in batches.
const MAX_QUEUED_BATCHES: usize = 4096;
/// Limit of the violations that are stored with their history; any further ones are only counted.
const MAX_VIOLATIONS: usize = 20;
/// A day fails if more than one in this many requests of disconnected clients is forwarded late.
const FORWARDED_AFTER_ABORT_DIVISOR: u64 = 4;
/// Limit of the attempts of a day that may begin late for disconnected clients.
const MAX_ATTEMPTS_AFTER_ABORT: u64 = 2;
/// Limit of the observations that are stored for one request.
const MAX_HISTORY: usize = 64;

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Description of the violation.
    pub what: String,
    /// All observations of the request in chronological order, one line each.
    pub history: Vec<String>,
}

/// The result of the audit of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Number of checked requests.
    pub requests: u64,
    /// Number of attempts that reached a member.
    pub attempts: u64,
    /// Requests on new connections that were closed before any part of the request was forwarded. They break no
    /// rule.
    #[serde(rename = "closed_at_the_door")]
    pub closed_before_forwarding: u64,
    /// Requests whose clients disconnected before the response.
    pub left: u64,
    /// Requests that were forwarded later than 0.3 s after their client had disconnected. A day fails if they are
    /// more than a quarter of the requests of disconnected clients.
    #[serde(rename = "sent_for_nobody")]
    pub forwarded_after_abort: u64,
    /// The first request that was forwarded late.
    #[serde(rename = "sent_late")]
    pub first_forwarded_after_abort: Option<Violation>,
    /// Attempts that began later than 0.1 s after the client had disconnected. The third and any further one break a
    /// rule.
    #[serde(rename = "attempts_for_nobody")]
    pub attempts_after_abort: u64,
    /// Requests without a response from a proxy that the fault rig killed or paused while they were in flight. They
    /// break no rule.
    #[serde(rename = "struck")]
    pub proxy_faulted: u64,
    /// Violations of the rules against repeated execution by requests without a response from a proxy that the rig
    /// killed, and that their clients retried at another proxy. They are counted separately because proxies share no
    /// state until takeover is implemented.
    #[serde(rename = "struck_twice")]
    pub repeated_after_kill: BTreeMap<Rule, u64>,
    /// The first of these violations, with their histories.
    #[serde(rename = "struck_violations")]
    pub violations_after_kill: Vec<Violation>,
    /// The number of violations of each broken rule.
    pub broken: BTreeMap<Rule, u64>,
    /// The first violations.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Returns whether no rule was broken.
    pub fn clean(&self) -> bool {
        self.broken.is_empty()
    }

    fn add(&mut self, violation: Violation) {
        *self.broken.entry(violation.rule).or_default() += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}

/// Collects evidence and checks it. Evidence may arrive out of order by some seconds.
pub struct Auditor {
    checker: RuleChecker,
    /// Delay of the check after the first observation of a request; no further observation follows by then.
    check_delay: Nanos,
    histories: HashMap<u64, Vec<Evidence>>,
    queue: VecDeque<(Nanos, u64)>,
    latest: Nanos,
    verdict: Verdict,
}

impl Auditor {
    /// Creates an auditor for a day.
    pub fn new(day: &Day) -> Self {
        let longest = day.load.classes.iter().map(|c| nanos(c.deadline)).max().unwrap_or(0);
        // Slow clients take longer than the deadline, and repeated executions are detected until the idempotency
        // key expires.
        let check_delay = longest + nanos(day.site.origin.dedup_window) + 4 * SECOND;
        Auditor {
            checker: RuleChecker::new(day),
            check_delay,
            histories: HashMap::new(),
            queue: VecDeque::new(),
            latest: 0,
            verdict: Verdict::default(),
        }
    }

    /// Adds a piece of evidence.
    pub fn take(&mut self, evidence: Evidence) {
        self.latest = self.latest.max(evidence.at);
        let Some(request) = evidence.observed.request() else {
            if let Some(violation) = self.checker.check_site(&evidence) {
                self.verdict.add(violation);
            }
            return;
        };
        let queue = &mut self.queue;
        let history = self.histories.entry(request).or_insert_with(|| {
            queue.push_back((evidence.at, request));
            Vec::with_capacity(8)
        });
        if history.len() < MAX_HISTORY {
            history.push(evidence);
        }
    }

    /// Checks the requests whose delay has passed.
    pub fn check_due(&mut self) {
        while self.queue.front().is_some_and(|(at, _)| at + self.check_delay < self.latest) {
            self.check_next();
        }
    }

    fn check_next(&mut self) {
        let Some((_, request)) = self.queue.pop_front() else { return };
        let Some(mut history) = self.histories.remove(&request) else { return };
        history.sort_by_key(|e| e.at);
        self.verdict.requests += 1;
        let reached = |e: &&Evidence| matches!(e.observed, Observation::Reached { .. });
        self.verdict.attempts += history.iter().filter(reached).count() as u64;
        let findings = self.checker.check_request(&history);
        self.verdict.closed_before_forwarding += u64::from(findings.closed_before_forwarding);
        self.verdict.left += u64::from(findings.left.is_some());
        if findings.left.is_some_and(|left| left.forwarded_late) {
            self.verdict.forwarded_after_abort += 1;
            self.verdict.first_forwarded_after_abort.get_or_insert_with(|| Violation {
                rule: Rule::SentForNobody,
                what: "forwarded after its client had disconnected".into(),
                history: history_lines(&history),
            });
        }
        for _ in 0..findings.left.map_or(0, |left| left.attempts) {
            self.verdict.attempts_after_abort += 1;
            if self.verdict.attempts_after_abort > MAX_ATTEMPTS_AFTER_ABORT {
                self.verdict.add(Violation {
                    rule: Rule::AttemptForNobody,
                    what: "an attempt began after its client had disconnected".into(),
                    history: history_lines(&history),
                });
            }
        }
        self.verdict.proxy_faulted += u64::from(findings.proxy_faulted);
        for (rule, what) in findings.repeated_after_kill {
            *self.verdict.repeated_after_kill.entry(rule).or_default() += 1;
            if self.verdict.violations_after_kill.len() < MAX_VIOLATIONS {
                let history = history_lines(&history);
                self.verdict.violations_after_kill.push(Violation { rule, what, history });
            }
        }
        for (rule, what) in findings.broken {
            self.verdict.add(Violation { rule, what, history: history_lines(&history) });
        }
    }

    /// Checks all remaining requests and returns the result.
    pub fn finish(mut self) -> Verdict {
        while !self.queue.is_empty() {
            self.check_next();
        }
        if self.verdict.forwarded_after_abort * FORWARDED_AFTER_ABORT_DIVISOR > self.verdict.left {
            let first = self.verdict.first_forwarded_after_abort.clone();
            first.into_iter().for_each(|violation| self.verdict.add(violation));
        }
        self.verdict
    }
}

/// Formats the observations of a request, one line each.
fn history_lines(history: &[Evidence]) -> Vec<String> {
    history.iter().map(|e| format!("{:9.3} s  {:?}", e.at as f64 / 1e9, e.observed)).collect()
}

/// Starts an auditor on its own thread. The thread ends with the verdict once all recorders have been dropped.
pub fn start(day: &Day) -> (SyncSender<Vec<Evidence>>, JoinHandle<Verdict>) {
    let (sender, evidence): (_, Receiver<Vec<Evidence>>) = sync_channel(MAX_QUEUED_BATCHES);
    let mut auditor = Auditor::new(day);
    let checker = move || {
        for batch in evidence {
            batch.into_iter().for_each(|e| auditor.take(e));
            auditor.check_due();
        }
        auditor.finish()
    };
    (sender, std::thread::spawn(checker))
}
