//! Runs the proxy process with one thread at a time. At each call the next thread is drawn from a seed; some
//! seeds suspend one thread for as long as others can run, and the process sends itself signals at drawn
//! calls. With every schedule it has to start, serve and end by itself, with its first and last log line
//! written.
//!
//! `ANISEYOKE_ORDER_SEEDS=FROM..TO` runs other seeds than CI's, in all tests of this file.

mod rig;

use aniseyoke_turns::{configure_preload, Scheduler, ThreadSchedule};
use nix::sys::signal::Signal;
use rig::*;
use serde_json::json;
use std::io::Write as _;
use std::net::SocketAddr;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::{Command, ExitStatus};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds that CI runs in each test.
const CI_SEEDS: Range<u64> = 0..24;
/// Environment variable with the seeds to run instead.
const SEEDS_VARIABLE: &str = "ANISEYOKE_ORDER_SEEDS";
/// Number of seeds that run in parallel; each run mostly waits.
const PARALLEL_RUNS: usize = 6;
/// Signals are drawn within this number of calls from the start; the process makes about a hundred until it
/// listens.
const SIGNAL_WITHIN_CALLS: u64 = 300;
/// Version of the endpoint list that the list service gives a proxy.
const NEXT_VERSION: u64 = 50;
/// Number of operators' orders that a proxy gets.
const ORDERS_GIVEN: usize = 3;

/// A pseudo-random number generator (splitmix64).
struct Draws(u64);

impl Draws {
    fn under(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

/// Returns the schedule of a seed with up to two SIGHUP at drawn calls, and SIGTERM at one if `stops`.
fn schedule(seed: u64, stops: bool) -> ThreadSchedule {
    let mut draws = Draws(seed);
    let hangups = draws.under(3);
    let mut signals: Vec<(u64, i32)> =
        (0..hangups).map(|_| (draws.under(SIGNAL_WITHIN_CALLS), Signal::SIGHUP as i32)).collect();
    if stops {
        signals.push((draws.under(SIGNAL_WITHIN_CALLS), Signal::SIGTERM as i32));
    }
    ThreadSchedule { seed, signals }
}

/// Waits for the end of a process. Fails unless it ended successfully, with its last log line written.
fn check_shutdown(mut proxy: Proxy, seed: u64) -> Result<(), String> {
    let log = proxy.take_log();
    let status = wait_for_end(&mut proxy);
    let log_text = log.join().expect("the log");
    match status {
        None => Err(format!("seed {seed}: the process did not end: {log_text}")),
        Some(status) if !status.success() => Err(format!("seed {seed}: {status}: {log_text}")),
        Some(_) if !log_text.lines().any(|line| line.ends_with("draining")) => {
            Err(format!("seed {seed}: the last log line is missing: {log_text:?}"))
        }
        Some(_) => Ok(()),
    }
}

fn wait_for_end(proxy: &mut Proxy) -> Option<ExitStatus> {
    let started = Instant::now();
    while started.elapsed() < STEP_TIMEOUT {
        if let Some(status) = proxy.child.try_wait().expect("a status") {
            return Some(status);
        }
        thread::sleep(Duration::from_millis(2));
    }
    proxy.child.kill().expect("killed");
    None
}

/// Runs all seeds, a few in parallel, and returns the failures.
fn run_seeds(run: impl Fn(u64) -> Result<(), String> + Sync) -> Vec<String> {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let run_next_seeds = || {
        let mut failures = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return failures;
            }
            failures.extend(run(seed).err());
        }
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..PARALLEL_RUNS).map(|_| scope.spawn(run_next_seeds)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a worker")).collect()
    })
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

fn assert_no_failures(failures: &[String]) {
    assert!(failures.is_empty(), "{} seeds failed:\n{}", failures.len(), failures.join("\n"));
}

/// The servers and the state folder that a proxy needs.
struct Site {
    discovery: Server,
    node: Server,
    state: tempfile::TempDir,
}

impl Site {
    fn new() -> Self {
        let state = tempfile::tempdir().expect("a folder");
        Site { discovery: Server::new(), node: Server::new(), state }
    }

    /// Starts a proxy with this thread schedule and every line logged, and waits until it listens.
    fn start(&self, schedule: &ThreadSchedule) -> Result<Proxy, String> {
        let mut config = config(self.discovery.addr, &[member("c0", self.node.addr, "std", "ready")]);
        config["mgmt"] = json!("127.0.0.1:0");
        let file = self.state.path().join("operator.toml");
        let state = self.state.path().display();
        let text = format!("[log]\nlevel = \"trace\"\n[list]\nevery = \"200ms\"\nkeep = \"{state}\"\n");
        std::fs::write(&file, text).expect("written");
        let configure = |command: &mut Command| {
            command.env("TMPDIR", self.state.path()).env("ANISEYOKE_FILE", &file);
            configure_preload(command, schedule).expect("armed");
        };
        let ended = |log| format!("seed {}: ended before it listened: {log}", schedule.seed);
        Proxy::try_with(&config, configure).map_err(ended)
    }

    /// Answers polls of the list until the proxy has stored it. After a SIGHUP the proxy ends its call and
    /// makes another.
    fn serve_list(&self) {
        let list_body = list(NEXT_VERSION, true, &[member("c0", self.node.addr, "std", "ready")]).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list_body}", list_body.len());
        let stored_list = self.state.path().join("aniseyoke-list");
        let (poll_of_new_version, version) =
            (format!("from={NEXT_VERSION}"), format!("\"version\":{NEXT_VERSION}"));
        let mut open_calls = Vec::new();
        until("the list is stored", || {
            if let Ok(stream) = self.discovery.accepted.try_recv() {
                let mut call = Peer::new(stream);
                if call.read().is_some_and(|request| !request.line.contains(&poll_of_new_version)) {
                    // The proxy may have ended this call meanwhile.
                    let _ = call.0.get_mut().write_all(answer.as_bytes());
                }
                open_calls.push(call);
            }
            std::fs::read_to_string(&stored_list).is_ok_and(|text| text.contains(&version))
        });
    }

    /// Has the proxy store a list (background writer), serve a request, and store orders (pool of blocking
    /// threads).
    fn serve(&self, proxy: &Proxy, admin_addr: SocketAddr) {
        self.serve_list();
        let mut client = proxy.client();
        client.ask("read", "");
        let mut node = self.node.take();
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "served");
        assert_eq!(client.answer().status(), 200);
        for _ in 0..ORDERS_GIVEN {
            assert_eq!(call_for_node(admin_addr, "/api/exclude", "c0"), 200);
        }
    }
}

/// Guards against a busy loop, a lost wake-up or an endless wait between the serving thread, the log thread
/// and those of the blocking pool, at the start and while the proxy serves.
#[test]
fn a_proxy_starts_and_serves_in_every_order_of_its_threads() {
    let failures = run_seeds(|seed| {
        let site = Site::new();
        let mut proxy = site.start(&schedule(seed, false))?;
        let admin_addr = proxy.admin_addr();
        let log = proxy.take_log();
        let served = catch_unwind(AssertUnwindSafe(|| site.serve(&proxy, admin_addr)));
        let ended = proxy.child.try_wait().expect("a status");
        proxy.child.kill().expect("killed");
        proxy.child.wait().expect("its end");
        let log_text = log.join().expect("the log");
        if served.is_err() || ended.is_some() {
            return Err(format!("seed {seed}: served {}, ended {ended:?}: {log_text}", served.is_ok()));
        }
        Ok(())
    });
    assert_no_failures(&failures);
}

/// Runs a shutdown at a drawn call with the seeds that suspend a thread (`held_back`), or with the others.
/// Returns the failures.
fn run_shutdowns(held_back: bool) -> Vec<String> {
    run_seeds(|seed| {
        if Scheduler::new(seed).held_back().is_some() != held_back {
            return Ok(());
        }
        let site = Site::new();
        check_shutdown(site.start(&schedule(seed, true))?, seed)
    })
}

/// Guards against a busy loop, a lost wake-up or an endless wait in a shutdown at any call, and against a
/// lost last log line.
#[test]
fn a_proxy_that_is_told_to_stop_at_any_call_ends_by_itself_in_every_order() {
    assert_no_failures(&run_shutdowns(false));
}

/// Guards against a thread that spins during shutdown until a suspended thread has completed the second half
/// of a step.
#[test]
fn a_proxy_that_is_told_to_stop_ends_by_itself_whichever_thread_is_held_back() {
    assert_no_failures(&run_shutdowns(true));
}
