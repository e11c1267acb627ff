//! A process that runs hundreds of hollow members. The run tells it over standard input who they are and which of them end
//! and start again; it answers on standard output, one JSON text a line.

use super::error::ScaleError;
use super::list_polls::poll_list;
use super::member::{run_member, MemberSpec, SharedState, Traffic};
use super::tally::CompletionTally;
use aniseyoke_lab_day::clock::{mix, unit_fraction};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, LocalSet};
use tokio::time::{interval, sleep};

/// How often a host tells its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Orders that may wait.
const MAX_QUEUED_COMMANDS: usize = 1024;

/// The first line of a host's standard input: its members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSpec {
    /// The seed of the run.
    pub seed: u64,
    /// Whether members take purges.
    pub purging: bool,
    /// Their first connects are spread over this many milliseconds.
    pub join_ms: u64,
    /// The least time between two polls of a proxy for the list, in nanoseconds.
    pub poll_interval: u64,
    /// The members.
    pub members: Vec<MemberSpec>,
}

/// The lines of a host's standard input after the first.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostCommand {
    /// Ends a member, which loses its state.
    Kill(usize),
    /// Starts a member again.
    Start(usize),
    /// Resets the counts of traffic.
    Mark,
    /// Asks for a report.
    Report,
}

/// A line of a host's standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostMessage {
    /// Its progress.
    Progress {
        /// Members that are connected, and know their place in the purge log if they take purges.
        up: usize,
        /// All members have the purges through this number...
        purges: u64,
        /// ...and the versions through this one.
        versions: u64,
    },
    /// Its report.
    Report(Box<MemberReport>),
}

/// The traffic of one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberTraffic {
    /// Its name.
    pub name: String,
    /// Whether it is a node.
    pub node: bool,
    /// Its traffic for control.
    pub control: Traffic,
    /// Its traffic for the endpoint list.
    pub list: Traffic,
}

/// What the members of one process, or of several, have counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberReport {
    /// When each purge was in force.
    pub purges: CompletionTally,
    /// When each version was in force, at proxies.
    pub versions: CompletionTally,
    /// The traffic of each member since the mark.
    pub members: Vec<MemberTraffic>,
    /// Times that members dropped everything, the first time after their start not counted.
    pub flushes: u64,
    /// Connections made.
    pub connects: u64,
    /// Versions rejected and frames that could not be read.
    pub faults: u64,
}

impl MemberReport {
    /// Adds the report of another process.
    pub fn merge(&mut self, other: MemberReport) {
        self.purges.merge(other.purges);
        self.versions.merge(other.versions);
        self.members.extend(other.members);
        self.flushes += other.flushes;
        self.connects += other.connects;
        self.faults += other.faults;
    }
}

fn send_message(message: &HostMessage) -> Result<(), ScaleError> {
    let mut line = serde_json::to_string(message).map_err(ScaleError::Json)?;
    line.push('\n');
    let mut out = std::io::stdout().lock();
    out.write_all(line.as_bytes()).and_then(|()| out.flush()).map_err(ScaleError::Stdio)
}

/// Runs members until standard input ends.
///
/// # Errors
/// If its specification can't be read, or it can't answer.
pub fn run() -> Result<(), ScaleError> {
    let mut first = String::new();
    std::io::stdin().read_line(&mut first).map_err(ScaleError::Stdio)?;
    let spec: HostSpec = serde_json::from_str(&first).map_err(ScaleError::FirstLine)?;
    let (command_sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str::<HostCommand>(&line) {
                Ok(command) if command_sender.blocking_send(command).is_ok() => {}
                Ok(_) => return,
                Err(e) => eprintln!("hollow: `{line}`: {e}"),
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(ScaleError::Runtime)?, host(spec, commands))
}

async fn host(spec: HostSpec, mut commands: mpsc::Receiver<HostCommand>) -> Result<(), ScaleError> {
    let (seed, join_ms, poll_interval) = (spec.seed, spec.join_ms, spec.poll_interval);
    let shared = Rc::new(SharedState::new(spec.members, seed, spec.purging));
    let count = shared.members.len();
    let join_delay = |n: usize| Duration::from_millis(join_ms).mul_f64(unit_fraction(mix(seed, 5, n as u64)));
    let start =
        |n: usize, starts: u64, delay: Duration| start_member(&shared, n, starts, delay, poll_interval);
    let mut tasks: Vec<MemberTask> = (0..count).map(|n| start(n, 0, join_delay(n))).collect();
    let mut ticks = interval(PROGRESS_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None => return Ok(()),
                Some(HostCommand::Kill(n)) if n < count => {
                    tasks[n].abort.abort();
                    shared.up[n].set(false);
                }
                Some(HostCommand::Start(n)) if n < count => {
                    tasks[n].abort.abort();
                    tasks[n] = start(n, tasks[n].starts + 1, Duration::ZERO);
                }
                Some(HostCommand::Kill(n) | HostCommand::Start(n)) => eprintln!("hollow: there is no member {n}"),
                Some(HostCommand::Mark) => {
                    let all = shared.traffic.iter().chain(&shared.list_polls);
                    all.for_each(|t| t.set(Traffic::default()));
                }
                Some(HostCommand::Report) => send_message(&HostMessage::Report(Box::new(report(&shared))))?,
            },
            _ = ticks.tick() => send_message(&HostMessage::Progress {
                up: shared.up.iter().filter(|up| up.get()).count(),
                purges: shared.purges.borrow().reached_by_all(),
                versions: shared.versions.borrow().reached_by_all(),
            })?,
        }
    }
}

/// The task of one member.
struct MemberTask {
    /// How often the member was started before.
    starts: u64,
    abort: AbortHandle,
}

fn start_member(
    shared: &Rc<SharedState>,
    n: usize,
    starts: u64,
    delay: Duration,
    poll_interval: u64,
) -> MemberTask {
    let shared = shared.clone();
    let task = tokio::task::spawn_local(async move {
        sleep(delay).await;
        let (list, place) = (shared.members[n].list, shared.members[n].place);
        let polls = async {
            match list {
                Some(list) => poll_list(n, place, poll_interval, list, shared.clone()).await,
                None => std::future::pending().await,
            }
        };
        tokio::join!(run_member(n, starts, shared.clone()), polls);
    });
    MemberTask { starts, abort: task.abort_handle() }
}

fn report(shared: &SharedState) -> MemberReport {
    let traffic = shared.traffic.iter().zip(&shared.list_polls);
    let members = shared.members.iter().zip(traffic);
    MemberReport {
        purges: shared.purges.borrow().clone(),
        versions: shared.versions.borrow().clone(),
        members: members
            .map(|(spec, (control, list))| MemberTraffic {
                name: spec.name.clone(),
                node: spec.node,
                control: control.get(),
                list: list.get(),
            })
            .collect(),
        flushes: shared.flushes.get(),
        connects: shared.connects.get(),
        faults: shared.faults.get(),
    }
}
