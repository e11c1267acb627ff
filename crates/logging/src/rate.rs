//! How many lines of one kind are written: a burst at once, then so many a second. No clock: the time is handed in.

use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Nanoseconds from any fixed point.
type Nanos = u64;

/// The rate of one kind of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// So many at once.
    pub burst: u32,
    /// Beyond them, so many a second.
    pub per_second: u32,
}

impl Default for Rate {
    fn default() -> Self {
        Rate { burst: 100, per_second: 1 }
    }
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It is written; so many like it were left out since the last that was.
    Written {
        /// The count.
        left_out: u64,
    },
    /// It is left out.
    LeftOut,
}

struct Kind {
    tokens: f64,
    at: Nanos,
    left_out: u64,
}

/// The rates of all kinds. There are as many kinds as call sites, so that the table is bounded by the program.
pub struct Rates<K> {
    rate: Rate,
    kinds: FxHashMap<K, Kind>,
}

impl<K: Hash + Eq + Clone> Rates<K> {
    /// No line was written yet.
    pub fn new(rate: Rate) -> Self {
        Rates { rate, kinds: FxHashMap::default() }
    }

    /// A line of a kind is to be written.
    pub fn admit(&mut self, now: Nanos, kind: K) -> Admitted {
        let burst = f64::from(self.rate.burst.max(1));
        let kind = self.kinds.entry(kind).or_insert(Kind { tokens: burst, at: now, left_out: 0 });
        let passed = now.saturating_sub(kind.at) as f64 / 1e9;
        kind.tokens = (kind.tokens + passed * f64::from(self.rate.per_second)).min(burst);
        kind.at = now;
        if kind.tokens < 1.0 {
            kind.left_out += 1;
            return Admitted::LeftOut;
        }
        kind.tokens -= 1.0;
        Admitted::Written { left_out: std::mem::take(&mut kind.left_out) }
    }

    /// The kinds of which lines were left out that nothing has told yet; they count as told from now on.
    pub fn left_out(&mut self) -> Vec<(K, u64)> {
        let told = self.kinds.iter_mut().filter(|(_, kind)| kind.left_out > 0);
        told.map(|(k, kind)| (k.clone(), std::mem::take(&mut kind.left_out))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Nanos = 1_000_000_000;

    #[test]
    fn a_burst_is_written_then_some_a_second_and_what_was_left_out_is_counted() {
        let mut rates = Rates::new(Rate { burst: 3, per_second: 2 });
        let mut written = |now| matches!(rates.admit(now, 'a'), Admitted::Written { .. });
        assert_eq!((0..10).filter(|_| written(0)).count(), 3);
        assert_eq!(rates.admit(SECOND, 'a'), Admitted::Written { left_out: 7 });
        assert_eq!(rates.admit(SECOND, 'a'), Admitted::Written { left_out: 0 });
        assert_eq!(rates.admit(SECOND, 'a'), Admitted::LeftOut);
    }

    #[test]
    fn one_kind_leaves_the_others_their_lines() {
        let mut rates = Rates::new(Rate { burst: 1, per_second: 1 });
        (0..100).for_each(|_| _ = rates.admit(0, 'a'));
        assert_eq!(rates.admit(0, 'b'), Admitted::Written { left_out: 0 });
        assert_eq!(rates.left_out(), [('a', 99)]);
        assert_eq!(rates.left_out(), [], "told once");
    }
}
