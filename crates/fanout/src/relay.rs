//! A relay: what has come from upstream, who below has done what, what is due to whom, and what is told upstream. The
//! root is one that numbers purges itself.

mod below;
mod bring;
mod report;

use crate::log::Log;
use crate::{Nanos, Progress};
use below::{Absent, Below};
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::collections::{BTreeMap, VecDeque};
use std::hash::BuildHasher;

/// A connection.
pub type Id = u64;

const SECOND: Nanos = 1_000_000_000;
/// It asks upstream again no more often than this.
const ASK: Nanos = SECOND;
/// A replay goes on no sooner than this.
const PACE: Nanos = SECOND / 100;
/// Marks of how far the log was, over the time of grace.
const MARKS: usize = 16;

/// Times and bounds of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What comes within this time after the first goes out as one.
    pub batch: Nanos,
    /// What is done below is told upstream no more often than this.
    pub report: Nanos,
    /// The root says as often that nothing newer is known.
    pub beat: Nanos,
    /// Who is behind for longer is not waited for, but named.
    pub grace: Nanos,
    /// Who has had entries for so long, and says nothing of them, is let go.
    pub stuck: Nanos,
    /// How long a member may claim to be fresh after it was told so. A relay names itself as lacking for this long, and
    /// the grace, after its start, since it can't know yet who was below it before.
    pub lease: Nanos,
    /// Who has gone is named for so long. Not under `lease`: until then it may claim to be fresh.
    pub forget: Nanos,
    /// Flushes of those below are spread over this time.
    pub spread: Nanos,
    /// Entries that were sent to one below and not done yet, at most.
    pub window: usize,
    /// Entries of one frame, at most.
    pub frame: usize,
    /// Members below, at most; as many are remembered that have gone.
    pub members: usize,
    /// Names that are told, at most; more are counted.
    pub names: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            batch: SECOND / 10,
            report: SECOND / 50,
            beat: SECOND,
            grace: 2 * SECOND,
            stuck: 10 * SECOND,
            lease: 5 * SECOND,
            forget: 60 * SECOND,
            spread: 10 * SECOND,
            window: 16 << 10,
            frame: 4 << 10,
            members: 20_000,
            names: 16,
        }
    }
}

/// What a relay wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send these entries, or word that nothing newer is known where there are none, to all of these.
    Purges {
        /// To whom.
        to: Vec<Id>,
        /// The log's epoch.
        epoch: u64,
        /// The number before the first of them.
        after: u64,
        /// Their keys.
        keys: Vec<u64>,
    },
    /// Tell one to drop everything.
    Flush {
        /// To whom.
        to: Id,
        /// Where it stands then.
        at: Progress,
    },
    /// Say hello upstream again, with [`Relay::progress`].
    Ask,
    /// Tell upstream how far all below are.
    Report(Report),
    /// End a connection, and why.
    LetGo(Id, String),
    /// Tell those on call.
    Say(String),
}

/// How far all below are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Everything through here is done by all, but those that lack something of it.
    pub at: Progress,
    /// How many lack something of it.
    pub lacking: u64,
    /// Some of them, as `name@number`.
    pub names: Vec<String>,
}

/// A relay, or the root.
pub struct Relay {
    name: String,
    root: bool,
    settings: Settings,
    log: Log,
    below: FxHashMap<Id, Below>,
    absent: BTreeMap<String, Absent>,
    /// When what has come goes out.
    due: Option<Nanos>,
    /// Upstream has said that nothing newer is known, and it has not been passed on.
    renewed: bool,
    beaten: Nanos,
    started: Nanos,
    asked: Option<Nanos>,
    /// The lowest number that somebody below needs and this log lacks, and when upstream is asked for it.
    rewind: Option<(Nanos, u64)>,
    /// Upstream no longer keeps anything before this, in this epoch.
    floor: u64,
    /// How far the log was, in the order of time.
    marks: VecDeque<(Nanos, u64)>,
    reported: Report,
    report_at: Nanos,
    changed: bool,
    /// What is done is told again, alike or not.
    tell: bool,
    ahead: bool,
}

impl Relay {
    /// A relay that knows nothing yet, for so many entries.
    pub fn new(name: &str, settings: Settings, entries: usize, now: Nanos) -> Self {
        Self::with(name, settings, Log::new(Progress::default(), entries), false, now)
    }

    /// The root, with its log.
    pub fn root(name: &str, settings: Settings, log: Log, now: Nanos) -> Self {
        Self::with(name, settings, log, true, now)
    }

    fn with(name: &str, settings: Settings, log: Log, root: bool, now: Nanos) -> Self {
        let reported = Report { at: log.at(), ..Report::default() };
        Relay {
            name: name.to_owned(),
            root,
            settings,
            log,
            below: FxHashMap::default(),
            absent: BTreeMap::new(),
            due: None,
            renewed: false,
            beaten: now,
            started: now,
            asked: None,
            rewind: None,
            floor: 0,
            marks: VecDeque::new(),
            reported,
            report_at: now,
            changed: true,
            tell: false,
            ahead: false,
        }
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// How far all below are, as it was last told.
    pub fn reported(&self) -> &Report {
        &self.reported
    }

    /// Where it stands, for `hello` upstream: all below have done it, and what comes next can be joined to the log.
    pub fn progress(&self) -> Progress {
        let through = self.reported.at.through.min(self.log.newest());
        Progress { epoch: self.log.epoch(), through }
    }

    /// Whether somebody below knows more of this epoch than the root does: its log is an older one that came back, and
    /// numbers would be given out twice. The root is to begin anew.
    pub fn is_outrun(&self) -> bool {
        self.root && self.ahead
    }

    /// The root begins a new epoch: everybody is told to drop everything.
    pub fn begin_anew(&mut self, now: Nanos, epoch: u64) {
        self.ahead = false;
        self.moved_to(now, Progress { epoch, through: 0 }, 0);
    }

    /// Numbers purges at the root; where the log stands then.
    pub fn number(&mut self, now: Nanos, keys: &[u64]) -> Progress {
        for key in keys {
            self.log.append(*key);
        }
        self.grown(now);
        self.log.at()
    }

    fn grown(&mut self, now: Nanos) {
        self.mark(now);
        self.changed = true;
        self.due.get_or_insert(now.saturating_add(self.settings.batch));
    }

    fn mark(&mut self, now: Nanos) {
        let apart = self.settings.grace / MARKS as u64;
        if self.marks.back().is_none_or(|(at, _)| now.saturating_sub(*at) >= apart) {
            self.marks.push_back((now, self.log.newest()));
        }
        // One older than the grace is kept.
        while self.marks.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) >= self.settings.grace) {
            self.marks.pop_front();
        }
    }

    /// How far the log was a grace ago.
    fn expected(&self, now: Nanos) -> u64 {
        let old = self.marks.front().filter(|(at, _)| now.saturating_sub(*at) >= self.settings.grace);
        old.map_or(0, |(_, newest)| *newest)
    }

    /// Entries `after + 1` and on have come from upstream; with no keys, word that nothing newer is known.
    pub fn purges(&mut self, now: Nanos, epoch: u64, after: u64, keys: &[u64], actions: &mut Vec<Action>) {
        if epoch < self.log.epoch() {
            return;
        }
        if epoch > self.log.epoch() {
            return self.ask(now, actions);
        }
        match self.log.extend(after, keys) {
            Err(_) => self.ask(now, actions),
            Ok(0) if keys.is_empty() && after == self.log.newest() => {
                self.renewed = true;
                self.due.get_or_insert(now.saturating_add(self.settings.batch));
            }
            Ok(0) => {}
            Ok(_) => self.grown(now),
        }
    }

    fn ask(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.asked.is_none_or(|asked| now.saturating_sub(asked) >= ASK) {
            self.asked = Some(now);
            actions.push(Action::Ask);
        }
    }

    /// What it lacks is no longer kept upstream.
    pub fn flush(&mut self, now: Nanos, at: Progress) {
        let here = self.log.at();
        if (here.epoch, here.through) >= (at.epoch, at.through) {
            return;
        }
        let knew = !self.progress().is_empty();
        let floor = if knew { at.through } else { 0 };
        self.moved_to(now, at, floor);
    }

    fn moved_to(&mut self, now: Nanos, at: Progress, floor: u64) {
        let anew = at.epoch != self.log.epoch();
        self.log.reset(at);
        if anew {
            self.marks.clear();
            self.reported = Report { at, ..Report::default() };
            self.below.values_mut().for_each(|b| b.lacking = (0, Vec::new()));
        }
        (self.asked, self.rewind, self.floor) = (None, None, floor);
        self.grown(now);
        for b in self.below.values_mut() {
            (b.sent, b.flush) = (None, None);
            if b.done.epoch == b.at.epoch {
                b.at.through = b.at.through.max(b.done.through);
            }
        }
        let ids: Vec<Id> = self.below.keys().copied().collect();
        ids.into_iter().for_each(|id| self.align(now, id));
    }

    /// The connection upstream is there, and hello was said on it.
    pub fn connected(&mut self, now: Nanos) {
        self.asked = None;
        self.changed = true;
        self.tell = true;
        self.report_at = now;
    }

    /// One below has said hello and takes purges; again on the same connection, where something is missing there. It
    /// counts as lacking until it has said how far it is ([`Self::purged`]), too.
    /// `most`: it reads frames of so many entries. False where there are too many already: it is to be let go.
    pub fn joined(&mut self, now: Nanos, id: Id, who: (&str, u64), at: Progress, most: usize) -> bool {
        let (name, boot) = who;
        // The same process on another connection: the old one is dead, whatever the system says.
        let old = self.below.iter().find(|(old, b)| **old != id && b.name == name && b.boot == boot);
        let old = old.map(|(old, _)| *old).and_then(|old| self.below.remove(&old));
        if self.below.len() >= self.settings.members && !self.below.contains_key(&id) {
            return false;
        }
        let absent = self.absent.remove(name).map(|absent| absent.lacking);
        let mut lacking = old.map(|old| old.lacking).or(absent).unwrap_or_default();
        let (mut done, mut told) = (at, false);
        if let Some(again) = self.below.get(&id) {
            // Danger: a relay that goes back to fetch what one below it lacks has still done what it said.
            if again.done.epoch == at.epoch {
                done.through = done.through.max(again.done.through);
            }
            (lacking, told) = (again.lacking.clone(), again.told);
        }
        let frame = self.settings.frame.min(most).max(1);
        let below = Below {
            name: name.to_owned(),
            boot,
            at,
            done,
            told,
            sent: None,
            flush: None,
            heard: now,
            lacking,
            frame,
        };
        self.below.insert(id, below);
        self.changed = true;
        self.align(now, id);
        true
    }

    /// Finds where the one below joins the log.
    fn align(&mut self, now: Nanos, id: Id) {
        let (epoch, newest) = (self.log.epoch(), self.log.newest());
        let Some(b) = self.below.get_mut(&id).filter(|_| epoch > 0) else { return };
        self.due.get_or_insert(now.saturating_add(self.settings.batch));
        let behind = newest.saturating_sub(b.at.through);
        if b.at.is_empty() {
            b.flush = Some(now);
        } else if b.at.epoch > epoch {
            // Upstream is to tell of that epoch first.
        } else if b.at.epoch < epoch {
            b.flush = Some(now.saturating_add(spread(&b.name, self.settings.spread)));
        } else if self.log.keeps(b.at.through) {
            self.ahead |= b.at.through > newest;
            b.sent = Some(b.at.through);
        } else if self.root || b.at.through < self.floor || behind > self.log.most() as u64 {
            b.flush = Some(now.saturating_add(spread(&b.name, self.settings.spread)));
        } else {
            // Danger: after a restart of this relay a flush of all below would empty a whole site.
            let due = now.saturating_add(self.settings.batch);
            let (due, lowest) = self.rewind.unwrap_or((due, b.at.through));
            self.rewind = Some((due, lowest.min(b.at.through)));
        }
    }

    /// One below says how far it, or all below it, are.
    pub fn purged(&mut self, now: Nanos, id: Id, report: Report) {
        let names = self.settings.names;
        let Some(b) = self.below.get_mut(&id) else { return };
        b.heard = now;
        let Report { at, lacking, names: mut named } = report;
        if (at.epoch, at.through) >= (b.done.epoch, b.done.through) {
            b.done = at;
            named.truncate(names);
            named.iter_mut().for_each(report::shorten);
            (b.lacking, b.told) = ((lacking, named), true);
            self.changed = true;
        }
        if b.sent.is_some_and(|sent| sent < self.log.newest()) {
            self.due.get_or_insert(now.saturating_add(self.settings.batch));
        }
    }

    /// What was to be sent to one, from after this number on, could not be: too much waits for it already.
    pub fn untaken(&mut self, now: Nanos, id: Id, after: u64) {
        if let Some(b) = self.below.get_mut(&id) {
            b.sent = b.sent.map(|sent| sent.min(after));
            self.due.get_or_insert(now.saturating_add(self.settings.batch.max(PACE)));
        }
    }

    /// A connection has ended.
    pub fn gone(&mut self, now: Nanos, id: Id) {
        let Some(b) = self.below.remove(&id) else { return };
        self.changed = true;
        if self.below.values().any(|other| other.name == b.name) {
            return;
        }
        if self.absent.len() >= self.settings.members {
            let oldest = self.absent.iter().min_by_key(|(_, a)| a.since).map(|(name, _)| name.clone());
            oldest.map(|name| self.absent.remove(&name));
        }
        self.absent.insert(b.name, Absent { since: now, done: b.done, lacking: b.lacking });
    }

    /// When it is to be called again at the latest.
    pub fn next(&self, now: Nanos) -> Nanos {
        let due = [self.due, self.rewind.map(|r| r.0)].into_iter().flatten().min();
        let report = self.changed.then_some(self.report_at);
        let idle = now.saturating_add(self.settings.beat.min(SECOND) / 4);
        [due, report].into_iter().flatten().min().map_or(idle, |at| at.min(idle)).max(now)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.mark(now);
        if self.root && now.saturating_sub(self.beaten) >= self.settings.beat {
            self.beaten = now;
            self.renewed = true;
            self.due.get_or_insert(now);
        }
        self.let_go(now, actions);
        let rewind = self.rewind.take_if(|(due, _)| *due <= now);
        if let Some((_, through)) = rewind {
            let at = Progress { epoch: self.log.epoch(), through };
            actions.push(Action::Say(format!("the log is fetched again from {through} on, for those below")));
            self.log.reset(at);
            self.asked = Some(now);
            actions.push(Action::Ask);
            self.below.values_mut().filter(|b| b.at.epoch == at.epoch && b.sent.is_none()).for_each(|b| {
                b.sent = Some(b.at.through);
            });
        }
        if self.due.is_some_and(|due| due <= now) {
            self.due = None;
            self.bring(now, actions);
        }
        self.report(now, actions);
    }
}

/// When, of this time, the one of this name is flushed.
fn spread(name: &str, over: Nanos) -> Nanos {
    let hash = FxBuildHasher.hash_one(name);
    ((u128::from(hash) * u128::from(over)) >> 64) as Nanos
}

#[cfg(test)]
mod tests;
