//! What is counted of a day: how each try ended and why, where attempts ended and how, second by second.

use super::{Happening, Ramped};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::{Outcome, Tally};
use aniseyoke_lab_world::connection_load::Met;
use serde::Serialize;

/// How a try ended, as its proxy saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A node had it, in time.
    Hit,
    /// The ledger gave or took it, in time.
    Fetched,
    /// Served past the aim.
    Late,
    /// Refused before anything was sent.
    Unsent,
    /// Its node lacked the key, and nothing was sent to the ledger.
    LedgerShut,
    /// A node gave no answer in time.
    NodeSilent,
    /// A node turned it away, failed, or was not to be reached.
    NodeBad,
    /// The ledger gave no answer in time.
    LedgerSilent,
    /// The ledger turned it away, failed, or was not to be reached.
    LedgerBad,
    /// No final answer before its time was over.
    Unanswered,
    /// Its client left.
    Left,
}

/// All causes, in the order of the table.
pub const CAUSES: [Cause; 11] = [
    Cause::Hit,
    Cause::Fetched,
    Cause::Late,
    Cause::Unsent,
    Cause::LedgerShut,
    Cause::NodeSilent,
    Cause::NodeBad,
    Cause::LedgerSilent,
    Cause::LedgerBad,
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
            Cause::Unsent => "unsent",
            Cause::LedgerShut => "ledger-shut",
            Cause::NodeSilent => "node-silent",
            Cause::NodeBad => "node-bad",
            Cause::LedgerSilent => "ledger-silent",
            Cause::LedgerBad => "ledger-bad",
            Cause::Unanswered => "unanswered",
            Cause::Left => "left",
        }
    }
}

/// One second of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Tries that ended, by cause, in the order of [`CAUSES`].
    pub causes: [u64; CAUSES.len()],
    /// First tries and all tries that came to proxies.
    pub first: u64,
    /// See `first`.
    pub tries: u64,
    /// Attempts sent to warm nodes, to cold ones, and to the ledger.
    pub sent: [u64; 3],
    /// Attempts that their proxies stopped waiting for, in the same order.
    pub timed_out: [u64; 3],
    /// Connections opened to nodes and the ledger.
    pub opened: u64,
}

/// Everything that was counted from the start of what is reported.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Outcomes of the day's own requests, over all their tries.
    pub tally: Tally,
    /// The same of the crowd's.
    pub crowd: Tally,
    /// By second.
    pub seconds: Vec<Second>,
    /// Connections that carried more than one attempt.
    pub reused: u64,
    /// Cold nodes that fell, and stops of the ledger.
    pub fell: u64,
    /// See `fell`.
    pub stopped: u64,
    /// Requests of a class that must not run twice that did.
    pub ran_twice: u64,
    /// Attempts sent to a node over two seconds after its proxy was told that it drains or is gone.
    pub drains_broken: u64,
    /// Final answers beyond one for a request, which a proxy must never give.
    pub answered_twice: u64,
    /// Calls at the list service, for each second from the start, warming included; refused ones among them.
    pub list_asks: Vec<u64>,
    /// Of those, refused.
    pub list_refused: u64,
    /// What nodes and the ledger were met with, for each second from the start; connections held are not known here.
    pub met: [Met; 2],
    /// What cold nodes got, against what the settings allow them.
    pub ramped: Ramped,
    /// What happened in all, warming included.
    pub events: u64,
}

impl Counts {
    pub(super) fn new(day: &Day) -> Self {
        let seconds = vec![Second::default(); day.length.as_secs() as usize + 1];
        Counts {
            tally: Tally::new(day),
            crowd: Tally::new(day),
            seconds,
            reused: 0,
            fell: 0,
            stopped: 0,
            ran_twice: 0,
            drains_broken: 0,
            answered_twice: 0,
            list_asks: Vec::new(),
            list_refused: 0,
            met: [Met::default(), Met::default()],
            ramped: Ramped::default(),
            events: 0,
        }
    }

    /// Whether a rule was broken.
    pub fn broken(&self) -> bool {
        self.fell + self.stopped + self.ran_twice + self.drains_broken + self.answered_twice > 0
    }

    pub(super) fn at(&mut self, second: Option<usize>) -> Option<&mut Second> {
        self.seconds.get_mut(second?)
    }

    /// The worth served in time over the worth asked for, of requests due in these seconds.
    pub fn goodput(&self, seconds: std::ops::Range<usize>) -> f64 {
        let part = self.tally.seconds.get(seconds).unwrap_or_default();
        let (good, all) = part.iter().fold((0.0, 0.0), |(g, a), (good, all)| (g + good, a + all));
        if all > 0.0 {
            good / all
        } else {
            1.0
        }
    }

    /// The second from which on every second's goodput is at least this; none if the last one's is not.
    pub fn steady_after(&self, part: f64) -> Option<usize> {
        let seconds = self.tally.seconds.len().saturating_sub(1);
        let after = (0..seconds).rev().find(|s| self.goodput(*s..*s + 1) < part).map_or(0, |last| last + 1);
        (after < seconds).then_some(after)
    }

    /// What of the day's own requests ended well, and what not.
    pub fn served(&self) -> (u64, u64) {
        (self.tally.all.count(Outcome::Served), self.tally.all.requests())
    }

    /// The table of seconds, with a line for each `step` of them.
    pub fn table(&self, step: usize) -> String {
        let mut text = format!("{:>6}{:>8}{:>7}", "from s", "tries", "a req.");
        CAUSES.iter().for_each(|c| text += &format!("{:>14}", c.name()));
        text += "   sent warm/cold/ledger   timed out the same   opened\n";
        for (n, part) in self.seconds.chunks(step.max(1)).enumerate() {
            let sum = |of: &dyn Fn(&Second) -> u64| part.iter().map(of).sum::<u64>();
            let (tries, first) = (sum(&|s| s.tries), sum(&|s| s.first));
            if tries == 0 {
                continue;
            }
            text += &format!("{:>6}{tries:>8}{:>7.2}", n * step, tries as f64 / first.max(1) as f64);
            (0..CAUSES.len()).for_each(|c| text += &format!("{:>14}", sum(&|s| s.causes[c])));
            let three = |of: &dyn Fn(&Second) -> [u64; 3]| {
                let at = |place: usize| part.iter().map(|s| of(s)[place]).sum::<u64>();
                format!("{}/{}/{}", at(0), at(1), at(2))
            };
            let (sent, late) = (three(&|s| s.sent), three(&|s| s.timed_out));
            text += &format!("{sent:>24}{late:>21}{:>9}\n", sum(&|s| s.opened));
        }
        text
    }
}

impl Happening {
    /// Whether it belongs to the load, which ends with the day; the rest runs on until all is answered.
    pub(super) fn is_load(self) -> bool {
        matches!(self, Happening::Due | Happening::Crowd)
    }
}
