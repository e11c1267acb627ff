//! What passes on the whole: how much comes and is served, how long each class takes, what may be repeated.

use super::*;

/// Memory of traffic counts, in seconds.
pub const MEMORY_S: f64 = 16.0;
/// Memory of what was served, in seconds.
const SERVED_S: f64 = 2.0;
/// Retries and hedges earned by each request, and the most that is kept. Danger: with one purse for all, a
/// tenant whose every request fails spends what the others' lost requests would need.
const BUDGET: f64 = 0.3;
const BUDGET_MOST: f64 = 10.0;

/// What is known of a class's answers.
#[derive(Clone, Default)]
pub struct Seen {
    pub mean: f64,
    pub spread: f64,
    pub count: f64,
    /// The time left that most tries have, and how surely.
    common_left: Nanos,
    votes: u32,
}

impl Seen {
    /// The longest that passes for usual.
    pub fn most(&self) -> f64 {
        self.mean + 2.0 * self.spread
    }
}

/// Counts over all requests.
#[derive(Default)]
pub struct Traffic {
    pub settings: Arc<Settings>,
    pub seen: Vec<Seen>,
    pub count: Fading,
    pub started: Option<Nanos>,
    /// What all have earned, and behind that each tenant.
    budgets: Vec<f64>,
    served: Fading,
}

impl Traffic {
    pub fn new(settings: Arc<Settings>) -> Self {
        let seen = vec![Seen::default(); settings.classes.len()];
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

    /// What is served a second, lately, and one more.
    pub fn served_rate(&self) -> f64 {
        self.served.sum / SERVED_S + 1.0
    }

    pub fn usual(&self, class: usize) -> Seen {
        self.seen.get(class).cloned().unwrap_or_default()
    }

    pub fn served(&mut self, now: Nanos, class: Option<usize>, elapsed: Nanos) {
        self.served.add(now, SERVED_S);
        let Some(seen) = class.and_then(|c| self.seen.get_mut(c)) else { return };
        seen.count += 1.0;
        let gain = (1.0 / seen.count).max(0.03);
        let off = elapsed as f64 - seen.mean;
        seen.mean += gain * off;
        seen.spread += gain * (off.abs() - seen.spread);
    }

    /// The time to a request's aim. Most tries are first ones and given alike long; any other time left dates
    /// the request's beginning.
    pub fn aim_left(&mut self, r: &Request, class: &Class) -> Nanos {
        let (index, remaining) = (r.class as usize, r.remaining);
        let aim = class.aim.min(remaining);
        // Danger: clients who come with little time left are no late repeats; where marks tell, these count.
        let first = self.settings.marks_retry && !r.retry;
        let Some(seen) = self.seen.get_mut(index) else { return aim };
        if seen.common_left.abs_diff(remaining) < class.deadline / 40 {
            seen.votes = (seen.votes + 1).min(50);
        } else if seen.votes == 0 {
            seen.common_left = remaining;
        } else {
            seen.votes -= 1;
        }
        if !first && seen.common_left.abs_diff(remaining) >= class.deadline / 40 {
            return aim.min(class.aim.saturating_sub(class.deadline.saturating_sub(remaining)));
        }
        aim
    }
}
