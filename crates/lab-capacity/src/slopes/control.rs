//! A real control service behind emulated proxies: what each of them, and each message, costs it.

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

/// The measurement fails if something takes longer than this.
const TIMEOUT: Duration = Duration::from_secs(60);
/// The service is measured for this long.
const MEASURED_FOR: Duration = Duration::from_secs(6);
/// The service reads what was sent to it within this time.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Connections opened at once: more than a listener's queue holds would be retried a second later.
const CONNECT_BATCH: usize = 50;
/// The pause between batches of connections.
const CONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Versions after the first where the cost of each is measured.
const VERSIONS_EACH: u64 = 5;
/// Routes of a version where proxies are the size.
const ROUTES: u64 = 1000;
/// Routes of a version where the rate is the size.
const ROUTES_FEW: u64 = 10;
/// Proxies where the rate is the size.
const PROXIES_FIXED: usize = 500;
/// Proxies where the distance is the size.
const PROXIES_FAR: usize = 50;
/// Versions a second where the distance is the size.
const RATE_FAR: f64 = 8.0;
/// Descriptors that are needed beside one for each proxy.
const DESCRIPTORS: u64 = 200;

/// Against proxies.
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
        fleet.wait_until_taken(1)?;
        std::thread::sleep(SETTLE_TIME);
        let (whole, mut last) = (fleet.cpu()? - cpu, Duration::ZERO);
        let (cpu, bytes) = (fleet.cpu()?, fleet.bytes());
        let (rest, mut paused) = (fleet.idle_cpu()?, Duration::ZERO);
        let rest_cpu = fleet.cpu()? - cpu;
        let cpu = cpu + rest_cpu;
        let bytes_at_rest = fleet.bytes() - bytes;
        let bytes = bytes + bytes_at_rest;
        let begun = Instant::now();
        for n in 1..=VERSIONS_EACH {
            let at = fleet.publish(ROUTES, n)?;
            last += fleet.wait_until_taken(n + 1)?.saturating_duration_since(at);
            std::thread::sleep(SETTLE_TIME);
            paused = begun.elapsed();
        }
        // What reports cost meanwhile is known from the rest.
        let used = fleet.cpu()? - cpu - rest * paused.as_secs_f64();
        let each = VERSIONS_EACH as f64;
        let sent = (fleet.bytes() - bytes) as f64 / each;
        let memory_mb = fleet.usage()?.memory_mb;
        Ok(vec![used / each, last.as_secs_f64() / each, sent, memory_mb, rest, whole])
    },
};

/// Against versions a second.
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
        fleet.publish(ROUTES_FEW, 0)?;
        fleet.wait_until_taken(1)?;
        std::thread::sleep(SETTLE_TIME);
        let (cpu, bytes) = fleet.stream(ROUTES_FEW, rate)?;
        Ok(vec![cpu, bytes])
    },
};

/// Against how far proxies are: a version that comes before the last one was answered is sent whole.
pub const BY_DISTANCE: Family = Family {
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
        let fleet = EmulatedFleet::open(setup, PROXIES_FAR, Duration::from_secs_f64(ms / 1000.0))?;
        fleet.publish(ROUTES, 0)?;
        fleet.wait_until_taken(1)?;
        std::thread::sleep(SETTLE_TIME);
        let (_, bytes) = fleet.stream(ROUTES, RATE_FAR)?;
        Ok(vec![bytes])
    },
};

fn version_body(routes: u64, changed: u64) -> Value {
    let pool = |n| if n == changed % routes.max(1) { "b" } else { "a" };
    let routes: Vec<Value> =
        (0..routes).map(|n| json!({ "prefix": format!("device-{n:06}/"), "pool": pool(n) })).collect();
    json!({ "pools": { "a": { "kinds": ["k"] }, "b": { "kinds": ["l"] } }, "routes": routes })
}

/// A control service as a process of its own.
struct ServiceProcess {
    child: Child,
    proxies: SocketAddr,
    operators: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for ServiceProcess {
    fn drop(&mut self) {
        // It may have ended already.
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
                // Nobody waits any more once both are known.
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

/// A service and its proxies.
struct EmulatedFleet {
    service: ServiceProcess,
    proxies: usize,
    bytes: Arc<AtomicU64>,
    taken: Receiver<(u64, Instant)>,
    calls: tokio::runtime::Runtime,
    /// The proxies' thread ends when this is dropped.
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl EmulatedFleet {
    fn open(setup: &Setup, proxies: usize, reply_delay: Duration) -> Result<EmulatedFleet, MeasureError> {
        let limit = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
        let (available, _) = limit.map_err(MeasureError::Limit)?;
        let needed = proxies as u64 + DESCRIPTORS;
        if available < needed {
            return Err(MeasureError::TooFewDescriptors { proxies, needed, available });
        }
        let runtime = || {
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(MeasureError::Runtime)
        };
        let (service, emulating, calls) = (ServiceProcess::start(setup)?, runtime()?, runtime()?);
        let (addr, bytes) = (service.proxies, Arc::<AtomicU64>::default());
        let (send_taken, taken) = channel();
        let (send_connected, connected) = channel();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let all_bytes = bytes.clone();
        std::thread::spawn(move || {
            LocalSet::new().block_on(&emulating, async move {
                for n in 0..proxies {
                    let proxy = EmulatedProxy {
                        index: n,
                        service: addr,
                        reply_delay,
                        taken: send_taken.clone(),
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
                // Dropping the fleet ends it.
                let _ = stopped.await;
            });
        });
        for have in 0..proxies {
            connected.recv_timeout(TIMEOUT).map_err(|_| MeasureError::NotConnected { have, proxies })?;
        }
        std::thread::sleep(SETTLE_TIME);
        Ok(EmulatedFleet { service, proxies, bytes, taken, calls, _stop: stop })
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

    /// Publishes; returns the time before the call.
    fn publish(&self, routes: u64, changed: u64) -> Result<Instant, MeasureError> {
        let publish = OperatorRequest::Publish { body: version_body(routes, changed), plan: Plan::default() };
        let at = Instant::now();
        let answer = self.calls.block_on(call(self.service.operators, &publish));
        match answer.map_err(|why| MeasureError::Control(why.to_string()))? {
            OperatorResponse::Published { .. } => Ok(at),
            OperatorResponse::Rejected { reason: why } => Err(MeasureError::Control(why)),
            OperatorResponse::Status { .. }
            | OperatorResponse::PurgeAccepted { .. }
            | OperatorResponse::PurgeStatus { .. } => Err(MeasureError::UnexpectedAnswer),
        }
    }

    /// Waits until every proxy has taken a version; returns when the last one did.
    fn wait_until_taken(&self, number: u64) -> Result<Instant, MeasureError> {
        let mut last = Instant::now();
        let mut have = 0;
        while have < self.proxies {
            let (taken, at) = self.taken.recv_timeout(TIMEOUT).map_err(|_| MeasureError::NotTaken {
                have,
                proxies: self.proxies,
                number,
            })?;
            if taken == number {
                (have, last) = (have + 1, at);
            }
        }
        Ok(last)
    }

    /// Publishes this many versions a second, each with one route changed; returns the service's processor time a second,
    /// and the bytes a second that each proxy was sent.
    fn stream(&self, routes: u64, rate: f64) -> Result<(f64, f64), MeasureError> {
        let (begun, cpu, bytes) = (Instant::now(), self.cpu()?, self.bytes());
        let mut n = 0u64;
        while begun.elapsed() < MEASURED_FOR {
            n += 1;
            self.publish(routes, n)?;
            let due = begun + Duration::from_secs_f64(n as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let seconds = begun.elapsed().as_secs_f64();
        let (cpu, bytes) = (self.cpu()? - cpu, self.bytes() - bytes);
        super::check_rate(n, seconds, rate)?;
        // Danger: a service that lags behind would look cheap.
        self.wait_until_taken(n + 1)?;
        Ok((cpu / seconds, bytes as f64 / seconds / self.proxies as f64))
    }

    /// Processor time a second while nothing is published.
    fn idle_cpu(&self) -> Result<f64, MeasureError> {
        let (begun, cpu) = (Instant::now(), self.cpu()?);
        std::thread::sleep(MEASURED_FOR);
        Ok((self.cpu()? - cpu) / begun.elapsed().as_secs_f64())
    }
}
