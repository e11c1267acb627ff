//! The servers that have ever been on the endpoint list, used to reject an operator's call for a name that no
//! server has ever had.

use aniseyoke_decision::api::ServerId;
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// Maximum number of remembered servers; the oldest are removed first.
const MAX_SEEN: usize = 1 << 14;

/// The servers that have been on the endpoint list at some time.
#[derive(Default)]
pub struct SeenServers {
    servers: FxHashSet<ServerId>,
    /// The same servers, oldest first.
    order: VecDeque<ServerId>,
}

impl SeenServers {
    /// Adds a server, removing the oldest one if there are too many.
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

    /// Whether a server has been listed and is still remembered.
    pub fn contains(&self, server: ServerId) -> bool {
        self.servers.contains(&server)
    }
}
