//! Who fails more than servers do on the whole.

use super::*;

/// The part of attempts that fail by chance, and the gain it is followed with: slower than silences end.
const FAILING: f64 = 0.02;
const FAILING_GAIN: f64 = 0.005;
/// The part of attempts without a connection past which open ones are preferred, and its gain.
const UNREACHED: f64 = 0.1;
const UNREACHED_GAIN: f64 = 0.05;
/// Odds of 400 to 1, as a logarithm: two failures in a row where hardly any attempt fails.
const PROOF: f64 = 6.0;
/// How long a server is left alone at first, and at most.
const LEFT: Nanos = 2 * SECOND;
const LEFT_MOST: Nanos = 16 * SECOND;

/// What is known of failures on the whole.
#[derive(Default)]
pub struct Health {
    /// The part of attempts that fails lately.
    pub failing: f64,
    /// The part of the attempts that find no connection, lately.
    unreached: f64,
}

impl Health {
    /// What a failure and a success say of one server, given how many attempts fail on the whole. Danger:
    /// with a slow origin or a jam all servers fail at times; leaving each for a few failures in a row moves
    /// all keys to the few servers left, which then drown, and each move is a miss.
    fn odds(&self) -> (f64, f64) {
        let usual = self.failing.clamp(FAILING, 0.9);
        let broken = 0.5 + 0.5 * usual;
        ((broken / usual).ln(), ((1.0 - broken) / (1.0 - usual)).ln())
    }

    /// Whether connections are hard to get.
    pub fn unreached(&self) -> bool {
        self.unreached > UNREACHED
    }

    /// Takes note of whether an attempt found a connection.
    pub fn reached(&mut self, status: Status) {
        let gain = if matches!(status, Status::Cancelled | Status::Moot) { 0.0 } else { UNREACHED_GAIN };
        self.unreached += gain * (f64::from(u8::from(status == Status::ConnectFailed)) - self.unreached);
    }
}

impl Roster {
    /// The part of its capacity that a server surely has by now.
    pub fn warmth(&self, now: Nanos, s: &Server) -> f64 {
        let from = s.entry.started.max(s.back_at);
        if from == 0 || self.settings.cold == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(from) as f64 / self.settings.cold as f64;
        let from = self.settings.cold_from.clamp(0.0, 1.0);
        (from + (1.0 - from) * age).min(1.0)
    }

    pub fn suspect(&self, now: Nanos, server: ServerId) -> bool {
        self.get(server).is_none_or(|s| s.suspect_until > now)
    }
}

impl Balancer {
    /// The evidence that makes a server suspect. A proxy that sends a server less than one request a second
    /// cannot wait for a second silence.
    pub(super) fn proof(&self, now: Nanos) -> f64 {
        let thin = self.traffic.rate(now) <= self.roster.live;
        PROOF * if thin { 0.5 } else { 1.0 }
    }

    pub(super) fn failed(&mut self, now: Nanos, server: ServerId, weight: f64) {
        let jitter = 0.75 + 0.5 * self.chance.draw();
        let (worse, proof) = (self.health.odds().0, self.proof(now));
        let Some(s) = self.roster.get_mut(server) else { return };
        s.evidence = (s.evidence + weight * worse).min(2.0 * PROOF);
        if s.evidence > proof && s.suspect_until <= now {
            // A suspect server gets one request each time its suspicion lapses; the next failure doubles it.
            s.backoff = (s.backoff * 2).clamp(LEFT, LEFT_MOST);
            s.suspect_until = now.saturating_add((s.backoff as f64 * jitter) as Nanos);
        }
        self.counts(server, 1.0);
    }

    fn passed(&mut self, now: Nanos, server: ServerId) {
        let (better, proof) = (self.health.odds().1, self.proof(now));
        let Some(s) = self.roster.get_mut(server) else { return };
        s.evidence = (0.5 * s.evidence + better).clamp(0.0, 0.5 * proof);
        s.suspect_until = 0;
        s.backoff = if s.backoff > LEFT { s.backoff / 2 } else { 0 };
        self.counts(server, 0.0);
    }

    fn counts(&mut self, server: ServerId, failed: f64) {
        if self.roster.get(server).is_some_and(|s| self.roster.ranks(s)) {
            self.health.failing += FAILING_GAIN * (failed - self.health.failing);
        }
    }

    /// What an outcome says of the server's health and of the usual times of the class.
    pub(super) fn observed(&mut self, now: Nanos, o: &Outcome, class: Option<usize>, cut: bool) {
        let usual = self.traffic.usual(class);
        let soon = cut || usual.count > 5.0 && (o.elapsed as f64) < usual.after(2.0);
        match o.status {
            Status::Ok | Status::Miss => self.passed(now, o.server),
            Status::ConnectFailed => self.failed(now, o.server, 2.0),
            Status::Timeout if soon => {}
            Status::Error | Status::Timeout | Status::Reset => self.failed(now, o.server, 1.0),
            Status::Full | Status::Cancelled | Status::Moot => {}
        }
        if o.status == Status::Ok {
            self.traffic.served(now, class, o.elapsed);
        }
    }
}
