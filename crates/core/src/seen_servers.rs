//! Which ids the list has ever named, so that operators hear of a name that nothing ever had.

use aniseyoke_decision::api::ServerId;
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// Ids that were listed at some time: so many are remembered, the oldest forgotten first.
const LISTED_MOST: usize = 1 << 14;

/// Ids that were listed.
#[derive(Default)]
pub struct Listed {
    known: FxHashSet<ServerId>,
    order: VecDeque<ServerId>,
}

impl Listed {
    /// Remembers an id.
    pub fn add(&mut self, server: ServerId) {
        if self.known.insert(server) {
            self.order.push_back(server);
            if self.order.len() > LISTED_MOST {
                self.order.pop_front().map(|oldest| self.known.remove(&oldest));
            }
        }
    }

    /// Whether it was ever listed, as far back as is remembered.
    pub fn knows(&self, server: ServerId) -> bool {
        self.known.contains(&server)
    }
}
