//! What connections and bodies may take of the process's descriptors and memory, beside others of the same proxy.

use crate::peers;
use crate::{BODY_MOST, BUFFER_MOST};

/// What a lone process may take.
pub struct Places {
    /// Descriptors in all.
    pub sockets: usize,
    /// Descriptors that each process needs beside those of its connections.
    pub own: usize,
    /// Memory for connections and for what they carry, in bytes.
    pub memory: usize,
}

impl Places {
    /// The connections that this process may hold beside others.
    pub fn part(&self, others: &[Option<usize>]) -> usize {
        // Danger: each connection may come to hold what is read ahead of it and what is still to be written.
        let room = self.memory / (others.len() + 1) / 4 * 3 / (2 * BUFFER_MOST);
        peers::remaining_descriptors(self.sockets, others).saturating_sub(self.own).min(room).max(8)
    }

    /// The bytes of bodies that this process may hold whole beside others.
    pub fn held(&self, others: &[Option<usize>]) -> usize {
        (self.memory / (others.len() + 1) / 4).max(2 * BODY_MOST)
    }
}
