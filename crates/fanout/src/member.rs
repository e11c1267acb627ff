//! A leaf of the tree: tracks its position in the log, which purges are new to it, and whether it may claim
//! to have seen all of them.

use crate::{Nanos, Progress};

/// The minimum time between two resync requests.
const RESYNC_INTERVAL: Nanos = 1_000_000_000;

/// What the owner of a [`Member`] has to do after a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAction<'a> {
    /// Do nothing: the frame is a duplicate, or is from an earlier epoch.
    Ignore,
    /// Drop the objects with these keys, then acknowledge [`Member::progress`].
    Invalidate(&'a [u64]),
    /// Drop every object, then acknowledge [`Member::progress`].
    InvalidateAll,
    /// Entries are missing: send `hello` again with [`Member::progress`].
    Resync,
}

/// The state of a leaf, at most 64 bytes. The owner must carry out each action before passing in the next
/// frame.
#[derive(Clone, Debug)]
pub struct Member {
    position: Progress,
    lease: Nanos,
    /// When the upstream last confirmed that this member has seen every purge known to the root.
    confirmed_at: Option<Nanos>,
    resync_requested_at: Option<Nanos>,
}

impl Member {
    /// Creates a member at this position, which is the default one if it holds no object yet. It may claim to
    /// be fresh for `lease` nanoseconds after a confirmation that it has seen every purge.
    pub fn new(position: Progress, lease: Nanos) -> Self {
        Member { position, lease, confirmed_at: None, resync_requested_at: None }
    }

    /// Returns the position up to which all purges have been applied. It is sent in `hello`, and in the
    /// `purged` that follows each `hello` and each change. Without the `purged` after `hello` the member
    /// counts as lagging.
    pub fn progress(&self) -> Progress {
        self.position
    }

    /// Whether the member may serve its objects as fresh. If not, objects have to be revalidated at their
    /// origin, or served as stale if the operator allows it.
    pub fn is_fresh(&self, now: Nanos) -> bool {
        self.confirmed_at.is_some_and(|confirmed| now.saturating_sub(confirmed) <= self.lease)
    }

    fn request_resync(&mut self, now: Nanos) -> MemberAction<'static> {
        if self
            .resync_requested_at
            .is_some_and(|requested_at| now.saturating_sub(requested_at) < RESYNC_INTERVAL)
        {
            return MemberAction::Ignore;
        }
        self.resync_requested_at = Some(now);
        MemberAction::Resync
    }

    /// Handles the entries from `after + 1` on. Without keys it is a heartbeat: the root has nothing newer
    /// than `after`.
    pub fn receive_purges<'a>(
        &mut self,
        now: Nanos,
        epoch: u64,
        after: u64,
        keys: &'a [u64],
    ) -> MemberAction<'a> {
        if epoch < self.position.epoch {
            return MemberAction::Ignore;
        }
        if self.position.is_empty() || epoch > self.position.epoch {
            return self.request_resync(now);
        }
        // Continuing past a gap would acknowledge entries that were never applied.
        let Some(known) = self.position.through.checked_sub(after) else {
            return self.request_resync(now);
        };
        if keys.is_empty() {
            if known == 0 {
                self.confirmed_at = Some(now);
            }
            return MemberAction::Ignore;
        }
        match keys.get(usize::try_from(known).unwrap_or(usize::MAX)..) {
            Some(new) if !new.is_empty() => {
                self.position.through = self.position.through.saturating_add(new.len() as u64);
                MemberAction::Invalidate(new)
            }
            _ => MemberAction::Ignore,
        }
    }

    /// Handles a flush: the upstream no longer has the entries that this member lacks. Its position becomes
    /// `position`, once every object is dropped.
    pub fn receive_flush(&mut self, position: Progress) -> MemberAction<'static> {
        let behind = (self.position.epoch, self.position.through) < (position.epoch, position.through);
        if !behind {
            return MemberAction::Ignore;
        }
        self.position = position;
        self.resync_requested_at = None;
        MemberAction::InvalidateAll
    }
}

#[cfg(test)]
mod tests;
