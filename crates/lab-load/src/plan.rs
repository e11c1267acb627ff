//! Arrivals, drawn ahead by the day's seed: they do not wait for answers, and no answer changes them.

use aniseyoke_lab_day::clock::{mix, nanos, part, Nanos};
use aniseyoke_lab_day::{Day, Rude};
use aniseyoke_lab_world::Catalogue;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// As it should.
    Plain,
    /// It reads slowly.
    ReadsSlowly,
    /// It writes its request in pieces.
    WritesSlowly,
    /// It leaves in the midst of its request.
    LeavesAsking,
    /// It leaves before its answer.
    LeavesWaiting,
}

/// A client's first try.
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
    pub manner: Manner,
    /// Its client heeds `Retry-After`.
    pub heeds: bool,
    /// Its client gives each try little time, and comes again at once.
    pub hasty: bool,
}

/// All arrivals of a day, in order.
pub struct Plan {
    day: Day,
    catalogue: Catalogue,
    rng: Xoshiro256PlusPlus,
    number: u64,
    at: f64,
    /// The day itself begins so long after the first arrivals.
    warm: Nanos,
}

impl Plan {
    /// The plan of a day.
    pub fn new(day: &Day) -> Self {
        Plan::warmed(day, Duration::ZERO)
    }

    /// The plan of a day before which its load runs for a while; times are counted from the start of that.
    pub fn warmed(day: &Day, warm: Duration) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(mix(day.seed, 0x10ad, 0));
        Plan { day: day.clone(), catalogue: Catalogue::new(day), rng, number: 0, at: 0.0, warm: nanos(warm) }
    }

    /// The rate at a time, in arrivals a nanosecond.
    fn rate(&self, at: f64) -> f64 {
        let load = &self.day.load;
        let turn = at / nanos(load.period) as f64 * std::f64::consts::TAU;
        load.rate * (1.0 + load.swing * turn.sin()) / 1e9
    }
}

/// Draws an index by its weight.
fn weighted(mut drawn: f64, weights: impl Iterator<Item = f64>) -> usize {
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

fn manner(drawn: f64, rude: &Rude) -> Manner {
    let parts = [
        (rude.slow_readers, Manner::ReadsSlowly),
        (rude.slow_writers, Manner::WritesSlowly),
        (rude.leave_asking, Manner::LeavesAsking),
        (rude.leave_waiting, Manner::LeavesWaiting),
    ];
    let mut left = drawn;
    for (part, manner) in parts {
        left -= part;
        if left < 0.0 {
            return manner;
        }
    }
    Manner::Plain
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Thinning: candidates come at the highest rate, and each is kept by the rate of its time.
        let most = self.day.load.rate * (1.0 + self.day.load.swing) / 1e9;
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at += gap / most;
            if self.at >= (self.warm + nanos(self.day.length)) as f64 {
                return None;
            }
            if self.rng.random::<f64>() * most <= self.rate(self.at) {
                break;
            }
        }
        let load = &self.day.load;
        let class = weighted(self.rng.random(), load.classes.iter().map(|c| c.share));
        let usage: f64 = load.tenants.iter().map(|t| t.share * t.usage).sum();
        let tenant =
            weighted(self.rng.random::<f64>() * usage, load.tenants.iter().map(|t| t.share * t.usage));
        let body = load.classes[class].body_bytes as f64 * self.rng.random_range(0.5..1.5);
        let arrival = Arrival {
            number: self.number,
            due: self.at as Nanos,
            class,
            tenant,
            key: self.catalogue.draw(&mut self.rng),
            body: body as usize,
            manner: manner(self.rng.random(), &load.rude),
            heeds: self.rng.random_bool(load.retries.heed),
            hasty: load.hasty.as_ref().is_some_and(|hasty| {
                let from = self.warm + nanos(hasty.at);
                (from..from + nanos(hasty.length)).contains(&(self.at as Nanos))
                    && part(mix(self.day.seed, 0x4a57, self.number)) < hasty.part
            }),
        };
        self.number += 1;
        Some(arrival)
    }
}

/// The id of a try, unlike that of any other try of the day.
pub fn request_id(day: &Day, arrival: &Arrival, try_number: u32) -> u64 {
    mix(day.seed ^ 0x1d5, arrival.number, u64::from(try_number))
}

/// A draw of a try, in [0, 1), that depends on nothing else.
pub fn draw(day: &Day, arrival: &Arrival, try_number: u32) -> f64 {
    part(mix(day.seed ^ 0xd4a3, arrival.number, u64::from(try_number)))
}

/// Who leaves while waiting does so after this time.
pub const LEAVES_AFTER: Duration = Duration::from_millis(15);
/// A hasty client's wait before it comes again.
const AT_ONCE: Duration = Duration::from_millis(2);

/// How long a client waits after a bad answer before its next try; `told`: the advice that it heeds.
pub fn again(day: &Day, arrival: &Arrival, try_number: u32, told: Option<Duration>) -> Duration {
    if arrival.hasty {
        return AT_ONCE;
    }
    let backoff = day.load.retries.wait.mul_f64(f64::from(1u32 << try_number.min(10)));
    let backoff = backoff.mul_f64(0.5 + 0.5 * draw(day, arrival, try_number));
    told.map_or(backoff, |told| told.max(backoff))
}

/// How often a client may come again, and how long it waits for one try when so much of its time is left.
pub fn patience(day: &Day, arrival: &Arrival, left: Nanos) -> (u32, Nanos) {
    let retries = &day.load.retries;
    match day.load.hasty.as_ref().filter(|_| arrival.hasty) {
        Some(hasty) => (hasty.again, left.min(nanos(hasty.patience))),
        None => {
            let give_up = nanos(day.load.classes[arrival.class].give_up) as f64;
            (retries.most, left.min((give_up * retries.try_part) as Nanos))
        }
    }
}

#[cfg(test)]
mod tests;
