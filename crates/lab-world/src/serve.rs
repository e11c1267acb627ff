//! What becomes of a request at a member: it runs, is known as a repeat, misses, is stored, is answered.

use super::*;
use aniseyoke_lab_day::clock::part;
use aniseyoke_lab_day::TroubleKind;

impl World {
    /// A write counts as run from here; of a repeat only the first does.
    pub(super) fn begun(&mut self, now: Nanos, ticket: Ticket, out: &mut Vec<Effect>) {
        let Some(work) = self.in_work.get(&ticket) else { return };
        if !work.ask.write || work.ask.member != self.ledger {
            return;
        }
        let window = nanos(self.day.site.ledger.repeats);
        if let Some(repeat) = work.ask.repeat {
            while self.repeats_order.front().is_some_and(|(at, _)| at + window < now)
                || self.repeats_order.len() > REMEMBERED_MOST
            {
                let Some((at, old)) = self.repeats_order.pop_front() else { break };
                if self.repeats.get(&old) == Some(&at) {
                    self.repeats.remove(&old);
                }
            }
            if self.repeats.contains_key(&repeat) {
                return;
            }
            self.repeats.insert(repeat, now);
            self.repeats_order.push_back((now, repeat));
        }
        out.push(Effect::Ran(ticket));
    }

    pub(super) fn done(&mut self, now: Nanos, ticket: Ticket, out: &mut Vec<Effect>) {
        let Some(InWork { ask, hit, version }) = self.in_work.remove(&ticket) else { return };
        let cache = &self.day.site.cache;
        if part(mix(self.day.seed, 0xe440, ticket)) < cache.errors {
            return self.reply(now, ask, Reply::Error, out);
        }
        if ask.member != self.ledger {
            if hit {
                return self.reply(now, ask, Reply::Served { hit, version }, out);
            }
            if !ask.write {
                self.miss(now, &ask);
            }
            return self.reply(now, ask, Reply::Miss, out);
        }
        let version = if ask.write {
            let version = self.versions.entry(ask.key).or_insert(0);
            *version += 1;
            *version
        } else {
            let missed = self.missed.remove(&ask.request).unwrap_or_default();
            for member in missed.members.into_iter().take(STORED_AT) {
                let node = &mut self.members[member];
                if node.process == Process::Up {
                    node.memory.store(now, ask.key, version);
                }
            }
            version
        };
        self.reply(now, ask, Reply::Served { hit: false, version }, out);
    }

    pub(super) fn miss(&mut self, now: Nanos, ask: &Ask) {
        while self.missed_order.front().is_some_and(|(at, _)| at + MISS_KEPT < now)
            || self.missed_order.len() > REMEMBERED_MOST
        {
            let Some((_, old)) = self.missed_order.pop_front() else { break };
            self.missed.remove(&old);
        }
        let cold = self.is_cold(ask.member, now);
        let missed = self.missed.entry(ask.request).or_default();
        missed.cold |= cold;
        if !missed.members.contains(&ask.member) {
            missed.members.push(ask.member);
        }
        self.missed_order.push_back((now, ask.request));
    }

    /// Danger: a reply to a request of an unknown class or of a full machine must not go out in a spoilt manner, or it
    /// would pass for one that ran.
    pub(super) fn reply(&mut self, _now: Nanos, ask: Ask, reply: Reply, out: &mut Vec<Effect>) {
        let served = matches!(reply, Reply::Served { .. });
        let manner = if served { self.manner(&ask) } else { Manner::Plain };
        out.push(Effect::Reply { ticket: ask.ticket, reply, manner });
    }

    pub(super) fn manner(&self, ask: &Ask) -> Manner {
        for n in &self.answers {
            let trouble = &self.day.troubles[*n];
            let hit = match (&trouble.nodes, trouble.part) {
                (Some(nodes), _) => nodes.contains(&ask.member),
                (None, Some(of)) => part(mix(self.day.seed, 0x3a77 + *n as u64, ask.ticket)) < of,
                (None, None) => false,
            };
            if hit {
                return match trouble.kind {
                    TroubleKind::Cut => Manner::Cut,
                    TroubleKind::Spoilt => Manner::Spoilt,
                    TroubleKind::Oversize => Manner::Oversize,
                    _ => Manner::Pieces(trouble.size.unwrap_or(1.0).max(1.0) as usize),
                };
            }
        }
        Manner::Plain
    }
}
