//! Values derived from the day's seed alone: keys by popularity, the work of a request, the length of a value.

use aniseyoke_lab_day::clock::{mix, unit_fraction, Nanos};
use aniseyoke_lab_day::Day;
use rand::Rng;
use rand_distr::{Distribution, Zipf};

/// The keys of a day and their popularity.
#[derive(Clone, Debug)]
pub struct KeySpace {
    seed: u64,
    mean_length: u64,
    zipf: Zipf<f64>,
}

/// Maximum length of a value as a multiple of the mean.
const MAX_LENGTH_FACTOR: f64 = 12.0;
/// Maximum work of a request as a multiple of the mean.
const MAX_WORK_FACTOR: f64 = 25.0;
/// Sigma of the log-normal distribution of value lengths.
const LENGTH_SIGMA: f64 = 0.6;

impl KeySpace {
    /// Creates the key space of a day.
    ///
    /// # Panics
    /// If the day's number of keys or Zipf exponent is invalid; reading a day checks both.
    pub fn new(day: &Day) -> Self {
        let zipf = Zipf::new(day.load.keys as f64, day.load.zipf)
            .expect("the Zipf parameters are validated when the day is read");
        KeySpace { seed: day.seed, mean_length: day.load.response_bytes, zipf }
    }

    /// The key with this popularity rank; rank 0 is the most popular.
    pub fn key(&self, rank: u64) -> u64 {
        mix(self.seed, 0x4e1, rank)
    }

    /// Draws a key by popularity.
    pub fn draw(&self, rng: &mut impl Rng) -> u64 {
        self.key(self.zipf.sample(rng) as u64 - 1)
    }

    /// The length of a key's value in bytes.
    pub fn value_length(&self, key: u64) -> usize {
        let factor = log_normal(mix(self.seed, 0x1e4, key), LENGTH_SIGMA).min(MAX_LENGTH_FACTOR);
        (self.mean_length as f64 * factor).max(64.0) as usize
    }
}

/// The work of a request, in nanoseconds on a core of speed 1.
pub fn work(day: &Day, request: u64, class: usize) -> Nanos {
    let class = &day.load.classes[class];
    let sigma = (1.0 + class.work_spread * class.work_spread).ln().sqrt();
    let factor = log_normal(mix(day.seed, 0x304, request), sigma).min(MAX_WORK_FACTOR);
    (class.work.as_nanos() as f64 * factor).max(1000.0) as Nanos
}

/// A log-normal value with mean 1, derived from one hashed number by the Box-Muller transform.
fn log_normal(mixed: u64, sigma: f64) -> f64 {
    let (u, v) = (unit_fraction(mixed).max(1e-12), unit_fraction(mix(mixed, 1, 2)));
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}

#[cfg(test)]
mod tests;
