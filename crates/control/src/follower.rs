//! The client side of the control protocol, used by proxies and relays: selects the service to connect to,
//! accepts or rejects versions, and acknowledges them. Does no I/O and reads no clock: the caller passes the
//! time and performs the returned actions.

use crate::frame::{ProxyMessage, ServiceMessage, PROTOCOL_VERSION};
use crate::version::{Stamp, Version};
use aniseyoke_fanout::Progress;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Nanoseconds since an arbitrary fixed point on the caller's monotonic clock.
pub type Nanos = u64;

const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// The identity of a proxy, which it sends to services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The proxy's name, which stays the same across restarts.
    pub instance: String,
    /// Identifies the process: a number drawn when it started.
    pub boot: u64,
    /// Labels by which rollout plans select the proxy.
    pub labels: BTreeMap<String, String>,
    /// Maximum length of a frame that the proxy accepts, in bytes.
    pub max_frame_bytes: usize,
}

/// Timeouts and intervals of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The initial and the maximum delay before a reconnect. The delay doubles with each failure.
    pub backoff: (Nanos, Nanos),
    /// The timeout of a connection attempt.
    pub connect: Nanos,
    /// A connection on which nothing arrives for this long is closed.
    pub idle_timeout: Nanos,
    /// A heartbeat is sent after nothing else was sent for this long.
    pub heartbeat: Nanos,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            backoff: (NANOS_PER_SECOND / 2, 30 * NANOS_PER_SECOND),
            connect: 3 * NANOS_PER_SECOND,
            idle_timeout: 15 * NANOS_PER_SECOND,
            heartbeat: 5 * NANOS_PER_SECOND,
        }
    }
}

/// The reasons for which a version was not put in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{}", .reasons.join("; "))]
pub struct Rejection {
    /// The reasons, each on a line of its own.
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

/// Numbers of requests since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

impl RequestCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: RequestCounts) {
        self.served = self.served.saturating_add(other.served);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.failed = self.failed.saturating_add(other.failed);
    }

    /// Whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        *self == RequestCounts::default()
    }
}

/// An action that the follower's owner has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to the service with this index, then call [`Follower::connected`] or
    /// [`Follower::disconnected`].
    Connect(usize),
    /// Close the connection, and ignore messages that still arrive on it.
    Disconnect,
    /// Send a message.
    Send(ProxyMessage),
    /// Check a version and put it in force, then call [`Follower::applied`]. At most one version at a time is
    /// being applied.
    Apply(Version),
    /// Store a version as the last known good one.
    Persist(Version),
    /// Write a warning to the log.
    Warn(String),
}

/// The state of the connection.
enum Link {
    /// Not connected. The next connection attempt is made at this time.
    Down { retry_at: Nanos },
    /// Connecting since this time.
    Connecting { since: Nanos },
    /// Connected. The times are those of the last message that was received and sent.
    Up { last_received: Nanos, last_sent: Nanos },
}

/// The last rejected version, kept so that it is rejected again without being applied when it is resent.
struct RejectedVersion {
    stamp: Stamp,
    digest: String,
    reasons: Vec<String>,
}

/// The state of the client side of the protocol.
pub struct Follower {
    identity: Identity,
    times: Times,
    random: SmallRng,
    service_count: usize,
    /// The index of the service that is connected, or to be connected next.
    service: usize,
    link: Link,
    /// The number of reconnects since a service last sent a message other than a goodbye.
    failures: u32,
    running: Option<Version>,
    /// The version that is being applied.
    applying: Option<Version>,
    /// The newest version that arrived while another one was being applied. Only the newest is stored: a
    /// queue of all versions would grow without bound if they arrive faster than they are applied.
    queued: Option<Version>,
    rejected: Option<RejectedVersion>,
    purge_progress: Option<Progress>,
}

impl Follower {
    /// Creates a follower of `service_count` services. `running` is the last version that it ran, if known.
    /// `seed` determines the jitter of reconnects.
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

    /// The version in force, if a service published it.
    pub fn running(&self) -> Option<&Version> {
        self.running.as_ref()
    }

    /// Handles timeouts, reconnects and heartbeats that are due. Has to be called several times a second.
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
                self.warn("does not respond: the connection timed out", actions);
                self.schedule_reconnect(now);
            }
            Link::Up { last_sent, .. } if now.saturating_sub(last_sent) >= self.times.heartbeat => {
                self.send(now, ProxyMessage::Heartbeat, actions);
            }
            _ => {}
        }
    }

    /// Sets the position in the purge log that `hello` contains. `None`, the initial value, means that the
    /// owner does not subscribe to purges.
    pub fn set_purge_progress(&mut self, progress: Option<Progress>) {
        self.purge_progress = progress;
    }

    /// Sends `hello`. Used again on the same connection to request missing purges.
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

    /// Sends a message if a connection is established, and otherwise discards it.
    pub fn send(&mut self, now: Nanos, message: ProxyMessage, actions: &mut Vec<Action>) {
        if let Link::Up { last_sent, .. } = &mut self.link {
            *last_sent = now;
            actions.push(Action::Send(message));
        }
    }

    fn warn(&self, message: &str, actions: &mut Vec<Action>) {
        actions.push(Action::Warn(format!("control service {} {message}", self.service)));
    }

    /// Whether a newer version is queued behind the one that is being applied.
    pub fn has_newer_version(&self) -> bool {
        self.queued.is_some()
    }

    /// Handles an established connection.
    pub fn connected(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !matches!(self.link, Link::Connecting { .. }) {
            actions.push(Action::Disconnect);
            return;
        }
        self.link = Link::Up { last_received: now, last_sent: now };
        self.send_hello(now, actions);
    }

    /// Handles a connection that could not be established, or was closed.
    pub fn disconnected(&mut self, now: Nanos) {
        if !matches!(self.link, Link::Down { .. }) {
            self.schedule_reconnect(now);
        }
    }

    /// Handles invalid bytes: closes the connection, since the bytes after them can't be decoded.
    pub fn malformed(&mut self, now: Nanos, error: &str, actions: &mut Vec<Action>) {
        if matches!(self.link, Link::Up { .. }) {
            self.warn(&format!("sent an invalid message: {error}"), actions);
            actions.push(Action::Disconnect);
            self.schedule_reconnect(now);
        }
    }

    /// Schedules a connection to the next service after an exponential backoff. Its jitter keeps all proxies
    /// of a failed service from reconnecting at the same time.
    fn schedule_reconnect(&mut self, now: Nanos) {
        let (first, max) = self.times.backoff;
        let wait = first.saturating_mul(1 << self.failures.min(16)).min(max);
        let jittered = (wait as f64 * (0.5 + 0.5 * self.random.random::<f64>())) as Nanos;
        self.failures = self.failures.saturating_add(1);
        self.service = (self.service + 1) % self.service_count;
        self.link = Link::Down { retry_at: now.saturating_add(jittered) };
    }

    /// Handles a message. Messages about purges are ignored here; the owner passes them to its purge relay or
    /// member.
    pub fn receive(&mut self, now: Nanos, message: ServiceMessage, actions: &mut Vec<Action>) {
        let Link::Up { last_received, .. } = &mut self.link else { return };
        *last_received = now;
        // A goodbye does not reset the backoff: a service that rejects connections would be reconnected too
        // fast.
        if !matches!(message, ServiceMessage::Goodbye { .. }) {
            self.failures = 0;
        }
        match message {
            ServiceMessage::Heartbeat | ServiceMessage::UpToDate { .. } => {}
            ServiceMessage::Purges { .. } | ServiceMessage::Flush { .. } => {}
            ServiceMessage::Goodbye { reason } => {
                self.warn(&format!("closed the connection: {reason}"), actions);
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
                // After a missed version a delta may result in another body than intended; `Version::apply`
                // checks the digest.
                match base.map(|base| base.apply(&patch, stamp, &digest)) {
                    Some(Ok(version)) => self.receive_version(now, version, actions),
                    Some(Err(_)) | None => self.send(now, ProxyMessage::SnapshotRequest, actions),
                }
            }
        }
    }

    /// Handles a valid version, received as a snapshot or as a delta.
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
                // Following two services that disagree would alternate between their versions indefinitely.
                let reason = format!("version {stamp} has another body here: two services disagree");
                self.warn(&format!("sent a conflicting version: {reason}"), actions);
                return self.nack(now, stamp, vec![reason], actions);
            }
            if newest.stamp > stamp {
                let reason = format!("version {stamp} is older than {}, which was sent before", newest.stamp);
                return self.nack(now, stamp, vec![reason], actions);
            }
            if newest.stamp == stamp {
                // A duplicate. If it is still being applied, it is acknowledged once it is in force.
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

    /// Handles the outcome of [`Action::Apply`]: the version is in force, or was rejected and the previous
    /// one stays in force.
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

    /// Sends a report of request counts, unless all are zero or no version runs.
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
