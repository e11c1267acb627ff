//! What goes down: entries in frames for all who stand alike, word that nothing newer is known, and flushes.

use super::{Action, Id, Relay, PACE};
use crate::{Nanos, Progress};
use std::collections::BTreeMap;

impl Relay {
    pub(super) fn let_go(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let (epoch, newest, stuck) = (self.log.epoch(), self.log.newest(), self.settings.stuck);
        for (id, b) in &mut self.below {
            let owes =
                b.sent.is_some_and(|sent| !b.done_through(Progress { epoch, through: sent.min(newest) }));
            if !owes {
                b.heard = now;
            } else if now.saturating_sub(b.heard) >= stuck {
                b.heard = now;
                actions.push(Action::LetGo(*id, format!("{} has not taken purges for too long", b.named())));
            }
        }
    }

    /// Sends everybody what is due.
    pub(super) fn bring(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let (at, window) = (self.log.at(), self.settings.window as u64);
        let renewed = std::mem::take(&mut self.renewed);
        // Those who get the same get it encoded once: after which number, how many.
        let mut groups: BTreeMap<(u64, u64), Vec<Id>> = BTreeMap::new();
        let mut current = Vec::new();
        let mut again: Option<Nanos> = None;
        let later = now.saturating_add(self.settings.batch.max(PACE));
        let mut ids: Vec<Id> = self.below.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(b) = self.below.get_mut(&id) else { continue };
            if let Some(due) = b.flush {
                if due > now {
                    again = Some(again.map_or(due, |again| again.min(due)));
                    continue;
                }
                (b.flush, b.sent, b.at) = (None, Some(at.through), at);
                actions.push(Action::Flush { to: id, at });
            }
            let Some(mut sent) = b.sent else { continue };
            let done = if b.done.epoch == at.epoch { b.done.through } else { sent };
            let open = window.saturating_sub(sent.saturating_sub(done));
            // Danger: a log that is replayed all at once fills the queue of its connection, and that is let go.
            let mut left = open.min(2 * b.frame as u64).min(at.through.saturating_sub(sent));
            while left > 0 {
                let count = left.min(b.frame as u64);
                groups.entry((sent, count)).or_default().push(id);
                (sent, left) = (sent + count, left - count);
            }
            b.sent = Some(sent);
            if sent < at.through && open > 0 {
                again = Some(again.map_or(later, |again| again.min(later)));
            }
            if sent == at.through {
                current.push(id);
            }
        }
        let epoch = at.epoch;
        for ((after, count), to) in groups {
            // What is sent was found in the log when its receiver was aligned; a log that moved on aligns again.
            match self.log.after(after, count as usize) {
                Ok(keys) => actions.push(Action::Purges { to, epoch, after, keys }),
                Err(_) => to.into_iter().for_each(|id| self.fallen_behind(now, id, after)),
            }
        }
        if renewed && !current.is_empty() {
            actions.push(Action::Purges { to: current, epoch, after: at.through, keys: Vec::new() });
        }
        if let Some(again) = again {
            self.due = Some(self.due.map_or(again, |due| due.min(again)));
        }
    }

    /// The log went past what one below lacks.
    fn fallen_behind(&mut self, now: Nanos, id: Id, after: u64) {
        let epoch = self.log.epoch();
        if let Some(b) = self.below.get_mut(&id) {
            (b.at, b.sent) = (Progress { epoch, through: after }, None);
        }
        self.align(now, id);
    }
}
