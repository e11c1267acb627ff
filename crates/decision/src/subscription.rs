//! The subscription to the endpoint list: whether it is established, and when the discovery service is called
//! again.

use crate::api::{Action, ListKind, Nanos, Settings};
use crate::arithmetic::{RandomSource, SECOND};
use std::sync::Arc;

/// First timer token of calls to the discovery service; the range is disjoint from that of hedged requests.
const FIRST_TOKEN: u64 = 2 << 56;
/// Backoff before the first doubling, in seconds.
const FIRST_BACKOFF_S: f64 = 0.4;
/// Number of failed calls after which the backoff no longer doubles.
const MAX_DOUBLINGS: u32 = 8;

/// The subscription to the endpoint list.
pub struct Subscription {
    settings: Arc<Settings>,
    established: bool,
    call_pending: bool,
    failures: u32,
    token: u64,
}

impl Subscription {
    /// Creates a subscription that is not established yet.
    pub fn new(settings: Arc<Settings>) -> Self {
        Subscription { settings, established: false, call_pending: false, failures: 0, token: FIRST_TOKEN }
    }

    /// Handles a list event; schedules the next call to the discovery service if one is needed.
    pub fn list_received(&mut self, kind: ListKind, random: &mut RandomSource, actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            (self.established, self.call_pending) = (false, false);
            self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
            self.call_after_backoff(random, actions);
        } else if self.settings.subscribes && kind == ListKind::Cached {
            self.call_after_backoff(random, actions);
        } else if self.settings.subscribes && self.call_pending && kind.answers_call() {
            (self.established, self.call_pending, self.failures) = (true, false, 0);
        }
    }

    /// Schedules the next call to the discovery service. Jitter and doubling prevent a fleet that lost the
    /// service from calling it all at once.
    fn call_after_backoff(&mut self, random: &mut RandomSource, actions: &mut Vec<Action>) {
        let max_backoff = (self.settings.poll_within / 3).max(SECOND) as f64;
        let doubled = FIRST_BACKOFF_S * SECOND as f64 * f64::from(1u32 << self.failures.min(MAX_DOUBLINGS));
        let delay = (doubled.min(max_backoff) * (0.2 + 0.8 * random.draw())) as Nanos;
        self.token += 1;
        actions.push(Action::Timer { token: self.token, delay });
    }

    /// Handles an expired timer: calls the discovery service if there is still no subscription.
    pub fn timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token != self.token || self.established || !self.settings.subscribes {
            return;
        }
        actions.push(Action::Subscribe);
        self.call_pending = true;
        // Call again before the polling interval ends, in case the answer to this call is lost.
        self.token += 1;
        let delay = self.settings.poll_within.max(2 * SECOND) / 5 * 4;
        actions.push(Action::Timer { token: self.token, delay });
    }
}
