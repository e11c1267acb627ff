//! What a relay knows about one child, connected or not.

use crate::{Nanos, Progress};

/// Members of a child's own subtree that lag behind what the child acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LaggingBelow {
    /// The number of these members.
    pub count: u64,
    /// The labels of some of them.
    pub names: Vec<String>,
}

/// A connected child: a member or another relay.
#[derive(Clone, Debug)]
pub(super) struct Child {
    pub name: String,
    /// A random number drawn when its process started.
    pub boot: u64,
    /// Its position when it sent `hello`.
    pub joined_at: Progress,
    /// The position that it has acknowledged.
    pub acked: Progress,
    /// Whether it has acknowledged a position on this connection. A relay's `hello` doesn't include lagging
    /// members below it, so a child counts as lagging until its first acknowledgement.
    pub has_acked: bool,
    /// The number of the last entry sent to it. None until the number from which it continues is known.
    pub sent: Option<u64>,
    /// When a flush is due to it.
    pub flush_due: Option<Nanos>,
    /// When it last acknowledged something, or last had nothing to acknowledge.
    pub last_ack: Nanos,
    pub lagging: LaggingBelow,
    /// The maximum number of entries in one frame to it.
    pub max_frame_entries: usize,
}

impl Child {
    /// Whether it has acknowledged everything up to this position.
    pub fn has_acked_through(&self, position: Progress) -> bool {
        self.acked.epoch == position.epoch && self.acked.through >= position.through
    }

    /// Returns its name and position as listed in reports.
    pub fn label(&self) -> String {
        format!("{}@{}", self.name, self.acked.through)
    }
}

/// A disconnected child.
#[derive(Clone, Debug)]
pub(super) struct DepartedChild {
    pub since: Nanos,
    pub acked: Progress,
    pub lagging: LaggingBelow,
}
