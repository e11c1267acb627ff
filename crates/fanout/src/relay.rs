//! A relay: keeps the log received from its upstream, sends it to its children, and reports what its whole
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

/// The id of a connection to a child.
pub type ChildId = u64;

const SECOND: Nanos = 1_000_000_000;
/// The minimum time between two resync requests.
const RESYNC_INTERVAL: Nanos = SECOND;
/// The minimum time between two batches of a replay.
const REPLAY_INTERVAL: Nanos = SECOND / 100;
/// The number of log positions recorded per grace period.
const POSITION_SAMPLES: usize = 16;

/// What the owner of a relay has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Send these entries to all of these children. Without keys it is a heartbeat: there is no newer entry.
    Purges {
        /// The children's connections.
        to: Vec<ChildId>,
        /// The log's epoch.
        epoch: u64,
        /// The number before the first entry.
        after: u64,
        /// The keys of the entries.
        keys: Vec<u64>,
    },
    /// Tell a child to drop every object.
    Flush {
        /// The child's connection.
        to: ChildId,
        /// The child's position afterwards.
        position: Progress,
    },
    /// Send `hello` to the upstream again, with [`Relay::progress`].
    Resync,
    /// Send a report to the upstream.
    Report(Report),
    /// Close a child's connection for this reason.
    Disconnect(ChildId, String),
    /// Write a warning to the log.
    Warn(String),
}

/// The position up to which a whole subtree has applied purges, and which members lag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// All members except the lagging ones have applied every entry up to this position.
    pub position: Progress,
    /// The number of members that lag behind it.
    pub lagging: u64,
    /// Some of the lagging members, as `name@number`.
    pub names: Vec<String>,
}

/// A child's `hello`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChildHello<'a> {
    /// The child's name, which is the same after a restart.
    pub name: &'a str,
    /// A random number drawn when the child's process started.
    pub boot: u64,
    /// The child's position in the log.
    pub position: Progress,
    /// The maximum number of entries that the child accepts in one frame.
    pub max_frame_entries: usize,
}

/// A planned request to the upstream for entries that children need and this log no longer has.
#[derive(Clone, Copy, Debug)]
struct Refetch {
    /// When the request is due.
    due: Nanos,
    /// The number before the first entry that is needed.
    after: u64,
}

/// A relay or the root.
pub struct Relay {
    name: String,
    is_root: bool,
    settings: Settings,
    log: Log,
    children: FxHashMap<ChildId, Child>,
    departed: BTreeMap<String, DepartedChild>,
    /// When the next batch is sent to children.
    send_due_at: Option<Nanos>,
    /// Whether a heartbeat has to be forwarded to children.
    heartbeat_pending: bool,
    /// When the root last sent a heartbeat.
    last_heartbeat: Nanos,
    started: Nanos,
    resync_requested_at: Option<Nanos>,
    refetch: Option<Refetch>,
    /// The upstream no longer has entries of this epoch before this number.
    upstream_floor: u64,
    /// The newest number of the log at recent times, in order of time.
    recent_positions: VecDeque<(Nanos, u64)>,
    last_report: Report,
    next_report: Nanos,
    report_changed: bool,
    /// Whether the next report is sent even if it equals the last one.
    force_report: bool,
    /// Whether a child knows a higher number of this epoch than this log.
    child_ahead: bool,
}

impl Relay {
    /// Creates a relay with an empty log of this capacity, in entries.
    pub fn new(name: &str, settings: Settings, log_capacity: usize, now: Nanos) -> Self {
        Self::with_log(name, settings, Log::new(Progress::default(), log_capacity), false, now)
    }

    /// Creates the root with its log.
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

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the last report to the upstream.
    pub fn last_report(&self) -> &Report {
        &self.last_report
    }

    /// Returns the position for the relay's own `hello`: the whole subtree has applied everything up to it,
    /// and the log can be continued from it.
    pub fn progress(&self) -> Progress {
        let through = self.last_report.position.through.min(self.log.newest());
        Progress { epoch: self.log.epoch(), through }
    }

    /// Whether a child knows a higher number of this epoch than the root. The root's log was then restored
    /// from an older state and would assign numbers twice, so the root has to start a new epoch.
    pub fn is_behind_children(&self) -> bool {
        self.is_root && self.child_ahead
    }

    /// Starts a new epoch at the root. Every child will be flushed.
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

    /// Schedules a pass over the children at this time, unless one is already scheduled.
    fn schedule_send(&mut self, at: Nanos) {
        self.send_due_at.get_or_insert(at);
    }

    fn record_position(&mut self, now: Nanos) {
        let grace = self.settings.grace;
        let interval = grace / POSITION_SAMPLES as u64;
        let has_age = |time: Nanos, age: Nanos| now.saturating_sub(time) >= age;
        if self.recent_positions.back().is_none_or(|(time, _)| has_age(*time, interval)) {
            self.recent_positions.push_back((now, self.log.newest()));
        }
        // Retain the newest sample that is at least one grace period old.
        while self.recent_positions.get(1).is_some_and(|(time, _)| has_age(*time, grace)) {
            self.recent_positions.pop_front();
        }
    }

    /// Returns the newest number of the log one grace period ago, or 0 if it is unknown.
    fn position_before_grace(&self, now: Nanos) -> u64 {
        let oldest = self.recent_positions.front();
        let old = oldest.filter(|(time, _)| now.saturating_sub(*time) >= self.settings.grace);
        old.map_or(0, |(_, newest)| *newest)
    }

    /// Handles the entries from `after + 1` on. Without keys it is a heartbeat: the root has nothing newer
    /// than `after`.
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
        if self
            .resync_requested_at
            .is_none_or(|requested_at| now.saturating_sub(requested_at) >= RESYNC_INTERVAL)
        {
            self.resync_requested_at = Some(now);
            actions.push(RelayAction::Resync);
        }
    }

    /// Handles a flush: the upstream no longer has the entries that this relay lacks.
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
        let ids: Vec<ChildId> = self.children.keys().copied().collect();
        ids.into_iter().for_each(|id| self.align_child(now, id));
    }

    /// Handles a new connection to the upstream, on which `hello` was sent.
    pub fn upstream_connected(&mut self, now: Nanos) {
        self.resync_requested_at = None;
        self.report_changed = true;
        self.force_report = true;
        self.next_report = now;
    }

    /// Handles a child's `hello`: the first on a connection, or a further one if the child lacks entries. The
    /// child counts as lagging until it acknowledges a position ([`Self::child_acked`]). Returns false if
    /// there are too many children; the connection then has to be closed.
    pub fn child_connected(&mut self, now: Nanos, id: ChildId, hello: ChildHello<'_>) -> bool {
        let ChildHello { name, boot, position, max_frame_entries } = hello;
        // The same process on another connection: the old connection is dead, even if its end was not
        // detected yet.
        let is_same_process = |child: &Child| child.name == name && child.boot == boot;
        let old = self.children.iter().find(|(old, child)| **old != id && is_same_process(child));
        let old = old.map(|(old, _)| *old).and_then(|old| self.children.remove(&old));
        if self.children.len() >= self.settings.max_children && !self.children.contains_key(&id) {
            return false;
        }
        let departed = self.departed.remove(name).map(|departed| departed.lagging);
        let mut lagging = old.map(|old| old.lagging).or(departed).unwrap_or_default();
        let (mut acked, mut has_acked) = (position, false);
        if let Some(before) = self.children.get(&id) {
            // A relay that resets its log to refetch entries for a child has still applied what it
            // acknowledged.
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

    /// Decides how a child is brought up to date: by a replay, by a flush, or by refetching entries from the
    /// upstream.
    fn align_child(&mut self, now: Nanos, id: ChildId) {
        let (epoch, newest) = (self.log.epoch(), self.log.newest());
        let Some(child) = self.children.get_mut(&id).filter(|_| epoch > 0) else { return };
        let batch_end = now.saturating_add(self.settings.batch);
        self.send_due_at.get_or_insert(batch_end);
        let position = child.joined_at;
        let spread_flush = now.saturating_add(flush_delay(&child.name, self.settings.flush_spread));
        if position.is_empty() {
            child.flush_due = Some(now);
        } else if position.epoch > epoch {
            // Wait until the upstream announces that epoch.
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
            // Refetch instead of flushing: after a restart of this relay a flush of all children would empty
            // the caches of a whole site.
            let planned = self.refetch.unwrap_or(Refetch { due: batch_end, after: position.through });
            self.refetch = Some(Refetch { after: planned.after.min(position.through), ..planned });
        }
    }

    /// Handles a child's report of the position up to which it, or its whole subtree, has applied purges.
    pub fn child_acked(&mut self, now: Nanos, id: ChildId, report: Report) {
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

    /// Handles a failed send: the entries from `after + 1` on were not sent to a child, since its queue is
    /// full.
    pub fn send_failed(&mut self, now: Nanos, id: ChildId, after: u64) {
        if let Some(child) = self.children.get_mut(&id) {
            child.sent = child.sent.map(|sent| sent.min(after));
            self.schedule_send(now.saturating_add(self.settings.batch.max(REPLAY_INTERVAL)));
        }
    }

    /// Handles the end of a child's connection.
    pub fn child_disconnected(&mut self, now: Nanos, id: ChildId) {
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

    /// Returns the latest time at which [`Self::tick`] has to be called next.
    pub fn next_tick(&self, now: Nanos) -> Nanos {
        let report = self.report_changed.then_some(self.next_report);
        let due = [self.send_due_at, self.refetch.map(|refetch| refetch.due), report];
        let idle = now.saturating_add(self.settings.heartbeat_interval.min(SECOND) / 4);
        due.into_iter().flatten().fold(idle, Nanos::min).max(now)
    }

    /// Does what is due at this time. Callers run it by the time that [`Self::next_tick`] returns.
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

    /// Resets the log to an earlier position and requests a replay from there.
    fn refetch_after(&mut self, now: Nanos, through: u64, actions: &mut Vec<RelayAction>) {
        let position = Progress { epoch: self.log.epoch(), through };
        let warning = format!("refetching the purge log after entry {through} for lagging children");
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

/// Returns the delay before the child of this name is flushed, at most `spread`.
fn flush_delay(name: &str, spread: Nanos) -> Nanos {
    let hash = FxBuildHasher.hash_one(name);
    ((u128::from(hash) * u128::from(spread)) >> 64) as Nanos
}

#[cfg(test)]
mod tests;
