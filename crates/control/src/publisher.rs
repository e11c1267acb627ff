//! A service's side of the protocol: keeps the history of versions, tracks which proxy runs which version,
//! and decides which version each proxy is sent. Does no I/O and reads no clock: the caller passes messages
//! and the time, and sends the resulting frames.

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
/// Maximum number of versions in the history, which are the bases of deltas and can be rolled back to.
const MAX_HISTORY_VERSIONS: usize = 64;
/// Maximum size of the snapshots of all versions in the history. Two versions are retained whatever their
/// size.
const MAX_HISTORY_BYTES: usize = 128 << 20;
/// Maximum number of connected proxies. Further ones are rejected.
const MAX_SUBSCRIBERS: usize = 20_000;
/// The connection of a proxy is closed if nothing is received from it for this long.
const IDLE_TIMEOUT: Nanos = 20 * SECOND;
/// A heartbeat is sent to a proxy if nothing else was sent to it for this long.
const HEARTBEAT_INTERVAL: Nanos = 5 * SECOND;

/// Why a version can't be published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The plan of its rollout is not valid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// Its snapshot can't be encoded as a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// It can't be stored.
    #[error("it can't be stored, and is not published: {0}")]
    Storage(#[from] StoreError),
    /// The version to roll back to is not in the history.
    #[error("version {0} is not in the history any more")]
    Unknown(Stamp),
    /// It is not newer than the newest published version.
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
    /// The size of its snapshot's frame.
    bytes: usize,
    published_at: Nanos,
}

/// A version that is ready to be published: its plan is valid and its snapshot is encoded.
pub struct PreparedVersion {
    version: Version,
    /// The frame of its snapshot.
    bytes: Arc<[u8]>,
    plan: Plan,
}

impl PreparedVersion {
    /// Returns the version.
    pub fn version(&self) -> &Version {
        &self.version
    }
}

/// Publishes versions to proxies: the history of versions, the connected proxies, and the rollout of the
/// newest version.
pub struct Publisher {
    epoch: u64,
    history: VecDeque<HistoryEntry>,
    subscribers: FxHashMap<ConnectionId, Subscriber>,
    /// The last version before the newest whose rollout was complete. Proxies that do not get the newest
    /// version yet should run this one.
    baseline: Option<Stamp>,
    rollout: Option<Rollout>,
    /// Encoded frames, which are shared by all proxies that are sent them. The key is the base of the delta,
    /// or `None` for a snapshot, and the version.
    encoded: FxHashMap<(Option<Stamp>, Stamp), Arc<[u8]>>,
    request_counts: RequestCounts,
}

impl Publisher {
    /// Creates a publisher without versions. The epoch has to be higher than in any earlier start. A service
    /// restored from a backup with an old epoch would reuse stamps.
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

    /// Returns the newest version.
    pub fn newest(&self) -> Option<&Version> {
        self.history.back().map(|entry| &entry.version)
    }

    /// Returns the state of the newest version's rollout.
    pub fn rollout(&self) -> Option<&RolloutState> {
        self.rollout.as_ref().map(Rollout::state)
    }

    /// Returns the statuses of all connected proxies, in the order of their names.
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

    /// Publishes a body as the newest version and starts its rollout. The rollout of the previous version
    /// ends.
    ///
    /// # Errors
    /// If the plan is not valid, or the body is too long for a frame.
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

    /// Prepares a version with this body. Its stamp is the next one, so that it can only be published if no
    /// other version is published before.
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

    /// Publishes a prepared version and returns its stamp. No other version may have been published since it
    /// was prepared.
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

    /// Returns the body of a version in the history.
    ///
    /// # Errors
    /// If the version is not in the history any more.
    pub fn body_of(&self, stamp: Stamp) -> Result<Value, PublishError> {
        self.version(stamp).map(|v| v.body.value()).ok_or(PublishError::Unknown(stamp))
    }

    /// Appends a version to the history, which may drop old versions from it, and starts the version's
    /// rollout. The previous version becomes the baseline if its rollout was complete.
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
            history.len() > MAX_HISTORY_VERSIONS || history.len() > 2 && bytes > MAX_HISTORY_BYTES
        };
        while is_full(&self.history) {
            // The baseline is retained, since proxies that a stage does not include run it, and those that do
            // not have the newest version when its rollout is halted.
            let oldest = self.history.front().map(|entry| entry.version.stamp);
            let index = usize::from(oldest == self.baseline);
            self.history.remove(index);
        }
    }

    /// Publishes a version received from the upstream, which is the service that a relay gets its versions
    /// from, to all proxies at once. The version keeps its stamp. Does nothing if it is the newest version
    /// already.
    ///
    /// # Errors
    /// If it is older than the newest version, has the same stamp with another digest, or is too long for a
    /// frame.
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

    /// Returns the number of connected proxies that were sent a version and have not answered it.
    pub fn pending(&self, stamp: Stamp) -> usize {
        self.subscribers.values().filter(|s| s.in_flight == Some(stamp)).count()
    }

    /// Returns the counts of requests that proxies reported since the last call.
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

    /// Halts the rollout of the newest version. Has no effect if the rollout is complete or already halted.
    pub fn halt(&mut self, reason: &str) {
        self.rollout.iter_mut().for_each(|rollout| rollout.halt(reason));
    }

    /// Returns the version that a proxy should run, or `None` if it should not change its version.
    fn wanted(&self, s: &Subscriber) -> Option<Stamp> {
        let rollout = self.rollout.as_ref()?;
        if rollout.includes(&s.instance, &s.labels) {
            return Some(rollout.stamp());
        }
        // A proxy that runs the newest version does not return to the baseline when the rollout is halted.
        // For that, an operator has to roll back, which publishes a new version.
        let has_newest = s.running.as_ref().is_some_and(|(stamp, _)| *stamp == rollout.stamp());
        if has_newest {
            Some(rollout.stamp())
        } else {
            self.baseline
        }
    }

    /// Handles a message of a proxy. Frames to be sent are appended to `out`.
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
                rejected_version: None,
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
            // The service passes each message to its purge driver first, which handles `PurgeAck`.
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
        s.rejected_version = s.rejected_version.take().filter(|(rejected, _)| *rejected > stamp);
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
            rollout.record_rejection(&s.instance, &reasons.join("; "));
        }
        s.rejected_version = Some((stamp, reasons));
        // A newer version may have been published since this one was sent.
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

    /// Sends a proxy the version that it should run, unless it runs that version already, has not answered it
    /// yet, or has rejected it. It is sent as a delta if possible, unless `as_snapshot` is set.
    ///
    /// A frame that is longer than the proxy accepts is not sent. The version is recorded as rejected by the
    /// proxy instead, which halts the rollout of the version if it is in a stage.
    fn send_wanted(&mut self, now: Nanos, id: ConnectionId, as_snapshot: bool, out: &mut Vec<OutgoingFrame>) {
        let Some(s) = self.subscribers.get(&id) else { return };
        let Some(wanted) = self.wanted(s) else { return };
        let Some(version) = self.version(wanted) else { return };
        if s.runs(version) || s.has_rejected(wanted) || s.in_flight == Some(wanted) {
            return;
        }
        // The base of a delta has to be exactly the version that the proxy runs: the same stamp with the same
        // digest. While a version is in flight, the proxy may run that one already and no longer have the base,
        // so a snapshot is sent.
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
        // A proxy with little memory would close the connection because of a frame that is too long,
        // reconnect, and get the same frame again.
        if bytes.len() > s.max_frame_bytes.saturating_add(HEADER_BYTES) {
            let size = bytes.len() - HEADER_BYTES;
            let reason = format!("{size} bytes are more than the {} that it reads", s.max_frame_bytes);
            if let Some(rollout) = self.rollout.as_mut().filter(|rollout| rollout.stamp() == wanted) {
                rollout.record_rejection(&s.instance, &reason);
            }
            s.rejected_version = Some((wanted, vec![reason]));
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

    /// Handles the end of a connection.
    pub fn disconnected(&mut self, id: ConnectionId) {
        self.subscribers.remove(&id);
    }

    /// Closes idle connections, sends heartbeats and advances the rollout. Has to be called about once a
    /// second.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<OutgoingFrame>) {
        let is_idle = |s: &Subscriber| now.saturating_sub(s.last_received) > IDLE_TIMEOUT;
        let idle: Vec<ConnectionId> =
            self.subscribers.iter().filter(|(_, s)| is_idle(s)).map(|(id, _)| *id).collect();
        for id in idle {
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
