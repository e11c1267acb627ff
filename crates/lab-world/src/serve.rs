//! Serving an attempt at a member: execution, deduplication by idempotency key, misses, cached values and the reply.

use super::*;
use aniseyoke_lab_day::clock::unit_fraction;
use aniseyoke_lab_day::FaultKind;

impl SiteModel {
    /// Handles the start of processing. A write at the origin counts as executed from here on; of the repeats with one
    /// idempotency key within the deduplication window, only the first is executed.
    pub(super) fn started(&mut self, now: Nanos, attempt_id: AttemptId, out: &mut Vec<Effect>) {
        let Some(work) = self.in_progress.get(&attempt_id) else { return };
        if !work.attempt.write || work.attempt.member != self.origin {
            return;
        }
        let window = nanos(self.day.site.origin.dedup_window);
        if let Some(idempotency_key) = work.attempt.idempotency_key {
            while self.executed_keys_order.front().is_some_and(|(at, _)| at + window < now)
                || self.executed_keys_order.len() > MAX_HISTORY_ENTRIES
            {
                let Some((at, old)) = self.executed_keys_order.pop_front() else { break };
                if self.executed_keys.get(&old) == Some(&at) {
                    self.executed_keys.remove(&old);
                }
            }
            if self.executed_keys.contains_key(&idempotency_key) {
                return;
            }
            self.executed_keys.insert(idempotency_key, now);
            self.executed_keys_order.push_back((now, idempotency_key));
        }
        out.push(Effect::Executed(attempt_id));
    }

    pub(super) fn finished(&mut self, now: Nanos, attempt_id: AttemptId, out: &mut Vec<Effect>) {
        let Some(InProgress { attempt, hit, version }) = self.in_progress.remove(&attempt_id) else { return };
        let cache = &self.day.site.cache;
        if unit_fraction(mix(self.day.seed, 0xe440, attempt_id)) < cache.error_rate {
            return self.reply(now, attempt, Reply::Error, out);
        }
        if attempt.member != self.origin {
            if hit {
                return self.reply(now, attempt, Reply::Served { hit, version }, out);
            }
            if !attempt.write {
                self.record_miss(now, &attempt);
            }
            return self.reply(now, attempt, Reply::Miss, out);
        }
        let version = if attempt.write {
            let version = self.versions.entry(attempt.key).or_insert(0);
            *version += 1;
            *version
        } else {
            let misses = self.misses.remove(&attempt.request).unwrap_or_default();
            for member in misses.members.into_iter().take(MAX_STORING_NODES) {
                let node = &mut self.members[member];
                if node.process == ProcessState::Up {
                    node.cache.store(now, attempt.key, version);
                }
            }
            version
        };
        self.reply(now, attempt, Reply::Served { hit: false, version }, out);
    }

    pub(super) fn record_miss(&mut self, now: Nanos, attempt: &Attempt) {
        while self.misses_order.front().is_some_and(|(at, _)| at + MISS_RETENTION < now)
            || self.misses_order.len() > MAX_HISTORY_ENTRIES
        {
            let Some((_, old)) = self.misses_order.pop_front() else { break };
            self.misses.remove(&old);
        }
        let cold = self.is_cold(attempt.member, now);
        let misses = self.misses.entry(attempt.request).or_default();
        misses.cold |= cold;
        if !misses.members.contains(&attempt.member) {
            misses.members.push(attempt.member);
        }
        self.misses_order.push_back((now, attempt.request));
    }

    /// Emits the reply. Response faults apply only to served requests: a truncated or malformed reply to a rejected
    /// request, or to one of an unknown class, would be indistinguishable from the reply to an executed one.
    pub(super) fn reply(&mut self, _now: Nanos, attempt: Attempt, reply: Reply, out: &mut Vec<Effect>) {
        let served = matches!(reply, Reply::Served { .. });
        let delivery = if served { self.delivery(&attempt) } else { Delivery::Unmodified };
        out.push(Effect::Reply { attempt_id: attempt.attempt_id, reply, delivery });
    }

    pub(super) fn delivery(&self, attempt: &Attempt) -> Delivery {
        for n in &self.response_faults {
            let fault = &self.day.faults[*n];
            let hit = match (&fault.nodes, fault.fraction) {
                (Some(nodes), _) => nodes.contains(&attempt.member),
                (None, Some(fraction)) => {
                    unit_fraction(mix(self.day.seed, 0x3a77 + *n as u64, attempt.attempt_id)) < fraction
                }
                (None, None) => false,
            };
            if hit {
                return match fault.kind {
                    FaultKind::Cut => Delivery::Truncated,
                    FaultKind::Spoilt => Delivery::Malformed,
                    FaultKind::Oversize => Delivery::Oversize,
                    FaultKind::StuckHead => Delivery::Stuck,
                    _ => Delivery::Fragmented(fault.size.unwrap_or(1.0).max(1.0) as usize),
                };
            }
        }
        Delivery::Unmodified
    }
}
