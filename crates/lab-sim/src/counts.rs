//! The counts of a simulation: how each client attempt ended and why, and the proxies' attempts by kind of
//! member, for each second.

use super::{SimEvent, SlowStartStats};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::{Goodput, LoadStats, Outcome};
use aniseyoke_lab_world::connection_load::MemberLoad;
use serde::Serialize;

/// How a client's attempt ended, as its proxy observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Served by a node from its cache, within the latency objective.
    Hit,
    /// Served by the origin, within the latency objective.
    Fetched,
    /// Served later than the latency objective.
    Late,
    /// Rejected before any attempt was sent.
    #[serde(rename = "unsent")]
    RejectedUnsent,
    /// A cache miss at the node, after which no attempt was sent to the origin.
    #[serde(rename = "ledger-shut")]
    OriginNotAsked,
    /// A node did not answer in time.
    #[serde(rename = "node-silent")]
    NodeTimeout,
    /// A node rejected the attempt, failed, or could not be reached.
    #[serde(rename = "node-bad")]
    NodeFailed,
    /// The origin did not answer in time.
    #[serde(rename = "ledger-silent")]
    OriginTimeout,
    /// The origin rejected the attempt, failed, or could not be reached.
    #[serde(rename = "ledger-bad")]
    OriginFailed,
    /// No final response before the deadline.
    Unanswered,
    /// The client disconnected.
    Left,
}

/// All causes, in the order of the table's columns.
pub const CAUSES: [Cause; 11] = [
    Cause::Hit,
    Cause::Fetched,
    Cause::Late,
    Cause::RejectedUnsent,
    Cause::OriginNotAsked,
    Cause::NodeTimeout,
    Cause::NodeFailed,
    Cause::OriginTimeout,
    Cause::OriginFailed,
    Cause::Unanswered,
    Cause::Left,
];

impl Cause {
    /// The name of the cause in the table.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Hit => "hit",
            Cause::Fetched => "fetched",
            Cause::Late => "late",
            Cause::RejectedUnsent => "unsent",
            Cause::OriginNotAsked => "ledger-shut",
            Cause::NodeTimeout => "node-silent",
            Cause::NodeFailed => "node-bad",
            Cause::OriginTimeout => "ledger-silent",
            Cause::OriginFailed => "ledger-bad",
            Cause::Unanswered => "unanswered",
            Cause::Left => "left",
        }
    }
}

/// Counts of one second of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Client attempts that arrived in this second, by cause of their end, in the order of [`CAUSES`].
    pub causes: [u64; CAUSES.len()],
    /// First attempts sent by clients.
    pub first: u64,
    /// All attempts sent by clients.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Attempts sent by proxies to warm nodes, to cold nodes and to the origin.
    pub sent: [u64; 3],
    /// Attempts that timed out, in the same order as `sent`.
    pub timed_out: [u64; 3],
    /// Connections opened to nodes and to the origin.
    pub opened: u64,
}

/// Counts from the start of the reported part on.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Outcomes of the day's requests, over all their attempts.
    pub stats: LoadStats,
    /// Outcomes of the crowd's requests.
    pub crowd: LoadStats,
    /// Counts for each second.
    pub seconds: Vec<Second>,
    /// Connections that carried more than one attempt.
    pub reused: u64,
    /// Cold nodes that failed from overload.
    pub node_overloads: u64,
    /// The number of times that the origin failed from overload.
    pub origin_overloads: u64,
    /// Non-idempotent requests that were executed twice.
    pub executed_twice: u64,
    /// Attempts sent to a node more than two seconds after its proxy was notified that the node is draining
    /// or gone.
    pub drain_violations: u64,
    /// Final responses to requests that already had one. A proxy must send exactly one.
    pub answered_twice: u64,
    /// Calls to the list service in each second, including the warm-up and rejected calls.
    pub list_calls: Vec<u64>,
    /// The number of those calls that were rejected.
    pub list_rejected: u64,
    /// Connections and attempts at nodes and at the origin, for each second including the warm-up. The number
    /// of open connections is not modelled.
    pub load: [MemberLoad; 2],
    /// Requests to cold nodes compared with their slow-start budget.
    pub slow_start: SlowStartStats,
    /// Events of the simulation, including the warm-up.
    pub events: u64,
}

impl Counts {
    pub(super) fn new(day: &Day) -> Self {
        let seconds = vec![Second::default(); day.length.as_secs() as usize + 1];
        Counts {
            stats: LoadStats::new(day),
            crowd: LoadStats::new(day),
            seconds,
            reused: 0,
            node_overloads: 0,
            origin_overloads: 0,
            executed_twice: 0,
            drain_violations: 0,
            answered_twice: 0,
            list_calls: Vec::new(),
            list_rejected: 0,
            load: [MemberLoad::default(), MemberLoad::default()],
            slow_start: SlowStartStats::default(),
            events: 0,
        }
    }

    /// Whether any rule was violated.
    pub fn broken(&self) -> bool {
        self.node_overloads
            + self.origin_overloads
            + self.executed_twice
            + self.drain_violations
            + self.answered_twice
            > 0
    }

    pub(super) fn at(&mut self, second: Option<usize>) -> Option<&mut Second> {
        self.seconds.get_mut(second?)
    }

    /// The weight served in time divided by the weight offered, for requests due in these seconds.
    pub fn goodput(&self, seconds: std::ops::Range<usize>) -> f64 {
        Goodput::sum(self.stats.seconds.get(seconds).unwrap_or_default()).ratio()
    }

    /// The first second from which every second's goodput is at least `min_goodput`; `None` if that of the
    /// last second is lower.
    pub fn steady_after(&self, min_goodput: f64) -> Option<usize> {
        let seconds = self.stats.seconds.len().saturating_sub(1);
        let after =
            (0..seconds).rev().find(|s| self.goodput(*s..*s + 1) < min_goodput).map_or(0, |last| last + 1);
        (after < seconds).then_some(after)
    }

    /// The number of the day's requests that were served in time, and of all its requests.
    pub fn served(&self) -> (u64, u64) {
        (self.stats.all.count(Outcome::Served), self.stats.all.requests())
    }

    /// Formats the counts as a table with one line for each `step` seconds.
    pub fn table(&self, step: usize) -> String {
        let mut text = format!("{:>6}{:>8}{:>7}", "from s", "tries", "a req.");
        CAUSES.iter().for_each(|c| text += &format!("{:>14}", c.name()));
        text += "   sent warm/cold/ledger   timed out the same   opened\n";
        for (n, part) in self.seconds.chunks(step.max(1)).enumerate() {
            let sum = |of: &dyn Fn(&Second) -> u64| part.iter().map(of).sum::<u64>();
            let (attempts, first) = (sum(&|s| s.attempts), sum(&|s| s.first));
            if attempts == 0 {
                continue;
            }
            text += &format!("{:>6}{attempts:>8}{:>7.2}", n * step, attempts as f64 / first.max(1) as f64);
            (0..CAUSES.len()).for_each(|c| text += &format!("{:>14}", sum(&|s| s.causes[c])));
            let columns = |of: &dyn Fn(&Second) -> [u64; 3]| {
                let at = |slot: usize| part.iter().map(|s| of(s)[slot]).sum::<u64>();
                format!("{}/{}/{}", at(0), at(1), at(2))
            };
            let (sent, late) = (columns(&|s| s.sent), columns(&|s| s.timed_out));
            text += &format!("{sent:>24}{late:>21}{:>9}\n", sum(&|s| s.opened));
        }
        text
    }
}

impl SimEvent {
    /// Whether the event generates load. Load ends with the day; other events are processed until every
    /// request has ended.
    pub(super) fn is_load(self) -> bool {
        matches!(self, SimEvent::NextRequest | SimEvent::CrowdRequest)
    }
}
