//! The threads of a process as reported by `/proc`, and detection of threads that spin or starve.

use serde::Serialize;
use std::collections::HashMap;
use std::fmt;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

/// Minimum time over which a thread is judged.
const WINDOW: Duration = Duration::from_secs(1);
/// A thread spins if it ran for at least this fraction of the time in which it did not wait for a processor,
const MIN_SPIN_FRACTION: f64 = 0.9;
/// and used at least this much processor time.
const MIN_SPIN_TIME: Duration = Duration::from_millis(200);
/// A thread starves if it waited for a processor for at least this fraction of the time.
const MIN_STARVED_FRACTION: f64 = 0.5;

/// A sample of one thread.
#[derive(Clone, Debug, Serialize)]
pub struct ThreadSample {
    /// The name of the thread.
    pub name: String,
    /// The state of the thread, as the letter in `/proc/PID/task/TID/stat`.
    pub state: String,
    /// Processor time used so far.
    pub ran: Duration,
    /// Time spent runnable while waiting for a processor.
    pub waited: Duration,
    /// The kernel function in which the thread waits.
    pub wait_channel: String,
    /// The current system call with its arguments.
    pub system_call: String,
}

impl fmt::Display for ThreadSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ThreadSample { name, state, ran, waited, wait_channel, system_call } = self;
        write!(f, "{name}: {state}, ran {ran:.1?}, waited for a processor {waited:.1?}, {wait_channel}, call {system_call}")
    }
}

/// Samples the threads of a process, by id. The map is empty if the process has ended.
pub fn sample(pid: u32) -> HashMap<u32, ThreadSample> {
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else { return HashMap::new() };
    let of_task =
        |task: fs::DirEntry| Some((task.file_name().to_str()?.parse().ok()?, sample_task(&task.path())?));
    tasks.filter_map(|task| of_task(task.ok()?)).collect()
}

fn sample_task(task: &Path) -> Option<ThreadSample> {
    let read = |name: &str| fs::read_to_string(task.join(name)).map(|text| text.trim().to_owned());
    let stat = read("stat").ok()?;
    let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
    let times = read("schedstat").ok()?;
    let mut times = times.split(' ').map(|text| text.parse().map(Duration::from_nanos));
    Some(ThreadSample {
        name: name.to_owned(),
        state: rest.trim().chars().take(1).collect(),
        ran: times.next()?.ok()?,
        waited: times.next()?.ok()?,
        wait_channel: read("wchan").unwrap_or_default(),
        system_call: read("syscall").unwrap_or_default(),
    })
}

/// How a thread spent one observation window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ThreadUsage {
    /// The name of the thread.
    pub thread: String,
    /// The length of the window.
    pub elapsed: Duration,
    /// Processor time used in the window.
    pub ran: Duration,
    /// Time in the window spent runnable while waiting for a processor.
    pub waited: Duration,
}

impl ThreadUsage {
    /// Whether the thread spun: it ran almost whenever a processor was available and hardly slept.
    pub fn spins(&self) -> bool {
        let could_run = self.elapsed.saturating_sub(self.waited);
        self.ran >= MIN_SPIN_TIME && self.ran >= could_run.mul_f64(MIN_SPIN_FRACTION)
    }

    /// Whether the thread starved: the machine had no free processor for it for much of the time.
    pub fn starves(&self) -> bool {
        self.waited >= self.elapsed.mul_f64(MIN_STARVED_FRACTION)
    }
}

/// Monitors the threads of a process.
pub struct ThreadMonitor {
    pid: u32,
    first: HashMap<u32, (Instant, ThreadSample)>,
}

impl ThreadMonitor {
    /// Creates a monitor of this process.
    pub fn new(pid: u32) -> Self {
        ThreadMonitor { pid, first: HashMap::new() }
    }

    /// Samples all threads; returns the usage of each thread whose window has elapsed.
    pub fn take_sample(&mut self) -> Vec<ThreadUsage> {
        let mut usages = Vec::new();
        for (tid, now) in sample(self.pid) {
            let at = Instant::now();
            let (window_start, first) = self.first.entry(tid).or_insert_with(|| (at, now.clone()));
            let elapsed = at - *window_start;
            if elapsed >= WINDOW {
                let ran = now.ran.saturating_sub(first.ran);
                let waited = now.waited.saturating_sub(first.waited);
                usages.push(ThreadUsage { thread: now.name.clone(), elapsed, ran, waited });
                (*window_start, *first) = (at, now);
            }
        }
        usages
    }
}
