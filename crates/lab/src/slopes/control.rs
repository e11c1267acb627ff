//! A real control service behind emulated proxies: what each of them, and each message, costs it.

use super::{Family, Quantity, Setup};
use crate::trial::{tie, Usage};
use aniseyoke_control::frame::{
    encode, OperatorRequest, OperatorResponse, ProxyMessage, HEADER_BYTES, MAX_FRAME_BYTES, PROTOCOL,
};
use aniseyoke_control::operators::call;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// What must happen happens within this time, or the measurement fails.
const WITHIN: Duration = Duration::from_secs(60);
/// For so long the service is looked at.
const LOOKED_AT: Duration = Duration::from_secs(6);
/// What was sent to the service is read by it within this time.
const SETTLES: Duration = Duration::from_millis(500);
/// An emulated proxy reports as often as a real one with clients.
const REPORT: Duration = Duration::from_secs(1);
/// More connections at once than a listener's queue takes would come again a second later.
const AT_ONCE: usize = 50;
const PAUSE: Duration = Duration::from_millis(5);
/// Versions after the first where each one's cost is looked at.
const VERSIONS_EACH: u64 = 5;
/// Routes of a version where proxies are the size.
const ROUTES: u64 = 1000;
/// Routes of a version, and proxies, where the rate is the size.
const ROUTES_FEW: u64 = 10;
const PROXIES: usize = 500;
/// Proxies, and versions a second, where the distance is the size.
const PROXIES_FAR: usize = 50;
const RATE_FAR: f64 = 8.0;
/// Descriptors that are needed beside one for each proxy.
const DESCRIPTORS: u64 = 200;
/// The stamp of a frame that carries a version stands within its first bytes.
const STAMP_WITHIN: usize = 160;
const PART: usize = 16 << 10;

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
        let fleet = Fleet::open(setup, proxies as usize, Duration::ZERO)?;
        let cpu = fleet.cpu()?;
        fleet.publish(ROUTES, 0)?;
        fleet.all_have(1)?;
        std::thread::sleep(SETTLES);
        let (whole, mut last) = (fleet.cpu()? - cpu, Duration::ZERO);
        let (cpu, bytes) = (fleet.cpu()?, fleet.bytes());
        let (rest, mut paused) = (fleet.rest()?, Duration::ZERO);
        let rest_cpu = fleet.cpu()? - cpu;
        let cpu = cpu + rest_cpu;
        let bytes_at_rest = fleet.bytes() - bytes;
        let bytes = bytes + bytes_at_rest;
        let begun = Instant::now();
        for n in 1..=VERSIONS_EACH {
            let at = fleet.publish(ROUTES, n)?;
            last += fleet.all_have(n + 1)?.saturating_duration_since(at);
            std::thread::sleep(SETTLES);
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
        let fleet = Fleet::open(setup, PROXIES, Duration::ZERO)?;
        fleet.publish(ROUTES_FEW, 0)?;
        fleet.all_have(1)?;
        std::thread::sleep(SETTLES);
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
        let fleet = Fleet::open(setup, PROXIES_FAR, Duration::from_secs_f64(ms / 1000.0))?;
        fleet.publish(ROUTES, 0)?;
        fleet.all_have(1)?;
        std::thread::sleep(SETTLES);
        let (_, bytes) = fleet.stream(ROUTES, RATE_FAR)?;
        Ok(vec![bytes])
    },
};

fn body(routes: u64, changed: u64) -> Value {
    let pool = |n| if n == changed % routes.max(1) { "b" } else { "a" };
    let routes: Vec<Value> =
        (0..routes).map(|n| json!({ "prefix": format!("device-{n:06}/"), "pool": pool(n) })).collect();
    json!({ "pools": { "a": { "kinds": ["k"] }, "b": { "kinds": ["l"] } }, "routes": routes })
}

/// A control service as a process of its own.
struct Service {
    child: Child,
    proxies: SocketAddr,
    operators: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Service {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = (self.child.kill(), self.child.wait());
    }
}

impl Service {
    fn start(setup: &Setup) -> Result<Service, String> {
        let name = setup.control.display().to_string();
        let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
        let mut command = Command::new(&setup.control);
        command.args(["serve", "--listen", "127.0.0.1:0", "--door", "127.0.0.1:0", "--dir"]);
        command.arg(folder.path()).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        tie(&mut command);
        let mut child = command.spawn().map_err(|e| format!("{name}: {e}"))?;
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let (tell, told) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let addr = line.rsplit(' ').next().and_then(|addr| addr.parse::<SocketAddr>().ok());
                // Nobody waits any more once both are known.
                let _ = tell.send(addr.ok_or(line));
            }
        });
        let mut addrs = Vec::new();
        while addrs.len() < 2 {
            match told.recv_timeout(WITHIN) {
                Ok(Ok(addr)) => addrs.push(addr),
                Ok(Err(line)) => return Err(format!("{name}: {line}")),
                Err(_) => return Err(format!("{name} told no addresses")),
            }
        }
        Ok(Service { child, proxies: addrs[0], operators: addrs[1], _folder: folder })
    }
}

/// A service and its proxies.
struct Fleet {
    service: Service,
    proxies: usize,
    bytes: Arc<AtomicU64>,
    taken: Receiver<(u64, Instant)>,
    calls: tokio::runtime::Runtime,
    /// The proxies' thread ends when this is dropped.
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl Fleet {
    fn open(setup: &Setup, proxies: usize, answers_after: Duration) -> Result<Fleet, String> {
        let may = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
        let (may, _) = may.map_err(|e| e.to_string())?;
        let needed = proxies as u64 + DESCRIPTORS;
        if may < needed {
            return Err(format!(
                "{proxies} proxies need {needed} descriptors, and {may} may be had (ulimit -n)"
            ));
        }
        let runtime =
            || tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string());
        let (service, emulating, calls) = (Service::start(setup)?, runtime()?, runtime()?);
        let (addr, bytes) = (service.proxies, Arc::<AtomicU64>::default());
        let (tell, taken) = channel();
        let (said, connected) = channel();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let counted = bytes.clone();
        std::thread::spawn(move || {
            LocalSet::new().block_on(&emulating, async move {
                for n in 0..proxies {
                    let (tell, said, counted) = (tell.clone(), said.clone(), counted.clone());
                    tokio::task::spawn_local(async move {
                        if let Err(e) = emulate(n, addr, answers_after, &tell, &said, &counted).await {
                            tracing::debug!("emulated proxy {n}: {e}");
                        }
                    });
                    if n % AT_ONCE == AT_ONCE - 1 {
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                // Whoever held the fleet and let go of it wants it ended.
                let _ = stopped.await;
            });
        });
        for have in 0..proxies {
            connected
                .recv_timeout(WITHIN)
                .map_err(|_| format!("only {have} of {proxies} proxies reached the service"))?;
        }
        std::thread::sleep(SETTLES);
        Ok(Fleet { service, proxies, bytes, taken, calls, _stop: stop })
    }

    fn usage(&self) -> Result<Usage, String> {
        Usage::look(self.service.child.id()).ok_or_else(|| "the control service has ended".to_owned())
    }

    fn cpu(&self) -> Result<f64, String> {
        Ok(self.usage()?.cpu_s)
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Publishes; the moment is that before the call.
    fn publish(&self, routes: u64, changed: u64) -> Result<Instant, String> {
        let publish = OperatorRequest::Publish { body: body(routes, changed), plan: Plan::default() };
        let at = Instant::now();
        match self.calls.block_on(call(self.service.operators, &publish)).map_err(|e| e.to_string())? {
            OperatorResponse::Published { .. } => Ok(at),
            OperatorResponse::Rejected { reason } => Err(reason),
            OperatorResponse::Status { .. }
            | OperatorResponse::PurgeAccepted { .. }
            | OperatorResponse::PurgeStatus { .. } => Err("the service answered another call".into()),
        }
    }

    /// Waits until every proxy has taken a version; tells when the last one did.
    fn all_have(&self, number: u64) -> Result<Instant, String> {
        let mut last = Instant::now();
        let mut have = 0;
        while have < self.proxies {
            let (taken, at) = self
                .taken
                .recv_timeout(WITHIN)
                .map_err(|_| format!("only {have} of {} proxies have version {number}", self.proxies))?;
            if taken == number {
                (have, last) = (have + 1, at);
            }
        }
        Ok(last)
    }

    /// Publishes so many versions a second, each with one route changed; tells the service's processor time a second, and
    /// the bytes a second that each proxy was sent.
    fn stream(&self, routes: u64, rate: f64) -> Result<(f64, f64), String> {
        let (begun, cpu, bytes) = (Instant::now(), self.cpu()?, self.bytes());
        let mut n = 0u64;
        while begun.elapsed() < LOOKED_AT {
            n += 1;
            self.publish(routes, n)?;
            let due = begun + Duration::from_secs_f64(n as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let seconds = begun.elapsed().as_secs_f64();
        let (cpu, bytes) = (self.cpu()? - cpu, self.bytes() - bytes);
        super::held(n, seconds, rate)?;
        // Danger: a service that lags behind would look cheap.
        self.all_have(n + 1)?;
        Ok((cpu / seconds, bytes as f64 / seconds / self.proxies as f64))
    }

    /// Processor time a second while nothing is published.
    fn rest(&self) -> Result<f64, String> {
        let (begun, cpu) = (Instant::now(), self.cpu()?);
        std::thread::sleep(LOOKED_AT);
        Ok((self.cpu()? - cpu) / begun.elapsed().as_secs_f64())
    }
}

/// The number of the version that a frame carries, if it carries one.
fn carried(head: &[u8]) -> Option<u64> {
    let head = String::from_utf8_lossy(head);
    if !head.starts_with("{\"type\":\"full\"") && !head.starts_with("{\"type\":\"delta\"") {
        return None;
    }
    let (_, stamp) = head.split_once("\"stamp\":{")?;
    let (_, number) = stamp.split_once("\"number\":")?;
    number.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// The epoch in the same place.
fn epoch(head: &[u8]) -> Option<u64> {
    let head = String::from_utf8_lossy(head);
    let (_, epoch) = head.split_once("\"stamp\":{\"epoch\":")?;
    epoch.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// A proxy as the service sees it: it takes each version as soon as its last byte is there and reads none of it, since
/// thousands of readers on one machine would be measured instead.
async fn emulate(
    n: usize,
    addr: SocketAddr,
    answers_after: Duration,
    tell: &Sender<(u64, Instant)>,
    said: &Sender<()>,
    counted: &AtomicU64,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let bytes = |frame: ProxyMessage| encode(&frame).map_err(|e| std::io::Error::other(e.to_string()));
    let hello = ProxyMessage::Hello {
        protocol: PROTOCOL,
        instance: format!("proxy-{n}"),
        boot: 1,
        labels: BTreeMap::new(),
        max_frame_bytes: MAX_FRAME_BYTES,
        running: None,
        purges: None,
    };
    stream.write_all(&bytes(hello)?).await?;
    // Who opens the fleet may have given up.
    let _ = said.send(());
    let (mut reads, mut writes) = stream.into_split();
    let (frames, mut came) = tokio::sync::mpsc::channel::<(tokio::time::Instant, Stamp)>(16);
    let read = async move {
        let mut part = vec![0; PART];
        loop {
            let mut head = [0; HEADER_BYTES];
            reads.read_exact(&mut head).await?;
            let length = u32::from_be_bytes(head) as usize;
            counted.fetch_add((HEADER_BYTES + length) as u64, Ordering::Relaxed);
            let (mut left, mut stamp) = (length, None);
            while left > 0 {
                let most = left.min(part.len());
                let got = reads.read_exact(&mut part[..most]).await?;
                if left == length {
                    let first = &part[..got.min(STAMP_WITHIN)];
                    stamp = epoch(first).zip(carried(first));
                }
                left -= got;
            }
            if let Some((epoch, number)) = stamp {
                // The fleet is gone only when the measurement is over.
                let _ = tell.send((number, Instant::now()));
                let due = tokio::time::Instant::now() + answers_after;
                let _ = frames.send((due, Stamp { epoch, number })).await;
            }
        }
    };
    let write = async move {
        let mut running = None;
        let mut reports = tokio::time::interval(REPORT);
        loop {
            let frame = tokio::select! {
                Some((due, stamp)) = came.recv() => {
                    tokio::time::sleep_until(due).await;
                    running = Some(stamp);
                    ProxyMessage::Ack { stamp }
                }
                _ = reports.tick() => match running {
                    Some(stamp) => ProxyMessage::Report { stamp, served: 1000, rejected: 1, failed: 0 },
                    None => ProxyMessage::Heartbeat,
                },
            };
            writes.write_all(&bytes(frame)?).await?;
        }
    };
    tokio::select! {
        done = read => done,
        done = write => done,
    }
}
