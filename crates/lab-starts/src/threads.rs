//! The threads of a process as `/proc` has them, and which of them spin or starve.

use serde::Serialize;
use std::collections::HashMap;
use std::fmt;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

/// A thread is judged over at least this time.
const WINDOW: Duration = Duration::from_secs(1);
/// A thread spins that was running for this part of the time in which it had not to wait for a processor,
const SPIN_PART: f64 = 0.9;
/// and has used a processor for at least this time.
const SPIN_MIN: Duration = Duration::from_millis(200);
/// A thread starves that waited for a processor for this part of the time.
const STARVED_PART: f64 = 0.5;

/// One thread at one time.
#[derive(Clone, Debug, Serialize)]
pub struct ThreadSample {
    /// Its name.
    pub name: String,
    /// Its state, by the letter of `/proc/PID/task/TID/stat`.
    pub state: String,
    /// Processor time so far.
    pub ran: Duration,
    /// Time spent ready to run, without a processor.
    pub waited: Duration,
    /// What it waits for in the kernel.
    pub wait_channel: String,
    /// Its system call with the arguments.
    pub system_call: String,
}

impl fmt::Display for ThreadSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ThreadSample { name, state, ran, waited, wait_channel, system_call } = self;
        write!(f, "{name}: {state}, ran {ran:.1?}, waited for a processor {waited:.1?}, {wait_channel}, call {system_call}")
    }
}

/// The threads of a process, by id; none if it has ended.
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

/// How a thread spent a window of time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ThreadUsage {
    /// Its name.
    pub thread: String,
    /// The length of the window.
    pub elapsed: Duration,
    /// Processor time in it.
    pub ran: Duration,
    /// Time in it spent ready to run, without a processor.
    pub waited: Duration,
}

impl ThreadUsage {
    /// Whether it used a processor whenever it could, and slept hardly ever.
    pub fn spins(&self) -> bool {
        let could_run = self.elapsed.saturating_sub(self.waited);
        self.ran >= SPIN_MIN && self.ran >= could_run.mul_f64(SPIN_PART)
    }

    /// Whether the machine had no processor for it for much of the time.
    pub fn starves(&self) -> bool {
        self.waited >= self.elapsed.mul_f64(STARVED_PART)
    }
}

/// Watches the threads of a process.
pub struct ThreadMonitor {
    pid: u32,
    first: HashMap<u32, (Instant, ThreadSample)>,
}

impl ThreadMonitor {
    /// Watches this process.
    pub fn new(pid: u32) -> Self {
        ThreadMonitor { pid, first: HashMap::new() }
    }

    /// Takes a sample; how each thread spent its window, where one has passed.
    pub fn take_sample(&mut self) -> Vec<ThreadUsage> {
        let mut spent = Vec::new();
        for (tid, now) in sample(self.pid) {
            let at = Instant::now();
            let (begun, first) = self.first.entry(tid).or_insert_with(|| (at, now.clone()));
            let elapsed = at - *begun;
            if elapsed >= WINDOW {
                let ran = now.ran.saturating_sub(first.ran);
                let waited = now.waited.saturating_sub(first.waited);
                spent.push(ThreadUsage { thread: now.name.clone(), elapsed, ran, waited });
                (*begun, *first) = (at, now);
            }
        }
        spent
    }
}
