//! Real proxies behind one control service: how long a version takes from publishing to in force at all of them, how
//! long the swap holds each one's serving thread up, and what a client of one of them sees of it.

use crate::audit::Recorder;
use crate::clock::Clock;
use crate::day::{proxy_config, Day};
use crate::site::Site;
use crate::trial::{Percentiles, Program, Running, Subject, Usage};
use aniseyoke_control::frame::ProxyStatus;
use aniseyoke_control::hosted::Hosted;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Enough for a version of ten thousand routes.
const MEMORY_MB: usize = 128;
/// All proxies have a version within this time, or the measurement fails.
const WITHIN: Duration = Duration::from_secs(60);
/// Who runs what is looked at as often.
const LOOK: Duration = Duration::from_millis(5);
/// The watched proxy is left alone for so long, for comparison.
const QUIET: Duration = Duration::from_secs(3);
/// A call at the watched proxy each so long.
const CALL_EVERY: Duration = Duration::from_micros(500);
/// The longest span that is told apart, in microseconds.
const SPAN_MOST_US: u64 = 120_000_000;

/// How much is measured.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Real proxies.
    pub proxies: usize,
    /// Versions after the first, each with one route changed.
    pub versions: u64,
    /// Routes in each version.
    pub routes: u64,
}

/// What one version took.
#[derive(Clone, Debug, Serialize)]
pub struct Took {
    /// From publishing to the word of each proxy that it is in force.
    pub in_force: Percentiles,
    /// CPU time of the service, in milliseconds.
    pub service_ms: f64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Proxies that took part.
    pub proxies: usize,
    /// The length of a whole version as JSON, in bytes.
    pub bytes: usize,
    /// Each version, the first of them sent whole.
    pub versions: Vec<Took>,
    /// How long swaps held serving threads up.
    pub swaps: Percentiles,
    /// What calls at one proxy took while nothing was published.
    pub calls_before: Percentiles,
    /// And while versions came.
    pub calls_during: Percentiles,
    /// CPU time of all proxies for each version, in milliseconds a proxy.
    pub proxy_ms: f64,
    /// The most memory of a proxy before the first version, in MB.
    pub memory_before_mb: f64,
    /// And after the last.
    pub memory_after_mb: f64,
}

/// A version with so many routes, one of which is another in each.
pub(crate) fn body(day: &Day, routes: u64, changed: u64) -> Value {
    let kinds: Vec<&str> = day.site.cache.kinds.iter().map(|k| k.name.as_str()).collect();
    let pool = |n| if n == changed % routes.max(1) { "b" } else { "a" };
    let route = |n| json!({ "prefix": format!("device-{n:06}/"), "pool": pool(n) });
    let routes: Vec<Value> = (0..routes).map(route).collect();
    json!({ "pools": { "a": { "kinds": kinds }, "b": { "zones": ["hall"] } }, "routes": routes })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(SPAN_MOST_US, 3).expect("constant bounds are sound")
}

/// Calls at a proxy's health, one after the other, on a thread of its own.
struct Watch {
    calls: Arc<Mutex<Histogram<u64>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<std::io::Result<()>>,
}

impl Watch {
    fn start(addr: SocketAddr) -> Self {
        let (calls, stop) = (Arc::new(Mutex::new(histogram())), Arc::<AtomicBool>::default());
        let (noted, stopped) = (calls.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let mut stream: Option<BufReader<TcpStream>> = None;
            while !stopped.load(Ordering::Relaxed) {
                std::thread::sleep(CALL_EVERY);
                let mut peer = match stream.take() {
                    Some(peer) => peer,
                    None => {
                        let fresh = TcpStream::connect(addr)?;
                        fresh.set_nodelay(true)?;
                        fresh.set_read_timeout(Some(WITHIN))?;
                        BufReader::new(fresh)
                    }
                };
                let start = Instant::now();
                peer.get_mut().write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")?;
                if health(&mut peer)? {
                    stream = Some(peer);
                }
                let took = start.elapsed().as_micros() as u64;
                noted.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(took);
            }
            Ok(())
        });
        Watch { calls, stop, thread }
    }

    /// What calls took since the last look.
    fn take(&self) -> Percentiles {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let took = Percentiles::from(&*calls);
        calls.reset();
        took
    }

    fn end(self) -> Result<(), String> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.thread.join().map_err(|_| "the watch broke".to_owned())?;
        ended.map_err(|e| format!("the watched proxy: {e}"))
    }
}

/// Reads an answer; whether the connection may be used again.
fn health(peer: &mut BufReader<TcpStream>) -> std::io::Result<bool> {
    let (mut length, mut stays) = (0, true);
    loop {
        let mut line = String::new();
        if peer.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            match name {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "connection" => stays = value.trim() != "close",
                _ => {}
            }
        }
    }
    std::io::copy(&mut peer.by_ref().take(length), &mut std::io::sink())?;
    Ok(stays)
}

/// The span that a line of a proxy's log tells of a swap, in microseconds.
fn swapped(line: &str) -> Option<f64> {
    let (_, told) = line.split_once("swapped in ")?;
    let unit = told.find(|c: char| c != '.' && !c.is_ascii_digit())?;
    let number: f64 = told[..unit].parse().ok()?;
    let in_us = match &told[unit..] {
        "ns" => 1e-3,
        "µs" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        _ => return None,
    };
    Some(number * in_us)
}

fn usage(proxies: &[Box<dyn Running>]) -> Vec<Usage> {
    proxies.iter().filter_map(|p| p.pid().and_then(Usage::look)).collect()
}

/// Waits until every proxy runs a version, and tells what each took.
fn all_run(service: &Hosted, stamp: Stamp, proxies: usize) -> Result<Histogram<u64>, String> {
    let until = Instant::now() + WITHIN;
    loop {
        let rows = service.statuses();
        let run: Vec<&ProxyStatus> = rows.iter().filter(|r| r.running == Some(stamp)).collect();
        if run.len() == proxies {
            let mut took = histogram();
            run.iter().filter_map(|r| r.ack_latency).for_each(|ns| took.saturating_record(ns / 1000));
            return Ok(took);
        }
        if let Some((_, why)) = rows.iter().filter_map(|r| r.rejected.as_ref()).find(|r| r.0 == stamp) {
            return Err(format!("version {stamp} is turned down: {}", why.join("; ")));
        }
        if Instant::now() > until {
            return Err(format!("only {} of {proxies} proxies run version {stamp}", run.len()));
        }
        std::thread::sleep(LOOK);
    }
}

/// Measures; `program` is the proxy.
///
/// # Errors
/// If the fleet could not be started, or a version did not come into force everywhere.
pub fn measure(size: Size, program: &std::path::Path) -> Result<Measured, String> {
    let mut day = Day::open("quiet").map_err(|e| e.to_string())?;
    day.site.proxy.count = size.proxies;
    day.site.proxy.memory_mb = MEMORY_MB;
    let clock = Clock::start();
    let site = Site::open(&day, clock, move || Recorder::nowhere(clock)).map_err(|e| format!("site: {e}"))?;
    let service = Hosted::start(1).map_err(|e| format!("service: {e}"))?;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let file = folder.path().join("operator.toml");
    // Every line about a swap is wanted.
    let text = format!("[log]\nburst = 10000\n[control]\nservices = [\"{}\"]\n", service.addr);
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    let program = Program { operator: Some(file), ..Program::new(program.to_owned()) };
    let mut proxies = Vec::new();
    for (me, discovery) in site.discovery.iter().enumerate() {
        let config = proxy_config(&day, me, *discovery, &site.known[me]);
        proxies.push(program.start(me, &config, &folder.path().join(format!("proxy-{me}")))?);
    }
    let until = Instant::now() + WITHIN;
    while service.statuses().len() < size.proxies {
        if Instant::now() > until {
            return Err(format!("only {} proxies found the service", service.statuses().len()));
        }
        std::thread::sleep(LOOK);
    }
    let watch = Watch::start(proxies[0].addr());
    std::thread::sleep(QUIET);
    let calls_before = watch.take();
    let before = usage(&proxies);
    let mut versions = Vec::new();
    for n in 0..=size.versions {
        let cpu = service.cpu();
        let (stamp, _) =
            service.publish(body(&day, size.routes, n), Plan::default()).map_err(|e| e.to_string())?;
        let in_force = Percentiles::from(&all_run(&service, stamp, size.proxies)?);
        let service_ms = (service.cpu() - cpu).as_secs_f64() * 1e3;
        versions.push(Took { in_force, service_ms });
    }
    let (calls_during, after) = (watch.take(), usage(&proxies));
    watch.end()?;
    let mut swaps = histogram();
    for proxy in &proxies {
        proxy
            .last_lines()
            .iter()
            .filter_map(|l| swapped(l))
            .for_each(|us| swaps.saturating_record(us as u64));
    }
    if swaps.is_empty() {
        return Err("no proxy told of a swap".into());
    }
    proxies.iter_mut().for_each(|p| p.terminate());
    drop(proxies);
    site.close();
    let cpu = |usage: &[Usage]| usage.iter().map(|u| u.cpu_s).sum::<f64>();
    let memory = |usage: &[Usage]| usage.iter().map(|u| u.memory_mb).fold(0.0, f64::max);
    Ok(Measured {
        proxies: size.proxies,
        bytes: body(&day, size.routes, 0).to_string().len(),
        proxy_ms: (cpu(&after) - cpu(&before)) * 1e3 / (size.proxies as f64 * (size.versions + 1) as f64),
        versions,
        swaps: (&swaps).into(),
        calls_before,
        calls_during,
        memory_before_mb: memory(&before),
        memory_after_mb: memory(&after),
    })
}

#[cfg(test)]
mod tests;
