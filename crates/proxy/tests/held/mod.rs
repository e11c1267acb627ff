//! Proxies whose system calls are delayed by a fault plan, and the nodes behind them.
#![allow(dead_code)]

use super::rig::*;
use aniseyoke_faults::{configure_preload, ActivePlan, Call, CallTarget, Effect, Frequency, Plan, Rule};
use nix::sys::socket::{
    recvmsg, setsockopt, sockopt::ReceiveTimestampns, ControlMessageOwned, MsgFlags, RecvMsg,
};
use nix::sys::time::TimeSpec;
use nix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};
use std::collections::HashSet;
use std::io::IoSliceMut;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Duration of an injected delay.
pub const DELAY: Duration = Duration::from_millis(150);
/// Delay of the read of a request, within which the test changes the fault plan.
pub const READ_DELAY: Duration = Duration::from_millis(30);
/// Number of proxies that are tested in parallel.
const PARALLEL_SITES: usize = 5;
/// Number of requests that earn the budget of one retry or one hedged request.
const REQUESTS_PER_RETRY: usize = 4;

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehavior {
    /// Never answers.
    Hangs,
    Hits,
    Misses,
    /// Closes the connection this long after the request.
    Breaks(Duration),
    /// Closes the connection of the first attempt of each request whose ID begins with [`MARKED`], and
    /// answers all else with a hit.
    BreaksFirst,
    /// Never answers a request whose ID begins with [`MARKED`], and answers all else with a hit.
    HangsMarked,
}

const MARKED: &str = "marked-";

/// Returns a new ID for a marked request.
pub fn marked_id() -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    format!("{MARKED}{}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// A request that a node received.
pub struct ReceivedRequest {
    /// When the kernel received it. The node's thread may read it later on a busy machine.
    pub received_at: Instant,
    pub id: String,
    pub time_left: f64,
}

/// A hook that a node runs once, before it handles the next marked request.
type RequestHook = Arc<Mutex<Option<Box<dyn FnOnce() + Send>>>>;

/// A node that serves each connection on its own thread.
pub struct Node {
    pub port: u16,
    pub received: Receiver<ReceivedRequest>,
    pub on_marked_request: RequestHook,
    server: std::net::SocketAddr,
}

/// State that all connections of a node share; `seen` is common to all nodes of a site.
#[derive(Clone)]
struct Shared {
    received: Sender<ReceivedRequest>,
    on_marked_request: RequestHook,
    seen: Arc<Mutex<HashSet<String>>>,
}

fn node(behavior: NodeBehavior, seen: &Arc<Mutex<HashSet<String>>>) -> Node {
    let server = Server::new();
    let (addr, (sender, received)) = (server.addr, channel());
    let on_marked_request = RequestHook::default();
    let shared =
        Shared { received: sender, on_marked_request: on_marked_request.clone(), seen: seen.clone() };
    std::thread::spawn(move || {
        while let Ok(stream) = server.accepted.recv() {
            let shared = shared.clone();
            std::thread::spawn(move || serve(Peer::new(stream), behavior, &shared));
        }
    });
    Node { port: addr.port(), server: addr, received, on_marked_request }
}

fn serve(mut peer: Peer, behavior: NodeBehavior, shared: &Shared) {
    report_arrivals(peer.0.get_ref());
    loop {
        let received_at = next_arrival(peer.0.get_ref());
        let Some(request) = peer.read() else { return };
        let received_at = received_at.unwrap_or_else(Instant::now);
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        let id = header("x-correlation-id");
        let time_left = header("x-time-left").parse().unwrap_or_else(|_| {
            panic!("no time left given at {:?} in {request:?}", peer.0.get_ref().local_addr())
        });
        if shared.received.send(ReceivedRequest { received_at, id: id.clone(), time_left }).is_err() {
            return;
        }
        let marked = id.starts_with(MARKED);
        // Requests before the marked one don't run the hook.
        let hook = if marked { shared.on_marked_request.lock().expect("whole").take() } else { None };
        hook.into_iter().for_each(|hook| hook());
        match behavior {
            NodeBehavior::Hangs => {}
            NodeBehavior::HangsMarked if marked => {}
            NodeBehavior::BreaksFirst if marked && shared.seen.lock().expect("whole").insert(id) => return,
            NodeBehavior::Hits | NodeBehavior::HangsMarked | NodeBehavior::BreaksFirst => {
                peer.reply("200 OK", "X-Lookup: hit\r\n", "");
            }
            NodeBehavior::Misses => peer.reply("404 Not Found", "X-Lookup: miss\r\n", ""),
            NodeBehavior::Breaks(after) => {
                sleep(after);
                return;
            }
        }
    }
}

/// Has the kernel report when bytes of a connection arrive.
pub fn report_arrivals(stream: &TcpStream) {
    setsockopt(stream, ReceiveTimestampns, &true).expect("timestamps");
}

/// Waits for the next bytes of a connection and returns when the kernel received them, if it reports that.
/// The bytes are left unread.
pub fn next_arrival(stream: &TcpStream) -> Option<Instant> {
    let (mut byte, mut control) = ([0], nix::cmsg_space!(TimeSpec));
    let mut buffers = [IoSliceMut::new(&mut byte)];
    let message: RecvMsg<()> =
        recvmsg(stream.as_raw_fd(), &mut buffers, Some(&mut control), MsgFlags::MSG_PEEK).ok()?;
    let arrived = message.cmsgs().ok()?.find_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(time) => Some(time),
        _ => None,
    })?;
    let age = clock_gettime(ClockId::CLOCK_REALTIME).ok()? - arrived;
    let age = Duration::new(u64::try_from(age.tv_sec()).ok()?, u32::try_from(age.tv_nsec()).ok()?);
    Instant::now().checked_sub(age)
}

pub struct Site {
    pub proxy: Proxy,
    pub caches: Vec<Node>,
    pub origin: Node,
    pub faults: ActivePlan,
    _discovery: Server,
    _folder: tempfile::TempDir,
}

/// Starts a proxy in front of cache nodes and an origin with the given behaviors; `change` edits its
/// settings.
pub fn site(caches: &[NodeBehavior], origin: NodeBehavior, change: impl FnOnce(&mut Value)) -> Site {
    let seen = Arc::default();
    let (origin, discovery) = (node(origin, &seen), Server::new());
    let caches: Vec<Node> = caches.iter().map(|behavior| node(*behavior, &seen)).collect();
    let mut servers = vec![member("o1", origin.server, "origin", "ready")];
    let listed = caches.iter().enumerate();
    servers.extend(listed.map(|(n, node)| member(&format!("c{n}"), node.server, "std", "ready")));
    let mut settings = config(discovery.addr, &servers);
    settings["settings"]["caps"]["cancelling"] = json!(false);
    change(&mut settings);
    let folder = tempfile::tempdir().expect("a folder");
    let mut faults = None;
    let proxy = Proxy::with(&settings, |command| {
        faults = Some(configure_preload(command, folder.path(), &Plan::default()).expect("armed"));
    });
    let faults = faults.expect("armed");
    Site { proxy, caches, origin, faults, _discovery: discovery, _folder: folder }
}

/// Returns a plan that delays the process after the given clock readings, counted from when the plan takes
/// effect.
pub fn delays_after_readings(readings: &[u64]) -> Plan {
    let rule = |n: &u64| Rule::new("held", &[Call::ClockGettime], delay_after()).often(Frequency::Only(*n));
    Plan::new(0, &readings.iter().map(rule).collect::<Vec<_>>())
}

/// Selects reads from one client's connection, so that other connections, such as one whose client has just
/// disconnected, are not delayed.
fn arrived_from(client: &Peer) -> CallTarget {
    CallTarget::ArrivedFrom(client.0.get_ref().local_addr().expect("an address").port())
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).expect("short")
}

fn delay_after() -> Effect {
    Effect::DelayAfter(micros(DELAY))
}

impl Site {
    /// Connects a client and returns once the proxy has accepted it.
    pub fn client(&self) -> Peer {
        let mut client = self.proxy.client();
        client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().status(), 200);
        client
    }

    /// Delays the process after the given clock readings, counted from now on.
    pub fn delay_readings(&self, readings: &[u64]) {
        self.set_plan(&delays_after_readings(readings));
    }

    fn set_plan(&self, plan: &Plan) {
        self.faults.change(plan).expect("written");
    }

    /// Delays the process after the given clock readings, counted from when the next marked request reaches a
    /// cache node.
    pub fn delay_readings_from_marked_request(&self, readings: &[u64]) {
        let once = Arc::new(Mutex::new(Some(delays_after_readings(readings))));
        for cache in &self.caches {
            let (faults, once) = (self.faults.clone(), once.clone());
            let change = move || {
                let plan = once.lock().expect("whole").take();
                plan.into_iter().for_each(|plan| faults.change(&plan).expect("written"));
            };
            cache.on_marked_request.lock().expect("whole").replace(Box::new(change));
        }
    }

    /// Sends a request and delays the process after the given clock readings, counted from its first read of
    /// that request's bytes. Returns the effective time of sending.
    pub fn delay_readings_once_read(&self, client: &mut Peer, request: &str, readings: &[u64]) -> Instant {
        self.delay_readings_once_read_after(client, request, readings, || {})
    }

    /// Like [`Site::delay_readings_once_read`], with an action right before the request is sent.
    pub fn delay_readings_once_read_after(
        &self,
        client: &mut Peer,
        request: &str,
        readings: &[u64],
        before_send: impl FnOnce(),
    ) -> Instant {
        let rule = Rule::new("read", &Call::RECEIVING, Effect::DelayAfter(micros(READ_DELAY)));
        let rule = rule.about(arrived_from(client)).often(Frequency::Only(1));
        let before = self.faults.forced("read");
        self.set_plan(&Plan::new(0, &[rule]));
        // A read that began before the request arrived doesn't match the rule, and could still return the
        // request undelayed.
        until("the process sleeps", || self.is_asleep());
        before_send();
        let sent = Instant::now();
        client.write(request);
        until("the request has been read", || self.faults.forced("read") > before);
        self.delay_readings(readings);
        // The test's own delay of the read does not count as elapsed time of the client.
        sent + READ_DELAY
    }

    /// Whether the proxy's serving thread sleeps.
    fn is_asleep(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.proxy.child.id())).expect("a state");
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('S'))
    }

    /// Delays the process before the read of the client's next request.
    pub fn delay_before_read(&self, client: &Peer) {
        let rule = Rule::new("held", &Call::RECEIVING, Effect::DelayBefore(micros(DELAY)));
        let rule = rule.about(arrived_from(client)).often(Frequency::Only(1));
        self.set_plan(&Plan::new(0, &[rule]));
    }

    /// Delays the process before its next write to each of the nodes.
    pub fn delay_before_writes(&self, nodes: &[&Node]) {
        let rule = |node: &&Node| {
            Rule::new("held", &Call::SENDING, Effect::DelayBefore(micros(DELAY)))
                .about(CallTarget::PeerPort(node.port))
                .often(Frequency::Only(1))
        };
        self.set_plan(&Plan::new(0, &nodes.iter().map(rule).collect::<Vec<_>>()));
    }

    /// Removes the hooks of all nodes and the fault plan.
    pub fn clear_faults(&self) {
        for node in self.caches.iter().chain([&self.origin]) {
            node.on_marked_request.lock().expect("whole").take();
        }
        self.set_plan(&Plan::default());
    }

    /// Sends enough answered requests to earn one retry, and discards their records.
    pub fn earn_retry(&self, client: &mut Peer) {
        for _ in 0..REQUESTS_PER_RETRY {
            client.ask("read", "");
            client.answer();
        }
        self.received().for_each(drop);
    }

    /// Returns the requests that nodes received since the last call.
    pub fn received(&self) -> impl Iterator<Item = ReceivedRequest> + '_ {
        self.caches.iter().chain([&self.origin]).flat_map(|node| node.received.try_iter())
    }
}

/// Runs all cases, in parallel on several sites that each serve one thread; returns each case with its
/// result.
pub fn sweep<C: Clone + Send + 'static, R: Send + 'static>(
    cases: &[C],
    site: fn() -> Site,
    check: fn(&Site, &C) -> R,
) -> Vec<(C, R)> {
    let groups: Vec<_> = cases.chunks(cases.len().div_ceil(PARALLEL_SITES)).map(<[C]>::to_vec).collect();
    // All programs have started before any case runs: their startup load would distort the measurement.
    let started = Arc::new(Barrier::new(groups.len()));
    let threads = groups.into_iter().map(|group| {
        let started = started.clone();
        std::thread::spawn(move || {
            let site = site();
            site.client();
            started.wait();
            group.into_iter().map(|case| (case.clone(), check(&site, &case))).collect::<Vec<_>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
}

/// Like [`sweep`], with a new site for each case, because a proxy avoids nodes that have failed before.
pub fn sweep_with_fresh_sites<C: Clone + Send + 'static, R: Send + 'static>(
    cases: &[C],
    site: fn() -> Site,
    check: fn(&Site, &C) -> R,
) -> Vec<(C, R)> {
    let groups = cases.chunks(cases.len().div_ceil(PARALLEL_SITES)).map(<[C]>::to_vec);
    let threads = groups.map(|group| {
        std::thread::spawn(move || {
            group.into_iter().map(|case| (case.clone(), check(&site(), &case))).collect::<Vec<_>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
}

/// Returns pairs of clock readings, the second 1 to 4 readings after the first.
pub fn reading_pairs(max: u64) -> Vec<[u64; 2]> {
    (1..=max).flat_map(|n| (1..=4).map(move |more| [n, n + more])).collect()
}
