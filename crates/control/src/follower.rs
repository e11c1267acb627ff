//! A proxy's side of the protocol: which service it is connected to, which versions it accepts, and what it answers. No
//! I/O, no clock.

use crate::frame::{ProxyMessage, ServiceMessage, PROTOCOL_VERSION};
use crate::version::{Stamp, Version};
use aniseyoke_fanout::Progress;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Nanoseconds since an arbitrary fixed point.
pub type Nanos = u64;

const SECOND: Nanos = 1_000_000_000;

/// How a proxy identifies itself to services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub instance: String,
    /// A number drawn when its process started.
    pub boot: u64,
    /// Labels by which operators select it in rollouts.
    pub labels: BTreeMap<String, String>,
    /// The longest frame that it reads, in bytes.
    pub max_frame_bytes: usize,
}

/// Times of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The first wait before a reconnect, and the longest; it doubles between them.
    pub backoff: (Nanos, Nanos),
    /// The time limit of a connection attempt.
    pub connect: Nanos,
    /// A service that sends nothing for so long is considered dead.
    pub idle_timeout: Nanos,
    /// A heartbeat is sent if nothing else was for so long.
    pub heartbeat: Nanos,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            backoff: (SECOND / 2, 30 * SECOND),
            connect: 3 * SECOND,
            idle_timeout: 15 * SECOND,
            heartbeat: 5 * SECOND,
        }
    }
}

/// Why a version was not put in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{}", .reasons.join("; "))]
pub struct Rejection {
    /// The reasons, a line each.
    pub reasons: Vec<String>,
}

impl From<Vec<String>> for Rejection {
    fn from(reasons: Vec<String>) -> Self {
        Rejection { reasons }
    }
}

impl From<String> for Rejection {
    fn from(reason: String) -> Self {
        Rejection { reasons: vec![reason] }
    }
}

/// Counts of requests since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

impl RequestCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: RequestCounts) {
        self.served = self.served.saturating_add(other.served);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.failed = self.failed.saturating_add(other.failed);
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == RequestCounts::default()
    }
}

/// What a follower asks its owner to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to the service with this index, then call [`Follower::connected`] or [`Follower::disconnected`].
    Connect(usize),
    /// Close the connection, and ignore anything that still arrives on it.
    Disconnect,
    /// Send a message.
    Send(ProxyMessage),
    /// Check a version and put it in force, then call [`Follower::applied`]. There is only one at a time.
    Apply(Version),
    /// Store a version as the last known good one.
    Persist(Version),
    /// Write a warning to the log.
    Warn(String),
}

enum Link {
    /// Not connected; the next attempt is due at this time.
    Down { retry_at: Nanos },
    /// A connection attempt has been going on since this time.
    Connecting { since: Nanos },
    /// Connected: when something was last received, and last sent.
    Up { last_received: Nanos, last_sent: Nanos },
}

/// The last version that was rejected, so that it is not applied again when it is sent again.
struct RejectedVersion {
    stamp: Stamp,
    digest: String,
    reasons: Vec<String>,
}

/// A proxy's state.
pub struct Follower {
    identity: Identity,
    times: Times,
    random: SmallRng,
    service_count: usize,
    /// The index of the current service, or of the next one.
    service: usize,
    link: Link,
    /// Connections that failed in a row.
    failures: u32,
    running: Option<Version>,
    /// The version that is being put in force.
    applying: Option<Version>,
    /// The newest of those that arrived meanwhile. Danger: a queue of versions would grow without limit where they arrive
    /// faster than they are applied; only the newest counts.
    queued: Option<Version>,
    rejected: Option<RejectedVersion>,
    purge_progress: Option<Progress>,
}

impl Follower {
    /// A follower of so many services. `running`: the version that it ran last, if that is known. `seed` decides the
    /// jitter of reconnects.
    pub fn new(
        identity: Identity,
        service_count: usize,
        running: Option<Version>,
        times: Times,
        seed: u64,
    ) -> Self {
        Follower {
            identity,
            times,
            random: SmallRng::seed_from_u64(seed),
            service_count: service_count.max(1),
            service: 0,
            link: Link::Down { retry_at: 0 },
            failures: 0,
            running,
            applying: None,
            queued: None,
            rejected: None,
            purge_progress: None,
        }
    }

    /// The version that runs, if a service published it.
    pub fn running(&self) -> Option<&Version> {
        self.running.as_ref()
    }

    /// Lets time pass. To be called several times a second.
    pub fn tick(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        match self.link {
            Link::Down { retry_at } if now >= retry_at => {
                self.link = Link::Connecting { since: now };
                actions.push(Action::Connect(self.service));
            }
            Link::Connecting { since } if now.saturating_sub(since) > self.times.connect => {
                actions.push(Action::Disconnect);
                self.schedule_reconnect(now);
            }
            Link::Up { last_received, .. } if now.saturating_sub(last_received) > self.times.idle_timeout => {
                actions.push(Action::Disconnect);
                self.warn("does not respond any more", actions);
                self.schedule_reconnect(now);
            }
            Link::Up { last_sent, .. } if now.saturating_sub(last_sent) >= self.times.heartbeat => {
                self.send(now, ProxyMessage::Heartbeat, actions);
            }
            _ => {}
        }
    }

    /// Sets the position in the log of purges that `hello` announces; none, the initial value, where the owner does not
    /// subscribe to purges.
    pub fn set_purge_progress(&mut self, progress: Option<Progress>) {
        self.purge_progress = progress;
    }

    /// Sends `hello`, also again on the same connection where purges are missing.
    pub fn send_hello(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Identity { instance, boot, labels, max_frame_bytes } = self.identity.clone();
        let hello = ProxyMessage::Hello {
            protocol: PROTOCOL_VERSION,
            instance,
            boot,
            labels,
            max_frame_bytes,
            running: self.running.as_ref().map(|v| (v.stamp, v.digest.clone())),
            purges: self.purge_progress,
        };
        self.send(now, hello, actions);
    }

    /// Sends a message, if there is a connection.
    pub fn send(&mut self, now: Nanos, message: ProxyMessage, actions: &mut Vec<Action>) {
        if let Link::Up { last_sent, .. } = &mut self.link {
            *last_sent = now;
            actions.push(Action::Send(message));
        }
    }

    fn warn(&self, what: &str, actions: &mut Vec<Action>) {
        actions.push(Action::Warn(format!("control service {} {what}", self.service)));
    }

    /// Whether a newer version waits for the one that is being put in force.
    pub fn has_newer_version(&self) -> bool {
        self.queued.is_some()
    }

    /// The connection is established.
    pub fn connected(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !matches!(self.link, Link::Connecting { .. }) {
            actions.push(Action::Disconnect);
            return;
        }
        self.link = Link::Up { last_received: now, last_sent: now };
        self.send_hello(now, actions);
    }

    /// The connection could not be established, or has ended.
    pub fn disconnected(&mut self, now: Nanos) {
        if !matches!(self.link, Link::Down { .. }) {
            self.schedule_reconnect(now);
        }
    }

    /// Bytes arrived that are not a frame: nothing behind them can be decoded.
    pub fn malformed(&mut self, now: Nanos, error: &str, actions: &mut Vec<Action>) {
        if matches!(self.link, Link::Up { .. }) {
            self.warn(&format!("sent an invalid message: {error}"), actions);
            actions.push(Action::Disconnect);
            self.schedule_reconnect(now);
        }
    }

    /// Connects to the next service after a backoff. Its jitter keeps a fleet that lost its service from reconnecting all
    /// at once.
    fn schedule_reconnect(&mut self, now: Nanos) {
        let (first, max) = self.times.backoff;
        let wait = first.saturating_mul(1 << self.failures.min(16)).min(max);
        let jittered = (wait as f64 * (0.5 + 0.5 * self.random.random::<f64>())) as Nanos;
        self.failures = self.failures.saturating_add(1);
        self.service = (self.service + 1) % self.service_count;
        self.link = Link::Down { retry_at: now.saturating_add(jittered) };
    }

    /// A message has arrived. The owner passes messages about purges to the relay or member that they are for.
    pub fn receive(&mut self, now: Nanos, message: ServiceMessage, actions: &mut Vec<Action>) {
        let Link::Up { last_received, .. } = &mut self.link else { return };
        *last_received = now;
        // Only a service that has sent something useful ends the backoff.
        if !matches!(message, ServiceMessage::Goodbye { .. }) {
            self.failures = 0;
        }
        match message {
            ServiceMessage::Heartbeat | ServiceMessage::UpToDate { .. } => {}
            ServiceMessage::Purges { .. } | ServiceMessage::Flush { .. } => {}
            ServiceMessage::Goodbye { reason } => {
                self.warn(&format!("closes the connection: {reason}"), actions);
                actions.push(Action::Disconnect);
                self.schedule_reconnect(now);
            }
            ServiceMessage::Snapshot { stamp, digest, body } => {
                let version = Version { stamp, digest, body };
                match version.verify() {
                    Ok(()) => self.receive_version(now, version, actions),
                    Err(error) => self.nack(now, stamp, vec![error.to_string()], actions),
                }
            }
            ServiceMessage::Delta { base, stamp, digest, patch } => {
                let known = [&self.queued, &self.applying, &self.running];
                let base = known.into_iter().flatten().find(|v| v.stamp == base);
                // Danger: after a gap a delta may result in another version than it was made for.
                match base.map(|base| base.apply(&patch, stamp, &digest)) {
                    Some(Ok(version)) => self.receive_version(now, version, actions),
                    Some(Err(_)) | None => self.send(now, ProxyMessage::SnapshotRequest, actions),
                }
            }
        }
    }

    /// A valid version has arrived, by a snapshot or a delta.
    fn receive_version(&mut self, now: Nanos, version: Version, actions: &mut Vec<Action>) {
        let stamp = version.stamp;
        if let Some(rejected) = &self.rejected {
            if rejected.stamp == stamp && rejected.digest == version.digest {
                let reasons = rejected.reasons.clone();
                return self.nack(now, stamp, reasons, actions);
            }
        }
        let newest = [&self.queued, &self.applying, &self.running].into_iter().flatten().next();
        if let Some(newest) = newest {
            if newest.stamp == stamp && newest.digest != version.digest {
                // Danger: to follow two services that disagree would alternate between their versions for ever.
                let reason = format!("version {stamp} has another body here: two services disagree");
                self.warn(&format!("sent a conflicting version: {reason}"), actions);
                return self.nack(now, stamp, vec![reason], actions);
            }
            if newest.stamp > stamp {
                let reason = format!("version {stamp} is older than {}, which was sent before", newest.stamp);
                return self.nack(now, stamp, vec![reason], actions);
            }
            if newest.stamp == stamp {
                // A duplicate. One that is still being applied is answered when it is in force.
                if self.applying.is_none() {
                    self.send(now, ProxyMessage::Ack { stamp }, actions);
                }
                return;
            }
        }
        if self.applying.is_some() {
            self.queued = Some(version);
        } else {
            self.apply(version, actions);
        }
    }

    fn apply(&mut self, version: Version, actions: &mut Vec<Action>) {
        self.applying = Some(version.clone());
        actions.push(Action::Apply(version));
    }

    fn nack(&mut self, now: Nanos, stamp: Stamp, reasons: Vec<String>, actions: &mut Vec<Action>) {
        self.send(now, ProxyMessage::Nack { stamp, reasons }, actions);
    }

    /// The version that was to be applied is in force, or was rejected and the one before stays in force.
    pub fn applied(&mut self, now: Nanos, outcome: Result<(), Rejection>, actions: &mut Vec<Action>) {
        let Some(version) = self.applying.take() else { return };
        let stamp = version.stamp;
        match outcome {
            Ok(()) => {
                actions.push(Action::Persist(version.clone()));
                self.running = Some(version);
                self.rejected = None;
                self.send(now, ProxyMessage::Ack { stamp }, actions);
            }
            Err(rejection) => {
                actions.push(Action::Warn(format!("version {stamp} is rejected: {rejection}")));
                let reasons = rejection.reasons;
                self.rejected =
                    Some(RejectedVersion { stamp, digest: version.digest, reasons: reasons.clone() });
                self.nack(now, stamp, reasons, actions);
            }
        }
        if let Some(queued) = self.queued.take() {
            self.apply(queued, actions);
        }
    }

    /// Reports counts of requests, if there are any.
    pub fn report(&mut self, now: Nanos, counts: RequestCounts, actions: &mut Vec<Action>) {
        let Some(stamp) = self.running.as_ref().map(|v| v.stamp) else { return };
        if !counts.is_empty() {
            let RequestCounts { served, rejected, failed } = counts;
            self.send(now, ProxyMessage::Report { stamp, served, rejected, failed }, actions);
        }
    }
}

#[cfg(test)]
mod tests;
