//! Which server gets an attempt, and which may.

use super::buckets::{place, SIGMA};
use super::*;

/// The most that a candidate may hold, in means, before it passes a request on; drawn for each between
/// one mean and this. Danger: at one bound all its buckets leave a server, and return, at once.
const BUSIEST: f64 = 3.0;
/// The busy part past which a candidate passes some requests on, and how long a report counts. Danger: of
/// what all other proxies send there a thin one sees nothing else.
const STRAINED: f64 = 0.8;
const FRESH: Nanos = 5 * SECOND;

impl Balancer {
    /// The server for the next attempt of a request.
    pub(super) fn choose(&mut self, now: Nanos, open: &Open, spread: usize) -> Option<u32> {
        // One request of its own that is already out may be a heavy one that the next would wait for.
        let own = self.roster.inflight / self.roster.total_weight.max(1e-9);
        let most = own * (1.0 + (BUSIEST - 1.0) * self.chance.draw());
        let strained = STRAINED + (1.0 - STRAINED) * self.chance.draw();
        let b = open.bucket.unwrap_or_else(|| self.buckets.of(open.class, open.pool, now ^ self.chance.0));
        self.buckets.rank(&self.roster, b);
        let mut order = self.buckets.ordered(&self.roster, now, b, spread);
        let fits = |i: &u32| {
            let s = self.roster.at(*i);
            let asked = open.attempts.iter().any(|a| a.server == s.entry.server);
            let open_to = self.roster.open_under(&open.under, open.class, open.pool, s);
            let lawful = open_to && self.in_group(now, open, s);
            self.roster.ranks(s) && s.suspect_until <= now && lawful && !asked
        };
        let all = || (0..self.roster.servers.len() as u32).filter(fits);
        order.retain(fits);
        if order.is_empty() {
            // No ranked server will do: any that may be used, nearest first, in the bucket's own order.
            order = all().collect();
            order.sort_by_key(|&i| {
                let e = &self.roster.at(i).entry;
                (e.zone != self.settings.zone, mix(e.server ^ mix(place(b))))
            });
        }
        if self.health.unreached() {
            // Danger: where new connections are hard to get (full tables, slow handshakes), each try
            // elsewhere fails too. Servers with an open connection come first, any of them if need be.
            let open_at = |i: &u32| {
                let at = self.roster.at(*i).reached_at;
                at > 0 && at.saturating_add(self.settings.conn_idle) > now
            };
            if !order.iter().any(open_at) {
                order.extend(all().filter(open_at));
            }
            order.sort_by_key(|i| !open_at(i));
        }
        order.retain(|&i| self.slow_start_admits(now, i));
        let roomy = |i: &&u32| {
            let s = self.roster.at(**i);
            // Danger: what a slow server has no room for waits there behind its head; its keys' other
            // candidate costs a miss at most.
            s.busy(now, FRESH) < strained
                && s.inflight < (0.5 + most / s.inverse_weight).min(s.room.unwrap_or(f64::INFINITY))
        };
        order.iter().take(SIGMA.max(spread)).find(roomy).or(order.first()).copied()
    }

    /// The origin, where it is to be asked by the proxy and has room for this request.
    pub(super) fn to_origin(&self, now: Nanos, open: &Open) -> Option<u32> {
        let fits = |i: &u32| {
            let s = self.roster.at(*i);
            s.ready() && self.roster.is_origin(s) && self.in_group(now, open, s)
        };
        let all = (0..self.roster.servers.len() as u32).filter(|_| self.origin.has_room(open)).filter(fits);
        all.min_by(|a, b| self.roster.at(*a).inflight.total_cmp(&self.roster.at(*b).inflight))
    }

    /// May a further attempt go to this server, after attempts that may have run?
    fn in_group(&self, now: Nanos, open: &Open, s: &Server) -> bool {
        let Some(class) = self.settings.classes.get(open.class) else { return true };
        let mut ran = open.attempts.iter().filter(|a| a.pending || a.may_have_run);
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed => ran.all(|a| {
                // The margin covers the way to the server.
                let fresh = now.saturating_add(100 * MS) < a.sent.saturating_add(class.dedup_window);
                let near = match class.group {
                    Group::All => true,
                    Group::Zone => a.zone == s.entry.zone,
                    Group::Cell => a.cell == s.entry.cell && a.zone == s.entry.zone,
                };
                fresh && near
            }),
        }
    }

    /// Whether the rules allow this attempt. Whatever chose the server, nothing is sent without it.
    pub(super) fn lawful(&self, now: Nanos, open: &Open, s: &Server) -> bool {
        s.ready()
            && self.roster.open_under(&open.under, open.class, open.pool, s)
            && now < open.deadline
            && !open.streaming
            && (open.attempts.len() as u32) < open.under.max_attempts.max(1)
            && (!open.out() || open.under.second_copies)
            && self.in_group(now, open, s)
    }
}

impl Roster {
    /// May a request be sent to this server? The origin of an aside deployment is open to all.
    pub(super) fn open_under(&self, by: &Settings, class: usize, pool: Option<usize>, s: &Server) -> bool {
        by.allows(class, pool, s.entry.zone, s.entry.kind) || by.aside && self.is_origin(s)
    }
}
