//! The process's limits on descriptors and memory, and its part of them beside other processes of the same proxy.

use crate::config::Config;
use crate::peers::{self, Peers};
use crate::{admin, discovery, MAX_BUFFERED_BODY_BYTES, MAX_READ_BUFFER_BYTES};

/// Descriptors that are no sockets of the budget: standard streams, the listener, the runtime's own, the files of
/// the operators' state, discovery's.
const BASE_DESCRIPTORS: usize = 20 + discovery::DESCRIPTORS;
/// Memory that is no connection's, in bytes.
const BASE_MEMORY: usize = 8 << 20;
/// A process may always hold so many connections.
const MIN_CONNECTIONS: usize = 8;

/// What a process that is alone may take.
pub struct ResourceLimits {
    /// Descriptors in all.
    sockets: usize,
    /// Descriptors that each process needs beside those of its connections.
    base_descriptors: usize,
    /// Memory for connections and for what they carry, in bytes.
    memory: usize,
}

impl ResourceLimits {
    /// The limits that the platform sets, less what the admin endpoint needs and `reserved_memory`.
    pub fn new(config: &Config, reserved_memory: usize) -> Self {
        let (admin_descriptors, admin_memory) =
            config.mgmt.map_or((0, 0), |_| (admin::DESCRIPTORS, admin::MEMORY));
        ResourceLimits {
            sockets: config.sockets,
            base_descriptors: BASE_DESCRIPTORS + admin_descriptors,
            memory: config.memory.saturating_sub(BASE_MEMORY + admin_memory + reserved_memory),
        }
    }

    /// The connections that this process may hold beside others with these claims.
    pub fn max_connections(&self, others: &[Option<usize>]) -> usize {
        // Each connection may come to hold what is read ahead of it and what is still to be written.
        let by_memory = self.memory / (others.len() + 1) / 4 * 3 / (2 * MAX_READ_BUFFER_BYTES);
        let descriptors =
            peers::remaining_descriptors(self.sockets, others).saturating_sub(self.base_descriptors);
        descriptors.min(by_memory).max(MIN_CONNECTIONS)
    }

    /// The bytes of bodies that this process may buffer beside others.
    pub fn max_buffered_bytes(&self, others: &[Option<usize>]) -> usize {
        (self.memory / (others.len() + 1) / 4).max(2 * MAX_BUFFERED_BODY_BYTES)
    }

    /// Tells the other processes that this one keeps to so many connections.
    pub fn claim(&self, peers: &Peers, connections: usize) {
        peers.claim(connections + self.base_descriptors);
    }
}
