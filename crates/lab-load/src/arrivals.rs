//! Open-loop arrivals, drawn in advance from the day's seed: they depend on no response.

use aniseyoke_lab_day::clock::{mix, nanos, unit_fraction, Nanos};
use aniseyoke_lab_day::{Day, MisbehavingClients};
use aniseyoke_lab_world::KeySpace;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// How a client reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Well behaved.
    Normal,
    /// The client reads slowly.
    SlowReader,
    /// The client writes its request in parts, with pauses.
    SlowWriter,
    /// The client disconnects in the middle of its request.
    AbortsSending,
    /// The client disconnects before its response.
    AbortsWaiting,
}

/// A client's request, without its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its index, from 0.
    pub number: u64,
    /// The time at which it is due.
    pub due: Nanos,
    /// The index of its class in the day.
    pub class: usize,
    /// The index of its tenant in the day.
    pub tenant: usize,
    /// The requested key.
    pub key: u64,
    /// The length of its body, in bytes.
    pub body: usize,
    /// How its client behaves.
    pub behavior: ClientBehavior,
    /// Whether its client honors `Retry-After`.
    pub honors_retry_after: bool,
    /// Whether its client uses short attempt timeouts and retries immediately.
    pub impatient: bool,
}

/// All arrivals of a day, in order of due time.
pub struct Arrivals {
    day: Day,
    key_space: KeySpace,
    rng: Xoshiro256PlusPlus,
    number: u64,
    at: f64,
    /// Length of the warm-up: the day itself begins this long after the start of the arrivals.
    warm_up: Nanos,
}

impl Arrivals {
    /// The arrivals of a day.
    pub fn new(day: &Day) -> Self {
        Arrivals::with_warm_up(day, Duration::ZERO)
    }

    /// The arrivals of a day that is preceded by a warm-up with the same load; due times count from the start of the
    /// warm-up.
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

    /// The rate at a time, in arrivals per nanosecond.
    fn rate(&self, at: f64) -> f64 {
        let load = &self.day.load;
        let phase = at / nanos(load.swing_period) as f64 * std::f64::consts::TAU;
        load.rate * (1.0 + load.swing * phase.sin()) / 1e9
    }
}

/// Returns the index at which the cumulative weight exceeds `sample`, or the last one.
fn draw_weighted(mut sample: f64, weights: impl Iterator<Item = f64>) -> usize {
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        last = n;
        sample -= weight;
        if sample < 0.0 {
            break;
        }
    }
    last
}

fn behavior(sample: f64, misbehaving: &MisbehavingClients) -> ClientBehavior {
    let behaviors = [
        (misbehaving.slow_readers, ClientBehavior::SlowReader),
        (misbehaving.slow_writers, ClientBehavior::SlowWriter),
        (misbehaving.abort_sending, ClientBehavior::AbortsSending),
        (misbehaving.abort_waiting, ClientBehavior::AbortsWaiting),
    ];
    let mut remaining = sample;
    for (fraction, behavior) in behaviors {
        remaining -= fraction;
        if remaining < 0.0 {
            return behavior;
        }
    }
    ClientBehavior::Normal
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Thinning: candidates are drawn at the maximum rate, and each is accepted with a probability of the current
        // rate over the maximum.
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

/// The id of a client's attempt, which is unique within the day.
pub fn request_id(day: &Day, arrival: &Arrival, attempt_number: u32) -> u64 {
    mix(day.seed ^ 0x1d5, arrival.number, u64::from(attempt_number))
}

/// A random number in [0, 1) that depends only on the seed, the arrival and the attempt.
pub fn draw(day: &Day, arrival: &Arrival, attempt_number: u32) -> f64 {
    unit_fraction(mix(day.seed ^ 0xd4a3, arrival.number, u64::from(attempt_number)))
}

/// A client that disconnects before its response does so this long after it sent its request.
pub const ABORT_DELAY: Duration = Duration::from_millis(15);
/// An impatient client's delay before a retry.
const IMPATIENT_RETRY_DELAY: Duration = Duration::from_millis(2);

/// The delay between a client's failed attempt and the next one; `retry_after` is the `Retry-After` value that it
/// honors, if any.
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

/// The maximum number of a client's retries, and the timeout of an attempt with this much time left to the deadline.
pub fn attempt_limits(day: &Day, arrival: &Arrival, time_left: Nanos) -> (u32, Nanos) {
    let retries = &day.load.retries;
    match day.load.impatient.as_ref().filter(|_| arrival.impatient) {
        Some(impatient) => (impatient.max_retries, time_left.min(nanos(impatient.attempt_timeout))),
        None => {
            let deadline = nanos(day.load.classes[arrival.class].deadline) as f64;
            (retries.max_retries, time_left.min((deadline * retries.attempt_timeout_fraction) as Nanos))
        }
    }
}

#[cfg(test)]
mod tests;
