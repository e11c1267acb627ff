//! What requests cost a real proxy: against their rate, and against the length of their answers.

use super::{Family, Quantity, Setup};
use crate::MeasureError;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::Program;
use aniseyoke_lab_trial::Options;
use std::time::Duration;

/// Requests are sent for this long.
const LENGTH_OF_LOAD: Duration = Duration::from_secs(6);
/// The rate where the length of answers is the size, in requests a second.
const RATE_OF_LONG: f64 = 100.0;
/// The rate where nodes are the size, in requests a second.
const RATE_OF_NODES: f64 = 500.0;
/// Memory of the proxy where answers are long, in MB.
const MEMORY_MB: usize = 256;

/// Against the rate.
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
        let played = play(setup, |day| day.load.rate = rate)?;
        Ok(vec![played.cpu_us * 1e-6 * rate, played.memory_mb])
    },
};

/// Against the length of answers.
pub const LENGTH: Family = Family {
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
        let played = play(setup, |day| {
            day.load.rate = RATE_OF_LONG;
            day.load.response_bytes = bytes as u64;
        })?;
        Ok(vec![played.cpu_us * 1e-6])
    },
};

/// Against nodes that serve.
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
        let played = play(setup, |day| {
            day.load.rate = RATE_OF_NODES;
            day.site.cache.count = nodes as usize;
        })?;
        Ok(vec![played.cpu_us * 1e-6, played.memory_mb, played.descriptors])
    },
};

struct TrialCost {
    cpu_us: f64,
    descriptors: f64,
    memory_mb: f64,
}

fn play(setup: &Setup, adjust: impl FnOnce(&mut Day)) -> Result<TrialCost, MeasureError> {
    let mut day = Day::open("plain")?;
    day.length = LENGTH_OF_LOAD;
    day.site.proxy.memory_mb = MEMORY_MB;
    adjust(&mut day);
    let report = aniseyoke_lab_trial::run(&day, &Program::new(setup.proxy.clone()), &Options::default())?;
    if let Some(why) = report.void {
        return Err(MeasureError::VoidTrial(why));
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
