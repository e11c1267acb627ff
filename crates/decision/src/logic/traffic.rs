//! What passes on the whole: how much comes and is served, how long each class takes, what may be repeated.

use super::*;
use std::cmp::Ordering;

/// Memory of traffic counts, in seconds.
pub const MEMORY_S: f64 = 16.0;
/// Memory of what was served, in seconds.
const SERVED_S: f64 = 2.0;
/// Retries and hedges earned by each request, and the most that is kept. Danger: with one purse for all, a
/// tenant whose every request fails spends what the others' lost requests would need.
const BUDGET: f64 = 0.3;
const BUDGET_MOST: f64 = 10.0;

/// Counts over all requests.
#[derive(Default)]
pub struct Traffic {
    pub settings: Arc<Settings>,
    /// Of each class; behind them, of none.
    pub seen: Vec<Times>,
    pub count: Fading,
    pub started: Option<Nanos>,
    /// What all have earned, and behind that each tenant.
    budgets: Vec<f64>,
    served: Fading,
}

impl Traffic {
    pub fn new(settings: Arc<Settings>) -> Self {
        let seen = vec![Times::default(); settings.classes.len() + 1];
        let budgets = vec![1.0; 1 + settings.tenants.len()];
        Traffic { settings, seen, budgets, ..Traffic::default() }
    }

    pub fn arrived(&mut self, now: Nanos, tenant: Option<usize>) {
        self.count.add(now, MEMORY_S);
        self.purses(tenant).for_each(|earned| *earned = (*earned + BUDGET).min(BUDGET_MOST));
    }

    /// What counts for a tenant's request: the process's and its own.
    fn purses(&mut self, tenant: Option<usize>) -> impl Iterator<Item = &mut f64> {
        let own = tenant.map_or(0, |t| t + 1);
        let all = self.budgets.iter_mut().enumerate();
        all.filter(move |(n, _)| *n == 0 || *n == own).map(|(_, earned)| earned)
    }

    /// Whether a further attempt has been earned.
    pub fn may_repeat(&mut self, tenant: Option<usize>) -> bool {
        self.purses(tenant).all(|earned| *earned >= 1.0)
    }

    /// Pays for a further attempt.
    pub fn repeated(&mut self, tenant: Option<usize>) {
        self.purses(tenant).for_each(|earned| *earned -= 1.0);
    }

    /// This proxy's requests a second, lately.
    pub fn rate(&self, now: Nanos) -> f64 {
        let up = seconds(self.started.unwrap_or(now), now);
        self.count.sum / (MEMORY_S * (1.0 - (-up.max(0.5) / MEMORY_S).exp()))
    }

    /// The same without the request that came last. Danger: where a proxy gets few, counting the one that
    /// asks makes its part of the whole look several times as large, at all proxies together.
    pub fn rate_before(&self, now: Nanos) -> f64 {
        self.rate(now) * ((self.count.sum - 1.0) / self.count.sum.max(1.0)).max(0.0)
    }

    /// What is served a second, lately, and one more.
    pub fn served_rate(&self) -> f64 {
        self.served.sum / SERVED_S + 1.0
    }

    pub fn usual(&self, class: Option<usize>) -> &Times {
        &self.seen[class.unwrap_or(usize::MAX).min(self.seen.len() - 1)]
    }

    pub fn served(&mut self, now: Nanos, class: Option<usize>, elapsed: Nanos) {
        self.served.add(now, SERVED_S);
        class.and_then(|c| self.seen.get_mut(c)).into_iter().for_each(|seen| seen.answered(elapsed));
    }

    /// A request that was sent has ended, served or not.
    pub fn ended(&mut self, now: Nanos, open: &Open, served: bool) {
        let (aim, after) = (open.aim_at.saturating_sub(open.arrived), now.saturating_sub(open.arrived));
        let most = if served { aim } else { aim.min(after) };
        let both = self.settings.classes.get(open.class).zip(self.seen.get_mut(open.class));
        both.into_iter().for_each(|(class, seen)| seen.waited(class, most, served.then_some(after)));
    }

    /// The time to a request's aim. A time left that is longer than what clients give a try is the rest of a
    /// wait, and dates the request's beginning; so is a shorter one that is marked as a repeat's.
    pub fn aim_left(&mut self, r: &Request, class: &Class) -> Nanos {
        let aim = class.aim.min(r.remaining);
        let Some(seen) = self.seen.get_mut(r.class as usize) else { return aim };
        seen.came(class, r.remaining);
        let dated = match seen.against_shared(class, r.remaining) {
            Ordering::Greater => !self.settings.marks_retry || r.retry,
            // Danger: clients who come with little time left are no late repeats, but where marks tell.
            Ordering::Less => self.settings.marks_retry && r.retry,
            Ordering::Equal => false,
        };
        let gone = class.deadline.saturating_sub(r.remaining);
        if dated {
            aim.min(class.aim.saturating_sub(gone))
        } else {
            aim
        }
    }
}
