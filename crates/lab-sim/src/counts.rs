//! What is counted: how each client's attempt ended and why, and the proxies' attempts by member, second by second.

use super::{SimEvent, SlowStartStats};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::{Goodput, LoadStats, Outcome};
use aniseyoke_lab_world::connection_load::MemberLoad;
use serde::Serialize;

/// How a client's attempt ended, as its proxy saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A node served it from its cache, in time.
    Hit,
    /// The origin served it, in time.
    Fetched,
    /// Served past the latency objective.
    Late,
    /// Refused before anything was sent.
    #[serde(rename = "unsent")]
    RejectedUnsent,
    /// Its node missed, and nothing was sent to the origin.
    #[serde(rename = "ledger-shut")]
    OriginNotAsked,
    /// A node gave no answer in time.
    #[serde(rename = "node-silent")]
    NodeTimeout,
    /// A node rejected it, failed, or could not be reached.
    #[serde(rename = "node-bad")]
    NodeFailed,
    /// The origin gave no answer in time.
    #[serde(rename = "ledger-silent")]
    OriginTimeout,
    /// The origin rejected it, failed, or could not be reached.
    #[serde(rename = "ledger-bad")]
    OriginFailed,
    /// No final answer before its time was over.
    Unanswered,
    /// Its client disconnected.
    Left,
}

/// All causes, in the order of the table.
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
    /// Its name in a table.
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

/// One second of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Clients' attempts that ended, by cause, in the order of [`CAUSES`].
    pub causes: [u64; CAUSES.len()],
    /// First attempts that clients sent.
    pub first: u64,
    /// All attempts that clients sent.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Proxies' attempts at warm nodes, cold ones, and the origin.
    pub sent: [u64; 3],
    /// Of those, timed out, in the same order.
    pub timed_out: [u64; 3],
    /// Connections opened to nodes and the origin.
    pub opened: u64,
}

/// Everything that was counted from the start of what is reported.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Outcomes of the day's own requests, over all their attempts.
    pub stats: LoadStats,
    /// Outcomes of the crowd's requests.
    pub crowd: LoadStats,
    /// By second.
    pub seconds: Vec<Second>,
    /// Connections that carried more than one attempt.
    pub reused: u64,
    /// Cold nodes that went down, overloaded.
    pub node_overloads: u64,
    /// Times that the origin went down, overloaded.
    pub origin_overloads: u64,
    /// Requests that are not idempotent and were executed twice.
    pub executed_twice: u64,
    /// Attempts sent to a node over two seconds after its proxy was told that it drains or is gone.
    pub drain_violations: u64,
    /// Final answers beyond one for a request, which a proxy must never give.
    pub answered_twice: u64,
    /// Calls at the list service, for each second from the start, warm-up included; rejected ones among them.
    pub list_calls: Vec<u64>,
    /// Of those, rejected.
    pub list_rejected: u64,
    /// Connections and attempts at nodes and at the origin, for each second from the start; connections held are not known here.
    pub load: [MemberLoad; 2],
    /// What cold nodes got, compared with what the settings allow them.
    pub slow_start: SlowStartStats,
    /// Events of the simulation, warm-up included.
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

    /// Whether a rule was broken.
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

    /// The weight served in time over the weight offered, of requests due in these seconds.
    pub fn goodput(&self, seconds: std::ops::Range<usize>) -> f64 {
        Goodput::sum(self.stats.seconds.get(seconds).unwrap_or_default()).ratio()
    }

    /// The second from which on every second's goodput is at least this; none if the last one's is not.
    pub fn steady_after(&self, part: f64) -> Option<usize> {
        let seconds = self.stats.seconds.len().saturating_sub(1);
        let after = (0..seconds).rev().find(|s| self.goodput(*s..*s + 1) < part).map_or(0, |last| last + 1);
        (after < seconds).then_some(after)
    }

    /// The day's own requests: those served in time, and all.
    pub fn served(&self) -> (u64, u64) {
        (self.stats.all.count(Outcome::Served), self.stats.all.requests())
    }

    /// The table of seconds, with a line for each `step` of them.
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
            let three = |of: &dyn Fn(&Second) -> [u64; 3]| {
                let at = |slot: usize| part.iter().map(|s| of(s)[slot]).sum::<u64>();
                format!("{}/{}/{}", at(0), at(1), at(2))
            };
            let (sent, late) = (three(&|s| s.sent), three(&|s| s.timed_out));
            text += &format!("{sent:>24}{late:>21}{:>9}\n", sum(&|s| s.opened));
        }
        text
    }
}

impl SimEvent {
    /// Whether it belongs to the load, which ends with the day; the rest runs on until all is answered.
    pub(super) fn is_load(self) -> bool {
        matches!(self, SimEvent::NextRequest | SimEvent::CrowdRequest)
    }
}
