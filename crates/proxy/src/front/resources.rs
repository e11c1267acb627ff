//! The limits on descriptors and memory, and how processes of the same proxy divide them.

use crate::config::Config;
use crate::peers::{self, Peers};
use crate::{admin, discovery, MAX_BUFFERED_BODY_BYTES, MAX_READ_BUFFER_BYTES};

/// Descriptors outside of the budget: standard streams, the listener, the runtime, the files of the
/// operators' state and of ids, and discovery.
const BASE_DESCRIPTORS: usize = 20 + discovery::DESCRIPTORS;
/// Memory that is not available to connections, in bytes.
const BASE_MEMORY: usize = 8 << 20;
/// Memory of a connection, in bytes: a full read buffer, a full write buffer, and the headers and the state of a
/// request.
const CONNECTION_BYTES: usize = 3 * MAX_READ_BUFFER_BYTES + (4 << 10);
/// Number of connections that a process may always hold.
const MIN_CONNECTIONS: usize = 8;

/// The limits of a process that is the only one of its proxy.
pub struct ResourceLimits {
    /// Maximum number of descriptors.
    max_descriptors: usize,
    /// Number of descriptors that each process needs in addition to its connections.
    base_descriptors: usize,
    /// Memory for connections and buffered bodies, in bytes.
    memory: usize,
}

impl ResourceLimits {
    /// Returns the platform's limits, less the needs of the admin endpoint and `reserved_memory`, in bytes.
    pub fn new(config: &Config, reserved_memory: usize) -> Self {
        let (admin_descriptors, admin_memory) =
            config.mgmt.map_or((0, 0), |_| (admin::DESCRIPTORS, admin::MEMORY_BYTES));
        ResourceLimits {
            max_descriptors: config.sockets,
            base_descriptors: BASE_DESCRIPTORS + admin_descriptors,
            memory: config.memory.saturating_sub(BASE_MEMORY + admin_memory + reserved_memory),
        }
    }

    /// Returns the number of connections that this process may hold besides others with these claims.
    pub fn max_connections(&self, other_claims: &[Option<usize>]) -> usize {
        let by_memory = self.memory / (other_claims.len() + 1) / 4 * 3 / CONNECTION_BYTES;
        let descriptors = peers::remaining_descriptors(self.max_descriptors, other_claims)
            .saturating_sub(self.base_descriptors);
        descriptors.min(by_memory).max(MIN_CONNECTIONS)
    }

    /// Returns the bytes of answers that this process may buffer besides others with these claims.
    pub fn max_answer_bytes(&self, other_claims: &[Option<usize>]) -> usize {
        self.max_buffered_bytes(other_claims) / 4
    }

    /// Returns the bytes of request bodies that this process may buffer besides others with these claims.
    pub fn max_buffered_bytes(&self, other_claims: &[Option<usize>]) -> usize {
        (self.memory / (other_claims.len() + 1) / 4).max(2 * MAX_BUFFERED_BODY_BYTES)
    }

    /// Announces to the other processes that this one limits itself to this number of connections.
    pub fn claim(&self, peers: &Peers, connections: usize) {
        peers.claim(connections + self.base_descriptors);
    }
}
