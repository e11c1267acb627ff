//! The rules, each as a judgement over what was seen of one request, or of the site.

use super::{Evidence, Seen, Violation};
use aniseyoke_lab_day::clock::{nanos, Nanos, MS, SECOND};
use aniseyoke_lab_day::{Day, Effect};
use aniseyoke_lab_world::Standing;
use serde::Serialize;
use std::collections::HashMap;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that was taken gets a final answer.
    Lost,
    /// It gets it while its client waits.
    Unanswered,
    /// It gets one, and nothing behind it.
    AnsweredTwice,
    /// What must not run twice is not sent again once it may have run.
    RanTwice,
    /// What carries a key is not sent again once its mark may be forgotten.
    KeyedTwice,
    /// Nothing new goes to a node 2 s after it was told that it drains or is gone.
    Drain,
    /// No cold node is pushed over.
    ColdFall,
    /// Nor is the ledger by misses at cold nodes.
    LedgerStop,
    /// Every answer is one that a node made for that request.
    ForeignAnswer,
    /// Every request at a node is one that a client sent.
    ForeignRequest,
    /// What clients asked for that have left is not sent on later: a day fails if more than a quarter of it is.
    SentForNobody,
    /// Nor does any attempt begin for them soon after that: from the third of a day on each is a break.
    AttemptForNobody,
    /// A proxy does not end by itself.
    Crash,
}

/// A proxy may go on sending to a node for so long after it was told that it drains or is gone.
const DRAIN_GRACE: Nanos = 2 * SECOND;
/// What is listed counts as told by then, whether a proxy asked or not.
const TOLD_BY: Nanos = 6 * SECOND;
/// All limits of time are so much longer on sockets.
const SLACK: Nanos = 50 * MS;
/// From so long after a client has left nothing is sent on for it.
const LEFT_FOR: Nanos = 300 * MS;
/// From so long after a client has left no attempt begins for it.
const ATTEMPTS_END: Nanos = 100 * MS;
/// The ledger's stop breaks the rule if misses at cold nodes caused more than this part of its load.
const COLD_PART: f64 = 0.3;

/// What came of one request.
#[derive(Debug, Default)]
pub struct Found {
    /// Broken rules, and how.
    pub broken: Vec<(Rule, String)>,
    /// It was turned away with its connection before anything of it went on.
    pub closed_at_the_door: bool,
    /// Its client left before it had an answer; and what was done for it after that.
    pub left: Option<AfterLeaving>,
    /// It went unanswered at a proxy that the rig killed or paused meanwhile; that breaks no rule.
    pub struck: bool,
    /// Rules on running twice that it broke after the rig struck its proxy, when its client asked again elsewhere.
    pub struck_twice: Vec<(Rule, String)>,
}

impl Found {
    fn breaks(&mut self, rule: Rule, what: impl Into<String>) {
        self.broken.push((rule, what.into()));
    }
}

/// What was done for a request after its client had left without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AfterLeaving {
    /// It was sent on later than it may be.
    pub sent_on: bool,
    /// Attempts, first or further, that began later than they may.
    pub attempts: u64,
}

/// What was done for a request after its client had left; none: it stayed.
fn after_leaving(history: &[Evidence]) -> Option<AfterLeaving> {
    let left = history.iter().find(|e| matches!(e.seen, Seen::Left { .. }))?.at;
    let reached = |most: Nanos| {
        let late = move |e: &&Evidence| matches!(e.seen, Seen::Reached { .. }) && e.at > left + most + SLACK;
        history.iter().filter(late).count() as u64
    };
    Some(AfterLeaving { sent_on: reached(LEFT_FOR) > 0, attempts: reached(ATTEMPTS_END) })
}

/// When a proxy was told what of a member; the times are of first mention, in order.
#[derive(Default)]
struct Told(Vec<(Nanos, Standing)>);

impl Told {
    fn add(&mut self, at: Nanos, standing: Standing) {
        if self.0.last().is_none_or(|(_, last)| *last != standing) {
            self.0.push((at, standing));
            self.0.sort_by_key(|(at, _)| *at);
        }
    }

    /// Since when the proxy has known, without a break until `at`, that the member takes nothing new.
    fn closed_since(&self, at: Nanos) -> Option<Nanos> {
        let mut since = None;
        for (told, standing) in self.0.iter().take_while(|(told, _)| *told <= at) {
            since = match standing {
                Standing::Ready => None,
                _ => since.or(Some(*told)),
            };
        }
        since
    }
}

/// Judges by a day's figures.
pub struct Judge {
    effects: Vec<Effect>,
    repeats: Nanos,
    told: HashMap<(usize, usize), Told>,
    listed: HashMap<usize, Told>,
    /// When the rig struck each proxy, and until when.
    struck: HashMap<usize, Vec<(Nanos, Nanos)>>,
}

/// So many strikes of the rig are remembered for each proxy.
const STRIKES_MOST: usize = 4096;

impl Judge {
    /// A judge for a day.
    pub fn new(day: &Day) -> Self {
        Judge {
            effects: day.load.classes.iter().map(|c| c.effect).collect(),
            repeats: nanos(day.site.ledger.repeats),
            told: HashMap::new(),
            listed: HashMap::new(),
            struck: HashMap::new(),
        }
    }

    /// Takes in what concerns the site as a whole.
    pub fn site(&mut self, evidence: &Evidence) -> Option<Violation> {
        let at = evidence.at;
        let broken = match &evidence.seen {
            Seen::Told { proxy, member, standing } => {
                self.told.entry((*proxy, *member)).or_default().add(at, *standing);
                None
            }
            Seen::Listed { member, standing } => {
                self.listed.entry(*member).or_default().add(at + TOLD_BY, *standing);
                None
            }
            Seen::Started { proxy } => {
                self.told.retain(|(p, _), _| p != proxy);
                None
            }
            Seen::Struck { proxy, until } => {
                let strikes = self.struck.entry(*proxy).or_default();
                if strikes.len() < STRIKES_MOST {
                    strikes.push((at, *until));
                }
                None
            }
            Seen::Fell { member } => Some((Rule::ColdFall, format!("cold node {member} was pushed over"))),
            Seen::Stopped { cold_part } if *cold_part > COLD_PART => {
                let what =
                    format!("the ledger stopped; {:.0}% of its load came of cold nodes", cold_part * 100.0);
                Some((Rule::LedgerStop, what))
            }
            Seen::Crashed { proxy } => Some((Rule::Crash, format!("proxy {proxy} ended by itself"))),
            Seen::Stray { member } => {
                let what = format!("a request without a readable id arrived at member {member}");
                Some((Rule::ForeignRequest, what))
            }
            _ => None,
        };
        let (rule, what) = broken?;
        Some(Violation {
            rule,
            what,
            history: vec![format!("{:9.3} s  {:?}", at as f64 / 1e9, evidence.seen)],
        })
    }

    /// Judges one request by everything that was seen of it, in order of time.
    pub fn request(&self, history: &[Evidence]) -> Found {
        let mut found = Found::default();
        let began = history.iter().find_map(|e| match e.seen {
            Seen::Began { proxy, .. } => Some(proxy),
            _ => None,
        });
        let Some(proxy) = began else {
            found.breaks(Rule::ForeignRequest, "no client sent a request with this id");
            return found;
        };
        self.final_answer(history, &mut found);
        self.bytes(history, &mut found);
        self.runs(history, &mut found);
        self.drains(proxy, history, &mut found);
        found.left = after_leaving(history);
        if self.struck_at(proxy, history) {
            let before = found.broken.len();
            found.broken.retain(|(rule, _)| !matches!(rule, Rule::Lost | Rule::Unanswered));
            found.struck = found.broken.len() < before;
            // Sent again elsewhere after its proxy was killed: no proxy knows of another's work until takeover is
            // built (issue 27). Told apart, never dropped.
            let twice = |rule: &Rule| matches!(rule, Rule::RanTwice | Rule::KeyedTwice);
            let (again, rest) = found.broken.drain(..).partition(|(rule, _)| twice(rule));
            (found.struck_twice, found.broken) = (again, rest);
        }
        found
    }

    /// Whether the rig struck the request's proxy while the request was out there and had no answer.
    fn struck_at(&self, proxy: usize, history: &[Evidence]) -> bool {
        let Some(strikes) = self.struck.get(&proxy) else { return false };
        let began = history.first().map_or(0, |e| e.at);
        let answered = history.iter().find(|e| matches!(e.seen, Seen::Answered { .. })).map(|e| e.at);
        strikes.iter().any(|(from, until)| began <= *until && answered.is_none_or(|a| a > *from))
    }

    fn final_answer(&self, history: &[Evidence], found: &mut Found) {
        let count = |is: fn(&Seen) -> bool| history.iter().filter(|e| is(&e.seen)).count();
        let answers = count(|s| matches!(s, Seen::Answered { .. }));
        let reached = count(|s| matches!(s, Seen::Reached { .. }));
        if answers > 1 {
            found.breaks(Rule::AnsweredTwice, format!("{answers} answers"));
        }
        if count(|s| matches!(s, Seen::Surplus { .. })) > 0 {
            found.breaks(Rule::AnsweredTwice, "more came behind the answer than belongs to it");
        }
        let last_asked = history.iter().rev().find_map(|e| match e.seen {
            Seen::Asked { reused, .. } => Some(reused),
            _ => None,
        });
        let Some(reused) = last_asked else { return };
        if self.dropped_after_sending(history) {
            found.breaks(Rule::Lost, "the connection was ended without an answer after an attempt was sent");
            return;
        }
        if answers > 0 || count(|s| matches!(s, Seen::Left { .. })) > 0 {
            return;
        }
        if count(|s| matches!(s, Seen::GaveUp { .. })) > 0 {
            found.breaks(Rule::Unanswered, "no answer while its client waited");
            return;
        }
        let broken = history.iter().rev().find_map(|e| match e.seen {
            Seen::Broken { partial, .. } => Some(partial),
            _ => None,
        });
        // A node that breaks off takes the answer that is on its way with it, and the client can tell.
        let unsound = history.iter().any(|e| matches!(e.seen, Seen::Made { sound: false, .. }));
        match broken {
            Some(true) if unsound => {}
            Some(true) => found.breaks(Rule::Lost, "the answer broke off though its node gave it whole"),
            Some(false) if reached == 0 && !reused => found.closed_at_the_door = true,
            Some(false) => found.breaks(Rule::Lost, "the connection was ended without an answer"),
            // The trial ended first, and says so itself.
            None => {}
        }
    }

    /// Whether a connection was ended without a byte of an answer after something had gone on for its request. The
    /// client may have sent the request once more by then, so that it has an answer all the same.
    fn dropped_after_sending(&self, history: &[Evidence]) -> bool {
        let mut reached = false;
        history.iter().any(|e| {
            reached |= matches!(e.seen, Seen::Reached { .. });
            reached && matches!(e.seen, Seen::Broken { partial: false, .. })
        })
    }

    fn bytes(&self, history: &[Evidence], found: &mut Found) {
        for e in history {
            let Seen::Answered { status: 200, digest, .. } = e.seen else { continue };
            let made = history.iter().any(
                |m| matches!(m.seen, Seen::Made { status: 200, digest: d, sound: true, .. } if d == digest),
            );
            if !made {
                found.breaks(Rule::ForeignAnswer, "served with something that no node made for it");
            }
        }
    }

    fn runs(&self, history: &[Evidence], found: &mut Found) {
        let class = history.iter().find_map(|e| match e.seen {
            Seen::Asked { class, .. } => Some(class),
            _ => None,
        });
        let Some(effect) = class.and_then(|c| self.effects.get(c)) else { return };
        let arrived: Vec<(Nanos, u64)> = history
            .iter()
            .filter_map(|e| match e.seen {
                Seen::Arrived { attempt, .. } => Some((e.at, attempt)),
                _ => None,
            })
            .collect();
        // Since when it is proven that an attempt never ran.
        let cleared = |attempt: u64| {
            history.iter().find_map(|e| match e.seen {
                Seen::Made { attempt: a, never_ran: true, .. } if a == attempt => Some(e.at),
                _ => None,
            })
        };
        let ran = history.iter().filter(|e| matches!(e.seen, Seen::Ran { .. })).count();
        match effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                for (n, (at, _)) in arrived.iter().enumerate() {
                    let open =
                        arrived[..n].iter().find(|(_, a)| cleared(*a).is_none_or(|cleared| cleared > *at));
                    if let Some((_, earlier)) = open {
                        let what = format!("sent again while attempt {earlier} may have run");
                        found.breaks(Rule::RanTwice, what);
                        return;
                    }
                }
                if ran > 1 {
                    found.breaks(Rule::RanTwice, format!("it ran {ran} times"));
                }
            }
            Effect::Keyed => {
                let first = arrived.iter().find(|(_, a)| cleared(*a).is_none());
                let late = first
                    .and_then(|(from, _)| arrived.iter().find(|(at, _)| *at > from + self.repeats + SLACK));
                if late.is_some() {
                    found.breaks(Rule::KeyedTwice, "sent again after its mark may have been forgotten");
                } else if ran > 1 {
                    found.breaks(Rule::KeyedTwice, format!("it ran {ran} times"));
                }
            }
        }
    }

    fn drains(&self, proxy: usize, history: &[Evidence], found: &mut Found) {
        for e in history {
            let Seen::Reached { member, .. } = e.seen else { continue };
            let told = self.told.get(&(proxy, member)).and_then(|t| t.closed_since(e.at));
            // What is listed for long counts as told, unless the proxy has heard something newer.
            let listed = self.listed.get(&member).and_then(|t| t.closed_since(e.at));
            let heard = |since: Nanos| {
                let newer = |(at, _): &(Nanos, Standing)| at + TOLD_BY >= since && *at <= e.at;
                self.told.get(&(proxy, member)).is_some_and(|t| t.0.iter().any(newer))
            };
            let listed = listed.filter(|since| !heard(*since));
            let since = told.or(listed);
            if since.is_some_and(|since| e.at > since + DRAIN_GRACE + SLACK) {
                let late = (e.at - since.unwrap_or(0)) as f64 / 1e9;
                found.breaks(
                    Rule::Drain,
                    format!("sent to member {member} {late:.2} s after proxy {proxy} was told"),
                );
                return;
            }
        }
    }
}
