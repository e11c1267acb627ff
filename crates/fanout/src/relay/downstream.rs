//! What a relay sends to its children: entries, heartbeats and flushes.

use super::child::Child;
use super::{ChildId, Relay, RelayAction, REPLAY_INTERVAL};
use crate::{Nanos, Progress};
use std::collections::BTreeMap;

/// One pass over the children. Collects what is due to them, so that a frame for several children is encoded
/// once.
#[derive(Default)]
struct Pass {
    /// The children that are sent the same entries, by the number before the first one and the count.
    groups: BTreeMap<(u64, u64), Vec<ChildId>>,
    /// The children that have every entry once the frames of this pass are sent.
    current: Vec<ChildId>,
    /// When the next pass is due.
    next: Option<Nanos>,
}

impl Pass {
    fn schedule_next(&mut self, due: Nanos) {
        self.next = Some(self.next.map_or(due, |next| next.min(due)));
    }
}

impl Relay {
    /// Disconnects children that have not acknowledged anything for the acknowledgement timeout.
    pub(super) fn disconnect_stuck(&mut self, now: Nanos, actions: &mut Vec<RelayAction>) {
        let (epoch, newest) = (self.log.epoch(), self.log.newest());
        for (id, child) in &mut self.children {
            let owes_ack = child
                .sent
                .is_some_and(|sent| !child.has_acked_through(Progress { epoch, through: sent.min(newest) }));
            if !owes_ack {
                child.last_ack = now;
            } else if now.saturating_sub(child.last_ack) >= self.settings.ack_timeout {
                child.last_ack = now;
                let reason = format!("{} has not acknowledged purges for too long", child.label());
                actions.push(RelayAction::Disconnect(*id, reason));
            }
        }
    }

    /// Sends each child the entries, heartbeat or flush that is due to it.
    pub(super) fn send_due(&mut self, now: Nanos, actions: &mut Vec<RelayAction>) {
        let position = self.log.position();
        let window = self.settings.window as u64;
        let next_pass_at = now.saturating_add(self.settings.batch.max(REPLAY_INTERVAL));
        let heartbeat = std::mem::take(&mut self.heartbeat_pending);
        let mut pass = Pass::default();
        let mut ids: Vec<ChildId> = self.children.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(child) = self.children.get_mut(&id) else { continue };
            if let Some(due) = child.flush_due {
                if due > now {
                    pass.schedule_next(due);
                    continue;
                }
                child.flush_due = None;
                child.sent = Some(position.through);
                child.joined_at = position;
                actions.push(RelayAction::Flush { to: id, position });
            }
            plan_entries(&mut pass, id, child, position, window, next_pass_at);
        }
        self.send_groups(now, &mut pass, actions);
        if heartbeat && !pass.current.is_empty() {
            let Progress { epoch, through } = position;
            let (to, keys) = (pass.current, Vec::new());
            actions.push(RelayAction::Purges { to, epoch, after: through, keys });
        }
        if let Some(next) = pass.next {
            self.send_due_at = Some(self.send_due_at.map_or(next, |due| due.min(next)));
        }
    }

    fn send_groups(&mut self, now: Nanos, pass: &mut Pass, actions: &mut Vec<RelayAction>) {
        let epoch = self.log.epoch();
        for ((after, count), to) in std::mem::take(&mut pass.groups) {
            // The log had these entries when the children were aligned with it. If they were dropped since,
            // align again.
            match self.log.entries_after(after, count as usize) {
                Ok(keys) => actions.push(RelayAction::Purges { to, epoch, after, keys }),
                Err(_) => to.into_iter().for_each(|id| self.realign(now, id, after)),
            }
        }
    }

    /// Aligns a child again after the log has dropped the entries that it needs next.
    fn realign(&mut self, now: Nanos, id: ChildId, after: u64) {
        let epoch = self.log.epoch();
        if let Some(child) = self.children.get_mut(&id) {
            child.joined_at = Progress { epoch, through: after };
            child.sent = None;
        }
        self.align_child(now, id);
    }
}

/// Adds the entries that are due to one child to the pass.
fn plan_entries(
    pass: &mut Pass,
    id: ChildId,
    child: &mut Child,
    position: Progress,
    window: u64,
    next_pass_at: Nanos,
) {
    let Some(mut sent) = child.sent else { return };
    let acked = if child.acked.epoch == position.epoch { child.acked.through } else { sent };
    let window_left = window.saturating_sub(sent.saturating_sub(acked));
    let max_frame = child.max_frame_entries as u64;
    // At most two frames per pass: a log that is replayed at once fills the connection's queue, and a full
    // queue closes the connection.
    let mut remaining = window_left.min(2 * max_frame).min(position.through.saturating_sub(sent));
    while remaining > 0 {
        let count = remaining.min(max_frame);
        pass.groups.entry((sent, count)).or_default().push(id);
        sent += count;
        remaining -= count;
    }
    child.sent = Some(sent);
    if sent < position.through && window_left > 0 {
        pass.schedule_next(next_pass_at);
    }
    if sent == position.through {
        pass.current.push(id);
    }
}
