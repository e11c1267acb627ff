//! A proxy's side: which service it listens to, which versions it takes, and what it answers. No I/O, no clock.

use crate::frame::{FromProxy, FromService, PROTOCOL};
use crate::version::{Stamp, Version};
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

    /// The connection that was asked for is there.
    pub fn connected(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !matches!(self.link, Link::Connecting(_)) {
            actions.push(Action::Disconnect);
            return;
        }
        self.link = Link::Up { heard: now, said: now };
        let Identity { instance, boot, labels, frame_most } = self.identity.clone();
        let running = self.running.as_ref().map(|v| (v.stamp, v.digest.clone()));
        self.send(
            now,
            FromProxy::Hello { protocol: PROTOCOL, instance, boot, labels, frame_most, running },
            actions,
        );
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
mod tests {
    use super::*;
    use crate::version::Body;
    use serde_json::json;

    fn version(epoch: u64, number: u64, body: u64) -> Version {
        Version::new(Stamp { epoch, number }, &json!({ "n": body }))
    }

    fn full(v: &Version) -> FromService {
        FromService::Full { stamp: v.stamp, digest: v.digest.clone(), body: v.body.clone() }
    }

    fn delta(from: &Version, to: &Version) -> FromService {
        let (stamp, digest) = (to.stamp, to.digest.clone());
        FromService::Delta { base: from.stamp, stamp, digest, patch: from.delta(to) }
    }

    struct Rig {
        follower: Follower,
        now: Nanos,
    }

    impl Rig {
        fn new(running: Option<Version>, services: usize) -> Self {
            let follower = Follower::new(Identity::default(), services, running, Times::default(), 7);
            Rig { follower, now: SECOND }
        }

        fn up(running: Option<Version>) -> Self {
            let mut rig = Self::new(running, 2);
            assert_eq!(rig.tick(), [Action::Connect(0)]);
            let mut actions = Vec::new();
            rig.follower.connected(rig.now, &mut actions);
            assert!(matches!(actions[..], [Action::Send(FromProxy::Hello { .. })]));
            rig
        }

        fn tick(&mut self) -> Vec<Action> {
            let mut actions = Vec::new();
            self.follower.tick(self.now, &mut actions);
            actions
        }

        fn came(&mut self, frame: FromService) -> Vec<Action> {
            let mut actions = Vec::new();
            self.follower.frame(self.now, frame, &mut actions);
            actions
        }

        fn applied(&mut self, outcome: Result<(), Vec<String>>) -> Vec<Action> {
            let mut actions = Vec::new();
            self.follower.applied(self.now, outcome, &mut actions);
            actions
        }

        fn take(&mut self, v: &Version) {
            assert_eq!(self.came(full(v)), [Action::Apply(v.clone())]);
            let taken = FromProxy::Taken { stamp: v.stamp };
            assert_eq!(self.applied(Ok(())), [Action::Keep(v.clone()), Action::Send(taken)]);
            assert_eq!(self.follower.running(), Some(v));
        }
    }

    fn refusal(actions: &[Action]) -> Option<&str> {
        actions.iter().find_map(|a| match a {
            Action::Send(FromProxy::Refused { reasons, .. }) => Some(reasons[0].as_str()),
            _ => None,
        })
    }

    #[test]
    fn versions_are_taken_in_order_whole_or_as_deltas() {
        let (one, two, three) = (version(1, 1, 1), version(1, 2, 2), version(1, 3, 3));
        let mut rig = Rig::up(None);
        rig.take(&one);
        assert_eq!(rig.came(delta(&one, &two)), [Action::Apply(two.clone())]);
        rig.applied(Ok(()));
        // A gap: the whole is asked for, and taken.
        let four = version(1, 4, 4);
        assert_eq!(rig.came(delta(&three, &four)), [Action::Send(FromProxy::Whole)]);
        rig.take(&four);
    }

    #[test]
    fn what_comes_twice_is_answered_and_not_done_again_and_what_is_older_is_turned_down() {
        let (one, two) = (version(1, 1, 1), version(1, 2, 2));
        let mut rig = Rig::up(None);
        rig.take(&two);
        assert_eq!(rig.came(full(&two)), [Action::Send(FromProxy::Taken { stamp: two.stamp })]);
        assert!(refusal(&rig.came(full(&one))).is_some_and(|why| why.contains("older")));
        assert_eq!(rig.follower.running(), Some(&two));
    }

    /// Danger: a service that comes back from a backup counts from lower numbers; without an epoch nobody would follow.
    #[test]
    fn a_service_restored_from_a_backup_is_followed_under_its_new_epoch() {
        let mut rig = Rig::up(Some(version(1, 900, 1)));
        rig.take(&version(2, 3, 2));
        assert!(refusal(&rig.came(full(&version(1, 901, 3)))).is_some_and(|why| why.contains("older")));
    }

    #[test]
    fn two_services_that_disagree_are_told_and_what_runs_stays() {
        let mut rig = Rig::up(None);
        let (here, there) = (version(1, 5, 1), version(1, 5, 2));
        rig.take(&here);
        let actions = rig.came(full(&there));
        assert!(matches!(&actions[0], Action::Say(what) if what.contains("disagree")));
        assert!(refusal(&actions).is_some_and(|why| why.contains("disagree")));
        assert_eq!(rig.follower.running(), Some(&here));
    }

    #[test]
    fn a_version_that_is_turned_down_leaves_what_runs_and_is_not_tried_again() {
        let (one, bad, good) = (version(1, 1, 1), version(1, 2, 2), version(1, 3, 3));
        let mut rig = Rig::up(None);
        rig.take(&one);
        assert_eq!(rig.came(full(&bad)), [Action::Apply(bad.clone())]);
        let actions = rig.applied(Err(vec!["it empties pool a".into()]));
        assert_eq!(refusal(&actions), Some("it empties pool a"));
        assert!(!actions.iter().any(|a| matches!(a, Action::Keep(_))));
        assert_eq!(rig.follower.running(), Some(&one));
        let again = rig.came(full(&bad));
        assert_eq!((again.len(), refusal(&again)), (1, Some("it empties pool a")));
        rig.take(&good);
    }

    #[test]
    fn a_body_that_is_not_what_its_digest_says_is_turned_down() {
        let mut rig = Rig::up(None);
        let mut v = version(1, 1, 1);
        v.body = Body::new(&json!({ "n": 2 }));
        assert!(refusal(&rig.came(full(&v))).is_some_and(|why| why.contains("digest")));
    }

    #[test]
    fn of_a_flood_only_the_newest_counts() {
        let mut rig = Rig::up(None);
        let all: Vec<Version> = (1..=1000).map(|n| version(1, n, n)).collect();
        assert_eq!(rig.came(full(&all[0])), [Action::Apply(all[0].clone())]);
        all[1..].iter().for_each(|v| assert_eq!(rig.came(full(v)), []));
        let actions = rig.applied(Ok(()));
        assert_eq!(actions.last(), Some(&Action::Apply(all[999].clone())));
        rig.applied(Ok(()));
        assert_eq!(rig.follower.running(), Some(&all[999]));
    }

    #[test]
    fn a_service_that_hangs_is_left_for_the_next_after_a_while_that_grows() {
        let mut rig = Rig::up(None);
        rig.now += 14 * SECOND;
        assert_eq!(rig.tick(), [Action::Send(FromProxy::Alive)]);
        rig.now += 2 * SECOND;
        assert!(rig.tick().contains(&Action::Disconnect));
        let mut waits = Vec::new();
        for _ in 0..12 {
            let from = rig.now;
            let at = loop {
                rig.now += SECOND / 100;
                if let Some(Action::Connect(at)) = rig.tick().first() {
                    break *at;
                }
            };
            waits.push((rig.now - from, at));
            rig.follower.disconnected(rig.now);
        }
        assert!(
            waits[0].0 <= SECOND && waits[11].0 >= 14 * SECOND && waits[11].0 <= 31 * SECOND,
            "{waits:?}"
        );
        assert!(waits.windows(2).all(|w| w[0].1 != w[1].1), "in turn: {waits:?}");
    }

    #[test]
    fn a_connection_that_does_not_come_about_is_given_up() {
        let mut rig = Rig::new(None, 1);
        assert_eq!(rig.tick(), [Action::Connect(0)]);
        rig.now += 4 * SECOND;
        assert_eq!(rig.tick(), [Action::Disconnect]);
        let mut late = Vec::new();
        rig.follower.connected(rig.now, &mut late);
        assert_eq!(late, [Action::Disconnect], "one that comes about after all is not used");
    }

    #[test]
    fn what_runs_is_told_on_every_connection_so_that_a_restart_costs_nothing() {
        let mut rig = Rig::new(Some(version(3, 4, 5)), 1);
        rig.tick();
        let mut actions = Vec::new();
        rig.follower.connected(rig.now, &mut actions);
        let Action::Send(FromProxy::Hello { running, .. }) = &actions[0] else { panic!("{actions:?}") };
        assert_eq!(running.as_ref().map(|(stamp, _)| *stamp), Some(Stamp { epoch: 3, number: 4 }));
    }
}
