//! Which servers the endpoint list has ever named, so that an operator's call for a name that no server ever had is
//! rejected.

use aniseyoke_decision::api::ServerId;
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// Most servers that are remembered; the oldest are forgotten first.
const MAX_SEEN: usize = 1 << 14;

/// Servers that were listed at some time.
#[derive(Default)]
pub struct SeenServers {
    servers: FxHashSet<ServerId>,
    /// The same, the oldest first.
    order: VecDeque<ServerId>,
}

impl SeenServers {
    /// Remembers a server.
    pub fn add(&mut self, server: ServerId) {
        if !self.servers.insert(server) {
            return;
        }
        self.order.push_back(server);
        if self.order.len() > MAX_SEEN {
            if let Some(oldest) = self.order.pop_front() {
                self.servers.remove(&oldest);
            }
        }
    }

    /// Whether it was ever listed, as far back as is remembered.
    pub fn contains(&self, server: ServerId) -> bool {
        self.servers.contains(&server)
    }
}
