//! Holds what was seen against the rules. Each request is judged on its own some seconds after its end, and then
//! forgotten; what concerns the whole site is judged as it is seen.

mod evidence;
mod rules;

pub use evidence::{Evidence, Recorder, Seen};
pub use rules::{Judge, Rule};

use aniseyoke_lab_day::clock::{nanos, Nanos, SECOND};
use aniseyoke_lab_day::Day;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread::JoinHandle;

/// Batches that may wait for the auditor.
const WAITING_MOST: usize = 4096;
/// Violations that are kept with their history; the rest are counted.
const KEPT_MOST: usize = 20;
/// More than one in so many requests of clients that have left, sent on late, fail a day.
const SENT_LATE_PART: u64 = 4;
/// So many attempts of a day may begin late for clients that have left.
const ATTEMPTS_LATE_MOST: u64 = 2;
/// What is kept of one request's history.
const HISTORY_MOST: usize = 64;

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// What happened.
    pub what: String,
    /// Everything seen of the request, in order, one line each.
    pub history: Vec<String>,
}

/// What the auditor found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Requests judged.
    pub requests: u64,
    /// Attempts that reached a member.
    pub attempts: u64,
    /// Requests on a new connection that was closed before anything of them went on. No rule is broken by these.
    pub closed_at_the_door: u64,
    /// Requests whose clients left before they had an answer.
    #[serde(default)]
    pub left: u64,
    /// Those of them that were sent on later than 0.3 s after that. A day fails if they are more than a quarter.
    #[serde(default)]
    pub sent_for_nobody: u64,
    /// The first of them.
    #[serde(default)]
    pub sent_late: Option<Violation>,
    /// Attempts that began later than 0.1 s after the client had left. Each from the third on breaks a rule.
    #[serde(default)]
    pub attempts_for_nobody: u64,
    /// Requests that went unanswered at a proxy that the fault rig killed or paused meanwhile. No rule is broken by these.
    #[serde(default)]
    pub struck: u64,
    /// Rules on running twice broken by requests that went unanswered at a proxy that the rig killed, and that their
    /// clients asked again at another proxy. Counted apart, since proxies share nothing until takeover is built.
    #[serde(default)]
    pub struck_twice: BTreeMap<Rule, u64>,
    /// Some of those, with what was seen of them.
    #[serde(default)]
    pub struck_violations: Vec<Violation>,
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
        if self.violations.len() < KEPT_MOST {
            self.violations.push(violation);
        }
    }
}

/// The auditor at work: takes evidence in, in any order within some seconds.
pub struct Auditor {
    judge: Judge,
    /// A request is judged so long after it was first seen: all about it is over by then.
    horizon: Nanos,
    cases: HashMap<u64, Vec<Evidence>>,
    queue: VecDeque<(Nanos, u64)>,
    latest: Nanos,
    verdict: Verdict,
}

impl Auditor {
    /// An auditor for a day.
    pub fn new(day: &Day) -> Self {
        let longest = day.load.classes.iter().map(|c| nanos(c.give_up)).max().unwrap_or(0);
        // Slow clients take a while longer, and a repeat is looked for until its mark is forgotten.
        let horizon = longest + nanos(day.site.ledger.repeats) + 4 * SECOND;
        Auditor {
            judge: Judge::new(day),
            horizon,
            cases: HashMap::new(),
            queue: VecDeque::new(),
            latest: 0,
            verdict: Verdict::default(),
        }
    }

    /// Takes something in.
    pub fn take(&mut self, evidence: Evidence) {
        self.latest = self.latest.max(evidence.at);
        let Some(request) = evidence.seen.request() else {
            if let Some(violation) = self.judge.site(&evidence) {
                self.verdict.add(violation);
            }
            return;
        };
        let queue = &mut self.queue;
        let case = self.cases.entry(request).or_insert_with(|| {
            queue.push_back((evidence.at, request));
            Vec::with_capacity(8)
        });
        if case.len() < HISTORY_MOST {
            case.push(evidence);
        }
    }

    /// Judges what is old enough.
    pub fn judge_old(&mut self) {
        while self.queue.front().is_some_and(|(at, _)| at + self.horizon < self.latest) {
            self.judge_next();
        }
    }

    fn judge_next(&mut self) {
        let Some((_, request)) = self.queue.pop_front() else { return };
        let Some(mut history) = self.cases.remove(&request) else { return };
        history.sort_by_key(|e| e.at);
        self.verdict.requests += 1;
        let reached = |e: &&Evidence| matches!(e.seen, Seen::Reached { .. });
        self.verdict.attempts += history.iter().filter(reached).count() as u64;
        let found = self.judge.request(&history);
        self.verdict.closed_at_the_door += u64::from(found.closed_at_the_door);
        self.verdict.left += u64::from(found.left.is_some());
        if found.left.is_some_and(|left| left.sent_on) {
            self.verdict.sent_for_nobody += 1;
            self.verdict.sent_late.get_or_insert_with(|| Violation {
                rule: Rule::SentForNobody,
                what: "sent on after its client had left".into(),
                history: told(&history),
            });
        }
        for _ in 0..found.left.map_or(0, |left| left.attempts) {
            self.verdict.attempts_for_nobody += 1;
            if self.verdict.attempts_for_nobody > ATTEMPTS_LATE_MOST {
                self.verdict.add(Violation {
                    rule: Rule::AttemptForNobody,
                    what: "an attempt began after its client had left".into(),
                    history: told(&history),
                });
            }
        }
        self.verdict.struck += u64::from(found.struck);
        for (rule, what) in found.struck_twice {
            *self.verdict.struck_twice.entry(rule).or_default() += 1;
            if self.verdict.struck_violations.len() < KEPT_MOST {
                let history = told(&history);
                self.verdict.struck_violations.push(Violation { rule, what, history });
            }
        }
        for (rule, what) in found.broken {
            self.verdict.add(Violation { rule, what, history: told(&history) });
        }
    }

    /// Judges all that is left.
    pub fn finish(mut self) -> Verdict {
        while !self.queue.is_empty() {
            self.judge_next();
        }
        if self.verdict.sent_for_nobody * SENT_LATE_PART > self.verdict.left {
            let first = self.verdict.sent_late.clone();
            first.into_iter().for_each(|violation| self.verdict.add(violation));
        }
        self.verdict
    }
}

/// What was seen of a request, a line each.
fn told(history: &[Evidence]) -> Vec<String> {
    history.iter().map(|e| format!("{:9.3} s  {:?}", e.at as f64 / 1e9, e.seen)).collect()
}

/// Starts an auditor on a thread of its own; it ends, with its verdict, once every recorder is gone.
pub fn start(day: &Day) -> (SyncSender<Vec<Evidence>>, JoinHandle<Verdict>) {
    let (out, evidence): (_, Receiver<Vec<Evidence>>) = sync_channel(WAITING_MOST);
    let mut auditor = Auditor::new(day);
    let judge = move || {
        for batch in evidence {
            batch.into_iter().for_each(|e| auditor.take(e));
            auditor.judge_old();
        }
        auditor.finish()
    };
    (out, std::thread::spawn(judge))
}
