//! The child processes of a run: the control service, relays, real proxies and hosts of hollow members. Children are
//! killed by process ID, and the kernel kills them when this process ends.

use super::error::ScaleError;
use super::now;
use aniseyoke_lab_day::FileError;
use aniseyoke_lab_process::{kill_with_parent, Usage};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

/// The maximum length of a line of a child's output; longer ones are split. A host's report is a single line.
const MAX_LINE_BYTES: u64 = 256 << 20;
/// The number of recent output lines stored for each child.
const MAX_LAST_LINES: usize = 20;
/// The time limit for a child to print its addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// An output line of a child.
pub struct Line {
    /// The number of the child.
    pub child: usize,
    /// The number of the child's process, counted from 0 over its restarts.
    pub start: u32,
    /// The receive time, on the machine's monotonic clock.
    pub received_at: u64,
    /// The text of the line.
    pub text: String,
}

/// A child over all of its restarts.
pub struct Child {
    /// The name.
    pub name: String,
    command: Box<dyn Fn() -> Command>,
    process: Option<std::process::Child>,
    /// The standard input of the process; only hosts use it.
    pub stdin: Option<ChildStdin>,
    starts: u32,
    /// The most recent output lines.
    pub last_lines: VecDeque<String>,
    usage: Usage,
    finished_cpu_s: f64,
    expected_down: bool,
}

/// All children of a run.
pub struct Children {
    all: Vec<Child>,
    line_sender: SyncSender<Line>,
    lines: Receiver<Line>,
    log: std::fs::File,
}

impl Children {
    /// Creates an empty set of children, whose log lines will be written to `log`.
    ///
    /// # Errors
    /// Fails if the log can't be created.
    pub fn new(log: &Path) -> Result<Children, ScaleError> {
        let (line_sender, lines) = std::sync::mpsc::sync_channel(10_000);
        let log = std::fs::File::create(log).map_err(FileError::at(log))?;
        Ok(Children { all: Vec::new(), line_sender, lines, log })
    }

    /// Adds and starts a child, and returns its number.
    ///
    /// # Errors
    /// Fails if the process can't be started.
    pub fn add(
        &mut self,
        name: String,
        command: impl Fn() -> Command + 'static,
    ) -> Result<usize, ScaleError> {
        self.all.push(Child {
            name,
            command: Box::new(command),
            process: None,
            stdin: None,
            starts: 0,
            last_lines: VecDeque::new(),
            usage: Usage::default(),
            finished_cpu_s: 0.0,
            expected_down: false,
        });
        let n = self.all.len() - 1;
        self.start(n)?;
        Ok(n)
    }

    /// Starts the process of a child, for example after it was killed.
    ///
    /// # Errors
    /// Fails if the process can't be started.
    pub fn start(&mut self, n: usize) -> Result<(), ScaleError> {
        let child = &mut self.all[n];
        let mut command = (child.command)();
        kill_with_parent(&mut command);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut process =
            command.spawn().map_err(|source| ScaleError::Child { name: child.name.clone(), source })?;
        let start = child.starts;
        child.starts += 1;
        child.expected_down = false;
        child.stdin = process.stdin.take();
        for output in [
            process.stdout.take().map(|r| Box::new(r) as Box<dyn Read + Send>),
            process.stderr.take().map(|r| Box::new(r) as Box<dyn Read + Send>),
        ] {
            let (Some(output), line_sender) = (output, self.line_sender.clone()) else { continue };
            let listen = move || {
                let mut output = BufReader::new(output);
                let mut line = Vec::new();
                while output.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
                    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line = Vec::new();
                    // The receiver is closed at the end of the run.
                    if line_sender.send(Line { child: n, start, received_at: now(), text }).is_err() {
                        return;
                    }
                }
            };
            let thread = std::thread::Builder::new().stack_size(128 << 10);
            thread.spawn(listen).map_err(ScaleError::Thread)?;
        }
        child.process = Some(process);
        Ok(())
    }

    /// Returns the next output line of any child, or `None` if there is none within `timeout`.
    pub fn next_line(&mut self, timeout: Duration) -> Option<Line> {
        use std::fmt::Write as _;
        match self.lines.recv_timeout(timeout) {
            Ok(line) => {
                let child = &mut self.all[line.child];
                // Lines that start with `{` are messages of hosts, not log lines.
                if !line.text.starts_with('{') {
                    child.last_lines.push_back(line.text.clone());
                    if child.last_lines.len() > MAX_LAST_LINES {
                        child.last_lines.pop_front();
                    }
                    let mut text = String::new();
                    let at = line.received_at as f64 / 1e9;
                    let _ = writeln!(text, "{at:12.3} {}[{}] {}", child.name, line.start, line.text);
                    // If the disk is full, log lines are lost, but the run continues.
                    let _ = self.log.write_all(text.as_bytes());
                }
                Some(line)
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => None,
        }
    }

    /// Waits until each of `children` has printed an address after each of `prefixes`, and returns the addresses by
    /// child.
    ///
    /// # Errors
    /// Fails if a child did not print its addresses in time, or ended.
    pub fn wait_for_addrs(
        &mut self,
        children: &[usize],
        prefixes: &[&str],
    ) -> Result<Vec<Vec<SocketAddr>>, ScaleError> {
        let mut addrs = vec![vec![None; prefixes.len()]; children.len()];
        let deadline = Instant::now() + ADDRESS_TIMEOUT;
        loop {
            if addrs.iter().flatten().all(Option::is_some) {
                return Ok(addrs.into_iter().map(|f| f.into_iter().flatten().collect()).collect());
            }
            if let Some(line) = self.next_line(Duration::from_millis(50)) {
                let Some(n) = children.iter().position(|n| *n == line.child) else { continue };
                for (prefix, slot) in prefixes.iter().zip(&mut addrs[n]) {
                    let addr = line.text.split_once(prefix).and_then(|(_, addr)| addr.trim().parse().ok());
                    *slot = slot.or(addr);
                }
            }
            let missing =
                children.iter().zip(&addrs).find(|(_, f)| f.iter().any(Option::is_none)).map(|(n, _)| *n);
            if let Some(n) = missing.filter(|n| Instant::now() > deadline || !self.is_running(*n)) {
                let child = &self.all[n];
                let last_lines = child.last_lines.iter().cloned().collect();
                return Err(ScaleError::NoAddress { name: child.name.clone(), last_lines });
            }
        }
    }

    /// Whether a child's process is running.
    pub fn is_running(&mut self, n: usize) -> bool {
        self.all[n].process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills a child, which does not count as a crash.
    pub fn kill(&mut self, n: usize) {
        self.update_usage(n);
        let child = &mut self.all[n];
        child.expected_down = true;
        child.finished_cpu_s += child.usage.cpu_s;
        child.usage.cpu_s = 0.0;
        if let Some(mut process) = child.process.take() {
            // An error means that the process has already ended.
            let _ = (process.kill(), process.wait());
        }
    }

    /// Returns a message for each child that has crashed since the last call, with its last lines.
    pub fn take_crashed(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for child in &mut self.all {
            let Some(process) = child.process.as_mut() else { continue };
            if let Ok(Some(status)) = process.try_wait() {
                let last: Vec<&str> = child.last_lines.iter().map(String::as_str).collect();
                ended.push(format!("{} ended unexpectedly, {status}:\n  {}", child.name, last.join("\n  ")));
                child.process = None;
            }
        }
        ended
    }

    fn update_usage(&mut self, n: usize) {
        let child = &mut self.all[n];
        if let Some(usage) = child.process.as_ref().and_then(|c| Usage::of_process(c.id())) {
            child.usage.merge(usage);
        }
    }

    /// Returns the resource usage of a child so far, over all of its restarts.
    pub fn usage(&mut self, n: usize) -> Usage {
        self.update_usage(n);
        let child = &self.all[n];
        Usage { cpu_s: child.finished_cpu_s + child.usage.cpu_s, ..child.usage }
    }

    /// The number of children.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no children.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Writes a line to the standard input of a child.
    ///
    /// # Errors
    /// Fails if the child has no standard input, or if it is closed.
    pub fn write(&mut self, n: usize, line: &str) -> Result<(), ScaleError> {
        let child = &mut self.all[n];
        let stdin = child.stdin.as_mut().ok_or_else(|| ScaleError::NoInput(child.name.clone()))?;
        let written = writeln!(stdin, "{line}").and_then(|()| stdin.flush());
        written.map_err(|source| ScaleError::Child { name: child.name.clone(), source })
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for child in &mut self.all {
            if let Some(process) = child.process.as_mut() {
                let _ = process.kill();
            }
        }
        for child in &mut self.all {
            if let Some(process) = child.process.as_mut() {
                let _ = process.wait();
            }
        }
    }
}
