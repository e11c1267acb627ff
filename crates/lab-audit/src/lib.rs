//! The auditor: checks what was observed on the sockets against the rules. Each request is judged on its own some seconds
//! after its end, and then forgotten; what concerns the whole site is judged as it is observed.
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

/// Batches that may wait for the auditor.
const MAX_WAITING: usize = 4096;
/// Violations that are kept with their history; the rest are counted.
const MAX_VIOLATIONS: usize = 20;
/// A day fails if more than one in this many requests of disconnected clients is forwarded late.
const FORWARDED_AFTER_ABORT_DIVISOR: u64 = 4;
/// Attempts of a day that may begin late for disconnected clients.
const MAX_ATTEMPTS_AFTER_ABORT: u64 = 2;
/// Observations that are kept of one request.
const MAX_HISTORY: usize = 64;

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub what: String,
    /// Everything observed of the request, in order, one line each.
    pub history: Vec<String>,
}

/// The auditor's verdict on a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Requests judged.
    pub requests: u64,
    /// Attempts that reached a member.
    pub attempts: u64,
    /// Requests on a new connection that was closed before anything of them was forwarded. They break no rule.
    #[serde(rename = "closed_at_the_door")]
    pub closed_before_forwarding: u64,
    /// Requests whose clients disconnected before their response.
    pub left: u64,
    /// Those of them that were forwarded later than 0.3 s after that. A day fails if they are more than a quarter.
    #[serde(rename = "sent_for_nobody")]
    pub forwarded_after_abort: u64,
    /// The first of them.
    #[serde(rename = "sent_late")]
    pub first_forwarded_after_abort: Option<Violation>,
    /// Attempts that began later than 0.1 s after the client had disconnected. Each from the third on breaks a rule.
    #[serde(rename = "attempts_for_nobody")]
    pub attempts_after_abort: u64,
    /// Requests that went unanswered at a proxy that the fault rig killed or paused meanwhile. They break no rule.
    #[serde(rename = "struck")]
    pub proxy_faulted: u64,
    /// Rules on executing twice broken by requests that went unanswered at a proxy that the rig killed, and that their
    /// clients retried at another proxy. Counted apart, since proxies share nothing until takeover is built.
    #[serde(rename = "struck_twice")]
    pub repeated_after_kill: BTreeMap<Rule, u64>,
    /// Some of those, with what was observed of them.
    #[serde(rename = "struck_violations")]
    pub violations_after_kill: Vec<Violation>,
    /// Broken rules, counted.
    pub broken: BTreeMap<Rule, u64>,
    /// The first of them.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Whether no rule was broken.
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

/// An auditor at work. Evidence may come in any order within some seconds.
pub struct Auditor {
    checker: RuleChecker,
    /// A request is judged this long after it was first observed; all about it is over by then.
    horizon: Nanos,
    cases: HashMap<u64, Vec<Evidence>>,
    queue: VecDeque<(Nanos, u64)>,
    latest: Nanos,
    verdict: Verdict,
}

impl Auditor {
    /// An auditor for a day.
    pub fn new(day: &Day) -> Self {
        let longest = day.load.classes.iter().map(|c| nanos(c.deadline)).max().unwrap_or(0);
        // Slow clients take a while longer, and repeats are looked for until the idempotency key is forgotten.
        let horizon = longest + nanos(day.site.origin.dedup_window) + 4 * SECOND;
        Auditor {
            checker: RuleChecker::new(day),
            horizon,
            cases: HashMap::new(),
            queue: VecDeque::new(),
            latest: 0,
            verdict: Verdict::default(),
        }
    }

    /// Takes a piece of evidence in.
    pub fn take(&mut self, evidence: Evidence) {
        self.latest = self.latest.max(evidence.at);
        let Some(request) = evidence.observed.request() else {
            if let Some(violation) = self.checker.check_site(&evidence) {
                self.verdict.add(violation);
            }
            return;
        };
        let queue = &mut self.queue;
        let case = self.cases.entry(request).or_insert_with(|| {
            queue.push_back((evidence.at, request));
            Vec::with_capacity(8)
        });
        if case.len() < MAX_HISTORY {
            case.push(evidence);
        }
    }

    /// Judges what is old enough.
    pub fn check_due(&mut self) {
        while self.queue.front().is_some_and(|(at, _)| at + self.horizon < self.latest) {
            self.check_next();
        }
    }

    fn check_next(&mut self) {
        let Some((_, request)) = self.queue.pop_front() else { return };
        let Some(mut history) = self.cases.remove(&request) else { return };
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
                what: "sent on after its client had left".into(),
                history: history_lines(&history),
            });
        }
        for _ in 0..findings.left.map_or(0, |left| left.attempts) {
            self.verdict.attempts_after_abort += 1;
            if self.verdict.attempts_after_abort > MAX_ATTEMPTS_AFTER_ABORT {
                self.verdict.add(Violation {
                    rule: Rule::AttemptForNobody,
                    what: "an attempt began after its client had left".into(),
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

    /// Judges all that is left.
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

/// What was observed of a request, a line each.
fn history_lines(history: &[Evidence]) -> Vec<String> {
    history.iter().map(|e| format!("{:9.3} s  {:?}", e.at as f64 / 1e9, e.observed)).collect()
}

/// Starts an auditor on a thread of its own; it ends, with its verdict, once every recorder is gone.
pub fn start(day: &Day) -> (SyncSender<Vec<Evidence>>, JoinHandle<Verdict>) {
    let (out, evidence): (_, Receiver<Vec<Evidence>>) = sync_channel(MAX_WAITING);
    let mut auditor = Auditor::new(day);
    let checker = move || {
        for batch in evidence {
            batch.into_iter().for_each(|e| auditor.take(e));
            auditor.check_due();
        }
        auditor.finish()
    };
    (out, std::thread::spawn(checker))
}
