//! The children of a run: the control service, relays, real proxies and hosts of hollow members. Each dies with the
//! rig, and is ended by its id.

use super::now;
use aniseyoke_lab_process::{tie, Usage};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

/// A line of a child longer than this is cut, in bytes. A host's report is one line.
const LINE_MOST: u64 = 256 << 20;
/// A child's last lines that are kept.
const LAST: usize = 20;
/// A child tells its addresses within this time.
const TELLS_WITHIN: Duration = Duration::from_secs(30);

/// A line of a child.
pub struct Line {
    /// Which child.
    pub child: usize,
    /// Which of its processes, counted from 0.
    pub start: u32,
    /// When it came.
    pub at: u64,
    /// What it says.
    pub text: String,
}

/// One child, over all of its processes.
pub struct One {
    /// What it is called.
    pub name: String,
    command: Box<dyn Fn() -> Command>,
    child: Option<Child>,
    /// Where the rig writes to it; only hosts are written to.
    pub stdin: Option<ChildStdin>,
    starts: u32,
    /// Its last lines.
    pub last: VecDeque<String>,
    used: Usage,
    past_cpu_s: f64,
    expected_down: bool,
}

/// All children.
pub struct Procs {
    all: Vec<One>,
    told: SyncSender<Line>,
    lines: Receiver<Line>,
    log: std::fs::File,
}

impl Procs {
    /// No children yet; every line of each will go into `log`.
    ///
    /// # Errors
    /// If the log can't be created.
    pub fn new(log: &Path) -> Result<Procs, String> {
        let (told, lines) = std::sync::mpsc::sync_channel(10_000);
        let log = std::fs::File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        Ok(Procs { all: Vec::new(), told, lines, log })
    }

    /// Starts one more; its number is returned.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn add(&mut self, name: String, command: impl Fn() -> Command + 'static) -> Result<usize, String> {
        self.all.push(One {
            name,
            command: Box::new(command),
            child: None,
            stdin: None,
            starts: 0,
            last: VecDeque::new(),
            used: Usage::default(),
            past_cpu_s: 0.0,
            expected_down: false,
        });
        let n = self.all.len() - 1;
        self.start(n)?;
        Ok(n)
    }

    /// Starts one again that was killed.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn start(&mut self, n: usize) -> Result<(), String> {
        let one = &mut self.all[n];
        let mut command = (one.command)();
        tie(&mut command);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", one.name))?;
        let start = one.starts;
        one.starts += 1;
        one.expected_down = false;
        one.stdin = child.stdin.take();
        for reads in [
            child.stdout.take().map(|r| Box::new(r) as Box<dyn Read + Send>),
            child.stderr.take().map(|r| Box::new(r) as Box<dyn Read + Send>),
        ] {
            let (Some(reads), told) = (reads, self.told.clone()) else { continue };
            let listen = move || {
                let mut reads = BufReader::new(reads);
                let mut line = Vec::new();
                while reads.by_ref().take(LINE_MOST).read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
                    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line = Vec::new();
                    // The rig wants no more at its end.
                    if told.send(Line { child: n, start, at: now(), text }).is_err() {
                        return;
                    }
                }
            };
            let thread = std::thread::Builder::new().stack_size(128 << 10);
            thread.spawn(listen).map_err(|e| format!("a thread: {e}"))?;
        }
        one.child = Some(child);
        Ok(())
    }

    /// The next line of any child, if one comes within the time.
    pub fn next(&mut self, within: Duration) -> Option<Line> {
        use std::fmt::Write as _;
        match self.lines.recv_timeout(within) {
            Ok(line) => {
                let one = &mut self.all[line.child];
                // What hosts say on standard output is no line for people.
                if !line.text.starts_with('{') {
                    one.last.push_back(line.text.clone());
                    if one.last.len() > LAST {
                        one.last.pop_front();
                    }
                    let mut text = String::new();
                    let at = line.at as f64 / 1e9;
                    let _ = writeln!(text, "{at:12.3} {}[{}] {}", one.name, line.start, line.text);
                    // A full disk loses lines of the log, not the run.
                    let _ = self.log.write_all(text.as_bytes());
                }
                Some(line)
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => None,
        }
    }

    /// Waits until each of these children has told an address behind some words, and returns the addresses.
    ///
    /// # Errors
    /// Which child told none, with its last lines.
    pub fn addrs(&mut self, of: &[usize], words: &[&str]) -> Result<Vec<Vec<SocketAddr>>, String> {
        let mut found = vec![vec![None; words.len()]; of.len()];
        let until = Instant::now() + TELLS_WITHIN;
        loop {
            if found.iter().flatten().all(Option::is_some) {
                return Ok(found.into_iter().map(|f| f.into_iter().flatten().collect()).collect());
            }
            if let Some(line) = self.next(Duration::from_millis(50)) {
                let Some(n) = of.iter().position(|n| *n == line.child) else { continue };
                for (word, found) in words.iter().zip(&mut found[n]) {
                    let told = line.text.split_once(word).and_then(|(_, addr)| addr.trim().parse().ok());
                    *found = found.or(told);
                }
            }
            let lacks = of.iter().zip(&found).find(|(_, f)| f.iter().any(Option::is_none)).map(|(n, _)| *n);
            if let Some(n) = lacks.filter(|n| Instant::now() > until || !self.runs(*n)) {
                let one = &self.all[n];
                let last: Vec<&str> = one.last.iter().map(String::as_str).collect();
                return Err(format!("{} told no address; its last lines:\n{}", one.name, last.join("\n")));
            }
        }
    }

    /// Whether one runs.
    pub fn runs(&mut self, n: usize) -> bool {
        self.all[n].child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills one; it is not counted as having ended by itself.
    pub fn kill(&mut self, n: usize) {
        self.look(n);
        let one = &mut self.all[n];
        one.expected_down = true;
        one.past_cpu_s += one.used.cpu_s;
        one.used.cpu_s = 0.0;
        if let Some(mut child) = one.child.take() {
            // One that has ended meanwhile needs no signal.
            let _ = (child.kill(), child.wait());
        }
    }

    /// Those that have ended by themselves, with their last lines.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for one in &mut self.all {
            let Some(child) = one.child.as_mut() else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                let last: Vec<&str> = one.last.iter().map(String::as_str).collect();
                ended.push(format!("{} ended by itself, {status}:\n  {}", one.name, last.join("\n  ")));
                one.child = None;
            }
        }
        ended
    }

    fn look(&mut self, n: usize) {
        let one = &mut self.all[n];
        if let Some(usage) = one.child.as_ref().and_then(|c| Usage::look(c.id())) {
            one.used.update(usage);
        }
    }

    /// What one has used so far, over all of its processes.
    pub fn used(&mut self, n: usize) -> Usage {
        self.look(n);
        let one = &self.all[n];
        Usage { cpu_s: one.past_cpu_s + one.used.cpu_s, ..one.used }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Writes a line to one.
    ///
    /// # Errors
    /// If it takes none.
    pub fn write(&mut self, n: usize, line: &str) -> Result<(), String> {
        let one = &mut self.all[n];
        let stdin = one.stdin.as_mut().ok_or_else(|| format!("{} takes no lines", one.name))?;
        writeln!(stdin, "{line}").and_then(|()| stdin.flush()).map_err(|e| format!("{}: {e}", one.name))
    }
}

impl Drop for Procs {
    fn drop(&mut self) {
        for one in &mut self.all {
            if let Some(child) = one.child.as_mut() {
                let _ = child.kill();
            }
        }
        for one in &mut self.all {
            if let Some(child) = one.child.as_mut() {
                let _ = child.wait();
            }
        }
    }
}
