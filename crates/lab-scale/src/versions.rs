//! Measures configuration versions in a fleet of real proxies behind one control service: the time from publishing a
//! version until it is in force at all proxies, how long the swap blocks the serving thread of each proxy, and the
//! latency that a client of one proxy observes.

use aniseyoke_control::frame::ProxyStatus;
use aniseyoke_control::hosted::ServiceThread;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_day::{proxy_config, Day, DayError, FileError};
use aniseyoke_lab_load::Percentiles;
use aniseyoke_lab_process::{ProcessError, Program, ProxyLauncher, RunningProxy, Usage};
use aniseyoke_lab_site::Site;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The memory limit of a proxy, sufficient for a version with ten thousand routes.
const MEMORY_MB: usize = 128;
/// The time limit for all proxies to connect or to run a version, and the read timeout of health calls.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The interval between polls of the proxies' status.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long calls are measured before anything is published, for comparison.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// The pause between two calls to the health endpoint.
const CALL_INTERVAL: Duration = Duration::from_micros(500);
/// The maximum value of the histograms, in microseconds; longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 120_000_000;

/// The size of the fleet and of its versions.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// The number of real proxies.
    pub proxies: usize,
    /// The number of versions after the first, each with one route changed.
    pub versions: u64,
    /// The number of routes in each version.
    pub routes: u64,
}

/// The measurements of one version.
#[derive(Clone, Debug, Serialize)]
pub struct VersionTiming {
    /// The time from publishing until each proxy's acknowledgement that the version is in force.
    pub in_force: Percentiles,
    /// CPU time of the service, in milliseconds.
    pub service_ms: f64,
}

/// The result of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// The number of real proxies.
    pub proxies: usize,
    /// The length of a complete version as JSON, in bytes.
    pub bytes: usize,
    /// The measurements of each version; the first is sent as a complete version.
    pub versions: Vec<VersionTiming>,
    /// How long swaps blocked serving threads.
    pub swaps: Percentiles,
    /// The latency of calls to one proxy while nothing was published.
    pub calls_before: Percentiles,
    /// The latency of calls to the same proxy while versions were published.
    pub calls_during: Percentiles,
    /// The mean CPU time of a proxy for each version, in milliseconds.
    pub proxy_ms: f64,
    /// The highest memory usage of a proxy before the first version, in MB.
    pub memory_before_mb: f64,
    /// The highest memory usage of a proxy after the last version, in MB.
    pub memory_after_mb: f64,
}

/// An error of a measurement of versions.
#[derive(Debug, thiserror::Error)]
pub enum VersionsError {
    /// The day of the simulated site is invalid.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The simulated site could not be started.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The control service could not be started.
    #[error("service: {0}")]
    Service(#[source] io::Error),
    /// The directory of the proxies could not be created.
    #[error("directory: {0}")]
    Folder(#[source] io::Error),
    /// A file can't be written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A proxy could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Not all proxies connected to the service in time.
    #[error("only {connected} proxies connected to the service")]
    NotConnected {
        /// The number of proxies that connected.
        connected: usize,
    },
    /// The service rejected a version.
    #[error("{0}")]
    Publish(String),
    /// A proxy rejected a version.
    #[error("a proxy rejected version {stamp}: {}", why.join("; "))]
    Rejected {
        /// The version.
        stamp: Stamp,
        /// The reasons.
        why: Vec<String>,
    },
    /// A version was not in force at all proxies in time.
    #[error("only {running} of {proxies} proxies run version {stamp}")]
    NotInForce {
        /// The version.
        stamp: Stamp,
        /// The number of proxies that run it.
        running: usize,
        /// The number of proxies.
        proxies: usize,
    },
    /// The thread that calls a proxy's health endpoint panicked.
    #[error("the thread of health calls panicked")]
    CallerPanicked,
    /// A call to a proxy's health endpoint failed.
    #[error("health call to a proxy: {0}")]
    Caller(#[source] io::Error),
    /// No proxy logged a swap.
    #[error("no proxy logged a swap")]
    NoSwap,
}

/// Builds a version with the given number of routes, where route `changed` uses a different pool.
pub fn version_body(day: &Day, routes: u64, changed: u64) -> Value {
    let kinds: Vec<&str> = day.site.cache.kinds.iter().map(|k| k.name.as_str()).collect();
    let pool = |n| if n == changed % routes.max(1) { "b" } else { "a" };
    let route = |n| json!({ "prefix": format!("device-{n:06}/"), "pool": pool(n) });
    let routes: Vec<Value> = (0..routes).map(route).collect();
    json!({ "pools": { "a": { "kinds": kinds }, "b": { "zones": ["hall"] } }, "routes": routes })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_US, 3).expect("constant bounds are sound")
}

/// Calls a proxy's health endpoint sequentially on its own thread.
struct HealthCaller {
    calls: Arc<Mutex<Histogram<u64>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<std::io::Result<()>>,
}

impl HealthCaller {
    fn start(addr: SocketAddr) -> Self {
        let (calls, stop) = (Arc::new(Mutex::new(histogram())), Arc::<AtomicBool>::default());
        let (recorded, stopped) = (calls.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let mut stream: Option<BufReader<TcpStream>> = None;
            while !stopped.load(Ordering::Relaxed) {
                std::thread::sleep(CALL_INTERVAL);
                let mut connection = match stream.take() {
                    Some(connection) => connection,
                    None => {
                        let new_stream = TcpStream::connect(addr)?;
                        new_stream.set_nodelay(true)?;
                        new_stream.set_read_timeout(Some(MAX_WAIT))?;
                        BufReader::new(new_stream)
                    }
                };
                let start = Instant::now();
                connection.get_mut().write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")?;
                if read_health_response(&mut connection)? {
                    stream = Some(connection);
                }
                let latency = start.elapsed().as_micros() as u64;
                recorded.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(latency);
            }
            Ok(())
        });
        HealthCaller { calls, stop, thread }
    }

    /// Returns the latency of the calls since the previous call of this function.
    fn take(&self) -> Percentiles {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let latencies = Percentiles::from(&*calls);
        calls.reset();
        latencies
    }

    fn end(self) -> Result<(), VersionsError> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.thread.join().map_err(|_| VersionsError::CallerPanicked)?;
        ended.map_err(VersionsError::Caller)
    }
}

/// Reads a response, and returns whether the connection can be reused.
fn read_health_response(connection: &mut BufReader<TcpStream>) -> std::io::Result<bool> {
    let (mut length, mut keep_alive) = (0, true);
    loop {
        let mut line = String::new();
        if connection.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            match name {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "connection" => keep_alive = value.trim() != "close",
                _ => {}
            }
        }
    }
    std::io::copy(&mut connection.by_ref().take(length), &mut std::io::sink())?;
    Ok(keep_alive)
}

/// Parses the duration of a swap from a proxy's log line, in microseconds.
fn swap_duration_us(line: &str) -> Option<f64> {
    let (_, rest) = line.split_once("swapped in ")?;
    let unit = rest.find(|c: char| c != '.' && !c.is_ascii_digit())?;
    let number: f64 = rest[..unit].parse().ok()?;
    let in_us = match &rest[unit..] {
        "ns" => 1e-3,
        "µs" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        _ => return None,
    };
    Some(number * in_us)
}

fn usage(proxies: &[Box<dyn RunningProxy>]) -> Vec<Usage> {
    proxies.iter().filter_map(|p| p.pid().and_then(Usage::of_process)).collect()
}

/// Waits until every proxy runs a version, and returns their acknowledgement latencies in microseconds.
fn wait_until_running(
    service: &ServiceThread,
    stamp: Stamp,
    proxies: usize,
) -> Result<Histogram<u64>, VersionsError> {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let rows = service.statuses();
        let running: Vec<&ProxyStatus> = rows.iter().filter(|r| r.running == Some(stamp)).collect();
        if running.len() == proxies {
            let mut latencies = histogram();
            running
                .iter()
                .filter_map(|r| r.ack_latency)
                .for_each(|ns| latencies.saturating_record(ns / 1000));
            return Ok(latencies);
        }
        if let Some((_, why)) = rows.iter().filter_map(|r| r.rejected.as_ref()).find(|r| r.0 == stamp) {
            return Err(VersionsError::Rejected { stamp, why: why.clone() });
        }
        if Instant::now() > deadline {
            return Err(VersionsError::NotInForce { stamp, running: running.len(), proxies });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Runs a measurement; `program` is the proxy's executable.
///
/// # Errors
/// Fails if the fleet could not be started, or if a version did not come into force at all proxies in time.
pub fn measure(size: FleetSize, program: &Path) -> Result<Measurement, VersionsError> {
    let mut day = Day::open("quiet")?;
    day.site.proxy.count = size.proxies;
    day.site.proxy.memory_mb = MEMORY_MB;
    let clock = Clock::start();
    let site = Site::open(&day, clock, move || Recorder::discarding(clock)).map_err(VersionsError::Site)?;
    let service = ServiceThread::start(1).map_err(VersionsError::Service)?;
    let folder = tempfile::tempdir().map_err(VersionsError::Folder)?;
    let mut proxies = start_proxies(&day, &site, &service, program, folder.path())?;
    wait_until_connected(&service, size.proxies)?;
    let caller = HealthCaller::start(proxies[0].addr());
    std::thread::sleep(QUIET_TIME);
    let calls_before = caller.take();
    let before = usage(&proxies);
    let versions = publish_all(&service, &day, size)?;
    let (calls_during, after) = (caller.take(), usage(&proxies));
    caller.end()?;
    let swaps = swaps(&proxies)?;
    proxies.iter_mut().for_each(|p| p.terminate());
    drop(proxies);
    site.close();
    let cpu = |usage: &[Usage]| usage.iter().map(|u| u.cpu_s).sum::<f64>();
    let memory = |usage: &[Usage]| usage.iter().map(|u| u.memory_mb).fold(0.0, f64::max);
    Ok(Measurement {
        proxies: size.proxies,
        bytes: version_body(&day, size.routes, 0).to_string().len(),
        proxy_ms: (cpu(&after) - cpu(&before)) * 1e3 / (size.proxies as f64 * (size.versions + 1) as f64),
        versions,
        swaps,
        calls_before,
        calls_during,
        memory_before_mb: memory(&before),
        memory_after_mb: memory(&after),
    })
}

/// Starts the proxies of a site, whose operator files contain the address of the service.
fn start_proxies(
    day: &Day,
    site: &Site,
    service: &ServiceThread,
    program: &Path,
    folder: &Path,
) -> Result<Vec<Box<dyn RunningProxy>>, VersionsError> {
    let file = folder.join("operator.toml");
    // The rate limit of the log must not drop lines about swaps.
    let text = format!("[log]\nburst = 10000\n[control]\nservices = [\"{}\"]\n", service.addr);
    std::fs::write(&file, text).map_err(FileError::at(&file))?;
    let program = Program { operator: Some(file), ..Program::new(program.to_owned()) };
    let mut proxies = Vec::new();
    for (index, discovery) in site.discovery.iter().enumerate() {
        let config = proxy_config(day, index, *discovery, &site.initial_lists[index]);
        proxies.push(program.start(index, &config, &folder.join(format!("proxy-{index}")))?);
    }
    Ok(proxies)
}

fn wait_until_connected(service: &ServiceThread, proxies: usize) -> Result<(), VersionsError> {
    let deadline = Instant::now() + MAX_WAIT;
    while service.statuses().len() < proxies {
        if Instant::now() > deadline {
            return Err(VersionsError::NotConnected { connected: service.statuses().len() });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Publishes the versions in order, each after the previous one is in force at all proxies.
fn publish_all(
    service: &ServiceThread,
    day: &Day,
    size: FleetSize,
) -> Result<Vec<VersionTiming>, VersionsError> {
    let mut versions = Vec::new();
    for n in 0..=size.versions {
        let cpu = service.cpu_time();
        let body = version_body(day, size.routes, n);
        let published = service.publish(body, Plan::default());
        let (stamp, _) = published.map_err(|e| VersionsError::Publish(e.to_string()))?;
        let in_force = Percentiles::from(&wait_until_running(service, stamp, size.proxies)?);
        let service_ms = (service.cpu_time() - cpu).as_secs_f64() * 1e3;
        versions.push(VersionTiming { in_force, service_ms });
    }
    Ok(versions)
}

/// Collects how long swaps blocked the serving threads, from the recent log lines of the proxies.
fn swaps(proxies: &[Box<dyn RunningProxy>]) -> Result<Percentiles, VersionsError> {
    let mut swaps = histogram();
    for proxy in proxies {
        let lines = proxy.last_lines();
        lines.iter().filter_map(|l| swap_duration_us(l)).for_each(|us| swaps.saturating_record(us as u64));
    }
    if swaps.is_empty() {
        return Err(VersionsError::NoSwap);
    }
    Ok((&swaps).into())
}

#[cfg(test)]
mod tests;
