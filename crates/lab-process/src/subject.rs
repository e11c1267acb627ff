//! What is put to the test: a program started as a child, or anything else that a test brings along.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A child tells its address within this time.
const STARTS_WITHIN: Duration = Duration::from_secs(10);
/// So many of a child's last lines are kept.
const LINES_MOST: usize = 30;
/// A line is kept up to this length, in bytes.
const LINE_MOST: usize = 400;

/// The variable that names a proxy's operator's file.
const OPERATOR: &str = "ANISEYOKE_FILE";

/// The variable that makes a proxy's wall clock wrong.
const CLOCK: &str = "ANISEYOKE_CLOCK";

/// Something that serves as a proxy.
pub trait Subject {
    /// Starts proxy `me` by a configuration in the platform's form; `dir` is its own.
    ///
    /// # Errors
    /// Says why it did not start, with its last lines.
    fn start(&self, me: usize, config: &Value, dir: &Path) -> Result<Box<dyn Running>, String>;
}

/// A subject that runs.
pub trait Running {
    /// Where it takes clients.
    fn addr(&self) -> SocketAddr;

    /// Its process, if it has one of its own.
    fn pid(&self) -> Option<u32>;

    /// Asks it to end.
    fn terminate(&mut self);

    /// Ends it now.
    fn kill(&mut self);

    /// Whether it has ended, and how.
    fn ended(&mut self) -> Option<String>;

    /// The last lines that it wrote.
    fn last_lines(&self) -> Vec<String>;
}

/// A program that reads `PROXY_CONFIG` and tells `listening on ADDR` on standard error.
pub struct Program {
    /// The file.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// The operator's file that it is to read, if any.
    pub operator: Option<PathBuf>,
    /// How wrong each one's wall clock is, by number; right where there is none.
    pub clocks: Vec<Option<String>>,
    /// Whether a child is killed when the thread that started it ends, also when this process is killed outright.
    pub tied: bool,
    /// Where every line of every child goes as well, in the order they come.
    pub log: Option<Log>,
}

impl Program {
    /// A program without arguments or operator's file.
    pub fn new(path: PathBuf) -> Self {
        Program { path, args: Vec::new(), operator: None, clocks: Vec::new(), tied: false, log: None }
    }
}

/// One file for the lines of all children: each line with the seconds since the log began, the child and its id.
#[derive(Clone)]
pub struct Log {
    began: Instant,
    file: Arc<Mutex<std::io::LineWriter<std::fs::File>>>,
}

impl Log {
    /// Creates the file.
    ///
    /// # Errors
    /// If it can't be created.
    pub fn create(path: &Path) -> std::io::Result<Log> {
        let file = std::fs::File::create(path)?;
        Ok(Log { began: Instant::now(), file: Arc::new(Mutex::new(std::io::LineWriter::new(file))) })
    }

    fn write(&self, me: usize, pid: u32, line: &str) {
        use std::io::Write;
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // A full disk loses lines of the log, not the experiment.
        let _ = writeln!(file, "{at:10.3} p{me}[{pid}] {line}");
    }

    /// Writes out what is held.
    pub fn flush(&self) {
        use std::io::Write;
        let _ = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).flush();
    }
}

/// Has the child be killed when the thread that starts it ends.
#[allow(unsafe_code)]
pub fn tie(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    let pdeathsig = || nix::sys::prctl::set_pdeathsig(Signal::SIGKILL).map_err(std::io::Error::from);
    // SAFETY: audited. The closure runs in the child between fork and exec and makes one system call, prctl, which
    // is async-signal-safe; it allocates nothing and touches no lock or memory of the parent.
    unsafe {
        command.pre_exec(pdeathsig);
    }
}

type Lines = Arc<Mutex<VecDeque<String>>>;

struct Process {
    child: Child,
    addr: SocketAddr,
    lines: Lines,
}

fn tail(lines: &Lines) -> Vec<String> {
    lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter().cloned().collect()
}

impl Subject for Program {
    fn start(&self, me: usize, config: &Value, dir: &Path) -> Result<Box<dyn Running>, String> {
        let name = self.path.display();
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        // Named whole: the child starts there, so that what its operator's file names from there is its own.
        let dir = dir.canonicalize().map_err(|e| format!("{}: {e}", dir.display()))?;
        let program = self.path.canonicalize().map_err(|e| format!("{name}: {e}"))?;
        let file = dir.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let mut command = Command::new(&program);
        command.args(&self.args).env_clear().env("PROXY_CONFIG", &file).env("TMPDIR", &dir).current_dir(&dir);
        command.envs(self.operator.iter().map(|file| (OPERATOR, file)));
        command.envs(self.clocks.get(me).and_then(Option::as_ref).map(|clock| (CLOCK, clock)));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        if self.tied {
            tie(&mut command);
        }
        let mut child = command.spawn().map_err(|e| format!("{name}: {e}"))?;
        let (log, pid) = (self.log.clone(), child.id());
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let (lines, (found, addr)) = (Lines::default(), channel());
        let kept = lines.clone();
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stderr);
            let mut line = Vec::new();
            while reader.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
                let text = String::from_utf8_lossy(&line[..line.len().min(LINE_MOST)]).trim_end().to_owned();
                line.clear();
                if let Some(log) = &log {
                    log.write(me, pid, &text);
                }
                if let Some((_, told)) = text.split_once("listening on ") {
                    if let Ok(addr) = told.trim().parse::<SocketAddr>() {
                        // Nobody waits for a second one.
                        let _ = found.send(addr);
                    }
                }
                let mut kept = kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                kept.push_back(text);
                if kept.len() > LINES_MOST {
                    kept.pop_front();
                }
            }
        });
        let until = Instant::now() + STARTS_WITHIN;
        loop {
            match addr.recv_timeout(Duration::from_millis(20)) {
                Ok(addr) => return Ok(Box::new(Process { child, addr, lines })),
                Err(RecvTimeoutError::Disconnected) => {
                    let status = child.wait().map_or_else(|e| e.to_string(), |s| s.to_string());
                    return Err(format!(
                        "proxy {me} ({name}) did not start, {status}:\n{}",
                        tail(&lines).join("\n")
                    ));
                }
                Err(RecvTimeoutError::Timeout) if Instant::now() > until => {
                    let _ = (child.kill(), child.wait());
                    return Err(format!("proxy {me} ({name}) told no address:\n{}", tail(&lines).join("\n")));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }
}

impl Running for Process {
    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn pid(&self) -> Option<u32> {
        Some(self.child.id())
    }

    fn terminate(&mut self) {
        if self.ended().is_none() {
            // One that has ended meanwhile is seen by whoever looks next.
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
        tail(&self.lines)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds an operator's file, and names it so that a child in any folder finds it.
///
/// # Errors
/// If there is none of that name.
pub fn find_file(named: &Path) -> Result<PathBuf, String> {
    named.canonicalize().map_err(|e| format!("{}: {e}", named.display()))
}

/// Finds the proxy's program, built and found beside this program.
///
/// # Errors
/// Says where it looked.
pub fn find_proxy(named: Option<PathBuf>) -> Result<PathBuf, String> {
    find_program(named, "aniseyoke", "aniseyoke")
}

/// Finds the control service's program, built and found beside this program.
///
/// # Errors
/// Says where it looked.
pub fn find_control(named: Option<PathBuf>) -> Result<PathBuf, String> {
    find_program(named, "aniseyoke-control", "aniseyoke-control")
}

/// Finds a program of this workspace: the one named, or the one beside this program. Under cargo it is built first, in
/// the same profile, so that what is tried is the code as it stands.
///
/// # Errors
/// Says where it looked.
fn find_program(named: Option<PathBuf>, package: &str, name: &str) -> Result<PathBuf, String> {
    if let Some(path) = named {
        return path.is_file().then_some(path.clone()).ok_or(format!("{}: no such file", path.display()));
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    // A test's program stands one folder deeper.
    let mut folders = own.ancestors().skip(1).take(2);
    let profile = own.ancestors().skip(1).take(2).find(|f| f.ends_with("release") || f.ends_with("debug"));
    if let (Some(cargo), Some(profile)) = (std::env::var_os("CARGO"), profile) {
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--locked", "-p", package, "--bin", name]);
        command.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")));
        if profile.ends_with("release") {
            command.arg("--release");
        }
        if let Some(target) = profile.parent() {
            command.arg("--target-dir").arg(target);
        }
        let status = command.status().map_err(|e| format!("cargo build: {e}"))?;
        if !status.success() {
            return Err(format!("{name} does not build"));
        }
    }
    let found = folders.find_map(|f| Some(f.join(name)).filter(|path| path.is_file()));
    found.ok_or(format!("no {name} beside {}; name the file", own.display()))
}
