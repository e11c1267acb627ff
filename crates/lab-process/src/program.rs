//! Starts a proxy's executable as a child process.

use crate::{FileError, ProcessError, ProcessLog, ProxyLauncher, RunningProxy};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A child must log its listening address within this time.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of lines of a child's output that are retained, the most recent ones.
const MAX_LINES: usize = 30;
/// Longer lines are truncated to this length, in bytes.
const MAX_LINE_BYTES: usize = 400;

/// Environment variable with the path of a proxy's operator file.
const OPERATOR_FILE_VARIABLE: &str = "ANISEYOKE_FILE";

/// Environment variable with the descriptor of an inherited listening socket.
const LISTENER_VARIABLE: &str = "PROXY_FD";

/// Environment variable with an offset of a proxy's wall clock.
const CLOCK_VARIABLE: &str = "ANISEYOKE_CLOCK";

/// An executable that reads `PROXY_CONFIG` and writes `listening on ADDR` to standard error.
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// The operator file that it reads, if any.
    pub operator: Option<PathBuf>,
    /// The listening socket that each proxy inherits, by index; a proxy without one opens its own.
    pub listeners: Vec<TcpListener>,
    /// Offset of each proxy's wall clock, by index; the clock of a proxy without one is correct.
    pub clock_offsets: Vec<Option<String>>,
    /// Whether a child is killed when the thread that started it ends, which includes the kill of this process.
    pub kill_with_parent: bool,
    /// A log file that receives every line of every child, in order of arrival.
    pub log: Option<ProcessLog>,
}

impl Program {
    /// An executable without arguments or operator file.
    pub fn new(path: PathBuf) -> Self {
        Program {
            path,
            args: Vec::new(),
            operator: None,
            listeners: Vec::new(),
            clock_offsets: Vec::new(),
            kill_with_parent: false,
            log: None,
        }
    }
}

/// Makes the kernel kill the child when the thread that starts it ends.
#[allow(unsafe_code)]
pub fn kill_with_parent(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    let pdeathsig = || nix::sys::prctl::set_pdeathsig(Signal::SIGKILL).map_err(std::io::Error::from);
    // SAFETY: audited. The closure runs in the child between fork and exec and makes one system call, prctl, which
    // is async-signal-safe; it allocates nothing and touches no lock or memory of the parent.
    unsafe {
        command.pre_exec(pdeathsig);
    }
}

type LastLines = Arc<Mutex<VecDeque<String>>>;

struct ChildProxy {
    child: Child,
    addr: SocketAddr,
    lines: LastLines,
}

fn copy_lines(lines: &LastLines) -> Vec<String> {
    lines.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
}

impl Program {
    /// The command for proxy `index`, whose working directory is `dir`.
    fn command(&self, index: usize, config: &Path, dir: &Path) -> Result<Command, ProcessError> {
        let program = self.path.canonicalize().map_err(FileError::at(&self.path))?;
        let mut command = Command::new(&program);
        command.args(&self.args).env_clear().env("PROXY_CONFIG", config).env("TMPDIR", dir).current_dir(dir);
        command.envs(self.operator.iter().map(|file| (OPERATOR_FILE_VARIABLE, file)));
        let offset = self.clock_offsets.get(index).and_then(Option::as_ref);
        command.envs(offset.map(|offset| (CLOCK_VARIABLE, offset)));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        if let Some(listener) = self.listeners.get(index) {
            let copy = listener.try_clone().map_err(ProcessError::Listener)?;
            command.env(LISTENER_VARIABLE, "0").stdin(Stdio::from(OwnedFd::from(copy)));
        }
        if self.kill_with_parent {
            kill_with_parent(&mut command);
        }
        Ok(command)
    }
}

/// Reads a child's standard error on a separate thread: retains the last lines, writes all of them to the log, and
/// sends the listening address.
fn read_lines(
    stderr: ChildStderr,
    log: Option<ProcessLog>,
    index: usize,
    pid: u32,
) -> (LastLines, Receiver<SocketAddr>) {
    let (lines, (addr_sender, addr)) = (LastLines::default(), channel());
    let last_lines = lines.clone();
    std::thread::spawn(move || {
        let mut reader = BufReader::new(stderr);
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
            let text = String::from_utf8_lossy(&line[..line.len().min(MAX_LINE_BYTES)]).trim_end().to_owned();
            line.clear();
            if let Some(log) = &log {
                log.write(index, pid, &text);
            }
            let listening = text.split_once("listening on ").and_then(|(_, addr)| addr.trim().parse().ok());
            if let Some(addr) = listening {
                // Only the first address is received; sending a second one fails, which is harmless.
                let _ = addr_sender.send(addr);
            }
            let mut last_lines = last_lines.lock().unwrap_or_else(PoisonError::into_inner);
            last_lines.push_back(text);
            if last_lines.len() > MAX_LINES {
                last_lines.pop_front();
            }
        }
    });
    (lines, addr)
}

impl ProxyLauncher for Program {
    fn start(&self, index: usize, config: &Value, dir: &Path) -> Result<Box<dyn RunningProxy>, ProcessError> {
        std::fs::create_dir_all(dir).map_err(FileError::at(dir))?;
        // The path is absolute, since the child's working directory is `dir`. Relative paths in its operator file thus
        // refer to its own directory.
        let dir = dir.canonicalize().map_err(FileError::at(dir))?;
        let file = dir.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(FileError::at(&file))?;
        let mut child = self.command(index, &file, &dir)?.spawn().map_err(FileError::at(&self.path))?;
        let stderr = child.stderr.take().ok_or(ProcessError::NoStandardError)?;
        let (lines, addr) = read_lines(stderr, self.log.clone(), index, child.id());
        let program = self.path.clone();
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match addr.recv_timeout(Duration::from_millis(20)) {
                Ok(addr) => return Ok(Box::new(ChildProxy { child, addr, lines })),
                Err(RecvTimeoutError::Disconnected) => {
                    let status = child.wait().map_or_else(|e| e.to_string(), |s| s.to_string());
                    let last_lines = copy_lines(&lines);
                    return Err(ProcessError::NotStarted { index, program, status, last_lines });
                }
                Err(RecvTimeoutError::Timeout) if Instant::now() > deadline => {
                    let _ = (child.kill(), child.wait());
                    return Err(ProcessError::NoAddress { index, program, last_lines: copy_lines(&lines) });
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }
}

impl RunningProxy for ChildProxy {
    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn pid(&self) -> Option<u32> {
        Some(self.child.id())
    }

    fn terminate(&mut self) {
        if self.ended().is_none() {
            // The signal fails if the child has exited meanwhile; the next poll detects the exit.
            let _ = kill(Pid::from_raw(self.child.id() as i32), Signal::SIGTERM);
        }
    }

    fn kill(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }

    fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    fn last_lines(&self) -> Vec<String> {
        copy_lines(&self.lines)
    }
}

impl Drop for ChildProxy {
    fn drop(&mut self) {
        self.kill();
    }
}
