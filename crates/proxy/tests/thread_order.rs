//! The real program with one thread running at a time: which one runs next is drawn from a seed at each of its calls, some
//! seeds hold one thread back for as long as others can run, and the process sends itself signals at drawn calls. It has to
//! start, serve, and end by itself, with its first and last line written, whatever the order.
//!
//! `ANISEYOKE_ORDER_SEEDS=FROM..TO` plays other seeds than CI's, for all tests of this file.

mod rig;

use aniseyoke_turns::{arm, Order, Scheduler};
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

/// Seeds that CI plays in each scenario.
const CI_SEEDS: Range<u64> = 0..24;
/// Which seeds to play instead.
const SEEDS_VARIABLE: &str = "ANISEYOKE_ORDER_SEEDS";
/// Plays at a time; each mostly waits.
const PLAYS_AT_A_TIME: usize = 6;
/// Signals come within so many calls from the start on; the program makes about a hundred until it listens.
const SIGNAL_WITHIN_CALLS: u64 = 300;
/// The version of the list that the list service tells a proxy.
const NEXT_VERSION: u64 = 50;
/// Orders that the operators give to a proxy.
const ORDERS_GIVEN: usize = 3;

/// Numbers drawn from a seed (splitmix64).
struct Draws(u64);

impl Draws {
    fn under(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

/// SIGHUP up to twice at drawn calls; with a stop, SIGTERM at one as well.
fn order(seed: u64, stops: bool) -> Order {
    let mut draws = Draws(seed);
    let hangups = draws.under(3);
    let mut signals: Vec<(u64, i32)> =
        (0..hangups).map(|_| (draws.under(SIGNAL_WITHIN_CALLS), Signal::SIGHUP as i32)).collect();
    if stops {
        signals.push((draws.under(SIGNAL_WITHIN_CALLS), Signal::SIGTERM as i32));
    }
    Order { seed, signals }
}

/// Waits for a process's end, and says what was wrong with it.
fn check_end(mut proxy: Proxy, seed: u64) -> Result<(), String> {
    let log = proxy.take_log();
    let status = wait_for_end(&mut proxy);
    let said = log.join().expect("the log");
    match status {
        None => Err(format!("seed {seed}: it did not end: {said}")),
        Some(status) if !status.success() => Err(format!("seed {seed}: {status}: {said}")),
        Some(_) if !said.lines().any(|line| line.ends_with("draining")) => {
            Err(format!("seed {seed}: the last line is missing: {said:?}"))
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

/// Plays seeds, a few at a time; all that was wrong with them.
fn play_all(play: impl Fn(u64) -> Result<(), String> + Sync) -> Vec<String> {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let one_after_the_other = || {
        let mut wrong = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return wrong;
            }
            wrong.extend(play(seed).err());
        }
    };
    thread::scope(|scope| {
        let lanes: Vec<_> = (0..PLAYS_AT_A_TIME).map(|_| scope.spawn(one_after_the_other)).collect();
        lanes.into_iter().flat_map(|lane| lane.join().expect("a lane")).collect()
    })
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

fn assert_none_wrong(wrong: &[String]) {
    assert!(wrong.is_empty(), "{} plays were wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// What a proxy needs around it.
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

    /// A proxy that listens, under an order and with every line logged.
    fn start(&self, order: &Order) -> Result<Proxy, String> {
        let mut config = config(self.discovery.addr, &[member("c0", self.node.addr, "std", "ready")]);
        config["mgmt"] = json!("127.0.0.1:0");
        let file = self.state.path().join("operator.toml");
        let state = self.state.path().display();
        let text = format!("[log]\nlevel = \"trace\"\n[list]\nevery = \"200ms\"\nkeep = \"{state}\"\n");
        std::fs::write(&file, text).expect("written");
        let armed = |command: &mut Command| {
            command.env("TMPDIR", self.state.path()).env("ANISEYOKE_FILE", &file);
            arm(command, order).expect("armed");
        };
        let ended = |log| format!("seed {}: ended before it listened: {log}", order.seed);
        Proxy::try_with(&config, armed).map_err(ended)
    }

    /// Answers calls for the list until the proxy has kept one. A SIGHUP ends a call, and another follows.
    fn tell_list(&self) {
        let told = list(NEXT_VERSION, true, &[member("c0", self.node.addr, "std", "ready")]).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{told}", told.len());
        let kept = self.state.path().join("aniseyoke-list");
        let (known, version) = (format!("from={NEXT_VERSION}"), format!("\"version\":{NEXT_VERSION}"));
        let mut calls = Vec::new();
        until("the list is kept", || {
            if let Ok(stream) = self.discovery.accepted.try_recv() {
                let mut call = Peer::new(stream);
                if call.read().is_some_and(|request| !request.line.contains(&known)) {
                    // The proxy may have ended this call since.
                    let _ = call.0.get_mut().write_all(answer.as_bytes());
                }
                calls.push(call);
            }
            std::fs::read_to_string(&kept).is_ok_and(|text| text.contains(&version))
        });
    }

    /// Has a list kept by the background writer, a request served, and orders stored by the pool of blocking threads.
    fn serve(&self, proxy: &Proxy, door: SocketAddr) {
        self.tell_list();
        let mut client = proxy.client();
        client.ask("read", "");
        let mut asked = self.node.take();
        asked.request();
        asked.reply("200 OK", "X-Lookup: hit\r\n", "served");
        assert_eq!(client.answer().status(), 200);
        for _ in 0..ORDERS_GIVEN {
            assert_eq!(call_for_node(door, "/api/exclude", "c0"), 200);
        }
    }
}

/// Guards against a spin, a lost wake-up or a wait without an end between the serving thread, the log's and those of the
/// blocking pool, from the start on and while it serves.
#[test]
fn a_proxy_starts_and_serves_in_every_order_of_its_threads() {
    let wrong = play_all(|seed| {
        let site = Site::new();
        let mut proxy = site.start(&order(seed, false))?;
        let door = proxy.admin_addr();
        let log = proxy.take_log();
        let served = catch_unwind(AssertUnwindSafe(|| site.serve(&proxy, door)));
        let ended = proxy.child.try_wait().expect("a status");
        proxy.child.kill().expect("killed");
        proxy.child.wait().expect("its end");
        let said = log.join().expect("the log");
        if served.is_err() || ended.is_some() {
            return Err(format!("seed {seed}: served {}, ended {ended:?}: {said}", served.is_ok()));
        }
        Ok(())
    });
    assert_none_wrong(&wrong);
}

/// Plays the end at any call by the seeds that hold a thread back, or by those that do not; what was wrong.
fn play_ends(held_back: bool) -> Vec<String> {
    play_all(|seed| {
        if Scheduler::new(seed).held_back().is_some() != held_back {
            return Ok(());
        }
        let site = Site::new();
        check_end(site.start(&order(seed, true))?, seed)
    })
}

/// Guards against the same at an end that is asked for at any call, and against a last line that is lost.
#[test]
fn a_proxy_that_is_told_to_stop_at_any_call_ends_by_itself_in_every_order() {
    assert_none_wrong(&play_ends(false));
}

/// Guards against a thread that spins at the end, until another that is held back has done the second half of a step.
#[test]
fn a_proxy_that_is_told_to_stop_ends_by_itself_whichever_thread_is_held_back() {
    assert_none_wrong(&play_ends(true));
}
