//! Slopes of a real proxy without clients: its cost for the list of nodes and for versions of its configuration.

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

/// The proxy's memory limit in MB: above the target's, so that the memory in use is measured and not the limit.
const MEMORY_MB: usize = 128;
/// The longest wait for a state of the proxy.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The time after the first version before the proxy is measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The duration of a measurement: a multiple of the periods of the proxy's watch (2.5 s) and keep-alives (5 s).
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Versions after the first one over which the cost of one version is averaged.
const MEASURED_VERSIONS: u64 = 5;
/// Listed nodes in families over another size: the target's number.
const NODES_FIXED: usize = 880;
/// Routes of a version in families over another size.
const SMALL_VERSION_ROUTES: u64 = 10;

macro_rules! quantity {
    ($name:literal, $quantity:literal, $unit:literal) => {
        Quantity { name: $name, quantity: $quantity, unit: $unit }
    };
}

/// The cost of an idle proxy against the number of listed nodes.
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
        testbed.publish(SMALL_VERSION_ROUTES, 0)?;
        std::thread::sleep(SETTLE_TIME);
        let start = testbed.usage()?.cpu_s;
        let rest = testbed.measure(MEASUREMENT_TIME, || Ok(()))?;
        Ok(vec![rest.cpu, rest.bytes, rest.messages, rest.memory_mb, start, rest.descriptors])
    },
};

/// The proxy's cost against changes of the list a second.
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
        testbed.publish(SMALL_VERSION_ROUTES, 0)?;
        std::thread::sleep(SETTLE_TIME);
        let rest = testbed.measure(MEASUREMENT_TIME, || Ok(()))?;
        Ok(vec![rest.cpu, rest.bytes, rest.messages])
    },
};

/// The proxy's cost against the number of routes of a version.
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
        let (first_version_bytes, cpu) = (testbed.control.bytes() - before, testbed.usage()?.cpu_s);
        let before = testbed.control.bytes();
        for n in 1..=MEASURED_VERSIONS {
            testbed.publish(routes as u64, n)?;
        }
        // Includes the work after a version is in force.
        std::thread::sleep(SETTLE_TIME / 4);
        let (delta, after) = (testbed.control.bytes() - before, testbed.usage()?);
        let each = MEASURED_VERSIONS as f64;
        Ok(vec![after.memory_mb, (after.cpu_s - cpu) / each, first_version_bytes as f64, delta as f64 / each])
    },
};

/// The proxy's cost against versions a second: a stream of small messages from the control service.
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
        testbed.publish(SMALL_VERSION_ROUTES, 0)?;
        std::thread::sleep(SETTLE_TIME);
        let (mut n, started) = (0u64, Instant::now());
        let rest = testbed.measure(MEASUREMENT_TIME, || {
            n += 1;
            testbed.publish_without_waiting(SMALL_VERSION_ROUTES, n)?;
            let due = started + Duration::from_secs_f64(n as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            Ok(())
        })?;
        super::check_rate(n, started.elapsed().as_secs_f64(), rate)?;
        Ok(vec![rest.cpu, rest.bytes])
    },
};

/// Rates over a measurement of the proxy, with its peak memory and its open descriptors.
struct Measurement {
    cpu: f64,
    bytes: f64,
    messages: f64,
    memory_mb: f64,
    descriptors: f64,
}

/// A proxy with counting relays to its list server and its control service, and with listening nodes.
struct ProxyTestbed {
    day: Day,
    service: ServiceThread,
    proxy: Box<dyn RunningProxy>,
    list_server: Arc<ByteCounter>,
    control: Arc<ByteCounter>,
    _folder: tempfile::TempDir,
    /// Dropping this ends the thread of the stubs.
    _stop_stubs: oneshot::Sender<()>,
}

/// The addresses and byte counters of the stubs that the proxy connects to.
struct Stubs {
    discovery: SocketAddr,
    initial_list: Value,
    list_server: Arc<ByteCounter>,
    services: SocketAddr,
    control: Arc<ByteCounter>,
}

async fn open_stubs(nodes: usize, kinds: &[String], changes: f64, at: SocketAddr) -> std::io::Result<Stubs> {
    let list_server = EndpointListServer::open(nodes, kinds).await?;
    let initial_list = list_server.changes_since(None);
    let serving = list_server.serve(changes).await?;
    let (discovery, list_server) = byte_counter::open(serving).await?;
    let (services, control) = byte_counter::open(at).await?;
    Ok(Stubs { discovery, initial_list, list_server, services, control })
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
        let run_stubs = move || {
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                // The thread that opens the testbed waits for this message; dropping its end of the other channel ends
                // this thread.
                let _ = send_opened.send(open_stubs(nodes, &kinds, changes, at).await);
                let _ = stopped.await;
            });
        };
        std::thread::Builder::new()
            .name("stand-ins".into())
            .spawn(run_stubs)
            .map_err(MeasureError::Runtime)?;
        let opened = opened_receiver.recv().map_err(|_| MeasureError::StubsPanicked)?;
        let Stubs { discovery, initial_list, list_server, services, control } =
            opened.map_err(|source| MeasureError::Stubs { nodes, source })?;
        let folder = tempfile::tempdir().map_err(MeasureError::Folder)?;
        let file = folder.path().join("operator.toml");
        let text = format!("[control]\nservices = [\"{services}\"]\n");
        std::fs::write(&file, text).map_err(FileError::at(&file))?;
        let program =
            Program { operator: Some(file), kill_with_parent: true, ..Program::new(setup.proxy.clone()) };
        let config = proxy_config(&day, 0, discovery, &initial_list);
        let proxy = program.start(0, &config, &folder.path().join("proxy"))?;
        let testbed =
            ProxyTestbed { day, service, proxy, list_server, control, _folder: folder, _stop_stubs: stop };
        testbed.wait_until("the proxy did not connect to the control service", || {
            !testbed.service.statuses().is_empty()
        })?;
        Ok(testbed)
    }

    fn wait_until(&self, failure: &str, condition: impl Fn() -> bool) -> Result<(), MeasureError> {
        let deadline = Instant::now() + TIMEOUT;
        while !condition() {
            if Instant::now() > deadline {
                let last_lines = self.proxy.last_lines();
                return Err(MeasureError::ProxyTimeout { failure: failure.to_owned(), last_lines });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Publishes a version without waiting for the proxy.
    fn publish_without_waiting(&self, routes: u64, changed: u64) -> Result<Stamp, MeasureError> {
        let body = version_body(&self.day, routes, changed);
        let (stamp, _) = self
            .service
            .publish(body, Plan::default())
            .map_err(|cause| MeasureError::Control(cause.to_string()))?;
        Ok(stamp)
    }

    /// Publishes a version and waits until the proxy reports it as running.
    fn publish(&self, routes: u64, changed: u64) -> Result<Stamp, MeasureError> {
        let stamp = self.publish_without_waiting(routes, changed)?;
        let runs = || self.service.statuses().iter().any(|row| row.running == Some(stamp));
        self.wait_until(&format!("the proxy does not run version {stamp}"), runs)?;
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

    /// Measures the proxy for a duration in which `action` is repeated.
    fn measure(
        &self,
        duration: Duration,
        mut action: impl FnMut() -> Result<(), MeasureError>,
    ) -> Result<Measurement, MeasureError> {
        let (started, before, counted) = (Instant::now(), self.usage()?, self.counts());
        while started.elapsed() < duration {
            action()?;
            std::thread::sleep(POLL_INTERVAL);
        }
        let (after, counts, seconds) = (self.usage()?, self.counts(), started.elapsed().as_secs_f64());
        Ok(Measurement {
            cpu: (after.cpu_s - before.cpu_s) / seconds,
            bytes: (counts.0 - counted.0) as f64 / seconds,
            messages: (counts.1 - counted.1) as f64 / seconds,
            memory_mb: after.memory_mb,
            descriptors: after.descriptors as f64,
        })
    }
}
