//! The rules, each checked against everything that was observed of one request, or of the site.

use super::{Evidence, Observation, Violation};
use aniseyoke_lab_day::clock::{nanos, Nanos, MILLISECOND, SECOND};
use aniseyoke_lab_day::{Day, Idempotency};
use aniseyoke_lab_world::EndpointState;
use serde::Serialize;
use std::collections::HashMap;

/// A rule that a proxy must keep. The names are those of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An accepted request gets a final response.
    Lost,
    /// It gets it before its client gives up.
    Unanswered,
    /// It gets one response, and no bytes after it.
    AnsweredTwice,
    /// A request that is not idempotent is not sent again once it may have been executed.
    RanTwice,
    /// A request with an idempotency key is not sent again once the key may have been forgotten.
    KeyedTwice,
    /// Nothing new goes to a node 2 s after the proxy was notified that it is draining or gone.
    Drain,
    /// No cold node goes down by overload.
    ColdFall,
    /// Nor does the origin by misses at cold nodes.
    LedgerStop,
    /// Every response is one that a node made for that request.
    ForeignAnswer,
    /// Every request at a node is one that a client sent.
    ForeignRequest,
    /// Requests of clients that have disconnected are not forwarded later: a day fails if more than a quarter of them are.
    SentForNobody,
    /// Nor does any attempt begin for them soon after that: each from the third of a day on breaks the rule.
    AttemptForNobody,
    /// A proxy does not crash.
    Crash,
}

/// A proxy may go on sending to a node for this long after it was notified that the node is draining or gone.
const DRAIN_GRACE: Nanos = 2 * SECOND;
/// A change of the list counts as notified by then, whether the proxy polled or not.
const NOTIFIED_WITHIN: Nanos = 6 * SECOND;
/// Tolerance of all time limits on sockets.
const SLACK: Nanos = 50 * MILLISECOND;
/// From this long after its client has disconnected a request is no longer forwarded.
const FORWARDING_ENDS_WITHIN: Nanos = 300 * MILLISECOND;
/// From this long after its client has disconnected no attempt begins for a request.
const ATTEMPTS_END_WITHIN: Nanos = 100 * MILLISECOND;
/// An overload of the origin breaks the rule if misses at cold nodes caused more than this fraction of its load.
const MAX_COLD_FRACTION: f64 = 0.3;

/// What was found about one request.
#[derive(Debug, Default)]
pub struct Findings {
    /// Broken rules, and how.
    pub broken: Vec<(Rule, String)>,
    /// Its connection was closed before anything of it was forwarded.
    pub closed_before_forwarding: bool,
    /// What was done for it after its client had disconnected without a response; none if the client stayed.
    pub left: Option<AfterAbort>,
    /// It went unanswered at a proxy that the rig killed or paused meanwhile, which breaks no rule.
    pub proxy_faulted: bool,
    /// Rules on executing twice that it broke after the rig killed its proxy and its client retried elsewhere.
    pub repeated_after_kill: Vec<(Rule, String)>,
}

impl Findings {
    fn add(&mut self, rule: Rule, what: impl Into<String>) {
        self.broken.push((rule, what.into()));
    }
}

/// What was done for a request after its client had disconnected without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AfterAbort {
    /// It was forwarded later than it may be.
    pub forwarded_late: bool,
    /// Attempts, first or further, that began later than they may.
    pub attempts: u64,
}

/// What was done for a request after its client had disconnected; none if it stayed.
fn after_abort(history: &[Evidence]) -> Option<AfterAbort> {
    let left = history.iter().find(|e| matches!(e.observed, Observation::Left { .. }))?.at;
    let reached = |limit: Nanos| {
        let late = move |e: &&Evidence| {
            matches!(e.observed, Observation::Reached { .. }) && e.at > left + limit + SLACK
        };
        history.iter().filter(late).count() as u64
    };
    Some(AfterAbort {
        forwarded_late: reached(FORWARDING_ENDS_WITHIN) > 0,
        attempts: reached(ATTEMPTS_END_WITHIN),
    })
}

/// The states of a member that a proxy was notified of, each with the time of its first mention, in order.
#[derive(Default)]
struct Notifications(Vec<(Nanos, EndpointState)>);

impl Notifications {
    fn add(&mut self, at: Nanos, state: EndpointState) {
        if self.0.last().is_none_or(|(_, last)| *last != state) {
            self.0.push((at, state));
            self.0.sort_by_key(|(at, _)| *at);
        }
    }

    /// Since when the proxy has known, without interruption until `at`, that the member takes nothing new.
    fn unavailable_since(&self, at: Nanos) -> Option<Nanos> {
        let mut since = None;
        for (notified, state) in self.0.iter().take_while(|(notified, _)| *notified <= at) {
            since = match state {
                EndpointState::Ready => None,
                _ => since.or(Some(*notified)),
            };
        }
        since
    }
}

/// Checks requests and site against the rules, by a day's figures.
pub struct RuleChecker {
    idempotency: Vec<Idempotency>,
    dedup_window: Nanos,
    notified: HashMap<(usize, usize), Notifications>,
    listed: HashMap<usize, Notifications>,
    /// When the rig killed or paused each proxy, and until when.
    proxy_faults: HashMap<usize, Vec<(Nanos, Nanos)>>,
}

/// Faults of the rig that are remembered for each proxy.
const MAX_PROXY_FAULTS: usize = 4096;

impl RuleChecker {
    /// A judge for a day.
    pub fn new(day: &Day) -> Self {
        RuleChecker {
            idempotency: day.load.classes.iter().map(|c| c.idempotency).collect(),
            dedup_window: nanos(day.site.origin.dedup_window),
            notified: HashMap::new(),
            listed: HashMap::new(),
            proxy_faults: HashMap::new(),
        }
    }

    /// Takes in an observation of the site as a whole; the violation that it is, if any.
    pub fn check_site(&mut self, evidence: &Evidence) -> Option<Violation> {
        let at = evidence.at;
        let broken = match &evidence.observed {
            Observation::Told { proxy, member, standing } => {
                self.notified.entry((*proxy, *member)).or_default().add(at, *standing);
                None
            }
            Observation::Listed { member, standing } => {
                self.listed.entry(*member).or_default().add(at + NOTIFIED_WITHIN, *standing);
                None
            }
            Observation::Started { proxy } => {
                self.notified.retain(|(p, _), _| p != proxy);
                None
            }
            Observation::Struck { proxy, until } => {
                let proxy_faults = self.proxy_faults.entry(*proxy).or_default();
                if proxy_faults.len() < MAX_PROXY_FAULTS {
                    proxy_faults.push((at, *until));
                }
                None
            }
            Observation::Fell { member } => {
                Some((Rule::ColdFall, format!("cold node {member} was pushed over")))
            }
            Observation::Stopped { cold_part } if *cold_part > MAX_COLD_FRACTION => {
                let what =
                    format!("the ledger stopped; {:.0}% of its load came of cold nodes", cold_part * 100.0);
                Some((Rule::LedgerStop, what))
            }
            Observation::Crashed { proxy } => Some((Rule::Crash, format!("proxy {proxy} ended by itself"))),
            Observation::Stray { member } => {
                let what = format!("a request without a readable id arrived at member {member}");
                Some((Rule::ForeignRequest, what))
            }
            _ => None,
        };
        let (rule, what) = broken?;
        Some(Violation {
            rule,
            what,
            history: vec![format!("{:9.3} s  {:?}", at as f64 / 1e9, evidence.observed)],
        })
    }

    /// Judges one request by everything that was observed of it, in order of time.
    pub fn check_request(&self, history: &[Evidence]) -> Findings {
        let mut findings = Findings::default();
        let began = history.iter().find_map(|e| match e.observed {
            Observation::Began { proxy, .. } => Some(proxy),
            _ => None,
        });
        let Some(proxy) = began else {
            findings.add(Rule::ForeignRequest, "no client sent a request with this id");
            return findings;
        };
        self.check_final_response(history, &mut findings);
        self.check_content(history, &mut findings);
        self.check_executions(history, &mut findings);
        self.check_drains(proxy, history, &mut findings);
        findings.left = after_abort(history);
        if self.proxy_faulted_during(proxy, history) {
            let before = findings.broken.len();
            findings.broken.retain(|(rule, _)| !matches!(rule, Rule::Lost | Rule::Unanswered));
            findings.proxy_faulted = findings.broken.len() < before;
            // Sent again elsewhere after its proxy was killed: no proxy knows of another's work until takeover is
            // built (issue 27). Told apart, never dropped.
            let twice = |rule: &Rule| matches!(rule, Rule::RanTwice | Rule::KeyedTwice);
            let (again, rest) = findings.broken.drain(..).partition(|(rule, _)| twice(rule));
            (findings.repeated_after_kill, findings.broken) = (again, rest);
        }
        findings
    }

    /// Whether the rig killed or paused the request's proxy while the request was in flight there.
    fn proxy_faulted_during(&self, proxy: usize, history: &[Evidence]) -> bool {
        let Some(proxy_faults) = self.proxy_faults.get(&proxy) else { return false };
        let began = history.first().map_or(0, |e| e.at);
        let answered =
            history.iter().find(|e| matches!(e.observed, Observation::Answered { .. })).map(|e| e.at);
        proxy_faults.iter().any(|(from, until)| began <= *until && answered.is_none_or(|a| a > *from))
    }

    fn check_final_response(&self, history: &[Evidence], findings: &mut Findings) {
        let count = |is: fn(&Observation) -> bool| history.iter().filter(|e| is(&e.observed)).count();
        let answers = count(|s| matches!(s, Observation::Answered { .. }));
        let reached = count(|s| matches!(s, Observation::Reached { .. }));
        if answers > 1 {
            findings.add(Rule::AnsweredTwice, format!("{answers} answers"));
        }
        if count(|s| matches!(s, Observation::Surplus { .. })) > 0 {
            findings.add(Rule::AnsweredTwice, "more came behind the answer than belongs to it");
        }
        let last_asked = history.iter().rev().find_map(|e| match e.observed {
            Observation::Asked { reused, .. } => Some(reused),
            _ => None,
        });
        let Some(reused) = last_asked else { return };
        if self.dropped_after_forwarding(history) {
            findings.add(Rule::Lost, "the connection was ended without an answer after an attempt was sent");
            return;
        }
        if answers > 0 || count(|s| matches!(s, Observation::Left { .. })) > 0 {
            return;
        }
        if count(|s| matches!(s, Observation::GaveUp { .. })) > 0 {
            findings.add(Rule::Unanswered, "no answer while its client waited");
            return;
        }
        let broken = history.iter().rev().find_map(|e| match e.observed {
            Observation::Broken { partial, .. } => Some(partial),
            _ => None,
        });
        // A node that breaks off takes the answer that is on its way with it, and the client can tell.
        let unsound = history.iter().any(|e| matches!(e.observed, Observation::Made { sound: false, .. }));
        match broken {
            Some(true) if unsound => {}
            Some(true) => findings.add(Rule::Lost, "the answer broke off though its node gave it whole"),
            Some(false) if reached == 0 && !reused => findings.closed_before_forwarding = true,
            Some(false) => findings.add(Rule::Lost, "the connection was ended without an answer"),
            // The trial ended first, and says so itself.
            None => {}
        }
    }

    /// Whether a connection was ended without a byte of a response after its request had been forwarded. The client may
    /// have sent the request once more by then, so that it has a response all the same.
    fn dropped_after_forwarding(&self, history: &[Evidence]) -> bool {
        let mut reached = false;
        history.iter().any(|e| {
            reached |= matches!(e.observed, Observation::Reached { .. });
            reached && matches!(e.observed, Observation::Broken { partial: false, .. })
        })
    }

    fn check_content(&self, history: &[Evidence], findings: &mut Findings) {
        for e in history {
            let Observation::Answered { status: 200, digest, .. } = e.observed else { continue };
            let made = history.iter().any(
                |m| matches!(m.observed, Observation::Made { status: 200, digest: d, sound: true, .. } if d == digest),
            );
            if !made {
                findings.add(Rule::ForeignAnswer, "served with something that no node made for it");
            }
        }
    }

    fn check_executions(&self, history: &[Evidence], findings: &mut Findings) {
        let class = history.iter().find_map(|e| match e.observed {
            Observation::Asked { class, .. } => Some(class),
            _ => None,
        });
        let Some(idempotency) = class.and_then(|c| self.idempotency.get(c)) else { return };
        let arrived: Vec<(Nanos, u64)> = history
            .iter()
            .filter_map(|e| match e.observed {
                Observation::Arrived { attempt, .. } => Some((e.at, attempt)),
                _ => None,
            })
            .collect();
        // Since when it is proven that an attempt never ran.
        let cleared = |attempt: u64| {
            history.iter().find_map(|e| match e.observed {
                Observation::Made { attempt: a, never_ran: true, .. } if a == attempt => Some(e.at),
                _ => None,
            })
        };
        let ran = history.iter().filter(|e| matches!(e.observed, Observation::Ran { .. })).count();
        match idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                for (n, (at, _)) in arrived.iter().enumerate() {
                    let open =
                        arrived[..n].iter().find(|(_, a)| cleared(*a).is_none_or(|cleared| cleared > *at));
                    if let Some((_, earlier)) = open {
                        let what = format!("sent again while attempt {earlier} may have run");
                        findings.add(Rule::RanTwice, what);
                        return;
                    }
                }
                if ran > 1 {
                    findings.add(Rule::RanTwice, format!("it ran {ran} times"));
                }
            }
            Idempotency::WithKey => {
                let first = arrived.iter().find(|(_, a)| cleared(*a).is_none());
                let late = first.and_then(|(from, _)| {
                    arrived.iter().find(|(at, _)| *at > from + self.dedup_window + SLACK)
                });
                if late.is_some() {
                    findings.add(Rule::KeyedTwice, "sent again after its mark may have been forgotten");
                } else if ran > 1 {
                    findings.add(Rule::KeyedTwice, format!("it ran {ran} times"));
                }
            }
        }
    }

    fn check_drains(&self, proxy: usize, history: &[Evidence], findings: &mut Findings) {
        for e in history {
            let Observation::Reached { member, .. } = e.observed else { continue };
            let notified = self.notified.get(&(proxy, member)).and_then(|t| t.unavailable_since(e.at));
            // What has been listed for long counts as notified, unless the proxy has got something newer.
            let listed = self.listed.get(&member).and_then(|t| t.unavailable_since(e.at));
            let notified_since = |since: Nanos| {
                let newer = |(at, _): &(Nanos, EndpointState)| at + NOTIFIED_WITHIN >= since && *at <= e.at;
                self.notified.get(&(proxy, member)).is_some_and(|t| t.0.iter().any(newer))
            };
            let listed = listed.filter(|since| !notified_since(*since));
            let since = notified.or(listed);
            if since.is_some_and(|since| e.at > since + DRAIN_GRACE + SLACK) {
                let late = (e.at - since.unwrap_or(0)) as f64 / 1e9;
                findings.add(
                    Rule::Drain,
                    format!("sent to member {member} {late:.2} s after proxy {proxy} was told"),
                );
                return;
            }
        }
    }
}
