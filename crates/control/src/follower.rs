//! A proxy's side: which service it listens to, which versions it takes, and what it answers. No I/O, no clock.

use crate::frame::{FromProxy, FromService, PROTOCOL};
use crate::version::{Stamp, Version};
use aniseyoke_fanout::Progress;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Nanoseconds from any fixed point.
pub type Nanos = u64;

const SECOND: Nanos = 1_000_000_000;

/// Who a proxy is to the services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub instance: String,
    /// A number drawn at its start.
    pub boot: u64,
    /// What operators call it by in rollouts.
    pub labels: BTreeMap<String, String>,
    /// Longer frames it does not read, in bytes.
    pub frame_most: usize,
}

/// Times of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The first wait after a service could not be reached or has gone, and the longest; it doubles between.
    pub back_off: (Nanos, Nanos),
    /// A connection comes about within this time.
    pub connect: Nanos,
    /// A service that says nothing for so long hangs, and another is asked.
    pub silence: Nanos,
    /// It is told as often that this proxy is still there.
    pub alive: Nanos,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            back_off: (SECOND / 2, 30 * SECOND),
            connect: 3 * SECOND,
            silence: 15 * SECOND,
            alive: 5 * SECOND,
        }
    }
}

/// What a follower wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to the service with this number, then call [`Follower::connected`] or [`Follower::disconnected`].
    Connect(usize),
    /// End the connection; nothing that still comes on it counts.
    Disconnect,
    /// Send a frame.
    Send(FromProxy),
    /// Check a version and put it in force, then call [`Follower::applied`]. No other is asked for meanwhile.
    Apply(Version),
    /// Keep this as the last good version.
    Keep(Version),
    /// Tell those on call.
    Say(String),
}

enum Link {
    /// Not connected; the next try is due then.
    Down(Nanos),
    /// A connection is being made, since when.
    Connecting(Nanos),
    /// Connected: when something last came, and when something was last sent.
    Up { heard: Nanos, said: Nanos },
}

/// A proxy's side.
pub struct Follower {
    identity: Identity,
    times: Times,
    chance: SmallRng,
    services: usize,
    at: usize,
    link: Link,
    /// Tries in a row that came to nothing.
    failures: u32,
    running: Option<Version>,
    /// Being put in force.
    trying: Option<Version>,
    /// The newest of those that came meanwhile. Danger: a queue of versions grows without end when they come faster
    /// than they can be put in force; only the newest counts.
    next: Option<Version>,
    /// What was turned down last, so that it is not tried again when it comes again.
    refused: Option<(Stamp, String, Vec<String>)>,
    purges: Option<Progress>,
}

impl Follower {
    /// A follower of so many services, with what it ran last, if it is known.
    pub fn new(
        identity: Identity,
        services: usize,
        running: Option<Version>,
        times: Times,
        seed: u64,
    ) -> Self {
        Follower {
            identity,
            times,
            chance: SmallRng::seed_from_u64(seed),
            services: services.max(1),
            at: 0,
            link: Link::Down(0),
            failures: 0,
            running,
            trying: None,
            next: None,
            refused: None,
            purges: None,
        }
    }

    /// What runs, as far as a service told it.
    pub fn running(&self) -> Option<&Version> {
        self.running.as_ref()
    }

    /// Time has passed. To be called several times a second.
    pub fn tick(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        match self.link {
            Link::Down(due) if now >= due => {
                self.link = Link::Connecting(now);
                actions.push(Action::Connect(self.at));
            }
            Link::Connecting(since) if now.saturating_sub(since) > self.times.connect => {
                actions.push(Action::Disconnect);
                self.lost(now);
            }
            Link::Up { heard, .. } if now.saturating_sub(heard) > self.times.silence => {
                actions.push(Action::Disconnect);
                actions.push(Action::Say(format!("control service {} says nothing any more", self.at)));
                self.lost(now);
            }
            Link::Up { said, .. } if now.saturating_sub(said) >= self.times.alive => {
                self.send(now, FromProxy::Alive, actions);
            }
            _ => {}
        }
    }

    /// Where whoever drives it stands in the log of purges: said in `hello`; none, as at first: it takes no purges.
    pub fn stands(&mut self, purges: Option<Progress>) {
        self.purges = purges;
    }

    /// Says hello again on the same connection, where purges are missing.
    pub fn hello(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Identity { instance, boot, labels, frame_most } = self.identity.clone();
        let running = self.running.as_ref().map(|v| (v.stamp, v.digest.clone()));
        let (protocol, purges) = (PROTOCOL, self.purges);
        let hello = FromProxy::Hello { protocol, instance, boot, labels, frame_most, running, purges };
        self.send(now, hello, actions);
    }

    /// Sends a frame of purges.
    pub fn say(&mut self, now: Nanos, frame: FromProxy, actions: &mut Vec<Action>) {
        self.send(now, frame, actions);
    }

    /// Whether a newer version waits for the one that is being put in force.
    pub fn has_newer(&self) -> bool {
        self.next.is_some()
    }

    /// The connection that was asked for is there.
    pub fn connected(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !matches!(self.link, Link::Connecting(_)) {
            actions.push(Action::Disconnect);
            return;
        }
        self.link = Link::Up { heard: now, said: now };
        self.hello(now, actions);
    }

    /// The connection could not be made, or has ended.
    pub fn disconnected(&mut self, now: Nanos) {
        if !matches!(self.link, Link::Down(_)) {
            self.lost(now);
        }
    }

    /// What came is no frame: nothing behind it can be read.
    pub fn malformed(&mut self, now: Nanos, why: &str, actions: &mut Vec<Action>) {
        if matches!(self.link, Link::Up { .. }) {
            actions.push(Action::Say(format!("control service {}: {why}", self.at)));
            actions.push(Action::Disconnect);
            self.lost(now);
        }
    }

    /// The next service is asked, after a while. Jitter keeps a fleet that lost its service from coming back as one.
    fn lost(&mut self, now: Nanos) {
        let (first, most) = self.times.back_off;
        let wait = first.saturating_mul(1 << self.failures.min(16)).min(most);
        let wait = (wait as f64 * (0.5 + 0.5 * self.chance.random::<f64>())) as Nanos;
        self.failures = self.failures.saturating_add(1);
        self.at = (self.at + 1) % self.services;
        self.link = Link::Down(now.saturating_add(wait));
    }

    fn send(&mut self, now: Nanos, frame: FromProxy, actions: &mut Vec<Action>) {
        if let Link::Up { said, .. } = &mut self.link {
            *said = now;
            actions.push(Action::Send(frame));
        }
    }

    /// A frame has come.
    pub fn frame(&mut self, now: Nanos, frame: FromService, actions: &mut Vec<Action>) {
        let Link::Up { heard, .. } = &mut self.link else { return };
        *heard = now;
        // Only a service that has said something of use counts as found again.
        if !matches!(frame, FromService::Goodbye { .. }) {
            self.failures = 0;
        }
        match frame {
            FromService::Alive | FromService::Current { .. } => {}
            // Whoever drives it takes these to the member that they are for.
            FromService::Purges { .. } | FromService::Flush { .. } => {}
            FromService::Goodbye { why } => {
                actions
                    .push(Action::Say(format!("control service {} sends this proxy away: {why}", self.at)));
                actions.push(Action::Disconnect);
                self.lost(now);
            }
            FromService::Full { stamp, digest, body } => {
                let version = Version { stamp, digest, body };
                match version.check() {
                    Ok(()) => self.offered(now, version, actions),
                    Err(broken) => self.turn_down(now, stamp, vec![broken.to_string()], actions),
                }
            }
            FromService::Delta { base, stamp, digest, patch } => {
                let known = [&self.next, &self.trying, &self.running];
                let base = known.into_iter().flatten().find(|v| v.stamp == base);
                // Danger: after a gap a delta leads elsewhere than meant; the whole is asked for.
                match base.map(|base| base.apply(&patch, stamp, &digest)) {
                    Some(Ok(version)) => self.offered(now, version, actions),
                    Some(Err(_)) | None => self.send(now, FromProxy::Whole, actions),
                }
            }
        }
    }

    /// A version has come whole.
    fn offered(&mut self, now: Nanos, version: Version, actions: &mut Vec<Action>) {
        let stamp = version.stamp;
        if let Some((refused, digest, reasons)) = &self.refused {
            if (*refused, digest) == (stamp, &version.digest) {
                let reasons = reasons.clone();
                return self.send(now, FromProxy::Refused { stamp, reasons }, actions);
            }
        }
        let newest = [&self.next, &self.trying, &self.running].into_iter().flatten().next();
        if let Some(newest) = newest {
            if newest.stamp == stamp && newest.digest != version.digest {
                // Danger: to take turns between two services that disagree would swap for ever.
                let why = format!("version {stamp} is another here: two services disagree");
                actions.push(Action::Say(format!("control service {}: {why}", self.at)));
                return self.turn_down(now, stamp, vec![why], actions);
            }
            if newest.stamp > stamp {
                let why = format!("version {stamp} is older than {}, which came before it", newest.stamp);
                return self.turn_down(now, stamp, vec![why], actions);
            }
            if newest.stamp == stamp {
                // Twice. What still is put in force is answered when it is.
                if self.trying.is_none() {
                    self.send(now, FromProxy::Taken { stamp }, actions);
                }
                return;
            }
        }
        if self.trying.is_some() {
            self.next = Some(version);
        } else {
            self.trying = Some(version.clone());
            actions.push(Action::Apply(version));
        }
    }

    fn turn_down(&mut self, now: Nanos, stamp: Stamp, reasons: Vec<String>, actions: &mut Vec<Action>) {
        self.send(now, FromProxy::Refused { stamp, reasons }, actions);
    }

    /// The version that was to be put in force is, or could not be: then what ran before still runs.
    pub fn applied(&mut self, now: Nanos, outcome: Result<(), Vec<String>>, actions: &mut Vec<Action>) {
        let Some(tried) = self.trying.take() else { return };
        let stamp = tried.stamp;
        match outcome {
            Ok(()) => {
                actions.push(Action::Keep(tried.clone()));
                self.running = Some(tried);
                self.refused = None;
                self.send(now, FromProxy::Taken { stamp }, actions);
            }
            Err(reasons) => {
                actions.push(Action::Say(format!("version {stamp} is turned down: {}", reasons.join("; "))));
                self.refused = Some((stamp, tried.digest, reasons.clone()));
                self.turn_down(now, stamp, reasons, actions);
            }
        }
        if let Some(next) = self.next.take() {
            self.trying = Some(next.clone());
            actions.push(Action::Apply(next));
        }
    }

    /// What became of requests since the last report.
    pub fn report(&mut self, now: Nanos, [served, refused, failed]: [u64; 3], actions: &mut Vec<Action>) {
        let Some(stamp) = self.running.as_ref().map(|v| v.stamp) else { return };
        if served + refused + failed > 0 {
            self.send(now, FromProxy::Report { stamp, served, refused, failed }, actions);
        }
    }
}

#[cfg(test)]
mod tests;
