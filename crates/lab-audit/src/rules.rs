//! The rules. Each is checked against all observations of one request, or against an observation of the site.

use super::{Evidence, Observation, Violation};
use aniseyoke_lab_day::clock::{nanos, Nanos, MILLISECOND, SECOND};
use aniseyoke_lab_day::{Day, Idempotency};
use aniseyoke_lab_world::EndpointState;
use serde::Serialize;
use std::collections::HashMap;

/// A rule for proxies. Reports show these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An accepted request gets a final response.
    Lost,
    /// An accepted request gets its final response before its client gives up.
    Unanswered,
    /// A request gets one response, and no bytes follow it.
    AnsweredTwice,
    /// A request that is not idempotent is not sent again once it may have been executed.
    RanTwice,
    /// A request with an idempotency key is not sent again once the key may have expired.
    KeyedTwice,
    /// No attempt goes to a node later than 2 s after the proxy was notified that the node is draining or gone.
    Drain,
    /// No cold node goes down by overload.
    ColdFall,
    /// The origin does not go down by overload from misses at cold nodes.
    LedgerStop,
    /// Every response was made by a node for that request.
    ForeignAnswer,
    /// Every request at a node was sent by a client.
    ForeignRequest,
    /// A request is not forwarded late after its client has disconnected. A day fails if more than a quarter of the
    /// requests of disconnected clients are.
    SentForNobody,
    /// No attempt begins for a request later than 0.1 s after its client has disconnected. The third such attempt of a
    /// day and any further one break the rule.
    AttemptForNobody,
    /// A proxy does not crash.
    Crash,
}

/// Time for which a proxy may still send to a node after it was notified that the node is draining or gone.
const DRAIN_GRACE: Nanos = 2 * SECOND;
/// After this time a proxy counts as notified of a change of the list, whether it polled or not.
const NOTIFIED_WITHIN: Nanos = 6 * SECOND;
/// Tolerance of all time limits that are checked on sockets.
const TIME_TOLERANCE: Nanos = 50 * MILLISECOND;
/// Time after the disconnection of its client from which a request must not be forwarded.
const FORWARDING_ENDS_WITHIN: Nanos = 300 * MILLISECOND;
/// Time after the disconnection of its client from which no attempt must begin for a request.
const ATTEMPTS_END_WITHIN: Nanos = 100 * MILLISECOND;
/// An overload of the origin breaks the rule if misses at cold nodes caused more than this fraction of its load.
const MAX_COLD_FRACTION: f64 = 0.3;

/// The results of the checks of one request.
#[derive(Debug, Default)]
pub struct Findings {
    /// The broken rules, each with a description of the violation.
    pub broken: Vec<(Rule, String)>,
    /// Whether the connection was closed before any part of the request was forwarded.
    pub closed_before_forwarding: bool,
    /// The activity for the request after its client had disconnected without a response; none if the client stayed
    /// connected.
    pub left: Option<AfterAbort>,
    /// Whether the request got no response because the rig killed or paused its proxy, which breaks no rule.
    pub proxy_faulted: bool,
    /// The rules against repeated execution that the request broke after the rig had killed its proxy and its client
    /// had retried at another proxy.
    pub repeated_after_kill: Vec<(Rule, String)>,
}

impl Findings {
    fn add(&mut self, rule: Rule, what: impl Into<String>) {
        self.broken.push((rule, what.into()));
    }
}

/// The activity for a request after its client had disconnected without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AfterAbort {
    /// Whether the request was forwarded too late.
    pub forwarded_late: bool,
    /// Number of attempts, including the first, that began too late.
    pub attempts: u64,
}

/// Determines the activity for a request after its client had disconnected; none if the client stayed connected.
fn after_abort(history: &[Evidence]) -> Option<AfterAbort> {
    let left = history.iter().find(|e| matches!(e.observed, Observation::Left { .. }))?.at;
    let reached = |limit: Nanos| {
        let late = move |e: &&Evidence| {
            matches!(e.observed, Observation::Reached { .. }) && e.at > left + limit + TIME_TOLERANCE
        };
        history.iter().filter(late).count() as u64
    };
    Some(AfterAbort {
        forwarded_late: reached(FORWARDING_ENDS_WITHIN) > 0,
        attempts: reached(ATTEMPTS_END_WITHIN),
    })
}

/// The states of a member of which a proxy was notified, each with the time of the first notification, in order.
#[derive(Default)]
struct Notifications(Vec<(Nanos, EndpointState)>);

impl Notifications {
    fn add(&mut self, at: Nanos, state: EndpointState) {
        if self.0.last().is_none_or(|(_, last)| *last != state) {
            self.0.push((at, state));
            self.0.sort_by_key(|(at, _)| *at);
        }
    }

    /// Returns the time from which on the member was known, without interruption until `at`, to be unavailable for
    /// new requests.
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

/// Checks requests and the site against the rules, with the parameters of a day.
pub struct RuleChecker {
    idempotency: Vec<Idempotency>,
    dedup_window: Nanos,
    notified: HashMap<(usize, usize), Notifications>,
    listed: HashMap<usize, Notifications>,
    /// The start and end times of the faults by which the rig killed or paused each proxy.
    proxy_faults: HashMap<usize, Vec<(Nanos, Nanos)>>,
}

/// Limit of the faults of the rig that are stored for each proxy.
const MAX_PROXY_FAULTS: usize = 4096;

impl RuleChecker {
    /// Creates a checker for a day.
    pub fn new(day: &Day) -> Self {
        RuleChecker {
            idempotency: day.load.classes.iter().map(|c| c.idempotency).collect(),
            dedup_window: nanos(day.site.origin.dedup_window),
            notified: HashMap::new(),
            listed: HashMap::new(),
            proxy_faults: HashMap::new(),
        }
    }

    /// Processes an observation of the site, and returns a violation if it breaks a rule.
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
            Observation::FaultInjected { proxy, until } => {
                let proxy_faults = self.proxy_faults.entry(*proxy).or_default();
                if proxy_faults.len() < MAX_PROXY_FAULTS {
                    proxy_faults.push((at, *until));
                }
                None
            }
            Observation::Fell { member } => {
                Some((Rule::ColdFall, format!("cold node {member} went down by overload")))
            }
            Observation::Stopped { cold_part } if *cold_part > MAX_COLD_FRACTION => {
                let what = format!(
                    "the origin went down by overload; {:.0}% of its load came from cold nodes",
                    cold_part * 100.0
                );
                Some((Rule::LedgerStop, what))
            }
            Observation::Crashed { proxy } => {
                Some((Rule::Crash, format!("proxy {proxy} exited unexpectedly")))
            }
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

    /// Checks one request against the rules. `history` contains all observations of it in chronological order.
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
            // The client retried at another proxy after its proxy was killed. Proxies share no state of requests
            // until takeover is implemented (issue 27). These violations are reported separately, never dropped.
            let is_repeat = |rule: &Rule| matches!(rule, Rule::RanTwice | Rule::KeyedTwice);
            let (again, rest) = findings.broken.drain(..).partition(|(rule, _)| is_repeat(rule));
            (findings.repeated_after_kill, findings.broken) = (again, rest);
        }
        findings
    }

    /// Returns whether the rig killed or paused the request's proxy while the request was in flight there.
    fn proxy_faulted_during(&self, proxy: usize, history: &[Evidence]) -> bool {
        let Some(proxy_faults) = self.proxy_faults.get(&proxy) else { return false };
        let began = history.first().map_or(0, |e| e.at);
        let answered =
            history.iter().find(|e| matches!(e.observed, Observation::Answered { .. })).map(|e| e.at);
        proxy_faults.iter().any(|(from, until)| began <= *until && answered.is_none_or(|a| a > *from))
    }

    fn check_final_response(&self, history: &[Evidence], findings: &mut Findings) {
        let count = |is: fn(&Observation) -> bool| history.iter().filter(|e| is(&e.observed)).count();
        let responses = count(|s| matches!(s, Observation::Answered { .. }));
        let reached = count(|s| matches!(s, Observation::Reached { .. }));
        if responses > 1 {
            findings.add(Rule::AnsweredTwice, format!("{responses} responses"));
        }
        if count(|s| matches!(s, Observation::Surplus { .. })) > 0 {
            findings.add(Rule::AnsweredTwice, "surplus bytes followed the response");
        }
        let last_asked = history.iter().rev().find_map(|e| match e.observed {
            Observation::Asked { reused, .. } => Some(reused),
            _ => None,
        });
        let Some(reused) = last_asked else { return };
        if self.dropped_after_forwarding(history) {
            findings
                .add(Rule::Lost, "the connection was closed without a response after an attempt was sent");
            return;
        }
        if responses > 0 || count(|s| matches!(s, Observation::Left { .. })) > 0 {
            return;
        }
        if count(|s| matches!(s, Observation::GaveUp { .. })) > 0 {
            findings.add(Rule::Unanswered, "no response before its client gave up");
            return;
        }
        let broken = history.iter().rev().find_map(|e| match e.observed {
            Observation::Broken { partial, .. } => Some(partial),
            _ => None,
        });
        // If the node itself truncates the response, the client gets a truncated one and can detect that.
        let unsound = history.iter().any(|e| matches!(e.observed, Observation::Made { sound: false, .. }));
        match broken {
            Some(true) if unsound => {}
            Some(true) => {
                findings.add(Rule::Lost, "the response was truncated although its node sent it completely")
            }
            Some(false) if reached == 0 && !reused => findings.closed_before_forwarding = true,
            Some(false) => findings.add(Rule::Lost, "the connection was closed without a response"),
            // The trial ended before the request, which the trial's own report shows.
            None => {}
        }
    }

    /// Returns whether a connection was closed without any byte of a response after its request had been forwarded.
    /// The client may have retried the request since, and so may have a response nevertheless.
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
                findings.add(Rule::ForeignAnswer, "the response was not made by a node for this request");
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
        // The time from which on an attempt is known not to have been executed.
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
                        let what = format!("sent again while attempt {earlier} may have been executed");
                        findings.add(Rule::RanTwice, what);
                        return;
                    }
                }
                if ran > 1 {
                    findings.add(Rule::RanTwice, format!("executed {ran} times"));
                }
            }
            Idempotency::WithKey => {
                let first = arrived.iter().find(|(_, a)| cleared(*a).is_none());
                let late = first.and_then(|(from, _)| {
                    arrived.iter().find(|(at, _)| *at > from + self.dedup_window + TIME_TOLERANCE)
                });
                if late.is_some() {
                    findings.add(Rule::KeyedTwice, "sent again after its idempotency key may have expired");
                } else if ran > 1 {
                    findings.add(Rule::KeyedTwice, format!("executed {ran} times"));
                }
            }
        }
    }

    fn check_drains(&self, proxy: usize, history: &[Evidence], findings: &mut Findings) {
        for e in history {
            let Observation::Reached { member, .. } = e.observed else { continue };
            let notified = self.notified.get(&(proxy, member)).and_then(|t| t.unavailable_since(e.at));
            // A state that was listed long enough ago counts as notified, unless the proxy was notified of a newer
            // one.
            let listed = self.listed.get(&member).and_then(|t| t.unavailable_since(e.at));
            let notified_since = |since: Nanos| {
                let newer = |(at, _): &(Nanos, EndpointState)| at + NOTIFIED_WITHIN >= since && *at <= e.at;
                self.notified.get(&(proxy, member)).is_some_and(|t| t.0.iter().any(newer))
            };
            let listed = listed.filter(|since| !notified_since(*since));
            let since = notified.or(listed);
            if since.is_some_and(|since| e.at > since + DRAIN_GRACE + TIME_TOLERANCE) {
                let late = (e.at - since.unwrap_or(0)) as f64 / 1e9;
                findings.add(
                    Rule::Drain,
                    format!("sent to member {member} {late:.2} s after proxy {proxy} was notified"),
                );
                return;
            }
        }
    }
}
