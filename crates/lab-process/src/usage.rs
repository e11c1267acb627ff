//! The resources that a process uses, as `/proc` has them.

use serde::Serialize;
use std::fs;

/// The resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time of all live threads, in seconds.
    pub cpu_s: f64,
    /// The most memory resident at once, in MB.
    pub memory_mb: f64,
    /// The most descriptors seen at once.
    pub descriptors: usize,
}

impl Usage {
    /// The usage of a process; none if there is no such process.
    pub fn of_process(pid: u32) -> Option<Usage> {
        let tasks = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
        let on_core = |task: fs::DirEntry| {
            let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        };
        let cpu_ns: f64 = tasks.filter_map(|t| on_core(t.ok()?)).sum();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let peak_kb: f64 = peak.trim().split(' ').next()?.parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        Some(Usage { cpu_s: cpu_ns / 1e9, memory_mb: peak_kb / 1024.0, descriptors })
    }

    /// Takes in a later reading of the same process.
    pub fn merge(&mut self, later: Usage) {
        self.cpu_s = self.cpu_s.max(later.cpu_s);
        self.memory_mb = self.memory_mb.max(later.memory_mb);
        self.descriptors = self.descriptors.max(later.descriptors);
    }
}

#[cfg(test)]
mod tests;
