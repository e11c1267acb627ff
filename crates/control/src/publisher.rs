//! A service's side of the protocol: the history of versions, which proxy runs which, and who is sent what. No I/O, no
//! clock.

mod subscriber;

use crate::follower::RequestCounts;
use crate::frame::{FrameError, ProxyMessage, ProxyStatus, ServiceMessage, HEADER_BYTES, PROTOCOL_VERSION};
use crate::outgoing::{encode_update, goodbye, unicast, ConnectionId, OutgoingFrame};
use crate::rollout::{Plan, PlanError, ResponseCounts, Rollout, RolloutState};
use crate::store::StoreError;
use crate::version::{Stamp, Version};
use rustc_hash::FxHashMap;
use serde_json::Value;
use std::collections::VecDeque;
use std::sync::Arc;
use subscriber::{truncate_reasons, Subscriber};

/// Nanoseconds since an arbitrary fixed point.
type Nanos = u64;

const SECOND: Nanos = 1_000_000_000;
/// How many versions are kept, as bases of deltas and for roll-backs.
const MAX_HISTORY: usize = 64;
/// How large all of their frames may be, in bytes; the newest version is kept whatever its size.
const MAX_HISTORY_BYTES: usize = 128 << 20;
/// How many proxies are served; others are rejected.
const MAX_SUBSCRIBERS: usize = 20_000;
/// A proxy that sends nothing for so long is considered dead.
const IDLE_TIMEOUT: Nanos = 20 * SECOND;
/// A heartbeat is sent to a proxy if nothing else was for so long.
const HEARTBEAT_INTERVAL: Nanos = 5 * SECOND;

/// Why a version can't be published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The plan of its rollout is not valid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// Its frame can't be encoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// It can't be stored.
    #[error("it can't be stored, and is not published: {0}")]
    Storage(#[from] StoreError),
    /// The version to roll back to is not in the history.
    #[error("version {0} is not in the history any more")]
    Unknown(Stamp),
    /// It is not newer than the newest version.
    #[error("version {stamp} does not follow {newest}, which was published before")]
    Outdated {
        /// The version.
        stamp: Stamp,
        /// The newest version.
        newest: Stamp,
    },
}

struct HistoryEntry {
    version: Version,
    /// The size of its frame.
    bytes: usize,
    published_at: Nanos,
}

/// A version that can be published.
pub struct PreparedVersion {
    version: Version,
    /// Its snapshot.
    bytes: Arc<[u8]>,
    plan: Plan,
}

impl PreparedVersion {
    /// The version.
    pub fn version(&self) -> &Version {
        &self.version
    }
}

/// A service's state.
pub struct Publisher {
    epoch: u64,
    history: VecDeque<HistoryEntry>,
    subscribers: FxHashMap<ConnectionId, Subscriber>,
    /// The last version whose rollout was complete: what those run who do not get the newest yet.
    baseline: Option<Stamp>,
    rollout: Option<Rollout>,
    /// Frames that are sent to many, by the base of the delta, none for a snapshot, and the version.
    encoded: FxHashMap<(Option<Stamp>, Stamp), Arc<[u8]>>,
    request_counts: RequestCounts,
}

impl Publisher {
    /// A service without versions. Danger: one that is restored from a backup under its old epoch would assign numbers
    /// twice; whoever starts it has to raise the epoch.
    pub fn new(epoch: u64) -> Self {
        Publisher {
            epoch,
            history: VecDeque::new(),
            subscribers: FxHashMap::default(),
            baseline: None,
            rollout: None,
            encoded: FxHashMap::default(),
            request_counts: RequestCounts::default(),
        }
    }

    /// The newest version.
    pub fn newest(&self) -> Option<&Version> {
        self.history.back().map(|entry| &entry.version)
    }

    /// The state of the newest version's rollout.
    pub fn rollout(&self) -> Option<&RolloutState> {
        self.rollout.as_ref().map(Rollout::state)
    }

    /// All connected proxies, in the order of their names.
    pub fn statuses(&self) -> Vec<ProxyStatus> {
        let statuses = self.subscribers.values().map(|s| s.status(self.wanted(s)));
        let mut all: Vec<ProxyStatus> = statuses.collect();
        all.sort_by(|a, b| a.instance.cmp(&b.instance).then(a.boot.cmp(&b.boot)));
        all
    }

    fn version(&self, stamp: Stamp) -> Option<&Version> {
        self.entry(stamp).map(|entry| &entry.version)
    }

    fn entry(&self, stamp: Stamp) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.version.stamp == stamp)
    }

    /// Publishes a body as the newest version and starts its rollout. The rollout of the version before goes no further.
    ///
    /// # Errors
    /// If the plan is not valid, or the body is too long to be sent.
    pub fn publish(
        &mut self,
        now: Nanos,
        body: Value,
        plan: Plan,
        out: &mut Vec<OutgoingFrame>,
    ) -> Result<Stamp, PublishError> {
        let prepared = self.prepare(&body, plan)?;
        Ok(self.publish_prepared(now, prepared, out))
    }

    /// Checks a body and assigns it the stamp under which it is published, unless another version is published before.
    ///
    /// # Errors
    /// As [`Self::publish`].
    pub fn prepare(&self, body: &Value, plan: Plan) -> Result<PreparedVersion, PublishError> {
        plan.check()?;
        let number = self.newest().map_or(0, |v| v.stamp.number) + 1;
        let version = Version::new(Stamp { epoch: self.epoch, number }, body);
        let bytes = encode_update(None, &version)?;
        Ok(PreparedVersion { version, bytes, plan })
    }

    /// Publishes the version that was prepared last, and returns its stamp.
    pub fn publish_prepared(
        &mut self,
        now: Nanos,
        prepared: PreparedVersion,
        out: &mut Vec<OutgoingFrame>,
    ) -> Stamp {
        let stamp = prepared.version.stamp;
        self.start_rollout(now, prepared, out);
        stamp
    }

    /// The body of a version in the history.
    ///
    /// # Errors
    /// If the version is not in the history any more.
    pub fn body_of(&self, stamp: Stamp) -> Result<Value, PublishError> {
        self.version(stamp).map(|v| v.body.value()).ok_or(PublishError::Unknown(stamp))
    }

    fn start_rollout(&mut self, now: Nanos, prepared: PreparedVersion, out: &mut Vec<OutgoingFrame>) {
        let PreparedVersion { version, bytes, plan } = prepared;
        let stamp = version.stamp;
        if let Some(before) = self.rollout.take() {
            if before.state() == &RolloutState::Complete {
                self.baseline = Some(before.stamp());
            }
        }
        self.history.push_back(HistoryEntry { version, bytes: bytes.len(), published_at: now });
        self.trim_history();
        self.encoded.clear();
        self.encoded.insert((None, stamp), bytes);
        self.rollout = Some(Rollout::new(now, stamp, plan));
        self.send_to_all(now, out);
    }

    fn trim_history(&mut self) {
        let is_full = |history: &VecDeque<HistoryEntry>| {
            let bytes: usize = history.iter().map(|entry| entry.bytes).sum();
            history.len() > MAX_HISTORY || history.len() > 2 && bytes > MAX_HISTORY_BYTES
        };
        while is_full(&self.history) {
            // The baseline stays, or there would be nothing to return to from a halted rollout.
            let oldest = self.history.front().map(|entry| entry.version.stamp);
            let index = usize::from(oldest == self.baseline);
            self.history.remove(index);
        }
    }

    /// Forwards a version that an upstream published to everyone, under its own stamp.
    ///
    /// # Errors
    /// If it is older than the newest, is another one under the same stamp, or is too long to be sent.
    pub fn adopt(
        &mut self,
        now: Nanos,
        version: Version,
        out: &mut Vec<OutgoingFrame>,
    ) -> Result<(), PublishError> {
        let stamp = version.stamp;
        match self.newest() {
            Some(newest) if newest.stamp == stamp && newest.digest == version.digest => return Ok(()),
            Some(newest) if newest.stamp >= stamp => {
                return Err(PublishError::Outdated { stamp, newest: newest.stamp });
            }
            _ => {}
        }
        let bytes = encode_update(None, &version)?;
        self.start_rollout(now, PreparedVersion { version, bytes, plan: Plan::default() }, out);
        Ok(())
    }

    /// How many proxies were sent a version and have not answered.
    pub fn pending(&self, stamp: Stamp) -> usize {
        self.subscribers.values().filter(|s| s.in_flight == Some(stamp)).count()
    }

    /// Counts of requests that proxies reported since the last call.
    pub fn take_request_counts(&mut self) -> RequestCounts {
        std::mem::take(&mut self.request_counts)
    }

    /// Publishes the body of an earlier version as a new version.
    ///
    /// # Errors
    /// If that version is not in the history, and as [`Self::publish`].
    pub fn roll_back(
        &mut self,
        now: Nanos,
        to: Stamp,
        plan: Plan,
        out: &mut Vec<OutgoingFrame>,
    ) -> Result<Stamp, PublishError> {
        let body = self.body_of(to)?;
        self.publish(now, body, plan, out)
    }

    /// Halts the rollout of the newest version.
    pub fn halt(&mut self, reason: &str) {
        self.rollout.iter_mut().for_each(|rollout| rollout.halt(reason));
    }

    /// The version that a proxy should run; none where it keeps what it has.
    fn wanted(&self, s: &Subscriber) -> Option<Stamp> {
        let rollout = self.rollout.as_ref()?;
        if rollout.includes(&s.instance, &s.labels) {
            return Some(rollout.stamp());
        }
        // A proxy that has the newest version keeps it while its rollout is halted; a roll-back is a new version.
        let has_newest = s.running.as_ref().is_some_and(|(stamp, _)| *stamp == rollout.stamp());
        if has_newest {
            Some(rollout.stamp())
        } else {
            self.baseline
        }
    }

    /// Handles a message of a proxy. What is to be sent is appended to `out`.
    pub fn receive(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        message: ProxyMessage,
        out: &mut Vec<OutgoingFrame>,
    ) {
        if let ProxyMessage::Hello { protocol, instance, boot, labels, max_frame_bytes, running, .. } =
            message
        {
            let subscriber = Subscriber {
                instance,
                boot,
                labels,
                max_frame_bytes,
                running,
                ack_latency: None,
                in_flight: None,
                rejected: None,
                last_received: now,
                last_sent: now,
            };
            return self.receive_hello(now, id, protocol, subscriber, out);
        }
        let Some(s) = self.subscribers.get_mut(&id) else {
            return goodbye(id, "the first message has to be hello", out);
        };
        s.last_received = now;
        match message {
            ProxyMessage::Hello { .. } | ProxyMessage::PurgeAck { .. } | ProxyMessage::Heartbeat => {}
            ProxyMessage::Ack { stamp } => self.receive_ack(now, id, stamp, out),
            ProxyMessage::Nack { stamp, reasons } => self.receive_nack(now, id, stamp, reasons, out),
            ProxyMessage::SnapshotRequest => {
                s.in_flight = None;
                self.send_wanted(now, id, true, out);
            }
            ProxyMessage::Report { stamp, served, rejected, failed } => {
                self.receive_report(stamp, RequestCounts { served, rejected, failed });
            }
        }
    }

    fn receive_ack(&mut self, now: Nanos, id: ConnectionId, stamp: Stamp, out: &mut Vec<OutgoingFrame>) {
        let acked = self.entry(stamp).map(|entry| (entry.version.digest.clone(), entry.published_at));
        let Some(s) = self.subscribers.get_mut(&id) else { return };
        s.in_flight = s.in_flight.filter(|in_flight| *in_flight != stamp);
        s.ack_latency = acked.as_ref().map(|(_, published_at)| now.saturating_sub(*published_at));
        s.running = acked.map(|(digest, _)| (stamp, digest));
        s.rejected = s.rejected.take().filter(|(rejected, _)| *rejected > stamp);
        self.send_wanted(now, id, false, out);
    }

    fn receive_nack(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        stamp: Stamp,
        mut reasons: Vec<String>,
        out: &mut Vec<OutgoingFrame>,
    ) {
        truncate_reasons(&mut reasons);
        let Some(s) = self.subscribers.get_mut(&id) else { return };
        s.in_flight = s.in_flight.filter(|in_flight| *in_flight != stamp);
        if let Some(rollout) = self.rollout.as_mut().filter(|rollout| rollout.stamp() == stamp) {
            rollout.nacked(&s.instance, &reasons.join("; "));
        }
        s.rejected = Some((stamp, reasons));
        // A newer version may have been published meanwhile.
        self.send_wanted(now, id, false, out);
    }

    fn receive_report(&mut self, stamp: Stamp, counts: RequestCounts) {
        self.request_counts.add(counts);
        let bad = counts.rejected.saturating_add(counts.failed);
        let responses = ResponseCounts { total: counts.served.saturating_add(bad), bad };
        if let Some(rollout) = self.rollout.as_mut() {
            rollout.report(stamp == rollout.stamp(), responses);
        }
    }

    fn receive_hello(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        protocol: u32,
        s: Subscriber,
        out: &mut Vec<OutgoingFrame>,
    ) {
        if let Some(reason) = self.reason_to_reject(id, protocol, &s) {
            self.subscribers.remove(&id);
            return goodbye(id, &reason, out);
        }
        self.subscribers.insert(id, s);
        self.send_wanted(now, id, false, out);
        if let Some(s) = self.subscribers.get(&id).filter(|s| s.in_flight.is_none()) {
            if let Some((stamp, _)) = s.running {
                out.extend(unicast(id, &ServiceMessage::UpToDate { stamp }));
            }
        }
    }

    fn reason_to_reject(&self, id: ConnectionId, protocol: u32, s: &Subscriber) -> Option<String> {
        if protocol != PROTOCOL_VERSION {
            return Some(format!(
                "this service speaks version {PROTOCOL_VERSION} of the protocol, not {protocol}"
            ));
        }
        if let Some(reason) = s.invalid_identity() {
            return Some(reason.to_owned());
        }
        if self.subscribers.len() >= MAX_SUBSCRIBERS && !self.subscribers.contains_key(&id) {
            return Some(format!("the limit of {MAX_SUBSCRIBERS} proxies is reached"));
        }
        None
    }

    /// Sends a proxy the version that it should run, unless it runs it, was sent it, or has rejected it.
    fn send_wanted(&mut self, now: Nanos, id: ConnectionId, as_snapshot: bool, out: &mut Vec<OutgoingFrame>) {
        let Some(s) = self.subscribers.get(&id) else { return };
        let Some(wanted) = self.wanted(s) else { return };
        let Some(version) = self.version(wanted) else { return };
        if s.runs(version) || s.has_rejected(wanted) || s.in_flight == Some(wanted) {
            return;
        }
        // A delta only from what the proxy surely has: the same stamp with the same digest.
        let base = s.running.as_ref().filter(|_| !as_snapshot && s.in_flight.is_none());
        let base = base.and_then(|(stamp, digest)| self.version(*stamp).filter(|v| v.digest == *digest));
        let key = (base.map(|base| base.stamp), wanted);
        let bytes = match self.encoded.get(&key) {
            Some(bytes) => bytes.clone(),
            None => {
                let Ok(bytes) = encode_update(base, version) else { return };
                self.encoded.insert(key, bytes.clone());
                bytes
            }
        };
        let Some(s) = self.subscribers.get_mut(&id) else { return };
        // Danger: a proxy with little memory would close the connection because of it, again and again.
        if bytes.len() > s.max_frame_bytes.saturating_add(HEADER_BYTES) {
            let size = bytes.len() - HEADER_BYTES;
            let reason = format!("{size} bytes are more than the {} that it reads", s.max_frame_bytes);
            if let Some(rollout) = self.rollout.as_mut().filter(|rollout| rollout.stamp() == wanted) {
                rollout.nacked(&s.instance, &reason);
            }
            s.rejected = Some((wanted, vec![reason]));
            return;
        }
        s.in_flight = Some(wanted);
        s.last_sent = now;
        out.push(OutgoingFrame { to: id, bytes, close_after: false });
    }

    /// Sends every proxy the version that it should run.
    fn send_to_all(&mut self, now: Nanos, out: &mut Vec<OutgoingFrame>) {
        let mut ids: Vec<ConnectionId> = self.subscribers.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().for_each(|id| self.send_wanted(now, id, false, out));
    }

    /// A connection has ended.
    pub fn disconnected(&mut self, id: ConnectionId) {
        self.subscribers.remove(&id);
    }

    /// Lets time pass. To be called about once a second.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<OutgoingFrame>) {
        let is_dead = |s: &Subscriber| now.saturating_sub(s.last_received) > IDLE_TIMEOUT;
        let dead: Vec<ConnectionId> =
            self.subscribers.iter().filter(|(_, s)| is_dead(s)).map(|(id, _)| *id).collect();
        for id in dead {
            self.subscribers.remove(&id);
            goodbye(id, "nothing was received for too long", out);
        }
        for (id, s) in &mut self.subscribers {
            if now.saturating_sub(s.last_sent) >= HEARTBEAT_INTERVAL {
                s.last_sent = now;
                out.extend(unicast(*id, &ServiceMessage::Heartbeat));
            }
        }
        if let Some(mut rollout) = self.rollout.take() {
            let pending = self.pending(rollout.stamp());
            let changed = rollout.tick(now, pending);
            self.rollout = Some(rollout);
            if changed {
                self.send_to_all(now, out);
            }
        }
    }
}

#[cfg(test)]
mod tests;
