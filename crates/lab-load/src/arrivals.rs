//! Arrivals, drawn ahead by the day's seed: they do not wait for responses, and no response changes them.

use aniseyoke_lab_day::clock::{mix, nanos, unit_fraction, Nanos};
use aniseyoke_lab_day::{Day, MisbehavingClients};
use aniseyoke_lab_world::KeySpace;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Well behaved.
    Normal,
    /// It reads slowly.
    SlowReader,
    /// It writes its request in pieces.
    SlowWriter,
    /// It disconnects in the middle of its request.
    AbortsSending,
    /// It disconnects before its response.
    AbortsWaiting,
}

/// A client's request, as it arrives for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its number, from 0.
    pub number: u64,
    /// When it is due.
    pub due: Nanos,
    /// Its class, as the day numbers them.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// The key that it asks for.
    pub key: u64,
    /// The length of its body, in bytes.
    pub body: usize,
    /// How its client behaves.
    pub behavior: ClientBehavior,
    /// Whether its client honors `Retry-After`.
    pub honors_retry_after: bool,
    /// Whether its client gives each attempt little time, and retries at once.
    pub impatient: bool,
}

/// All arrivals of a day, in order of time.
pub struct Arrivals {
    day: Day,
    key_space: KeySpace,
    rng: Xoshiro256PlusPlus,
    number: u64,
    at: f64,
    /// The day itself begins this long after the first arrivals.
    warm_up: Nanos,
}

impl Arrivals {
    /// The arrivals of a day.
    pub fn new(day: &Day) -> Self {
        Arrivals::with_warm_up(day, Duration::ZERO)
    }

    /// The arrivals of a day before which its load runs for a while; times are counted from the start of that.
    pub fn with_warm_up(day: &Day, warm_up: Duration) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(mix(day.seed, 0x10ad, 0));
        Arrivals {
            day: day.clone(),
            key_space: KeySpace::new(day),
            rng,
            number: 0,
            at: 0.0,
            warm_up: nanos(warm_up),
        }
    }

    /// The rate at a time, in arrivals a nanosecond.
    fn rate(&self, at: f64) -> f64 {
        let load = &self.day.load;
        let turn = at / nanos(load.swing_period) as f64 * std::f64::consts::TAU;
        load.rate * (1.0 + load.swing * turn.sin()) / 1e9
    }
}

/// Draws an index by its weight.
fn draw_weighted(mut drawn: f64, weights: impl Iterator<Item = f64>) -> usize {
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        last = n;
        drawn -= weight;
        if drawn < 0.0 {
            break;
        }
    }
    last
}

fn behavior(drawn: f64, misbehaving: &MisbehavingClients) -> ClientBehavior {
    let behaviors = [
        (misbehaving.slow_readers, ClientBehavior::SlowReader),
        (misbehaving.slow_writers, ClientBehavior::SlowWriter),
        (misbehaving.abort_sending, ClientBehavior::AbortsSending),
        (misbehaving.abort_waiting, ClientBehavior::AbortsWaiting),
    ];
    let mut left = drawn;
    for (fraction, behavior) in behaviors {
        left -= fraction;
        if left < 0.0 {
            return behavior;
        }
    }
    ClientBehavior::Normal
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Thinning: candidates come at the highest rate, and each is kept by the rate of its time.
        let max_rate = self.day.load.rate * (1.0 + self.day.load.swing) / 1e9;
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at += gap / max_rate;
            if self.at >= (self.warm_up + nanos(self.day.length)) as f64 {
                return None;
            }
            if self.rng.random::<f64>() * max_rate <= self.rate(self.at) {
                break;
            }
        }
        let load = &self.day.load;
        let class = draw_weighted(self.rng.random(), load.classes.iter().map(|c| c.share));
        let usage: f64 = load.tenants.iter().map(|t| t.share * t.usage).sum();
        let tenant =
            draw_weighted(self.rng.random::<f64>() * usage, load.tenants.iter().map(|t| t.share * t.usage));
        let body = load.classes[class].body_bytes as f64 * self.rng.random_range(0.5..1.5);
        let arrival = Arrival {
            number: self.number,
            due: self.at as Nanos,
            class,
            tenant,
            key: self.key_space.draw(&mut self.rng),
            body: body as usize,
            behavior: behavior(self.rng.random(), &load.misbehaving),
            honors_retry_after: self.rng.random_bool(load.retries.honor_retry_after),
            impatient: load.impatient.as_ref().is_some_and(|impatient| {
                let from = self.warm_up + nanos(impatient.at);
                (from..from + nanos(impatient.length)).contains(&(self.at as Nanos))
                    && unit_fraction(mix(self.day.seed, 0x4a57, self.number)) < impatient.fraction
            }),
        };
        self.number += 1;
        Some(arrival)
    }
}

/// The id of a client's attempt, unique within the day.
pub fn request_id(day: &Day, arrival: &Arrival, attempt_number: u32) -> u64 {
    mix(day.seed ^ 0x1d5, arrival.number, u64::from(attempt_number))
}

/// A random number in [0, 1) for a client's attempt, which depends on nothing else.
pub fn draw(day: &Day, arrival: &Arrival, attempt_number: u32) -> f64 {
    unit_fraction(mix(day.seed ^ 0xd4a3, arrival.number, u64::from(attempt_number)))
}

/// A client that disconnects before its response does so after this time.
pub const ABORT_DELAY: Duration = Duration::from_millis(15);
/// An impatient client's wait before it retries.
const IMPATIENT_RETRY_DELAY: Duration = Duration::from_millis(2);

/// How long a client waits after a failed attempt before the next; `retry_after` is the advice that it honors, if any.
pub fn retry_delay(
    day: &Day,
    arrival: &Arrival,
    attempt_number: u32,
    retry_after: Option<Duration>,
) -> Duration {
    if arrival.impatient {
        return IMPATIENT_RETRY_DELAY;
    }
    let backoff = day.load.retries.initial_backoff.mul_f64(f64::from(1u32 << attempt_number.min(10)));
    let backoff = backoff.mul_f64(0.5 + 0.5 * draw(day, arrival, attempt_number));
    retry_after.map_or(backoff, |retry_after| retry_after.max(backoff))
}

/// How often a client may retry, and how long it waits for one attempt when this much of its time is left.
pub fn attempt_limits(day: &Day, arrival: &Arrival, left: Nanos) -> (u32, Nanos) {
    let retries = &day.load.retries;
    match day.load.impatient.as_ref().filter(|_| arrival.impatient) {
        Some(impatient) => (impatient.max_retries, left.min(nanos(impatient.attempt_timeout))),
        None => {
            let deadline = nanos(day.load.classes[arrival.class].deadline) as f64;
            (retries.max_retries, left.min((deadline * retries.attempt_timeout_fraction) as Nanos))
        }
    }
}

#[cfg(test)]
mod tests;
