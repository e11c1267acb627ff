//! The figures of a run.

use super::member::Traffic;
use super::play::ChildUsage;
use super::publish::Published;
use serde::Serialize;
use std::time::Duration;

/// A named value of the report, with its limit if it has one.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// The name.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The unit.
    pub unit: &'static str,
    /// The limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
}

/// The time from a purge or version being due until it was in force at all members.
#[derive(Clone, Copy, Debug)]
pub struct PropagationTime {
    /// The due time from the start of the schedule, in seconds.
    pub due_s: f64,
    /// The time from the due time, in milliseconds; `None` if it did not come into force at all members.
    pub ms: Option<f64>,
    /// Whether a fault was active around the due time.
    pub under_fault: bool,
}

/// Returns the quantile `fraction` of `values` by nearest rank, or `None` if there are no values.
pub fn quantile(values: &[f64], fraction: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(at.clamp(1, sorted.len().max(1)) - 1).copied()
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// The figures of a run, in the order of its table.
pub struct Figures(pub Vec<Figure>);

impl Figures {
    /// Adds a figure, unless `value` is missing or not finite.
    pub fn add(
        &mut self,
        name: impl Into<String>,
        value: Option<f64>,
        unit: &'static str,
        limit: Option<f64>,
    ) {
        if let Some(value) = value.filter(|v| v.is_finite()) {
            self.0.push(Figure { name: name.into(), value: (value * 1e6).round() / 1e6, unit, limit });
        }
    }

    /// Adds the figures of the propagation times of purges or versions.
    pub fn times(
        &mut self,
        prefix: &str,
        times: &[PropagationTime],
        published: &[Published],
        due: usize,
        limit: Duration,
    ) {
        if due == 0 {
            return;
        }
        let limit = Some(limit.as_secs_f64() * 1e3);
        let not_done = times.iter().filter(|t| t.ms.is_none()).count();
        self.add(format!("{prefix}.due"), Some(due as f64), "", None);
        self.add(format!("{prefix}.made"), Some(published.len() as f64), "", None);
        self.add(format!("{prefix}.not_done_everywhere"), Some(not_done as f64), "", None);
        let called: Vec<f64> =
            published.iter().map(|m| m.called_at.saturating_sub(m.due_at) as f64 / 1e6).collect();
        self.add(format!("{prefix}.called_late.p99"), quantile(&called, 0.99), "ms", None);
        let answered: Vec<f64> =
            published.iter().map(|m| m.answered_at.saturating_sub(m.called_at) as f64 / 1e6).collect();
        self.add(format!("{prefix}.answered.p99"), quantile(&answered, 0.99), "ms", None);
        let faults = times.iter().any(|t| t.under_fault);
        let all = [("", None), (".no_fault", Some(false)), (".under_fault", Some(true))];
        for (kind, wanted) in all.into_iter().take(if faults { 3 } else { 1 }) {
            let of = |t: &&PropagationTime| wanted.is_none_or(|wanted| wanted == t.under_fault);
            let ms: Vec<f64> = times.iter().filter(of).filter_map(|t| t.ms).collect();
            let name = format!("{prefix}.done_everywhere{kind}");
            self.add(format!("{name}.count"), Some(ms.len() as f64), "", None);
            for (tail, fraction) in [("p50", 0.5), ("p99", 0.99), ("most", 1.0)] {
                self.add(format!("{name}.{tail}"), quantile(&ms, fraction), "ms", limit);
            }
        }
    }

    /// Adds the figures of the members' traffic.
    pub fn traffic(&mut self, kind: &str, all: &[Traffic], seconds: f64, limit: Option<f64>) {
        let per_second =
            |of: fn(&Traffic) -> u64| -> Vec<f64> { all.iter().map(|t| of(t) as f64 / seconds).collect() };
        let (payload, with_headers) = (per_second(Traffic::payload), per_second(Traffic::with_headers));
        let frames = per_second(|t| t.frames_in + t.frames_out);
        self.add(format!("{kind}.bytes.mean"), mean(&payload), "B/s", limit);
        self.add(format!("{kind}.bytes.most"), quantile(&payload, 1.0), "B/s", limit);
        self.add(format!("{kind}.bytes_with_headers_estimated.mean"), mean(&with_headers), "B/s", limit);
        self.add(
            format!("{kind}.bytes_with_headers_estimated.most"),
            quantile(&with_headers, 1.0),
            "B/s",
            limit,
        );
        self.add(format!("{kind}.messages.mean"), mean(&frames), "1/s", None);
    }

    /// Adds the figures of the children's resource usage.
    pub fn usage(
        &mut self,
        kind: &str,
        usage: &[ChildUsage],
        seconds: f64,
        core: Option<f64>,
        memory: Option<f64>,
    ) {
        let cores: Vec<f64> = usage.iter().map(|u| u.cpu_s / seconds).collect();
        let memories: Vec<f64> = usage.iter().map(|u| u.memory_mb).collect();
        self.add(format!("{kind}.count"), Some(usage.len() as f64), "", None);
        self.add(format!("{kind}.core.mean"), mean(&cores), "cores", core);
        self.add(format!("{kind}.core.most"), quantile(&cores, 1.0), "cores", core);
        self.add(format!("{kind}.memory.mean"), mean(&memories), "MB", memory);
        self.add(format!("{kind}.memory.most"), quantile(&memories, 1.0), "MB", memory);
    }
}
