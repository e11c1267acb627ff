//! A process that runs hundreds of hollow members. It reads their specification, and commands to kill and restart some
//! of them, from standard input, and writes messages to standard output. Each line is one JSON value.

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

/// The interval between progress messages of a host.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of commands in the queue.
const MAX_QUEUED_COMMANDS: usize = 1024;

/// The first line of a host's standard input, which specifies its members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSpec {
    /// The seed of the run.
    pub seed: u64,
    /// Whether members follow the purge log.
    pub purging: bool,
    /// The period over which the first connects of members are distributed, in milliseconds.
    pub join_ms: u64,
    /// The minimum time between two polls of the endpoint list by one proxy, in nanoseconds.
    pub poll_interval: u64,
    /// The members.
    pub members: Vec<MemberSpec>,
}

/// A command to a host, sent as a line of its standard input after the first.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostCommand {
    /// Stops a member, which loses its state.
    Kill(usize),
    /// Restarts a member.
    Start(usize),
    /// Resets the traffic counters.
    Mark,
    /// Requests a report.
    Report,
}

/// A message from a host, sent as a line of its standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostMessage {
    /// The progress of the host's members.
    Progress {
        /// The number of members that are connected and, if they follow the purge log, know their position in it.
        up: usize,
        /// The number through which all members have all purges.
        purges: u64,
        /// The number through which all proxies have all versions.
        versions: u64,
    },
    /// The report that was requested.
    Report(Box<MemberReport>),
}

/// The traffic of one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberTraffic {
    /// The member's name.
    pub name: String,
    /// Whether the member is a node; otherwise it is a proxy.
    pub node: bool,
    /// The traffic of the connection to the control service.
    pub control: Traffic,
    /// The traffic of the polls of the endpoint list.
    pub list: Traffic,
}

/// The records and counters of the members of one or several hosts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberReport {
    /// When each purge was applied at the members.
    pub purges: CompletionTally,
    /// When each version was applied at the proxies.
    pub versions: CompletionTally,
    /// The traffic of each member since the last reset.
    pub members: Vec<MemberTraffic>,
    /// The number of flushes, without the first one after each start of a member.
    pub flushes: u64,
    /// The number of connections made.
    pub connects: u64,
    /// The number of malformed frames and of versions that conflict with another one of the same stamp.
    pub faults: u64,
}

impl MemberReport {
    /// Adds the report of another host.
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

/// Runs hollow members until standard input is closed.
///
/// # Errors
/// Fails if the specification can't be read, or if writing to standard output fails.
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
    /// The number of earlier starts of the member.
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
