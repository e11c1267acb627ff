//! A process that holds hundreds of hollow members. The rig tells it over standard input who they are and which of them
//! end and start again; it answers on standard output, a JSON text a line.

use super::lists::ask;
use super::member::{live, Shared, Spec, Traffic, PART};
use super::tally::Tally;
use aniseyoke_lab_day::clock::{mix, part};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io::{BufRead, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, LocalSet};
use tokio::time::{interval, sleep};

/// It tells how it stands as often.
const TELL: Duration = Duration::from_millis(250);
/// Orders that wait.
const ORDERS: usize = 1024;

/// The first line that it is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hosted {
    /// The seed of the run.
    pub seed: u64,
    /// Whether members take purges.
    pub purging: bool,
    /// They connect at first spread over so many milliseconds.
    pub join_ms: u64,
    /// A proxy asks for the list no more often than this, in nanoseconds.
    pub list_every: u64,
    /// All of them.
    pub members: Vec<Spec>,
}

/// The lines after that.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// A member ends; what it held is gone.
    Kill(usize),
    /// It starts again.
    Start(usize),
    /// Traffic is counted from here on.
    Mark,
    /// Tell everything.
    Report,
}

/// What it says.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Said {
    /// How it stands.
    Stands {
        /// Members that are connected, and stand in the log of purges if they take any.
        up: usize,
        /// All members have the purges through this number...
        purges: u64,
        /// ...and the versions through this one.
        versions: u64,
    },
    /// Everything.
    Report(Box<Report>),
}

/// Everything that the members of one process, or of several, have to tell.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// When each purge was in force.
    pub purges: Tally,
    /// When each version was in force, at proxies.
    pub versions: Tally,
    /// Each member's name, whether it is a node, and its traffic since the mark: for control, and for the list.
    pub members: Vec<(String, bool, Traffic, Traffic)>,
    /// Times that members dropped everything, beyond the first word after their start.
    pub flushes: u64,
    /// Connections made.
    pub connects: u64,
    /// Versions turned down and frames that could not be read.
    pub faults: u64,
}

impl Report {
    /// Takes in what those of another process tell.
    pub fn join(&mut self, other: Report) {
        self.purges.join(other.purges);
        self.versions.join(other.versions);
        self.members.extend(other.members);
        self.flushes += other.flushes;
        self.connects += other.connects;
        self.faults += other.faults;
    }
}

fn say(said: &Said) -> Result<(), String> {
    let mut line = serde_json::to_string(said).map_err(|e| e.to_string())?;
    line.push('\n');
    let mut out = std::io::stdout().lock();
    out.write_all(line.as_bytes()).and_then(|()| out.flush()).map_err(|e| e.to_string())
}

/// Hosts members until standard input ends.
///
/// # Errors
/// If it is told what can't be read, or can't answer.
pub fn run() -> Result<(), String> {
    let mut first = String::new();
    std::io::stdin().read_line(&mut first).map_err(|e| e.to_string())?;
    let hosted: Hosted = serde_json::from_str(&first).map_err(|e| format!("the first line: {e}"))?;
    let (tell, orders) = mpsc::channel(ORDERS);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str::<Order>(&line) {
                Ok(order) if tell.blocking_send(order).is_ok() => {}
                Ok(_) => return,
                Err(e) => eprintln!("hollow: `{line}`: {e}"),
            }
        }
    });
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, host(hosted, orders))
}

async fn host(hosted: Hosted, mut orders: mpsc::Receiver<Order>) -> Result<(), String> {
    let Hosted { seed, purging, join_ms, list_every, members } = hosted;
    let count = members.len();
    let proxies = (0..count).scan(0, |next, n| {
        let proxy = (!members[n].node).then_some(*next);
        *next += usize::from(proxy.is_some());
        Some(proxy)
    });
    let proxy: Vec<Option<usize>> = proxies.collect();
    let shared = Rc::new(Shared {
        purges: RefCell::new(Tally::new(if purging { count } else { 0 })),
        versions: RefCell::new(Tally::new(proxy.iter().flatten().count())),
        traffic: vec![Cell::default(); count],
        lists: vec![Cell::default(); count],
        up: vec![Cell::new(false); count],
        flushes: Cell::new(0),
        connects: Cell::new(0),
        faults: Cell::new(0),
        part: RefCell::new(vec![0; PART]),
        members,
        seed,
        purging,
        proxy,
    });
    let start = |n: usize, starts: u64, after: Duration| {
        let shared = shared.clone();
        let task = tokio::task::spawn_local(async move {
            sleep(after).await;
            let (list, place) = (shared.members[n].list, shared.members[n].place);
            let lists = async {
                match list {
                    Some(list) => ask(n, place, list_every, list, shared.clone()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::join!(live(n, starts, shared.clone()), lists);
        });
        (starts, task.abort_handle())
    };
    let join = |n: usize| Duration::from_millis(join_ms).mul_f64(part(mix(seed, 5, n as u64)));
    let mut tasks: Vec<(u64, AbortHandle)> = (0..count).map(|n| start(n, 0, join(n))).collect();
    let mut tells = interval(TELL);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                None => return Ok(()),
                Some(Order::Kill(n)) if n < count => {
                    tasks[n].1.abort();
                    shared.up[n].set(false);
                }
                Some(Order::Start(n)) if n < count => {
                    tasks[n].1.abort();
                    tasks[n] = start(n, tasks[n].0 + 1, Duration::ZERO);
                }
                Some(Order::Kill(n) | Order::Start(n)) => eprintln!("hollow: there is no member {n}"),
                Some(Order::Mark) => {
                    let all = shared.traffic.iter().chain(&shared.lists);
                    all.for_each(|t| t.set(Traffic::default()));
                }
                Some(Order::Report) => say(&Said::Report(Box::new(report(&shared))))?,
            },
            _ = tells.tick() => say(&Said::Stands {
                up: shared.up.iter().filter(|up| up.get()).count(),
                purges: shared.purges.borrow().everywhere(),
                versions: shared.versions.borrow().everywhere(),
            })?,
        }
    }
}

fn report(shared: &Shared) -> Report {
    let traffic = shared.traffic.iter().zip(&shared.lists);
    let members = shared.members.iter().zip(traffic);
    Report {
        purges: shared.purges.borrow().clone(),
        versions: shared.versions.borrow().clone(),
        members: members.map(|(m, (c, l))| (m.name.clone(), m.node, c.get(), l.get())).collect(),
        flushes: shared.flushes.get(),
        connects: shared.connects.get(),
        faults: shared.faults.get(),
    }
}
