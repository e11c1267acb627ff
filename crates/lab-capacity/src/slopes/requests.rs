//! Slopes of a real proxy under load: its cost against the rate of requests, the length of responses and the number of
//! nodes.

use super::{Family, Quantity, Setup};
use crate::MeasureError;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::Program;
use aniseyoke_lab_trial::Options;
use std::time::Duration;

/// The duration of the load of one trial.
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Requests a second in the family over response length.
const LONG_RESPONSE_RATE: f64 = 100.0;
/// Requests a second in the family over nodes.
const NODES_RATE: f64 = 500.0;
/// The proxy's memory limit in MB, enough for long responses.
const MEMORY_MB: usize = 256;

/// The proxy's cost against the rate of requests.
pub const RATE: Family = Family {
    name: "proxy.requests",
    role: "proxy",
    against: "requests a second, answers of 900 bytes",
    at: &[200.0, 400.0, 800.0, 1600.0, 3200.0],
    quantities: &[
        Quantity { name: "proxy.cpu.requests", quantity: "processor time", unit: "s/s" },
        Quantity { name: "proxy.memory.requests", quantity: "most memory", unit: "MB" },
    ],
    measure: |setup, rate| {
        let cost = run_trial(setup, |day| day.load.rate = rate)?;
        Ok(vec![cost.cpu_us * 1e-6 * rate, cost.memory_mb])
    },
};

/// Processor time of a request against the length of its response.
pub const RESPONSE_LENGTH: Family = Family {
    name: "proxy.answers",
    role: "proxy",
    against: "bytes of an answer, 100 requests a second",
    at: &[10_000.0, 20_000.0, 50_000.0, 100_000.0, 180_000.0],
    quantities: &[Quantity {
        name: "proxy.cpu.answers",
        quantity: "processor time for one request",
        unit: "s",
    }],
    measure: |setup, bytes| {
        let cost = run_trial(setup, |day| {
            day.load.rate = LONG_RESPONSE_RATE;
            day.load.response_bytes = bytes as u64;
        })?;
        Ok(vec![cost.cpu_us * 1e-6])
    },
};

/// The proxy's cost against the number of nodes that serve.
pub const NODES: Family = Family {
    name: "proxy.serving",
    role: "proxy",
    against: "nodes that serve, 500 requests a second",
    at: &[22.0, 44.0, 66.0, 110.0, 220.0, 440.0],
    quantities: &[
        Quantity { name: "proxy.cpu.serving", quantity: "processor time for one request", unit: "s" },
        Quantity { name: "proxy.memory.serving", quantity: "most memory", unit: "MB" },
        Quantity { name: "proxy.descriptors.serving", quantity: "most descriptors", unit: "1" },
    ],
    measure: |setup, nodes| {
        let cost = run_trial(setup, |day| {
            day.load.rate = NODES_RATE;
            day.site.cache.count = nodes as usize;
        })?;
        Ok(vec![cost.cpu_us * 1e-6, cost.memory_mb, cost.descriptors])
    },
};

struct TrialCost {
    cpu_us: f64,
    descriptors: f64,
    memory_mb: f64,
}

fn run_trial(setup: &Setup, adjust: impl FnOnce(&mut Day)) -> Result<TrialCost, MeasureError> {
    let mut day = Day::open("plain")?;
    day.length = LOAD_DURATION;
    day.site.proxy.memory_mb = MEMORY_MB;
    adjust(&mut day);
    let report = aniseyoke_lab_trial::run(&day, &Program::new(setup.proxy.clone()), &Options::default())?;
    if let Some(cause) = report.void {
        return Err(MeasureError::VoidTrial(cause));
    }
    if report.all.outcomes.keys().any(|outcome| outcome != "served") {
        return Err(MeasureError::NotServed(report.all.outcomes));
    }
    Ok(TrialCost {
        cpu_us: report.cpu_us,
        memory_mb: report.proxies.iter().map(|p| p.memory_mb).sum(),
        descriptors: report.proxies.iter().map(|p| p.descriptors as f64).sum(),
    })
}
