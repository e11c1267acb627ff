//! A real proxy without clients: what the list of nodes and the versions of its configuration cost it.

use super::byte_counter::{self, ByteCounter};
use super::list_server::EndpointListServer;
use super::{Family, Quantity, Setup};
use crate::MeasureError;
use aniseyoke_control::hosted::ServiceThread;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use aniseyoke_lab_day::{proxy_config, Day, FileError};
use aniseyoke_lab_process::{Program, ProxyLauncher, RunningProxy, Usage};
use aniseyoke_lab_scale::versions::version_body;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The memory that the proxy is told it may take, in MB: more than the target's, so that need is seen and not the limit.
const MEMORY_MB: usize = 128;
/// The measurement fails if something takes longer than this.
const TIMEOUT: Duration = Duration::from_secs(30);
/// A proxy that has just started is left alone for this long.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// It is measured for this long: whole cycles of its watch (2.5 s) and of its keep-alives (5 s).
const MEASURED_FOR: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Versions after the first where the cost of each is measured.
const VERSIONS_EACH: u64 = 5;
/// Nodes listed where something else is the size: the target's.
const NODES_FIXED: usize = 880;
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
        let testbed = ProxyTestbed::open(setup, nodes as usize, 0.0)?;
        testbed.publish(ROUTES_FEW, 0)?;
        std::thread::sleep(SETTLE_TIME);
        let start = testbed.usage()?.cpu_s;
        let rest = testbed.measure(MEASURED_FOR, || Ok(()))?;
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
        let testbed = ProxyTestbed::open(setup, NODES_FIXED, rate)?;
        testbed.publish(ROUTES_FEW, 0)?;
        std::thread::sleep(SETTLE_TIME);
        let rest = testbed.measure(MEASURED_FOR, || Ok(()))?;
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
        let testbed = ProxyTestbed::open(setup, NODES_FIXED, 0.0)?;
        let before = testbed.control.bytes();
        testbed.publish(routes as u64, 0)?;
        std::thread::sleep(SETTLE_TIME);
        let (whole, cpu) = (testbed.control.bytes() - before, testbed.usage()?.cpu_s);
        let before = testbed.control.bytes();
        for n in 1..=VERSIONS_EACH {
            testbed.publish(routes as u64, n)?;
        }
        // What is done once a version is in force counts as well.
        std::thread::sleep(SETTLE_TIME / 4);
        let (delta, after) = (testbed.control.bytes() - before, testbed.usage()?);
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
        let testbed = ProxyTestbed::open(setup, NODES_FIXED, 0.0)?;
        testbed.publish(ROUTES_FEW, 0)?;
        std::thread::sleep(SETTLE_TIME);
        let (mut n, begun) = (0u64, Instant::now());
        let rest = testbed.measure(MEASURED_FOR, || {
            n += 1;
            testbed.publish_only(ROUTES_FEW, n)?;
            let due = begun + Duration::from_secs_f64(n as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            Ok(())
        })?;
        super::check_rate(n, begun.elapsed().as_secs_f64(), rate)?;
        Ok(vec![rest.cpu, rest.bytes])
    },
};

/// What was measured of a proxy in a span.
struct Measurement {
    cpu: f64,
    bytes: f64,
    messages: f64,
    memory_mb: f64,
    descriptors: f64,
}

/// A proxy between counting relays, with its list, its nodes and its control service.
struct ProxyTestbed {
    day: Day,
    service: ServiceThread,
    proxy: Box<dyn RunningProxy>,
    list_server: Arc<ByteCounter>,
    control: Arc<ByteCounter>,
    _folder: tempfile::TempDir,
    /// Their thread ends when this is dropped.
    _stand_ins: oneshot::Sender<()>,
}

/// The addresses of a proxy's stand-ins.
struct StandIns {
    discovery: SocketAddr,
    known: Value,
    list_server: Arc<ByteCounter>,
    services: SocketAddr,
    control: Arc<ByteCounter>,
}

async fn open_stand_ins(
    nodes: usize,
    kinds: &[String],
    changes: f64,
    at: SocketAddr,
) -> std::io::Result<StandIns> {
    let list_server = EndpointListServer::open(nodes, kinds).await?;
    let known = list_server.since(None);
    let serving = list_server.serve(changes).await?;
    let (discovery, list_server) = byte_counter::open(serving).await?;
    let (services, control) = byte_counter::open(at).await?;
    Ok(StandIns { discovery, known, list_server, services, control })
}

impl ProxyTestbed {
    fn open(setup: &Setup, nodes: usize, changes: f64) -> Result<ProxyTestbed, MeasureError> {
        let mut day = Day::open("quiet")?;
        day.site.proxy.count = 1;
        day.site.proxy.memory_mb = MEMORY_MB;
        let kinds: Vec<String> = day.site.cache.kinds.iter().map(|k| k.name.clone()).collect();
        let service = ServiceThread::start(1).map_err(MeasureError::Service)?;
        let (stop, stopped) = oneshot::channel::<()>();
        let (send_opened, opened_receiver) = channel();
        let at = service.addr;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(MeasureError::Runtime)?;
        let stand_ins = move || {
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                // Whoever opens the testbed waits for this, and drops the other end to close it.
                let _ = send_opened.send(open_stand_ins(nodes, &kinds, changes, at).await);
                let _ = stopped.await;
            });
        };
        std::thread::Builder::new()
            .name("stand-ins".into())
            .spawn(stand_ins)
            .map_err(MeasureError::Runtime)?;
        let opened = opened_receiver.recv().map_err(|_| MeasureError::StandInsPanicked)?;
        let StandIns { discovery, known, list_server, services, control } =
            opened.map_err(|source| MeasureError::StandIns { nodes, source })?;
        let folder = tempfile::tempdir().map_err(MeasureError::Folder)?;
        let file = folder.path().join("operator.toml");
        let text = format!("[control]\nservices = [\"{services}\"]\n");
        std::fs::write(&file, text).map_err(FileError::at(&file))?;
        let program =
            Program { operator: Some(file), kill_with_parent: true, ..Program::new(setup.proxy.clone()) };
        let config = proxy_config(&day, 0, discovery, &known);
        let proxy = program.start(0, &config, &folder.path().join("proxy"))?;
        let testbed =
            ProxyTestbed { day, service, proxy, list_server, control, _folder: folder, _stand_ins: stop };
        testbed.wait_until("it found no service", || !testbed.service.statuses().is_empty())?;
        Ok(testbed)
    }

    fn wait_until(&self, what: &str, condition: impl Fn() -> bool) -> Result<(), MeasureError> {
        let until = Instant::now() + TIMEOUT;
        while !condition() {
            if Instant::now() > until {
                let last_lines = self.proxy.last_lines();
                return Err(MeasureError::ProxyTimeout { what: what.to_owned(), last_lines });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Publishes a version.
    fn publish_only(&self, routes: u64, changed: u64) -> Result<Stamp, MeasureError> {
        let body = version_body(&self.day, routes, changed);
        let (stamp, _) = self
            .service
            .publish(body, Plan::default())
            .map_err(|why| MeasureError::Control(why.to_string()))?;
        Ok(stamp)
    }

    /// Publishes a version and waits until the proxy runs it.
    fn publish(&self, routes: u64, changed: u64) -> Result<Stamp, MeasureError> {
        let stamp = self.publish_only(routes, changed)?;
        let runs = || self.service.statuses().iter().any(|row| row.running == Some(stamp));
        self.wait_until(&format!("it does not run version {stamp}"), runs)?;
        Ok(stamp)
    }

    fn usage(&self) -> Result<Usage, MeasureError> {
        let usage = self.proxy.pid().and_then(Usage::of_process);
        usage.ok_or_else(|| MeasureError::ProxyEnded(self.proxy.last_lines()))
    }

    fn counts(&self) -> (u64, u64) {
        let (list_server, control) = (&self.list_server, &self.control);
        (list_server.bytes() + control.bytes(), list_server.messages() + control.messages())
    }

    /// Measures the proxy for a span, in which `act` is repeated.
    fn measure(
        &self,
        span: Duration,
        mut act: impl FnMut() -> Result<(), MeasureError>,
    ) -> Result<Measurement, MeasureError> {
        let (begun, before, counted) = (Instant::now(), self.usage()?, self.counts());
        while begun.elapsed() < span {
            act()?;
            std::thread::sleep(POLL_INTERVAL);
        }
        let (after, counts, seconds) = (self.usage()?, self.counts(), begun.elapsed().as_secs_f64());
        Ok(Measurement {
            cpu: (after.cpu_s - before.cpu_s) / seconds,
            bytes: (counts.0 - counted.0) as f64 / seconds,
            messages: (counts.1 - counted.1) as f64 / seconds,
            memory_mb: after.memory_mb,
            descriptors: after.descriptors as f64,
        })
    }
}
