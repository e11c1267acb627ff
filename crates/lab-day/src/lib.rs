//! A site and its day, read from a TOML file: the machines, the clients and the injected faults.
//!
//! Deserialization rejects unknown keys and wrong units; [`Day::parse`] rejects invalid values and reports all of them
//! at once, each with its key. The key names of the file are the users'; where they differ from the field names, the
//! field has a `serde(rename)`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod builtin;
mod check;
pub mod clock;
mod error;
mod fault;
mod load;
pub mod plan_file;
mod settings;
mod site;
#[cfg(test)]
mod tests;

pub use builtin::{builtin, BUILTIN};
pub use error::{DayError, FileError};
pub use fault::{Fault, FaultKind};
pub use load::{Class, Idempotency, ImpatientClients, Load, MisbehavingClients, Retries, Tenant};
pub use settings::{module_settings, proxy_config, Member};
pub use site::{CacheNodes, DiscoveryDelays, MachineKind, Origin, ProxyLimits, Site};

use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// A site, its load, and the injected faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// A short name.
    pub name: String,
    /// A description of the day, in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// How long requests arrive.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Seed of all random values.
    #[serde(default)]
    pub seed: u64,
    /// The machines.
    pub site: Site,
    /// The clients.
    pub load: Load,
    /// The injected faults.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

impl Day {
    /// Reads a day from a file, or a built-in one by its name.
    ///
    /// # Errors
    /// If the file can't be read or is invalid; the error gives the file, key and reason of every problem.
    pub fn open(name: &str) -> Result<Day, DayError> {
        if let Some(text) = builtin(name) {
            return Day::parse(name, text);
        }
        let text = std::fs::read_to_string(Path::new(name)).map_err(|e| {
            let names: Vec<&str> = BUILTIN.iter().map(|(name, _)| *name).collect();
            let problem = format!("{e}; not a built-in day either ({})", names.join(", "));
            DayError { file: name.to_owned(), problems: vec![problem] }
        })?;
        Day::parse(name, &text)
    }

    /// Reads a day from its text; `file` is named in errors.
    ///
    /// # Errors
    /// As [`Day::open`].
    pub fn parse(file: &str, text: &str) -> Result<Day, DayError> {
        let fail = |problems| DayError { file: file.to_owned(), problems };
        let day: Day = toml::from_str(text).map_err(|e| fail(vec![e.to_string().trim_end().to_owned()]))?;
        let problems = check::problems(&day);
        if problems.is_empty() {
            Ok(day)
        } else {
            Err(fail(problems))
        }
    }

    /// The same day with this many proxies and cache nodes; the load and the origin's capacity scale with the nodes.
    ///
    /// # Errors
    /// As [`Day::open`].
    pub fn resized(mut self, proxies: usize, nodes: usize) -> Result<Day, DayError> {
        let scale = nodes as f64 / self.site.cache.count as f64;
        self.site.proxy.count = proxies;
        self.site.cache.count = nodes;
        self.load.rate *= scale;
        self.load.keys = ((self.load.keys as f64 * scale) as u64).max(1);
        self.site.cache.memory_fraction = (self.site.cache.memory_fraction / scale).min(1.0);
        self.site.origin.cores *= scale;
        self.site.origin.slots = (self.site.origin.slots as f64 * scale).ceil() as usize;
        self.site.origin.queue = (self.site.origin.queue as f64 * scale).ceil() as usize;
        match check::problems(&self) {
            problems if problems.is_empty() => Ok(self),
            problems => Err(DayError { file: self.name, problems }),
        }
    }

    /// The same day, shortened to a fraction of its length; the times of its faults and of its impatient clients are
    /// scaled as well.
    pub fn shortened(mut self, fraction: f64) -> Day {
        self.length = self.length.mul_f64(fraction);
        for fault in &mut self.faults {
            fault.at = fault.at.mul_f64(fraction);
            fault.length = fault.length.mul_f64(fraction);
        }
        if let Some(impatient) = &mut self.load.impatient {
            impatient.at = impatient.at.mul_f64(fraction);
            impatient.length = impatient.length.mul_f64(fraction);
        }
        self
    }
}
