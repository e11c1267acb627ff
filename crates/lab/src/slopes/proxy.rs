//! A real proxy without clients: what the list of nodes and the versions of its configuration cost it.

use super::list::List;
use super::relay::{self, Counted};
use super::{Family, Quantity, Setup};
use crate::day::{proxy_config, Day};
use crate::fleet::body;
use crate::trial::{Program, Running, Subject, Usage};
use aniseyoke_control::hosted::Hosted;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The memory that the proxy is told it may take, in MB: more than the target's, so that need is seen and not the limit.
const MEMORY_MB: usize = 128;
/// What must happen happens within this time, or the measurement fails.
const WITHIN: Duration = Duration::from_secs(30);
/// A proxy that has just started is left alone for so long.
const SETTLES: Duration = Duration::from_secs(2);
/// For so long it is looked at: whole cycles of its watch (2.5 s) and of its word that it is alive (5 s).
const LOOKED_AT: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(2);
/// Versions after the first where each one's cost is looked at.
const VERSIONS_EACH: u64 = 5;
/// Nodes listed where something else is the size: the target's.
const NODES_MANY: usize = 880;
/// Routes of a small version.
const ROUTES_FEW: u64 = 10;

macro_rules! quantity {
    ($name:literal, $quantity:literal, $unit:literal) => {
        Quantity { name: $name, quantity: $quantity, unit: $unit }
    };
}

/// Against nodes listed, at rest.
pub const NODES: Family = Family {
    name: "proxy.nodes",
    role: "proxy",
    against: "nodes listed",
    at: &[22.0, 44.0, 110.0, 220.0, 440.0, 880.0],
    quantities: &[
        quantity!("proxy.cpu.nodes", "processor time at rest", "s/s"),
        quantity!("proxy.bytes.nodes", "bytes at its sockets at rest, both ways", "B/s"),
        quantity!("proxy.messages.nodes", "messages at its sockets at rest, both ways", "1/s"),
        quantity!("proxy.memory.nodes", "most memory at rest", "MB"),
        quantity!("proxy.start.nodes", "processor time from start to rest", "s"),
        quantity!("proxy.descriptors.nodes", "descriptors at rest", "1"),
    ],
    measure: |setup, nodes| {
        let stand = Stand::open(setup, nodes as usize, 0.0)?;
        stand.publish(ROUTES_FEW, 0)?;
        std::thread::sleep(SETTLES);
        let start = stand.usage()?.cpu_s;
        let rest = stand.look(LOOKED_AT, || Ok(()))?;
        Ok(vec![rest.cpu, rest.bytes, rest.messages, rest.memory_mb, start, rest.descriptors])
    },
};

/// Against changes of the list.
pub const CHANGES: Family = Family {
    name: "proxy.changes",
    role: "proxy",
    against: "changes of the list a second, 880 nodes",
    at: &[1.0, 2.0, 5.0, 10.0, 20.0],
    quantities: &[
        quantity!("proxy.cpu.changes", "processor time", "s/s"),
        quantity!("proxy.bytes.changes", "bytes at its sockets, both ways", "B/s"),
        quantity!("proxy.messages.changes", "messages at its sockets, both ways", "1/s"),
    ],
    measure: |setup, rate| {
        let stand = Stand::open(setup, NODES_MANY, rate)?;
        stand.publish(ROUTES_FEW, 0)?;
        std::thread::sleep(SETTLES);
        let rest = stand.look(LOOKED_AT, || Ok(()))?;
        Ok(vec![rest.cpu, rest.bytes, rest.messages])
    },
};

/// Against routes.
pub const ROUTES: Family = Family {
    name: "proxy.routes",
    role: "proxy",
    against: "routes of a version, 880 nodes",
    at: &[100.0, 300.0, 1000.0, 3000.0, 5000.0, 10_000.0],
    quantities: &[
        quantity!("proxy.memory.routes", "most memory, five changes of a route in force", "MB"),
        quantity!("proxy.version.routes", "processor time for one route changed", "s"),
        quantity!("proxy.whole.routes", "bytes of the first version, sent whole", "B"),
        quantity!("proxy.delta.routes", "bytes of one route changed, with its answer", "B"),
    ],
    measure: |setup, routes| {
        let stand = Stand::open(setup, NODES_MANY, 0.0)?;
        let before = stand.control.bytes();
        stand.publish(routes as u64, 0)?;
        std::thread::sleep(SETTLES);
        let (whole, cpu) = (stand.control.bytes() - before, stand.usage()?.cpu_s);
        let before = stand.control.bytes();
        for n in 1..=VERSIONS_EACH {
            stand.publish(routes as u64, n)?;
        }
        // What is done once a version is in force counts as well.
        std::thread::sleep(SETTLES / 4);
        let (delta, after) = (stand.control.bytes() - before, stand.usage()?);
        let each = VERSIONS_EACH as f64;
        Ok(vec![after.memory_mb, (after.cpu_s - cpu) / each, whole as f64, delta as f64 / each])
    },
};

/// Against changes of version: what a stream of small messages from the control service costs.
pub const VERSIONS: Family = Family {
    name: "proxy.versions",
    role: "proxy",
    against: "versions a second of 10 routes, 880 nodes",
    at: &[2.0, 5.0, 10.0, 20.0, 33.0, 66.0],
    quantities: &[
        quantity!("proxy.cpu.versions", "processor time", "s/s"),
        quantity!("proxy.bytes.versions", "bytes at its sockets, both ways", "B/s"),
    ],
    measure: |setup, rate| {
        let stand = Stand::open(setup, NODES_MANY, 0.0)?;
        stand.publish(ROUTES_FEW, 0)?;
        std::thread::sleep(SETTLES);
        let (mut n, begun) = (0u64, Instant::now());
        let rest = stand.look(LOOKED_AT, || {
            n += 1;
            stand
                .service
                .publish(body(&stand.day, ROUTES_FEW, n), Plan::default())
                .map_err(|e| e.to_string())?;
            let due = begun + Duration::from_secs_f64(n as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            Ok(())
        })?;
        super::held(n, begun.elapsed().as_secs_f64(), rate)?;
        Ok(vec![rest.cpu, rest.bytes])
    },
};

/// What was seen of a proxy in a span.
struct Seen {
    cpu: f64,
    bytes: f64,
    messages: f64,
    memory_mb: f64,
    descriptors: f64,
}

/// A proxy between counting relays, with its list, its nodes and its control service.
struct Stand {
    day: Day,
    service: Hosted,
    proxy: Box<dyn Running>,
    list: Arc<Counted>,
    control: Arc<Counted>,
    _folder: tempfile::TempDir,
    /// Their thread ends when this is dropped.
    _stand_ins: oneshot::Sender<()>,
}

/// Where the stand-ins of a proxy stand.
struct StandIns {
    discovery: SocketAddr,
    known: Value,
    list: Arc<Counted>,
    services: SocketAddr,
    control: Arc<Counted>,
}

async fn stand_ins(
    nodes: usize,
    kinds: &[String],
    changes: f64,
    at: SocketAddr,
) -> std::io::Result<StandIns> {
    let list = List::open(nodes, kinds).await?;
    let known = list.since(None);
    let serving = list.serve(changes).await?;
    let (discovery, list) = relay::open(serving).await?;
    let (services, control) = relay::open(at).await?;
    Ok(StandIns { discovery, known, list, services, control })
}

impl Stand {
    fn open(setup: &Setup, nodes: usize, changes: f64) -> Result<Stand, String> {
        let mut day = Day::open("quiet").map_err(|e| e.to_string())?;
        day.site.proxy.count = 1;
        day.site.proxy.memory_mb = MEMORY_MB;
        let kinds: Vec<String> = day.site.cache.kinds.iter().map(|k| k.name.clone()).collect();
        let service = Hosted::start(1).map_err(|e| format!("service: {e}"))?;
        let (stop, stopped) = oneshot::channel::<()>();
        let (tell, told) = channel();
        let at = service.addr;
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let stand = move || {
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                // Who opens the stand waits for this; it lets go of the other end to close it.
                let _ = tell.send(stand_ins(nodes, &kinds, changes, at).await);
                let _ = stopped.await;
            });
        };
        std::thread::Builder::new().name("stand-ins".into()).spawn(stand).map_err(|e| e.to_string())?;
        let opened = told.recv().map_err(|_| "the stand-ins did not open")?;
        let StandIns { discovery, known, list, services, control } =
            opened.map_err(|e| format!("stand-ins of {nodes} nodes: {e}"))?;
        let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
        let file = folder.path().join("operator.toml");
        let text = format!("[control]\nservices = [\"{services}\"]\n");
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let program = Program { operator: Some(file), tied: true, ..Program::new(setup.proxy.clone()) };
        let config = proxy_config(&day, 0, discovery, &known);
        let proxy = program.start(0, &config, &folder.path().join("proxy"))?;
        let stand = Stand { day, service, proxy, list, control, _folder: folder, _stand_ins: stop };
        stand.until("it found no service", || !stand.service.statuses().is_empty())?;
        Ok(stand)
    }

    fn until(&self, why: &str, met: impl Fn() -> bool) -> Result<(), String> {
        let until = Instant::now() + WITHIN;
        while !met() {
            if Instant::now() > until {
                return Err(format!("{why}; its last lines:\n{}", self.proxy.last_lines().join("\n")));
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Publishes a version and waits until the proxy runs it.
    fn publish(&self, routes: u64, changed: u64) -> Result<Stamp, String> {
        let (stamp, _) = self
            .service
            .publish(body(&self.day, routes, changed), Plan::default())
            .map_err(|e| e.to_string())?;
        let runs = || self.service.statuses().iter().any(|row| row.running == Some(stamp));
        self.until(&format!("it does not run version {stamp}"), runs)?;
        Ok(stamp)
    }

    fn usage(&self) -> Result<Usage, String> {
        let looked = self.proxy.pid().and_then(Usage::look);
        looked.ok_or_else(|| format!("the proxy has ended:\n{}", self.proxy.last_lines().join("\n")))
    }

    fn counts(&self) -> (u64, u64) {
        let (list, control) = (&self.list, &self.control);
        (list.bytes() + control.bytes(), list.messages() + control.messages())
    }

    /// Looks at the proxy for a span, in which `act` is done over and over.
    fn look(&self, span: Duration, mut act: impl FnMut() -> Result<(), String>) -> Result<Seen, String> {
        let (begun, before, counted) = (Instant::now(), self.usage()?, self.counts());
        while begun.elapsed() < span {
            act()?;
            std::thread::sleep(LOOK);
        }
        let (after, counts, seconds) = (self.usage()?, self.counts(), begun.elapsed().as_secs_f64());
        Ok(Seen {
            cpu: (after.cpu_s - before.cpu_s) / seconds,
            bytes: (counts.0 - counted.0) as f64 / seconds,
            messages: (counts.1 - counted.1) as f64 / seconds,
            memory_mb: after.memory_mb,
            descriptors: after.descriptors as f64,
        })
    }
}
