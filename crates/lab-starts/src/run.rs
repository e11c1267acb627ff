//! One start from the beginning to the end of the process.

use crate::log_pipe::LogPipe;
use crate::plan::{Phase, Reader, StartPlan, Terminate, IN_FORCE_RULE, RULE};
use crate::ready::listens;
use crate::threads::{sample, ThreadMonitor};
use crate::verdict::{allowed_end, End, Fault, StartReport, LISTENING_LINE, READY_TIMEOUT};
use crate::StartsError;
use aniseyoke_faults::{arm, Armed};
use aniseyoke_lab_day::{proxy_config, Day, FileError};
use aniseyoke_lab_process::kill_with_parent;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The built-in day whose configuration each proxy has.
const BASE_DAY: &str = "quiet";
/// Nothing listens there: the list service refuses connections.
const NO_LIST_SERVICE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// How often it is looked whether something has come.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How often the threads are looked at while something is waited for.
const THREADS_INTERVAL: Duration = Duration::from_millis(100);
/// A process that is late is watched for this time before it is killed, so that its threads are seen to spin or to wait.
const LATE_WATCH: Duration = Duration::from_millis(2500);
/// A process that listens makes a call by which it takes up another plan within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(30);
/// The shell's line that starts a program without standard error.
const WITHOUT_STANDARD_ERROR: &str = r#"exec "$0" "$@" 2>&-"#;

/// What is started.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The program.
    pub program: PathBuf,
    /// Whether its calls are held up.
    pub delay_calls: bool,
}

impl Subject {
    /// The name of the program's file.
    fn name(&self) -> String {
        self.program.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
    }
}

/// Plays a start; `folder` is its own.
///
/// # Errors
/// If it could not be played.
pub fn run(plan: StartPlan, subject: &Subject, folder: &Path) -> Result<StartReport, StartsError> {
    std::fs::create_dir_all(folder).map_err(FileError::at(folder))?;
    let mut start = Start::open(plan, subject, folder)?;
    let outcome = start.play();
    // Whatever came of it, no process stays behind; one that has been waited for is not there to be killed.
    let _ = start.child.kill();
    let _ = start.child.wait();
    let Start { pipe, armed, mut report, .. } = start;
    report.lines = pipe.close();
    report.held_calls = armed.map_or(0, |armed| armed.forced(RULE));
    if outcome?.is_some_and(|status| status.success()) {
        report.judge_log();
    }
    Ok(report)
}

/// A process that was started.
struct Start {
    name: String,
    child: Child,
    started: Instant,
    pipe: LogPipe,
    armed: Option<Armed>,
    watch: ThreadMonitor,
    looked: Instant,
    report: StartReport,
}

impl Start {
    fn open(plan: StartPlan, subject: &Subject, folder: &Path) -> Result<Start, StartsError> {
        let (pipe, standard_error) = LogPipe::open(plan.reader)?;
        let mut command = command(&plan, subject, folder)?;
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(standard_error.map_or_else(Stdio::null, Stdio::from));
        let armed = subject
            .delay_calls
            .then(|| arm(&mut command, folder, &plan.hold.plan(Phase::Start, &subject.name())));
        let armed = armed.transpose().map_err(StartsError::Arm)?;
        kill_with_parent(&mut command);
        let started = Instant::now();
        let child = command.spawn().map_err(StartsError::Process)?;
        let watch = ThreadMonitor::new(child.id());
        let report = StartReport::new(plan);
        Ok(Start { name: subject.name(), child, started, pipe, armed, watch, looked: started, report })
    }

    /// Plays the plan; how the process ended, if it did by itself.
    fn play(&mut self) -> Result<Option<ExitStatus>, StartsError> {
        match self.report.plan.terminate {
            Terminate::AfterSpawn(micros) => std::thread::sleep(Duration::from_micros(micros)),
            Terminate::AfterReady(millis) => {
                if !self.wait_until_ready()? || !self.stay(Duration::from_millis(millis))? {
                    return Ok(None);
                }
                if !self.begin_end_phase()? {
                    return Ok(None);
                }
                (0..self.report.plan.hangups).for_each(|_| self.send(Signal::SIGHUP));
            }
        }
        self.send(Signal::SIGTERM);
        self.wait_for_end()
    }

    /// Puts the plan of the end in force; whether the process is still there. Danger: the library takes memory to read a plan, which
    /// the signal handler of the process must not do, so that no signal is sent before the plan was read.
    fn begin_end_phase(&mut self) -> Result<bool, StartsError> {
        let Some(armed) = self.armed.clone() else { return Ok(true) };
        let before = armed.forced(IN_FORCE_RULE);
        armed.change(&self.report.plan.hold.plan(Phase::End, &self.name)).map_err(StartsError::Plan)?;
        let until = Instant::now() + IN_FORCE_WITHIN;
        while armed.forced(IN_FORCE_RULE) == before {
            if Instant::now() > until {
                return Err(StartsError::NotInForce(IN_FORCE_WITHIN));
            }
            if !self.stay(POLL_INTERVAL)? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn send(&self, signal: Signal) {
        // A process that has ended is not waited for yet, so that its id is still its own.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Whether it listens in time.
    fn wait_until_ready(&mut self) -> Result<bool, StartsError> {
        let log_is_read = self.report.plan.reader == Reader::Reads;
        loop {
            let pid = self.child.id();
            if if log_is_read { self.pipe.has_line_containing(LISTENING_LINE) } else { listens(pid) } {
                self.report.ready_after = Some(self.started.elapsed());
                return Ok(true);
            }
            if self.has_ended_before()? {
                return Ok(false);
            }
            let elapsed = self.started.elapsed();
            if elapsed > READY_TIMEOUT + self.report.plan.injected_delay() {
                self.report.faults.push(Fault::NotReady(elapsed));
                self.report.threads = sample(pid).into_values().collect();
                return Ok(false);
            }
            self.look_at_threads();
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Lets it serve for a while; whether it is still there.
    fn stay(&mut self, time: Duration) -> Result<bool, StartsError> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.has_ended_before()? {
                return Ok(false);
            }
            self.look_at_threads();
            std::thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        Ok(true)
    }

    /// Waits for the end after SIGTERM.
    fn wait_for_end(&mut self) -> Result<Option<ExitStatus>, StartsError> {
        let told = Instant::now();
        let late = told + allowed_end(&self.report.plan);
        loop {
            if let Some(status) = self.child.try_wait().map_err(StartsError::Process)? {
                self.report.judge_end(&End { took: told.elapsed(), status, killed: false });
                return Ok(Some(status));
            }
            let now = Instant::now();
            if let Reader::Stalled(after_ms) = self.report.plan.reader {
                if now >= told + Duration::from_millis(after_ms) {
                    self.pipe.read();
                }
            }
            if now > late && self.report.threads.is_empty() {
                self.report.threads = sample(self.child.id()).into_values().collect();
            }
            if now > late + LATE_WATCH {
                self.child.kill().map_err(StartsError::Process)?;
                let status = self.child.wait().map_err(StartsError::Process)?;
                self.report.judge_end(&End { took: told.elapsed(), status, killed: true });
                return Ok(None);
            }
            self.look_at_threads();
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn has_ended_before(&mut self) -> Result<bool, StartsError> {
        let status = self.child.try_wait().map_err(StartsError::Process)?;
        if let Some(status) = status {
            self.report.faults.push(Fault::EndedBefore(status.to_string()));
        }
        Ok(status.is_some())
    }

    fn look_at_threads(&mut self) {
        if self.looked.elapsed() < THREADS_INTERVAL {
            return;
        }
        self.looked = Instant::now();
        for spent in self.watch.take_sample() {
            if spent.starves() {
                self.report.starved.push(spent.clone());
            }
            if spent.spins() {
                self.report.faults.push(Fault::Spins(spent));
            }
        }
    }
}

/// The command that starts the program, with a configuration of its own.
fn command(plan: &StartPlan, subject: &Subject, folder: &Path) -> Result<Command, StartsError> {
    let day = Day::open(BASE_DAY)?;
    let known = json!({"version": 1, "full": true, "servers": []});
    let mut config = proxy_config(&day, 0, NO_LIST_SERVICE, &known);
    for class in config["settings"]["categories"].as_array_mut().into_iter().flatten() {
        class["deadline_ns"] = json!(plan.longest_deadline_ms * 1_000_000);
    }
    let file = folder.join("config.json");
    std::fs::write(&file, config.to_string()).map_err(FileError::at(&file))?;
    let mut command = if plan.reader == Reader::Closed {
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", WITHOUT_STANDARD_ERROR]).arg(&subject.program);
        shell
    } else {
        Command::new(&subject.program)
    };
    command.env_clear().env("PROXY_CONFIG", file).env("TMPDIR", folder).current_dir(folder);
    Ok(command)
}
