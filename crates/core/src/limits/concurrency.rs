//! What may be out at one node at once: a limit that follows what the node shows.
//!
//! A gradient against the node's own baseline decides between growth and shrinkage while it answers, in the manner of
//! TCP Vegas (Brakmo and Peterson 1995); what it turns away or leaves unanswered cuts the limit once for a round trip,
//! as congestion does (Jacobson 1988), and half of the limit before is regained by doubling.

use super::Bounds;
use aniseyoke_decision::api::{Nanos, Status};

/// The weight of one answer in the short mean of times, and in the long one.
const SHORT_GAIN: f64 = 0.1;
const LONG_GAIN: f64 = 0.01;
/// The weight of one answer in the baseline, while little is out.
const BASE_GAIN: f64 = 0.05;
/// Room is in use from this part on; what is not in use proves nothing.
const USED: f64 = 0.5;
/// The part left after a round trip with time-outs or places refused.
const CUT: f64 = 0.7;
/// The part of its way to the gradient's aim that the limit goes with one answer.
const SHRINK_GAIN: f64 = 0.1;
/// The part of attempts left unanswered or turned away past which they speak of a jam, and its gain. Danger: on a poor
/// network some answers get lost; taken for a jam, two in a hundred hold the room at its floor.
const LOST: f64 = 0.15;
const LOST_GAIN: f64 = 0.1;
/// Answers before the baseline counts for anything.
const ANSWERS: f64 = 10.0;

/// The limit of one node.
pub struct Concurrency {
    bounds: Bounds,
    limit: f64,
    /// Below this it doubles with each round trip.
    threshold: f64,
    /// Times as multiples of what is usual for their class over all nodes: lately, for longer, and when little is out.
    short: f64,
    long: f64,
    base: f64,
    answers: f64,
    /// The part left unanswered or turned away, lately.
    lost: f64,
    out: u32,
    cut_at: Nanos,
}

impl Concurrency {
    /// A limit with nothing seen yet.
    pub fn new(bounds: Bounds) -> Self {
        let (limit, threshold) = (bounds.start, bounds.ceiling);
        let (short, long, base) = (1.0, 1.0, 1.0);
        Concurrency {
            bounds,
            limit,
            threshold,
            short,
            long,
            base,
            answers: 0.0,
            lost: 0.0,
            out: 0,
            cut_at: 0,
        }
    }

    /// Other bounds hold from now on; what was learned stays within them.
    pub fn retune(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.set(self.limit);
    }

    /// Attempts that may be out at once.
    pub fn room(&self) -> f64 {
        self.limit
    }

    /// Attempts that are out.
    pub fn out(&self) -> u32 {
        self.out
    }

    /// Whether one more may go, for who may use this part of the room.
    pub fn has_room(&self, part: f64) -> bool {
        f64::from(self.out) + 1.0 <= (self.limit * part).max(1.0)
    }

    /// Whether so little is out that answers take as long as the work does.
    pub fn at_ease(&self) -> bool {
        !self.used() || self.limit <= self.bounds.floor.max(0.5 * self.bounds.start)
    }

    fn used(&self) -> bool {
        f64::from(self.out) >= USED * self.limit
    }

    /// One more is out.
    pub fn started(&mut self) {
        self.out += 1;
    }

    /// One less is out. `ratio`: the time of a real answer as a multiple of what is usual for its class; none for
    /// errors, misses and what has not come. Danger: a node that fails at once would else look like the fastest.
    pub fn ended(&mut self, now: Nanos, status: Status, elapsed: Nanos, ratio: Option<f64>) {
        let (used, at_ease) = (self.used(), self.at_ease());
        self.out = self.out.saturating_sub(1);
        let lost = matches!(status, Status::Timeout | Status::Rejected);
        if lost || ratio.is_some() {
            self.lost += LOST_GAIN * (f64::from(u8::from(lost)) - self.lost);
        }
        if let Some(ratio) = ratio {
            self.answered(ratio, used, at_ease);
        } else if lost && self.lost > LOST && now.saturating_sub(elapsed) >= self.cut_at {
            // All that was out when the jam was met counts once.
            self.threshold = (self.limit * 0.5).max(self.bounds.floor);
            self.set(self.limit * CUT);
            self.cut_at = now;
        }
    }

    fn answered(&mut self, ratio: f64, used: bool, at_ease: bool) {
        self.answers += 1.0;
        // The first answers make the means; later ones move them.
        let gain = |usual: f64| usual.max(1.0 / self.answers);
        self.short += gain(SHORT_GAIN) * (ratio - self.short);
        self.long += gain(LONG_GAIN) * (ratio - self.long);
        // Danger: a baseline that follows what is seen under load calls any load usual, and the room grows for ever.
        if at_ease {
            self.base += gain(BASE_GAIN) * (ratio - self.base);
        } else {
            self.base = self.base.min(self.long);
        }
        if !used {
            return;
        }
        let gradient = self.bounds.tolerance * self.base / self.short.max(f64::MIN_POSITIVE);
        if gradient < 1.0 && self.answers > ANSWERS {
            let aim = self.limit * gradient.max(0.5);
            self.set(self.limit + SHRINK_GAIN * (aim - self.limit) / self.limit.sqrt());
        } else if self.limit < self.threshold {
            self.set(self.limit + 1.0);
        } else {
            self.set(self.limit + 1.0 / self.limit.sqrt());
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(self.bounds.floor, self.bounds.ceiling);
    }

    /// A new process answers there: the way up begins anew, and so does the baseline. What is out stays out.
    pub fn restarted(&mut self) {
        *self = Concurrency { out: self.out, ..Concurrency::new(self.bounds) };
    }
}
