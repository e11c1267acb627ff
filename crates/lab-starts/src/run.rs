//! Runs one start, from spawning the process to its exit.

use crate::log_pipe::LogPipe;
use crate::plan::{Phase, Reader, StartPlan, Terminate, ACTIVE_RULE, DELAY_RULE};
use crate::ready::listens;
use crate::threads::{sample, ThreadMonitor};
use crate::verdict::{allowed_end, End, Fault, StartReport, LISTENING_LINE, READY_TIMEOUT};
use crate::StartsError;
use aniseyoke_faults::{configure_preload, ActivePlan};
use aniseyoke_lab_day::{proxy_config, Day, FileError};
use aniseyoke_lab_process::kill_with_parent;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The built-in day from which the proxy's configuration is derived.
const BASE_DAY: &str = "quiet";
/// An address without a listener: connections to the list service are refused.
const NO_LIST_SERVICE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Poll interval while waiting for an event.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval of thread samples while waiting for an event.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// A process that exits late is observed for this time before it is killed, to see whether its
/// threads spin or wait.
const LATE_OBSERVATION: Duration = Duration::from_millis(2500);
/// Maximum time until a listening process makes a call that loads a new fault plan.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Shell command that runs a program with standard error closed.
const CLOSE_STDERR_COMMAND: &str = r#"exec "$0" "$@" 2>&-"#;

/// The program under test.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The path of the program.
    pub program: PathBuf,
    /// Whether calls of the program are delayed.
    pub delay_calls: bool,
}

impl Subject {
    /// The file name of the program.
    fn name(&self) -> String {
        self.program.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
    }
}

/// Runs a start, using `folder` exclusively for it.
///
/// # Errors
/// If the start could not be run.
pub fn run(plan: StartPlan, subject: &Subject, folder: &Path) -> Result<StartReport, StartsError> {
    std::fs::create_dir_all(folder).map_err(FileError::at(folder))?;
    let mut start = Start::open(plan, subject, folder)?;
    let outcome = start.play();
    // Leaves no process behind in any case. Both calls fail harmlessly if the process has already been waited
    // for.
    let _ = start.child.kill();
    let _ = start.child.wait();
    let Start { pipe, active_plan, mut report, .. } = start;
    report.lines = pipe.close();
    report.held_calls = active_plan.map_or(0, |active_plan| active_plan.forced(DELAY_RULE));
    if outcome?.is_some_and(|status| status.success()) {
        report.judge_log();
    }
    Ok(report)
}

/// A started process and its observation.
struct Start {
    name: String,
    child: Child,
    started: Instant,
    pipe: LogPipe,
    active_plan: Option<ActivePlan>,
    watch: ThreadMonitor,
    last_sample: Instant,
    report: StartReport,
}

impl Start {
    fn open(plan: StartPlan, subject: &Subject, folder: &Path) -> Result<Start, StartsError> {
        let (pipe, standard_error) = LogPipe::open(plan.reader)?;
        let mut command = command(&plan, subject, folder)?;
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(standard_error.map_or_else(Stdio::null, Stdio::from));
        let active_plan = subject
            .delay_calls
            .then(|| configure_preload(&mut command, folder, &plan.hold.plan(Phase::Start, &subject.name())));
        let active_plan = active_plan.transpose().map_err(StartsError::Arm)?;
        kill_with_parent(&mut command);
        let started = Instant::now();
        let child = command.spawn().map_err(StartsError::Process)?;
        let watch = ThreadMonitor::new(child.id());
        let report = StartReport::new(plan);
        Ok(Start {
            name: subject.name(),
            child,
            started,
            pipe,
            active_plan,
            watch,
            last_sample: started,
            report,
        })
    }

    /// Runs the plan; returns the exit status if the process ended without being killed.
    fn play(&mut self) -> Result<Option<ExitStatus>, StartsError> {
        match self.report.plan.terminate {
            Terminate::AfterSpawn(micros) => std::thread::sleep(Duration::from_micros(micros)),
            Terminate::AfterReady(millis) => {
                if !self.wait_until_ready()? || !self.run_for(Duration::from_millis(millis))? {
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

    /// Activates the fault plan of the end phase; returns whether the process is still running.
    ///
    /// Guards against an allocation in a signal handler: the preload library allocates memory to read a plan,
    /// which the process's signal handler must not do, so no signal is sent before the plan has been read.
    fn begin_end_phase(&mut self) -> Result<bool, StartsError> {
        let Some(active_plan) = self.active_plan.clone() else { return Ok(true) };
        let before = active_plan.forced(ACTIVE_RULE);
        active_plan.change(&self.report.plan.hold.plan(Phase::End, &self.name)).map_err(StartsError::Plan)?;
        let until = Instant::now() + ACTIVE_TIMEOUT;
        while active_plan.forced(ACTIVE_RULE) == before {
            if Instant::now() > until {
                return Err(StartsError::NotInForce(ACTIVE_TIMEOUT));
            }
            if !self.run_for(POLL_INTERVAL)? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn send(&self, signal: Signal) {
        // A process that has ended is not yet reaped here, so its id has not been reused.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Waits until the process listens; returns whether it did so in time.
    fn wait_until_ready(&mut self) -> Result<bool, StartsError> {
        let log_is_read = self.report.plan.reader == Reader::Reads;
        loop {
            let pid = self.child.id();
            if if log_is_read { self.pipe.has_line_containing(LISTENING_LINE) } else { listens(pid) } {
                self.report.ready_after = Some(self.started.elapsed());
                return Ok(true);
            }
            if self.exited_early()? {
                return Ok(false);
            }
            let elapsed = self.started.elapsed();
            if elapsed > READY_TIMEOUT + self.report.plan.injected_delay() {
                self.report.faults.push(Fault::NotReady(elapsed));
                self.report.threads = sample(pid).into_values().collect();
                return Ok(false);
            }
            self.sample_threads();
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Lets the process run for a time; returns whether it is still running.
    fn run_for(&mut self, time: Duration) -> Result<bool, StartsError> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.exited_early()? {
                return Ok(false);
            }
            self.sample_threads();
            std::thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        Ok(true)
    }

    /// Waits for the exit after SIGTERM, and kills the process if it does not exit in time.
    fn wait_for_end(&mut self) -> Result<Option<ExitStatus>, StartsError> {
        let term_sent = Instant::now();
        let term_deadline = term_sent + allowed_end(&self.report.plan);
        loop {
            if let Some(status) = self.child.try_wait().map_err(StartsError::Process)? {
                self.report.judge_end(&End { took: term_sent.elapsed(), status, killed: false });
                return Ok(Some(status));
            }
            let now = Instant::now();
            if let Reader::Stalled(after_ms) = self.report.plan.reader {
                if now >= term_sent + Duration::from_millis(after_ms) {
                    self.pipe.read();
                }
            }
            if now > term_deadline && self.report.threads.is_empty() {
                self.report.threads = sample(self.child.id()).into_values().collect();
            }
            if now > term_deadline + LATE_OBSERVATION {
                self.child.kill().map_err(StartsError::Process)?;
                let status = self.child.wait().map_err(StartsError::Process)?;
                self.report.judge_end(&End { took: term_sent.elapsed(), status, killed: true });
                return Ok(None);
            }
            self.sample_threads();
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn exited_early(&mut self) -> Result<bool, StartsError> {
        let status = self.child.try_wait().map_err(StartsError::Process)?;
        if let Some(status) = status {
            self.report.faults.push(Fault::EndedBefore(status.to_string()));
        }
        Ok(status.is_some())
    }

    fn sample_threads(&mut self) {
        if self.last_sample.elapsed() < SAMPLE_INTERVAL {
            return;
        }
        self.last_sample = Instant::now();
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

/// Creates the command that starts the program, and writes its configuration file.
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
        shell.args(["-c", CLOSE_STDERR_COMMAND]).arg(&subject.program);
        shell
    } else {
        Command::new(&subject.program)
    };
    command.env_clear().env("PROXY_CONFIG", file).env("TMPDIR", folder).current_dir(folder);
    Ok(command)
}
