//! A relay: the log as received from its upstream, the children that are fed from it, and the report of what its whole
//! subtree has applied. The root is a relay that numbers purges itself.

mod child;
mod downstream;
mod upstream;

use crate::log::Log;
use crate::{Nanos, Progress, Settings};
use child::{Child, DepartedChild, LaggingBelow};
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::collections::{BTreeMap, VecDeque};
use std::hash::BuildHasher;

/// A connection to a child.
pub type Id = u64;

const SECOND: Nanos = 1_000_000_000;
/// The shortest time between two requests for a resync.
const RESYNC_INTERVAL: Nanos = SECOND;
/// The shortest time between two batches of a replay.
const REPLAY_INTERVAL: Nanos = SECOND / 100;
/// How many positions of the log are recorded over the time of grace.
const POSITION_SAMPLES: usize = 16;

/// What a relay asks its owner to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Send these entries to all of these children; without keys, a heartbeat: nothing newer is known.
    Purges {
        /// The children.
        to: Vec<Id>,
        /// The log's epoch.
        epoch: u64,
        /// The number before the first entry.
        after: u64,
        /// The keys of the entries.
        keys: Vec<u64>,
    },
    /// Tell a child to drop every object.
    Flush {
        /// The child.
        to: Id,
        /// Its position afterwards.
        position: Progress,
    },
    /// Send `hello` to the upstream again, with [`Relay::progress`].
    Resync,
    /// Send a report to the upstream.
    Report(Report),
    /// Close a child's connection, for this reason.
    Disconnect(Id, String),
    /// Write a warning to the log.
    Warn(String),
}

/// Up to where a whole subtree has applied purges, and who lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Everyone has applied everything up to here, except those that lag.
    pub position: Progress,
    /// How many lag behind it.
    pub lagging: u64,
    /// Some of them, as `name@number`.
    pub names: Vec<String>,
}

/// A child's `hello`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChildHello<'a> {
    /// Its name, the same after a restart.
    pub name: &'a str,
    /// A number drawn when its process started.
    pub boot: u64,
    /// Its position in the log.
    pub position: Progress,
    /// How many entries of one frame it accepts.
    pub max_frame_entries: usize,
}

/// The lowest position that a child needs and this log no longer has.
#[derive(Clone, Copy, Debug)]
struct Refetch {
    /// When the upstream is asked for it.
    due: Nanos,
    /// The number before the first entry needed.
    after: u64,
}

/// A relay, or the root.
pub struct Relay {
    name: String,
    is_root: bool,
    settings: Settings,
    log: Log,
    children: FxHashMap<Id, Child>,
    departed: BTreeMap<String, DepartedChild>,
    /// When the next batch is sent to children.
    send_due_at: Option<Nanos>,
    /// A heartbeat that was not forwarded yet.
    heartbeat_pending: bool,
    /// When the root last sent a heartbeat.
    last_heartbeat: Nanos,
    started: Nanos,
    resync_requested_at: Option<Nanos>,
    refetch: Option<Refetch>,
    /// The upstream no longer has entries before this number of this epoch.
    upstream_floor: u64,
    /// The newest number of the log at recent times, oldest first.
    recent_positions: VecDeque<(Nanos, u64)>,
    last_report: Report,
    next_report: Nanos,
    report_changed: bool,
    /// The next report is sent even if it equals the last one.
    force_report: bool,
    /// A child knows a higher number of this epoch than this log.
    child_ahead: bool,
}

impl Relay {
    /// A relay with an empty log of this capacity.
    pub fn new(name: &str, settings: Settings, log_capacity: usize, now: Nanos) -> Self {
        Self::with_log(name, settings, Log::new(Progress::default(), log_capacity), false, now)
    }

    /// The root, with its log.
    pub fn root(name: &str, settings: Settings, log: Log, now: Nanos) -> Self {
        Self::with_log(name, settings, log, true, now)
    }

    fn with_log(name: &str, settings: Settings, log: Log, is_root: bool, now: Nanos) -> Self {
        let last_report = Report { position: log.position(), ..Report::default() };
        Relay {
            name: name.to_owned(),
            is_root,
            settings,
            log,
            children: FxHashMap::default(),
            departed: BTreeMap::new(),
            send_due_at: None,
            heartbeat_pending: false,
            last_heartbeat: now,
            started: now,
            resync_requested_at: None,
            refetch: None,
            upstream_floor: 0,
            recent_positions: VecDeque::new(),
            last_report,
            next_report: now,
            report_changed: true,
            force_report: false,
            child_ahead: false,
        }
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The last report to the upstream.
    pub fn last_report(&self) -> &Report {
        &self.last_report
    }

    /// The relay's position for its own `hello`: the whole subtree has applied everything up to it, and the log can be
    /// continued from it.
    pub fn progress(&self) -> Progress {
        let through = self.last_report.position.through.min(self.log.newest());
        Progress { epoch: self.log.epoch(), through }
    }

    /// Whether a child knows a higher number of this epoch than the root: the root's log was restored from an older
    /// state, and would assign numbers twice. The root has to start a new epoch.
    pub fn is_behind_children(&self) -> bool {
        self.is_root && self.child_ahead
    }

    /// The root starts a new epoch: every child will be flushed.
    pub fn start_epoch(&mut self, now: Nanos, epoch: u64) {
        self.child_ahead = false;
        self.reset_log(now, Progress { epoch, through: 0 }, 0);
    }

    /// Appends purges to the root's log and returns the log's new position.
    pub fn append(&mut self, now: Nanos, keys: &[u64]) -> Progress {
        for key in keys {
            self.log.append(*key);
        }
        self.log_extended(now);
        self.log.position()
    }

    fn log_extended(&mut self, now: Nanos) {
        self.record_position(now);
        self.report_changed = true;
        self.schedule_send(now.saturating_add(self.settings.batch));
    }

    /// Sends to children at this time, or earlier where that is planned already.
    fn schedule_send(&mut self, at: Nanos) {
        self.send_due_at.get_or_insert(at);
    }

    fn record_position(&mut self, now: Nanos) {
        let grace = self.settings.grace;
        let interval = grace / POSITION_SAMPLES as u64;
        let is_older = |at: Nanos, than: Nanos| now.saturating_sub(at) >= than;
        if self.recent_positions.back().is_none_or(|(at, _)| is_older(*at, interval)) {
            self.recent_positions.push_back((now, self.log.newest()));
        }
        // The newest of those that are older than the grace stays.
        while self.recent_positions.get(1).is_some_and(|(at, _)| is_older(*at, grace)) {
            self.recent_positions.pop_front();
        }
    }

    /// The newest number of the log one grace ago.
    fn position_before_grace(&self, now: Nanos) -> u64 {
        let oldest = self.recent_positions.front();
        let old = oldest.filter(|(at, _)| now.saturating_sub(*at) >= self.settings.grace);
        old.map_or(0, |(_, newest)| *newest)
    }

    /// The upstream sent the entries from `after + 1` on; without keys, a heartbeat: nothing newer is known.
    pub fn receive_purges(
        &mut self,
        now: Nanos,
        epoch: u64,
        after: u64,
        keys: &[u64],
        actions: &mut Vec<RelayAction>,
    ) {
        if epoch < self.log.epoch() {
            return;
        }
        if epoch > self.log.epoch() {
            return self.request_resync(now, actions);
        }
        match self.log.extend(after, keys) {
            Err(_) => self.request_resync(now, actions),
            Ok(0) if keys.is_empty() && after == self.log.newest() => {
                self.heartbeat_pending = true;
                self.schedule_send(now.saturating_add(self.settings.batch));
            }
            Ok(0) => {}
            Ok(_) => self.log_extended(now),
        }
    }

    fn request_resync(&mut self, now: Nanos, actions: &mut Vec<RelayAction>) {
        if self.resync_requested_at.is_none_or(|at| now.saturating_sub(at) >= RESYNC_INTERVAL) {
            self.resync_requested_at = Some(now);
            actions.push(RelayAction::Resync);
        }
    }

    /// The upstream no longer has the entries that this relay lacks.
    pub fn receive_flush(&mut self, now: Nanos, position: Progress) {
        let own = self.log.position();
        if (own.epoch, own.through) >= (position.epoch, position.through) {
            return;
        }
        let floor = if self.progress().is_empty() { 0 } else { position.through };
        self.reset_log(now, position, floor);
    }

    fn reset_log(&mut self, now: Nanos, position: Progress, upstream_floor: u64) {
        let is_new_epoch = position.epoch != self.log.epoch();
        self.log.reset(position);
        if is_new_epoch {
            self.recent_positions.clear();
            self.last_report = Report { position, ..Report::default() };
            self.children.values_mut().for_each(|child| child.lagging = LaggingBelow::default());
        }
        self.resync_requested_at = None;
        self.refetch = None;
        self.upstream_floor = upstream_floor;
        self.log_extended(now);
        for child in self.children.values_mut() {
            child.sent = None;
            child.flush_due = None;
            if child.acked.epoch == child.joined_at.epoch {
                child.joined_at.through = child.joined_at.through.max(child.acked.through);
            }
        }
        let ids: Vec<Id> = self.children.keys().copied().collect();
        ids.into_iter().for_each(|id| self.align_child(now, id));
    }

    /// The connection to the upstream is established, and `hello` was sent on it.
    pub fn upstream_connected(&mut self, now: Nanos) {
        self.resync_requested_at = None;
        self.report_changed = true;
        self.force_report = true;
        self.next_report = now;
    }

    /// A child sent `hello`, for the first time or, where it lacks entries, again on the same connection. It counts as
    /// lagging until it acknowledges a position ([`Self::child_acked`]). False if there are too many children: its
    /// connection has to be closed.
    pub fn child_connected(&mut self, now: Nanos, id: Id, hello: ChildHello<'_>) -> bool {
        let ChildHello { name, boot, position, max_frame_entries } = hello;
        // The same process on another connection: the old one is dead, even if the system has not noticed yet.
        let is_same = |child: &Child| child.name == name && child.boot == boot;
        let old = self.children.iter().find(|(old, child)| **old != id && is_same(child));
        let old = old.map(|(old, _)| *old).and_then(|old| self.children.remove(&old));
        if self.children.len() >= self.settings.max_children && !self.children.contains_key(&id) {
            return false;
        }
        let departed = self.departed.remove(name).map(|departed| departed.lagging);
        let mut lagging = old.map(|old| old.lagging).or(departed).unwrap_or_default();
        let (mut acked, mut has_acked) = (position, false);
        if let Some(before) = self.children.get(&id) {
            // Danger: a relay that goes back to fetch what its child lacks has still applied what it acknowledged.
            if before.acked.epoch == position.epoch {
                acked.through = acked.through.max(before.acked.through);
            }
            lagging = before.lagging.clone();
            has_acked = before.has_acked;
        }
        let child = Child {
            name: name.to_owned(),
            boot,
            joined_at: position,
            acked,
            has_acked,
            sent: None,
            flush_due: None,
            last_ack: now,
            lagging,
            max_frame_entries: self.settings.max_frame_entries.min(max_frame_entries).max(1),
        };
        self.children.insert(id, child);
        self.report_changed = true;
        self.align_child(now, id);
        true
    }

    /// Decides how a child joins the log: by a replay, by a flush, or after entries were fetched again from upstream.
    fn align_child(&mut self, now: Nanos, id: Id) {
        let (epoch, newest) = (self.log.epoch(), self.log.newest());
        let Some(child) = self.children.get_mut(&id).filter(|_| epoch > 0) else { return };
        let batch_end = now.saturating_add(self.settings.batch);
        self.send_due_at.get_or_insert(batch_end);
        let position = child.joined_at;
        let spread_flush = now.saturating_add(flush_delay(&child.name, self.settings.flush_spread));
        if position.is_empty() {
            child.flush_due = Some(now);
        } else if position.epoch > epoch {
            // The upstream has to announce that epoch first.
        } else if position.epoch < epoch {
            child.flush_due = Some(spread_flush);
        } else if self.log.retains_after(position.through) {
            self.child_ahead |= position.through > newest;
            child.sent = Some(position.through);
        } else if self.is_root
            || position.through < self.upstream_floor
            || newest.saturating_sub(position.through) > self.log.capacity() as u64
        {
            child.flush_due = Some(spread_flush);
        } else {
            // Danger: after a restart of this relay a flush of all children would empty a whole site.
            let planned = self.refetch.unwrap_or(Refetch { due: batch_end, after: position.through });
            self.refetch = Some(Refetch { after: planned.after.min(position.through), ..planned });
        }
    }

    /// A child reports up to where it, or its whole subtree, has applied purges.
    pub fn child_acked(&mut self, now: Nanos, id: Id, report: Report) {
        let Some(child) = self.children.get_mut(&id) else { return };
        child.last_ack = now;
        let Report { position, lagging, mut names } = report;
        if (position.epoch, position.through) >= (child.acked.epoch, child.acked.through) {
            names.truncate(self.settings.max_names);
            names.iter_mut().for_each(upstream::truncate_name);
            child.acked = position;
            child.lagging = LaggingBelow { count: lagging, names };
            child.has_acked = true;
            self.report_changed = true;
        }
        if child.sent.is_some_and(|sent| sent < self.log.newest()) {
            self.schedule_send(now.saturating_add(self.settings.batch));
        }
    }

    /// Entries from `after + 1` on could not be sent to a child, since its queue is full.
    pub fn send_failed(&mut self, now: Nanos, id: Id, after: u64) {
        if let Some(child) = self.children.get_mut(&id) {
            child.sent = child.sent.map(|sent| sent.min(after));
            self.schedule_send(now.saturating_add(self.settings.batch.max(REPLAY_INTERVAL)));
        }
    }

    /// A child's connection has ended.
    pub fn child_disconnected(&mut self, now: Nanos, id: Id) {
        let Some(child) = self.children.remove(&id) else { return };
        self.report_changed = true;
        if self.children.values().any(|other| other.name == child.name) {
            return;
        }
        if self.departed.len() >= self.settings.max_children {
            let oldest = self.departed.iter().min_by_key(|(_, departed)| departed.since);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.departed.remove(&name);
            }
        }
        let departed = DepartedChild { since: now, acked: child.acked, lagging: child.lagging };
        self.departed.insert(child.name, departed);
    }

    /// When [`Self::tick`] has to be called at the latest.
    pub fn next_tick(&self, now: Nanos) -> Nanos {
        let report = self.report_changed.then_some(self.next_report);
        let due = [self.send_due_at, self.refetch.map(|refetch| refetch.due), report];
        let idle = now.saturating_add(self.settings.heartbeat_interval.min(SECOND) / 4);
        due.into_iter().flatten().fold(idle, Nanos::min).max(now)
    }

    /// Lets time pass, and does what is due.
    pub fn tick(&mut self, now: Nanos, actions: &mut Vec<RelayAction>) {
        self.record_position(now);
        let since_heartbeat = now.saturating_sub(self.last_heartbeat);
        if self.is_root && since_heartbeat >= self.settings.heartbeat_interval {
            self.last_heartbeat = now;
            self.heartbeat_pending = true;
            self.schedule_send(now);
        }
        self.disconnect_stuck(now, actions);
        if let Some(Refetch { after, .. }) = self.refetch.take_if(|refetch| refetch.due <= now) {
            self.refetch_after(now, after, actions);
        }
        if self.send_due_at.is_some_and(|due| due <= now) {
            self.send_due_at = None;
            self.send_due(now, actions);
        }
        self.send_report(now, actions);
    }

    /// Resets the log to an earlier position and asks the upstream to replay from there.
    fn refetch_after(&mut self, now: Nanos, through: u64, actions: &mut Vec<RelayAction>) {
        let position = Progress { epoch: self.log.epoch(), through };
        let warning = format!("the log of purges is fetched again from {through} on, for children that lag");
        actions.push(RelayAction::Warn(warning));
        self.log.reset(position);
        self.resync_requested_at = Some(now);
        actions.push(RelayAction::Resync);
        for child in self.children.values_mut() {
            if child.joined_at.epoch == position.epoch && child.sent.is_none() {
                child.sent = Some(child.joined_at.through);
            }
        }
    }
}

/// How much later than others the child of this name is flushed, within this time.
fn flush_delay(name: &str, spread: Nanos) -> Nanos {
    let hash = FxBuildHasher.hash_one(name);
    ((u128::from(hash) * u128::from(spread)) >> 64) as Nanos
}

#[cfg(test)]
mod tests;
