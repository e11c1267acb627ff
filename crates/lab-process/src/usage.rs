//! Resource usage of a process, read from `/proc`.

use serde::Serialize;
use std::fs;

/// The resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// CPU time of all live threads, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MB.
    pub memory_mb: f64,
    /// The largest number of open descriptors among the samples.
    pub descriptors: usize,
}

impl Usage {
    /// The usage of a process; `None` if there is no such process.
    pub fn of_process(pid: u32) -> Option<Usage> {
        let tasks = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
        let cpu_time_ns = |task: fs::DirEntry| {
            let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        };
        let cpu_ns: f64 = tasks.filter_map(|t| cpu_time_ns(t.ok()?)).sum();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let peak_kb: f64 = peak.trim().split(' ').next()?.parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        Some(Usage { cpu_s: cpu_ns / 1e9, memory_mb: peak_kb / 1024.0, descriptors })
    }

    /// Merges a later sample of the same process: the maximum of each value.
    pub fn merge(&mut self, later: Usage) {
        self.cpu_s = self.cpu_s.max(later.cpu_s);
        self.memory_mb = self.memory_mb.max(later.memory_mb);
        self.descriptors = self.descriptors.max(later.descriptors);
    }
}

#[cfg(test)]
mod tests;
