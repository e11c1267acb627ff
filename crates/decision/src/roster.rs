//! The table of servers: what the list and the operators say of each, and what is out at it. Which of them is asked
//! is decided in `logic`.

use crate::api::*;
use crate::logic::slow_start::Permits;
use crate::numbers::{mix, unit, Chance};
use rustc_hash::{FxHashMap, FxHashSet};
use std::sync::Arc;

#[derive(Default)]
pub struct Server {
    pub entry: Entry,
    pub inverse_weight: f64,
    pub inflight: f64,
    /// How surely it fails more than servers do on the whole: a sum of logarithms of odds.
    pub evidence: f64,
    pub suspect_until: Nanos,
    pub backoff: Nanos,
    /// What it may be sent while it is warming up.
    pub permits: Permits,
    /// When an attempt there last ended on an open connection; 0: no connection was to be had since.
    pub reached_at: Nanos,
    /// What may be out there at once, where that is limited.
    pub room: Option<f64>,
    /// The part of it that was busy by its last report, and when that came.
    pub load: (f64, Nanos),
    /// Operators want nothing sent there. It keeps its place in the hash, so that its keys come home.
    pub banned: bool,
    /// When they gave it back; it may have been restarted meanwhile, whatever the list says.
    pub back_at: Nanos,
}

impl Server {
    /// The part of it that is busy, by a report no older than this.
    pub fn busy(&self, now: Nanos, fresh: Nanos) -> f64 {
        let (busy, at) = self.load;
        if at.saturating_add(fresh) > now {
            busy
        } else {
            0.0
        }
    }

    pub fn ready(&self) -> bool {
        self.entry.state == State::Ready && !self.banned
    }
}

/// All servers of the list.
pub struct Roster {
    pub settings: Arc<Settings>,
    by_id: FxHashMap<ServerId, u32>,
    pub servers: Vec<Server>,
    free: Vec<u32>,
    /// Servers that operators took out, listed or not.
    pub banned: FxHashSet<ServerId>,
    /// Counts what changes the ranks.
    pub version: u64,
    pub total_weight: f64,
    pub live: f64,
    pub inflight: f64,
    /// What a machine of a kind bears against the mean, beyond what the list says of its size.
    speeds: FxHashMap<u32, f64>,
    /// When the first list came.
    began: Option<Nanos>,
}

impl Roster {
    pub fn new(settings: Arc<Settings>) -> Self {
        let (by_id, banned) = (FxHashMap::default(), FxHashSet::default());
        let (servers, free) = (Vec::new(), Vec::new());
        Roster {
            settings,
            by_id,
            servers,
            free,
            banned,
            version: 0,
            total_weight: 0.0,
            live: 0.0,
            inflight: 0.0,
            speeds: FxHashMap::default(),
            began: None,
        }
    }

    pub fn at(&self, i: u32) -> &Server {
        &self.servers[i as usize]
    }

    pub fn get(&self, server: ServerId) -> Option<&Server> {
        self.by_id.get(&server).map(|&i| self.at(i))
    }

    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut Server> {
        self.by_id.get(&server).map(|&i| &mut self.servers[i as usize])
    }

    /// Takes other settings over; what is ranked by them is ranked anew.
    pub fn retune(&mut self, settings: Arc<Settings>) {
        self.settings = settings;
        self.weigh();
    }

    /// Takes news of the list; returns what was out at origins that are gone.
    pub fn take(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: Vec<Entry>,
        chance: &mut Chance,
        actions: &mut Vec<Action>,
    ) -> f64 {
        let (mut out, mut changed) = (0.0, false);
        let began = *self.began.get_or_insert(now);
        // What this process's predecessor has sent within the span of slow start is not known.
        let knows_sent = now >= began.saturating_add(self.settings.fall);
        if !matches!(kind, ListKind::Delta | ListKind::Overlay) {
            let named: FxHashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            let mut gone: Vec<ServerId> = self.by_id.keys().filter(|s| !named.contains(s)).copied().collect();
            gone.sort_unstable();
            changed = !gone.is_empty();
            out += gone.into_iter().map(|s| self.remove(s)).sum::<f64>();
        }
        for entry in entries {
            let server = entry.server;
            changed |= self.get(server).is_none_or(|s| s.entry != entry);
            if entry.state == State::Gone {
                out += self.remove(server);
            } else {
                self.upsert(now, entry, knows_sent, chance);
                self.let_go(server, actions);
            }
        }
        // Danger: a watch that ends with no news, or a whole list of what is known, has every bucket ranked anew.
        if changed {
            self.weigh();
        }
        out
    }

    fn remove(&mut self, server: ServerId) -> f64 {
        let Some(i) = self.by_id.remove(&server) else { return 0.0 };
        let s = &mut self.servers[i as usize];
        s.entry.state = State::Gone;
        let out = std::mem::take(&mut s.inflight);
        self.inflight -= out;
        self.free.push(i);
        out * f64::from(u8::from(self.is_origin(self.at(i))))
    }

    fn upsert(&mut self, now: Nanos, entry: Entry, knows_sent: bool, chance: &mut Chance) {
        if let Some(s) = self.get_mut(entry.server) {
            if s.entry.started != entry.started {
                // A changed start means a new process: no cache, no history of failures.
                (s.evidence, s.suspect_until, s.backoff) = (0.0, 0, 0);
                s.permits = Permits::starting_with(unit(mix(chance.0 ^ entry.started)), now);
            }
            s.entry = entry;
            return;
        }
        let permits = Permits::starting_with(f64::from(u8::from(knows_sent)) + chance.draw(), now);
        let server = entry.server;
        let banned = self.banned.contains(&server);
        let fresh = Server { entry, inverse_weight: 1.0, permits, banned, ..Server::default() };
        let i = self.free.pop().unwrap_or(self.servers.len() as u32);
        if i as usize == self.servers.len() {
            self.servers.push(Server::default());
        }
        self.servers[i as usize] = fresh;
        self.by_id.insert(server, i);
    }

    /// What a machine of a kind bears against the mean; 1 while that is not known.
    pub fn speed(&self, kind: u32) -> f64 {
        self.speeds.get(&kind).copied().unwrap_or(1.0)
    }

    /// Takes over what is known of the kinds; ranks follow.
    pub fn sped(&mut self, speeds: FxHashMap<u32, f64>) {
        self.speeds = speeds;
        self.weigh();
    }

    /// Takes the weights of the servers from the list and from what is known of their kinds.
    fn weigh(&mut self) {
        (self.total_weight, self.live) = (0.0, 0.0);
        for i in 0..self.servers.len() {
            let listed = self.servers[i].entry.weight;
            let weight = if listed.is_finite() { listed.clamp(1e-6, 1e9) } else { 1.0 };
            let weight = weight * self.speed(self.servers[i].entry.kind);
            self.servers[i].inverse_weight = 1.0 / weight;
            if self.ranks(&self.servers[i]) {
                self.total_weight += weight;
                self.live += 1.0;
            }
        }
        self.version += 1;
    }

    /// Closes what is idle at a draining server, where that is a rule: on each notice and outcome there.
    fn let_go(&self, server: ServerId, actions: &mut Vec<Action>) {
        let draining = self.get(server).is_some_and(|s| s.entry.state == State::Draining);
        actions.extend((self.settings.let_go > 0 && draining).then_some(Action::Close(server)));
    }

    /// Operators take a server out, or give it back: then it counts as cold, and as never having failed.
    pub fn ban(&mut self, now: Nanos, server: ServerId, out: bool, actions: &mut Vec<Action>) {
        let changed = if out { self.banned.insert(server) } else { self.banned.remove(&server) };
        if let Some(s) = self.get_mut(server).filter(|_| changed) {
            (s.evidence, s.suspect_until, s.backoff) = (0.0, 0, 0);
            (s.banned, s.back_at) = (out, if out { 0 } else { now });
            s.permits.pause_until(now);
            self.weigh();
            actions.extend(out.then_some(Action::Close(server)));
        }
    }

    pub fn is_origin(&self, s: &Server) -> bool {
        self.settings.origin_kind == Some(s.entry.kind)
    }

    pub fn ranks(&self, s: &Server) -> bool {
        // The origin of an aside deployment is a server of last resort, never a candidate.
        s.ready() && !(self.settings.aside && self.is_origin(s))
    }

    /// An attempt out less, and a connection that was or was not to be had; false if the server is not listed.
    pub fn released(&mut self, now: Nanos, o: &Outcome, actions: &mut Vec<Action>) -> bool {
        self.let_go(o.server, actions);
        let Some(s) = self.get_mut(o.server) else { return false };
        let held = s.inflight.min(1.0);
        s.inflight -= held;
        if !matches!(o.status, Status::Cancelled | Status::Moot) {
            s.reached_at = if o.status == Status::ConnectFailed { 0 } else { now };
        }
        self.inflight -= held;
        true
    }
}
