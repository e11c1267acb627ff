//! Slopes of a real control service with emulated proxies: its cost for each proxy and each message.

use super::emulated_proxy::EmulatedProxy;
use super::{Family, Quantity, Setup};
use crate::MeasureError;
use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use aniseyoke_control::operators::call;
use aniseyoke_control::rollout::Plan;
use aniseyoke_lab_process::{kill_with_parent, Usage};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// The longest wait for one step of a measurement.
const TIMEOUT: Duration = Duration::from_secs(60);
/// The duration of one measurement of the service.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);
/// Within this time the service has read all data that was sent to it.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Connections that are opened at once. Connections beyond the listener's backlog would be retried a second later.
const CONNECT_BATCH: usize = 50;
/// The pause between batches of connections.
const CONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Versions after the first one over which the cost of one version is averaged.
const MEASURED_VERSIONS: u64 = 5;
/// Routes of a version in the families over proxies and over reply delay.
const ROUTES: u64 = 1000;
/// Routes of a version in the family over rate.
const SMALL_VERSION_ROUTES: u64 = 10;
/// Proxies in the family over rate.
const PROXIES_FIXED: usize = 500;
/// Proxies in the family over reply delay.
const DELAYED_PROXIES: usize = 50;
/// Versions a second in the family over reply delay.
const DELAYED_VERSIONS_PER_SECOND: f64 = 8.0;
/// Descriptors that are needed in addition to one for each proxy.
const EXTRA_DESCRIPTORS: u64 = 200;

/// The control service's cost against the number of proxies.
pub const BY_PROXIES: Family = Family {
    name: "control.proxies",
    role: "control service",
    against: "proxies, 1,000 routes",
    at: &[250.0, 500.0, 1000.0, 1500.0, 2500.0],
    quantities: &[
        Quantity {
            name: "control.version.proxies",
            quantity: "processor time for one route changed",
            unit: "s",
        },
        Quantity { name: "control.last.proxies", quantity: "from publishing to the last proxy", unit: "s" },
        Quantity { name: "control.bytes.proxies", quantity: "bytes sent for one route changed", unit: "B" },
        Quantity { name: "control.memory.proxies", quantity: "most memory", unit: "MB" },
        Quantity {
            name: "control.rest.proxies",
            quantity: "processor time, one report a second from each",
            unit: "s/s",
        },
        Quantity {
            name: "control.whole.proxies",
            quantity: "processor time for the first version, sent whole",
            unit: "s",
        },
    ],
    measure: |setup, proxies| {
        let fleet = EmulatedFleet::open(setup, proxies as usize, Duration::ZERO)?;
        let cpu = fleet.cpu()?;
        fleet.publish(ROUTES, 0)?;
        fleet.wait_until_received(1)?;
        std::thread::sleep(SETTLE_TIME);
        let (first_version_cpu, mut last) = (fleet.cpu()? - cpu, Duration::ZERO);
        let (cpu, bytes) = (fleet.cpu()?, fleet.bytes());
        let (rest, mut elapsed_time) = (fleet.idle_cpu()?, Duration::ZERO);
        let rest_cpu = fleet.cpu()? - cpu;
        let cpu = cpu + rest_cpu;
        let bytes_at_rest = fleet.bytes() - bytes;
        let bytes = bytes + bytes_at_rest;
        let started = Instant::now();
        for n in 1..=MEASURED_VERSIONS {
            let at = fleet.publish(ROUTES, n)?;
            last += fleet.wait_until_received(n + 1)?.saturating_duration_since(at);
            std::thread::sleep(SETTLE_TIME);
            elapsed_time = started.elapsed();
        }
        // Subtracts the cost of reports during this time, which the measurement at rest yields.
        let used = fleet.cpu()? - cpu - rest * elapsed_time.as_secs_f64();
        let each = MEASURED_VERSIONS as f64;
        let sent = (fleet.bytes() - bytes) as f64 / each;
        let memory_mb = fleet.usage()?.memory_mb;
        Ok(vec![used / each, last.as_secs_f64() / each, sent, memory_mb, rest, first_version_cpu])
    },
};

/// The control service's cost against versions a second.
pub const BY_RATE: Family = Family {
    name: "control.versions",
    role: "control service",
    against: "versions a second of 10 routes to 500 proxies",
    at: &[1.0, 2.0, 5.0, 10.0, 20.0],
    quantities: &[
        Quantity { name: "control.cpu.versions", quantity: "processor time", unit: "s/s" },
        Quantity { name: "control.bytes.versions", quantity: "bytes sent to each proxy", unit: "B/s" },
    ],
    measure: |setup, rate| {
        let fleet = EmulatedFleet::open(setup, PROXIES_FIXED, Duration::ZERO)?;
        fleet.publish(SMALL_VERSION_ROUTES, 0)?;
        fleet.wait_until_received(1)?;
        std::thread::sleep(SETTLE_TIME);
        let (cpu, bytes) = fleet.stream(SMALL_VERSION_ROUTES, rate)?;
        Ok(vec![cpu, bytes])
    },
};

/// Bytes sent against the proxies' reply delay: a version that is published before the previous one is acknowledged is
/// sent as a full version, not as a delta.
pub const BY_REPLY_DELAY: Family = Family {
    name: "control.distance",
    role: "control service",
    against: "ms until a proxy answers, 8 versions a second of 1,000 routes to 50 proxies",
    at: &[5.0, 10.0, 20.0, 50.0, 100.0, 200.0],
    quantities: &[Quantity {
        name: "control.bytes.distance",
        quantity: "bytes sent to each proxy",
        unit: "B/s",
    }],
    measure: |setup, ms| {
        let fleet = EmulatedFleet::open(setup, DELAYED_PROXIES, Duration::from_secs_f64(ms / 1000.0))?;
        fleet.publish(ROUTES, 0)?;
        fleet.wait_until_received(1)?;
        std::thread::sleep(SETTLE_TIME);
        let (_, bytes) = fleet.stream(ROUTES, DELAYED_VERSIONS_PER_SECOND)?;
        Ok(vec![bytes])
    },
};

fn version_body(routes: u64, changed: u64) -> Value {
    let pool = |n| if n == changed % routes.max(1) { "b" } else { "a" };
    let routes: Vec<Value> =
        (0..routes).map(|n| json!({ "prefix": format!("device-{n:06}/"), "pool": pool(n) })).collect();
    json!({ "pools": { "a": { "kinds": ["k"] }, "b": { "kinds": ["l"] } }, "routes": routes })
}

/// A control service in a separate process.
struct ServiceProcess {
    child: Child,
    proxies: SocketAddr,
    operators: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for ServiceProcess {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = (self.child.kill(), self.child.wait());
    }
}

impl ServiceProcess {
    fn start(setup: &Setup) -> Result<ServiceProcess, MeasureError> {
        let program = setup.control.display().to_string();
        let folder = tempfile::tempdir().map_err(MeasureError::Folder)?;
        let mut command = Command::new(&setup.control);
        command.args(["serve", "--listen", "127.0.0.1:0", "--door", "127.0.0.1:0", "--dir"]);
        command.arg(folder.path()).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        kill_with_parent(&mut command);
        let mut child =
            command.spawn().map_err(|source| MeasureError::Spawn { program: program.clone(), source })?;
        let stderr = child.stderr.take().ok_or(MeasureError::NoStandardError)?;
        let (send_addr, addr_or_line) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let addr = line.rsplit(' ').next().and_then(|addr| addr.parse::<SocketAddr>().ok());
                // The receiver is dropped once both addresses are known.
                let _ = send_addr.send(addr.ok_or(line));
            }
        });
        let mut addrs = Vec::new();
        while addrs.len() < 2 {
            match addr_or_line.recv_timeout(TIMEOUT) {
                Ok(Ok(addr)) => addrs.push(addr),
                Ok(Err(line)) => return Err(MeasureError::UnexpectedLine { program, line }),
                Err(_) => return Err(MeasureError::NoAddresses(program)),
            }
        }
        Ok(ServiceProcess { child, proxies: addrs[0], operators: addrs[1], _folder: folder })
    }
}

/// A control service and the emulated proxies that are connected to it.
struct EmulatedFleet {
    service: ServiceProcess,
    proxies: usize,
    bytes: Arc<AtomicU64>,
    received_version: Receiver<(u64, Instant)>,
    calls: tokio::runtime::Runtime,
    /// Dropping this ends the thread of the proxies.
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl EmulatedFleet {
    fn open(setup: &Setup, proxies: usize, reply_delay: Duration) -> Result<EmulatedFleet, MeasureError> {
        let limit = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
        let (available, _) = limit.map_err(MeasureError::Limit)?;
        let needed = proxies as u64 + EXTRA_DESCRIPTORS;
        if available < needed {
            return Err(MeasureError::TooFewDescriptors { proxies, needed, available });
        }
        let runtime = || {
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(MeasureError::Runtime)
        };
        let (service, proxy_runtime, calls) = (ServiceProcess::start(setup)?, runtime()?, runtime()?);
        let (addr, bytes) = (service.proxies, Arc::<AtomicU64>::default());
        let (send_received_version, received_version) = channel();
        let (send_connected, connected) = channel();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let all_bytes = bytes.clone();
        std::thread::spawn(move || {
            LocalSet::new().block_on(&proxy_runtime, async move {
                for n in 0..proxies {
                    let proxy = EmulatedProxy {
                        index: n,
                        service: addr,
                        reply_delay,
                        received_version: send_received_version.clone(),
                        connected: send_connected.clone(),
                        bytes: all_bytes.clone(),
                    };
                    tokio::task::spawn_local(async move {
                        if let Err(e) = proxy.run().await {
                            tracing::debug!("emulated proxy {n}: {e}");
                        }
                    });
                    if n % CONNECT_BATCH == CONNECT_BATCH - 1 {
                        tokio::time::sleep(CONNECT_PAUSE).await;
                    }
                }
                // Dropping the fleet ends this wait.
                let _ = stopped.await;
            });
        });
        for completed in 0..proxies {
            connected.recv_timeout(TIMEOUT).map_err(|_| MeasureError::NotConnected { completed, proxies })?;
        }
        std::thread::sleep(SETTLE_TIME);
        Ok(EmulatedFleet { service, proxies, bytes, received_version, calls, _stop: stop })
    }

    fn usage(&self) -> Result<Usage, MeasureError> {
        Usage::of_process(self.service.child.id()).ok_or(MeasureError::ServiceEnded)
    }

    fn cpu(&self) -> Result<f64, MeasureError> {
        Ok(self.usage()?.cpu_s)
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Publishes a version; returns the time before the call.
    fn publish(&self, routes: u64, changed: u64) -> Result<Instant, MeasureError> {
        let publish = OperatorRequest::Publish { body: version_body(routes, changed), plan: Plan::default() };
        let at = Instant::now();
        let answer = self.calls.block_on(call(self.service.operators, &publish));
        match answer.map_err(|cause| MeasureError::Control(cause.to_string()))? {
            OperatorResponse::Published { .. } => Ok(at),
            OperatorResponse::Rejected { reason: cause } => Err(MeasureError::Control(cause)),
            OperatorResponse::Status { .. }
            | OperatorResponse::PurgeAccepted { .. }
            | OperatorResponse::PurgeStatus { .. } => Err(MeasureError::UnexpectedResponse),
        }
    }

    /// Waits until every proxy has received a version; returns the time at which the last one did.
    fn wait_until_received(&self, number: u64) -> Result<Instant, MeasureError> {
        let mut last = Instant::now();
        let mut completed = 0;
        while completed < self.proxies {
            let (received_version, at) = self
                .received_version
                .recv_timeout(TIMEOUT)
                .map_err(|_| MeasureError::VersionNotReceived { completed, proxies: self.proxies, number })?;
            if received_version == number {
                (completed, last) = (completed + 1, at);
            }
        }
        Ok(last)
    }

    /// Publishes `rate` versions a second, each with one route changed; returns the service's processor time a second
    /// and the bytes a second sent to each proxy.
    fn stream(&self, routes: u64, rate: f64) -> Result<(f64, f64), MeasureError> {
        let (started, cpu, bytes) = (Instant::now(), self.cpu()?, self.bytes());
        let mut n = 0u64;
        while started.elapsed() < MEASUREMENT_TIME {
            n += 1;
            self.publish(routes, n)?;
            let due = started + Duration::from_secs_f64(n as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let seconds = started.elapsed().as_secs_f64();
        let (cpu, bytes) = (self.cpu()? - cpu, self.bytes() - bytes);
        super::check_rate(n, seconds, rate)?;
        // Guards against a cost that is too low: a service that lags behind has not yet processed the last versions.
        self.wait_until_received(n + 1)?;
        Ok((cpu / seconds, bytes as f64 / seconds / self.proxies as f64))
    }

    /// The service's processor time a second while no version is published.
    fn idle_cpu(&self) -> Result<f64, MeasureError> {
        let (started, cpu) = (Instant::now(), self.cpu()?);
        std::thread::sleep(MEASUREMENT_TIME);
        Ok((self.cpu()? - cpu) / started.elapsed().as_secs_f64())
    }
}
