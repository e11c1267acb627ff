//! The subscription to the endpoint list: whether it is in force, and when discovery is called again.

use crate::api::{Action, ListKind, Nanos, Settings};
use crate::arithmetic::{RandomSource, SECOND};
use std::sync::Arc;

/// Timer tokens of calls to discovery lie from here on, apart from those of hedged requests.
const FIRST_TOKEN: u64 = 2 << 56;
/// The first backoff after a failed call, in seconds.
const FIRST_BACKOFF_S: f64 = 0.4;
/// Failed calls up to which the backoff doubles.
const DOUBLINGS: u32 = 8;

/// The subscription to the endpoint list.
pub struct Subscription {
    settings: Arc<Settings>,
    in_force: bool,
    called: bool,
    failures: u32,
    token: u64,
}

impl Subscription {
    /// Not subscribed yet.
    pub fn new(settings: Arc<Settings>) -> Self {
        Subscription { settings, in_force: false, called: false, failures: 0, token: FIRST_TOKEN }
    }

    /// Takes note of a list event, and arms the next call where one is due.
    pub fn list_received(&mut self, kind: ListKind, random: &mut RandomSource, actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            (self.in_force, self.called) = (false, false);
            self.failures = (self.failures + 1).min(DOUBLINGS);
            self.call_after_backoff(random, actions);
        } else if self.settings.subscribes && kind == ListKind::Cached {
            self.call_after_backoff(random, actions);
        } else if self.settings.subscribes && self.called && kind != ListKind::Overlay {
            (self.in_force, self.called, self.failures) = (true, false, 0);
        }
    }

    /// Arms the next call to discovery. Jitter and doubling keep a fleet that lost it from calling all at
    /// once.
    fn call_after_backoff(&mut self, random: &mut RandomSource, actions: &mut Vec<Action>) {
        let most = (self.settings.poll_within / 3).max(SECOND) as f64;
        let doubled = FIRST_BACKOFF_S * SECOND as f64 * f64::from(1u32 << self.failures.min(DOUBLINGS));
        let delay = (doubled.min(most) * (0.2 + 0.8 * random.draw())) as Nanos;
        self.token += 1;
        actions.push(Action::Timer { token: self.token, delay });
    }

    /// A timer ran out: calls discovery if that is still due.
    pub fn timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token != self.token || self.in_force || !self.settings.subscribes {
            return;
        }
        actions.push(Action::Subscribe);
        self.called = true;
        // Should the answer be lost, call again before the list counts as known without it.
        self.token += 1;
        let delay = self.settings.poll_within.max(2 * SECOND) / 5 * 4;
        actions.push(Action::Timer { token: self.token, delay });
    }
}
