//! What a relay knows of one child, connected or not.

use crate::{Nanos, Progress};

/// Members of a child's own subtree that lag behind what the child acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LaggingBelow {
    /// How many.
    pub count: u64,
    /// Some of their labels.
    pub names: Vec<String>,
}

/// A connected child: a member or another relay.
#[derive(Clone, Debug)]
pub(super) struct Child {
    pub name: String,
    /// A number drawn when its process started.
    pub boot: u64,
    /// Its position when it sent `hello`.
    pub joined_at: Progress,
    /// The position that it acknowledged.
    pub acked: Progress,
    /// Whether it has acknowledged a position on this connection. Danger: the `hello` of a relay says nothing of lagging
    /// members below it, so that a child counts as lagging until its first acknowledgement.
    pub has_acked: bool,
    /// The last entry that it was sent; none until it is known where it joins the log.
    pub sent: Option<u64>,
    /// When it is to be sent a flush.
    pub flush_due: Option<Nanos>,
    /// When it last acknowledged something, or owed no acknowledgement.
    pub last_ack: Nanos,
    pub lagging: LaggingBelow,
    /// How many entries one frame to it carries at most.
    pub max_frame_entries: usize,
}

impl Child {
    /// Whether it acknowledged everything up to this position.
    pub fn has_acked_through(&self, position: Progress) -> bool {
        self.acked.epoch == position.epoch && self.acked.through >= position.through
    }

    /// Its name and position, as reports list it.
    pub fn label(&self) -> String {
        format!("{}@{}", self.name, self.acked.through)
    }
}

/// A child that has disconnected.
#[derive(Clone, Debug)]
pub(super) struct DepartedChild {
    pub since: Nanos,
    pub acked: Progress,
    pub lagging: LaggingBelow,
}
