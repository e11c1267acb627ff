//! Who waits for room at a node: bounded in length and in time, the most worth first, the least worth out first.
//!
//! The time is bounded by controlled delay in the form of Maurer's "Fail at Scale" (ACM Queue 2015), after CoDel
//! (Nichols and Jacobson 2012, RFC 8289): a queue that runs empty now and then is a burst and may take an interval; one
//! that has stood for an interval is overload, and then nobody waits for longer than the target, the newest go first and
//! the rest hear at once that they are turned away. Among those worth alike the tenant with the fewest waiting goes first
//! and the one with the most gives way, as sparse flows do in FQ-CoDel (RFC 8290).

use super::QueueRules;
use aniseyoke_decision::api::Nanos;
use rustc_hash::FxHashMap;
use std::cmp::Ordering;

/// There is no place for an attempt that is worth as little.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What decides an attempt's turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// What its answer is worth.
    pub worth: f64,
    /// When it came to the queue.
    pub since: Nanos,
    /// When it has to go at the latest, so that its answer can still come in time.
    pub deadline: Nanos,
    /// Within its tenant's share.
    pub within: bool,
    /// Whose it is; those without a tenant count as one.
    pub tenant: Option<usize>,
}

/// A node's queue. It holds some dozens, so that a walk over all is cheaper than an index kept in order.
pub struct Queue<T> {
    rules: QueueRules,
    /// In the order they came.
    waiting: Vec<(T, Standing)>,
    /// How many of each tenant wait; no entry for none.
    counts: FxHashMap<Option<usize>, usize>,
    /// When it was last empty.
    empty_at: Nanos,
}

impl<T: Copy + PartialEq> Queue<T> {
    /// An empty queue.
    pub fn new(rules: QueueRules) -> Self {
        Queue { rules, waiting: Vec::new(), counts: FxHashMap::default(), empty_at: 0 }
    }

    /// Other rules hold for who comes from now on.
    pub fn retune(&mut self, rules: QueueRules) {
        self.rules = rules;
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes one in; returns whom it pushed out.
    ///
    /// # Errors
    /// [`Full`] when all who wait are worth as much, or nobody may wait.
    pub fn push(&mut self, item: T, standing: Standing) -> Result<Option<T>, Full> {
        if self.waiting.is_empty() {
            self.empty_at = standing.since;
        }
        let mut out = None;
        if self.waiting.len() >= self.rules.most {
            // Who is let go first: the least worth, then of whom most wait, then who has the least time left.
            let least = |(_, a): &(usize, &(T, Standing)), (_, b): &(usize, &(T, Standing))| {
                let (a, b) = (&a.1, &b.1);
                let crowd = || self.of(b.tenant).cmp(&self.of(a.tenant));
                a.worth.total_cmp(&b.worth).then_with(crowd).then(a.deadline.cmp(&b.deadline))
            };
            let all = self.waiting.iter().enumerate();
            let (at, (_, least)) = all.min_by(least).ok_or(Full)?;
            let gives_way = match least.worth.total_cmp(&standing.worth) {
                Ordering::Less => true,
                Ordering::Equal => self.of(least.tenant) > self.of(standing.tenant) + 1,
                Ordering::Greater => false,
            };
            if !gives_way {
                return Err(Full);
            }
            out = Some(self.take(at).0);
        }
        *self.counts.entry(standing.tenant).or_default() += 1;
        self.waiting.push((item, standing));
        Ok(out)
    }

    /// How many of a tenant wait.
    fn of(&self, tenant: Option<usize>) -> usize {
        self.counts.get(&tenant).copied().unwrap_or(0)
    }

    /// Whether it has stood for an interval.
    fn stands(&self, now: Nanos) -> bool {
        !self.waiting.is_empty() && now.saturating_sub(self.empty_at) > self.rules.interval_ns()
    }

    /// How long who comes now may wait. A turn comes when an answer does, so that no target under the time of one,
    /// `least`, can be met (RFC 8289, section 4.2 says the same of a packet).
    pub fn patience(&self, now: Nanos, least: Nanos) -> Nanos {
        if self.stands(now) {
            self.rules.target_ns().max(least).min(self.rules.interval_ns())
        } else {
            self.rules.interval_ns()
        }
    }

    /// Takes out who goes next: the most worth; among equals the first, or the newest where the queue stands.
    /// `all` is false where only those within their share may go.
    pub fn pop(&mut self, now: Nanos, all: bool) -> Option<(T, Standing)> {
        let stands = self.stands(now);
        let mut best: Option<usize> = None;
        for (n, (_, standing)) in self.waiting.iter().enumerate().filter(|(_, (_, s))| all || s.within) {
            let before = |b: usize| {
                let held = &self.waiting[b].1;
                let sparse = || self.of(held.tenant).cmp(&self.of(standing.tenant));
                standing.worth.total_cmp(&held.worth).then_with(sparse)
            };
            if best.map(before).is_none_or(|o| o == Ordering::Greater || o == Ordering::Equal && stands) {
                best = Some(n);
            }
        }
        let taken = self.take(best?);
        self.emptied(now);
        Some(taken)
    }

    /// Takes one out who waits no more; whether it was there.
    pub fn remove(&mut self, now: Nanos, item: T) -> bool {
        let Some(at) = self.waiting.iter().position(|(i, _)| *i == item) else { return false };
        self.take(at);
        self.emptied(now);
        true
    }

    fn take(&mut self, at: usize) -> (T, Standing) {
        let taken = self.waiting.remove(at);
        if let Some(count) = self.counts.get_mut(&taken.1.tenant) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&taken.1.tenant);
            }
        }
        taken
    }

    fn emptied(&mut self, now: Nanos) {
        if self.waiting.is_empty() {
            self.empty_at = now;
            self.waiting = Vec::new();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    const MS: Nanos = 1_000_000;

    fn queue(most: usize) -> Queue<u32> {
        let rules =
            QueueRules { most, interval: Duration::from_millis(100), target: Duration::from_millis(5) };
        Queue::new(rules)
    }

    fn standing(worth: f64, since: Nanos) -> Standing {
        Standing { worth, since, deadline: since + 1000 * MS, within: true, tenant: None }
    }

    #[test]
    fn the_most_worth_goes_first_and_the_first_among_equals() {
        let mut q = queue(8);
        for (n, worth) in [(0, 1.0), (1, 5.0), (2, 1.0), (3, 5.0)] {
            assert_eq!(q.push(n, standing(worth, u64::from(n))), Ok(None));
        }
        let order: Vec<u32> = std::iter::from_fn(|| q.pop(10, true)).map(|(n, _)| n).collect();
        assert_eq!(order, [1, 3, 0, 2]);
    }

    #[test]
    fn a_full_queue_lets_go_the_least_worth_and_takes_nobody_worth_as_little() {
        let mut q = queue(2);
        assert_eq!(q.push(0, standing(2.0, 0)), Ok(None));
        assert_eq!(q.push(1, standing(1.0, 1)), Ok(None));
        assert_eq!(q.push(2, standing(1.0, 2)), Err(Full));
        assert_eq!(q.push(3, standing(1.5, 3)), Ok(Some(1)));
        assert_eq!(q.len(), 2);
        assert_eq!(queue(0).push(0, standing(9.0, 0)), Err(Full), "where nobody may wait");
    }

    #[test]
    fn of_two_alike_in_worth_who_has_less_time_left_goes_out() {
        let mut q = queue(2);
        let short = Standing { deadline: 10 * MS, ..standing(1.0, 0) };
        q.push(0, standing(1.0, 0)).unwrap();
        q.push(1, short).unwrap();
        assert_eq!(q.push(2, standing(2.0, 0)), Ok(Some(1)));
    }

    /// Danger: where a queue never runs empty, first come first served serves everybody too late.
    #[test]
    fn a_queue_that_stands_for_an_interval_has_short_patience_and_turns_to_the_newest() {
        let mut q = queue(8);
        q.push(0, standing(1.0, 0)).unwrap();
        assert_eq!(q.patience(50 * MS, 0), 100 * MS, "a burst");
        q.push(1, standing(1.0, 60 * MS)).unwrap();
        q.push(2, standing(1.0, 150 * MS)).unwrap();
        assert_eq!(q.patience(150 * MS, 0), 5 * MS, "it stands");
        assert_eq!(q.patience(150 * MS, 20 * MS), 20 * MS, "no turn comes sooner");
        assert_eq!(q.pop(150 * MS, true).map(|(n, _)| n), Some(2));
        while q.pop(160 * MS, true).is_some() {}
        q.push(3, standing(1.0, 170 * MS)).unwrap();
        assert_eq!(q.patience(170 * MS, 0), 100 * MS, "it was empty: a burst again");
    }

    #[test]
    fn those_over_their_share_wait_while_only_the_rest_may_go() {
        let mut q = queue(8);
        q.push(0, Standing { within: false, ..standing(9.0, 0) }).unwrap();
        assert_eq!(q.pop(1, false), None);
        q.push(1, standing(1.0, 0)).unwrap();
        assert_eq!(q.pop(1, false).map(|(n, _)| n), Some(1));
        assert_eq!(q.pop(1, true).map(|(n, _)| n), Some(0));
    }

    /// Danger: a tenant's burst within its share fills the queue, and the others' few wait behind it.
    #[test]
    fn among_alike_the_tenant_with_the_fewest_goes_first_and_the_one_with_the_most_gives_way() {
        let mut q = queue(4);
        let of = |tenant, since| Standing { tenant: Some(tenant), ..standing(1.0, since) };
        (0..4).for_each(|n| assert_eq!(q.push(n, of(0, u64::from(n))), Ok(None)));
        assert_eq!(q.push(4, of(1, 4)), Ok(Some(0)));
        assert_eq!(q.push(5, of(0, 5)), Err(Full), "one more of the crowd");
        assert_eq!(q.pop(6, true).map(|(n, _)| n), Some(4));
        assert_eq!(q.pop(6, true).map(|(n, _)| n), Some(1));
    }

    #[test]
    fn who_leaves_is_gone() {
        let mut q = queue(8);
        q.push(0, standing(1.0, 0)).unwrap();
        assert!(q.remove(1, 0) && !q.remove(1, 0) && q.is_empty());
    }
}
