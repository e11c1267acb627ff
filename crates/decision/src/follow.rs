//! The list of servers: whether it is followed, and when it is asked for.

use crate::api::{Action, ListKind, Nanos, Settings};
use crate::numbers::{Chance, SECOND};
use std::sync::Arc;

/// Timer tokens of calls to discovery lie from here on, apart from those of second copies.
const ASK: u64 = 2 << 56;

/// Whether the list is being followed.
pub struct Follow {
    settings: Arc<Settings>,
    subscribed: bool,
    asked: bool,
    failures: u32,
    token: u64,
}

impl Follow {
    /// Not followed yet.
    pub fn new(settings: Arc<Settings>) -> Self {
        Follow { settings, subscribed: false, asked: false, failures: 0, token: ASK }
    }

    /// What kind of news came.
    pub fn told(&mut self, kind: ListKind, chance: &mut Chance, actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            (self.subscribed, self.asked) = (false, false);
            self.failures = (self.failures + 1).min(8);
            self.ask_later(chance, actions);
        } else if self.settings.must_ask && kind == ListKind::Cached {
            self.ask_later(chance, actions);
        } else if self.settings.must_ask && self.asked && kind != ListKind::Overlay {
            (self.subscribed, self.asked, self.failures) = (true, false, 0);
        }
    }

    /// Arms the next call to discovery. Jitter and doubling keep a fleet that lost it from calling as one.
    fn ask_later(&mut self, chance: &mut Chance, actions: &mut Vec<Action>) {
        let most = (self.settings.must_ask_in / 3).max(SECOND) as f64;
        let wait = (0.4 * SECOND as f64 * f64::from(1u32 << self.failures.min(8))).min(most);
        let delay = (wait * (0.2 + 0.8 * chance.draw())) as Nanos;
        self.token += 1;
        actions.push(Action::Timer { token: self.token, delay });
    }

    /// A timer ran out: asks for the list if that is still due.
    pub fn timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token != self.token || self.subscribed || !self.settings.must_ask {
            return;
        }
        actions.push(Action::Subscribe);
        self.asked = true;
        // Should the answer be lost, ask again before the list counts as known without it.
        self.token += 1;
        let delay = self.settings.must_ask_in.max(2 * SECOND) / 5 * 4;
        actions.push(Action::Timer { token: self.token, delay });
    }
}
