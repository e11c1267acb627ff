//! Proxies under a plan of hold-ups, and the nodes behind them.
#![allow(dead_code)]

use super::rig::*;
use aniseyoke_faults::{arm, About, Armed, Call, Effect, Often, Plan, Rule};
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// So long a process is held up.
pub const DELAY: Duration = Duration::from_millis(150);
/// The reading of a request is held up for so long, until the plan has been changed.
pub const READ_DELAY: Duration = Duration::from_millis(30);
/// Proxies that are tried side by side.
const SIDE_BY_SIDE: usize = 5;
/// So many requests pay for one retry, or one hedged request.
const EARN_ONE: usize = 4;

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehavior {
    Hangs,
    Hits,
    Misses,
    /// It ends the connection so long after the request.
    Breaks(Duration),
    /// It ends the connection of the first attempt of a request whose id begins with [`MARKED`], and hits otherwise.
    BreaksFirst,
    /// It does nothing with a request whose id begins with [`MARKED`], and hits otherwise.
    HangsMarked,
}

const MARKED: &str = "marked-";

/// The id of a marked request.
pub fn marked_id() -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    format!("{MARKED}{}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// A request as it came to a node.
pub struct ReceivedRequest {
    pub received_at: Instant,
    pub id: String,
    pub time_left: f64,
}

/// What happens at a node before it does anything with a marked request.
type RequestHook = Arc<Mutex<Option<Box<dyn FnOnce() + Send>>>>;

/// A node whose connections are each served on a thread.
pub struct Node {
    pub port: u16,
    pub received: Receiver<ReceivedRequest>,
    pub on_marked_request: RequestHook,
    server: std::net::SocketAddr,
}

/// What the connections of one site's nodes share.
#[derive(Clone)]
struct Shared {
    tell: Sender<ReceivedRequest>,
    on_marked_request: RequestHook,
    seen: Arc<Mutex<HashSet<String>>>,
}

fn node(does: NodeBehavior, seen: &Arc<Mutex<HashSet<String>>>) -> Node {
    let server = Server::new();
    let (addr, (tell, received)) = (server.addr, channel());
    let on_marked_request = RequestHook::default();
    let shared = Shared { tell, on_marked_request: on_marked_request.clone(), seen: seen.clone() };
    std::thread::spawn(move || {
        while let Ok(stream) = server.accepted.recv() {
            let shared = shared.clone();
            std::thread::spawn(move || serve(Peer::new(stream), does, &shared));
        }
    });
    Node { port: addr.port(), server: addr, received, on_marked_request }
}

fn serve(mut peer: Peer, does: NodeBehavior, shared: &Shared) {
    while let Some(request) = peer.read() {
        let told = |name| request.header(name).unwrap_or_default().to_owned();
        let id = told("x-correlation-id");
        let time_left = told("x-time-left")
            .parse()
            .unwrap_or_else(|_| panic!("no time at {:?} in {request:?}", peer.0.get_ref().local_addr()));
        if shared
            .tell
            .send(ReceivedRequest { received_at: Instant::now(), id: id.clone(), time_left })
            .is_err()
        {
            return;
        }
        let marked = id.starts_with(MARKED);
        // What a test does at a marked request isn't done at those that go ahead of it.
        let called = if marked { shared.on_marked_request.lock().expect("whole").take() } else { None };
        called.into_iter().for_each(|before| before());
        match does {
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

pub struct Site {
    pub proxy: Proxy,
    pub caches: Vec<Node>,
    pub origin: Node,
    pub faults: Armed,
    _discovery: Server,
    _folder: tempfile::TempDir,
}

/// A proxy before some cache nodes and an origin.
pub fn site(caches: &[NodeBehavior], origin: NodeBehavior, change: impl FnOnce(&mut Value)) -> Site {
    let seen = Arc::default();
    let (origin, discovery) = (node(origin, &seen), Server::new());
    let caches: Vec<Node> = caches.iter().map(|does| node(*does, &seen)).collect();
    let mut servers = vec![member("o1", origin.server, "origin", "ready")];
    let listed = caches.iter().enumerate();
    servers.extend(listed.map(|(n, node)| member(&format!("c{n}"), node.server, "std", "ready")));
    let mut settings = config(discovery.addr, &servers);
    settings["settings"]["caps"]["cancelling"] = json!(false);
    change(&mut settings);
    let folder = tempfile::tempdir().expect("a folder");
    let mut faults = None;
    let proxy = Proxy::with(&settings, |command| {
        faults = Some(arm(command, folder.path(), &Plan::default()).expect("armed"));
    });
    let faults = faults.expect("armed");
    Site { proxy, caches, origin, faults, _discovery: discovery, _folder: folder }
}

/// Holds the process up behind each of these readings of its clock, counted from now on.
pub fn delays_after_readings(readings: &[u64]) -> Plan {
    let rule = |n: &u64| Rule::new("held", &[Call::ClockGettime], held_after()).often(Often::Only(*n));
    Plan::new(0, &readings.iter().map(rule).collect::<Vec<_>>())
}

/// Reads of what has come from a client. Those of other connections, such as one whose client has just left, are not held.
fn arrived_from(client: &Peer) -> About {
    About::ArrivedFrom(client.0.get_ref().local_addr().expect("an address").port())
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).expect("short")
}

fn held_after() -> Effect {
    Effect::DelayAfter(micros(DELAY))
}

impl Site {
    /// A client whose connection the proxy has taken.
    pub fn client(&self) -> Peer {
        let mut client = self.proxy.client();
        client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().status(), 200);
        client
    }

    pub fn delay_readings(&self, readings: &[u64]) {
        self.put(&delays_after_readings(readings));
    }

    fn put(&self, plan: &Plan) {
        self.faults.change(plan).expect("written");
    }

    /// From the next marked request at a cache node on, before it does anything with it.
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

    /// From the moment on in which it has read a request, and not before: its first read that finds bytes is told.
    pub fn delay_readings_once_read(&self, client: &mut Peer, request: &str, readings: &[u64]) -> Instant {
        self.delay_readings_once_read_after(client, request, readings, || {})
    }

    /// The same where something else happens right before the request is sent.
    pub fn delay_readings_once_read_after(
        &self,
        client: &mut Peer,
        request: &str,
        readings: &[u64],
        before_it: impl FnOnce(),
    ) -> Instant {
        let rule = Rule::new("read", &Call::RECEIVING, Effect::DelayAfter(micros(READ_DELAY)));
        let rule = rule.about(arrived_from(client)).often(Often::Only(1));
        let before = self.faults.forced("read");
        self.put(&Plan::new(0, &[rule]));
        // Danger: a read that is under way behind the last answer, and finds the request, was looked at before that came.
        until("it waits", || self.waits());
        before_it();
        let sent = Instant::now();
        client.write(request);
        until("it has been read", || self.faults.forced("read") > before);
        self.delay_readings(readings);
        // What the test itself held up is not counted.
        sent + READ_DELAY
    }

    /// Whether the proxy's one thread that serves sleeps.
    fn waits(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.proxy.child.id())).expect("a state");
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('S'))
    }

    /// Before the read that takes the client's next request.
    pub fn delay_before_read(&self, client: &Peer) {
        let rule = Rule::new("held", &Call::RECEIVING, Effect::DelayBefore(micros(DELAY)));
        let rule = rule.about(arrived_from(client)).often(Often::Only(1));
        self.put(&Plan::new(0, &[rule]));
    }

    /// Before the next write to each node.
    pub fn delay_before_writes(&self, nodes: &[&Node]) {
        let rule = |node: &&Node| {
            Rule::new("held", &Call::SENDING, Effect::DelayBefore(micros(DELAY)))
                .about(About::PeerPort(node.port))
                .often(Often::Only(1))
        };
        self.put(&Plan::new(0, &nodes.iter().map(rule).collect::<Vec<_>>()));
    }

    pub fn clear_faults(&self) {
        for node in self.caches.iter().chain([&self.origin]) {
            node.on_marked_request.lock().expect("whole").take();
        }
        self.put(&Plan::default());
    }

    /// Has requests answered that pay for a retry, and forgets them.
    pub fn earn_retry(&self, client: &mut Peer) {
        for _ in 0..EARN_ONE {
            client.ask("read", "");
            client.answer();
        }
        self.received().for_each(drop);
    }

    /// What has come to nodes since that was asked last.
    pub fn received(&self) -> impl Iterator<Item = ReceivedRequest> + '_ {
        self.caches.iter().chain([&self.origin]).flat_map(|node| node.received.try_iter())
    }
}

/// What each of the cases came to, some side by side, each on a site of its own thread.
pub fn sweep<C: Clone + Send + 'static, R: Send + 'static>(
    cases: &[C],
    site: fn() -> Site,
    look: fn(&Site, &C) -> R,
) -> Vec<(C, R)> {
    let parts: Vec<_> = cases.chunks(cases.len().div_ceil(SIDE_BY_SIDE)).map(<[C]>::to_vec).collect();
    // Programs that start have the machine busy, which isn't to be measured.
    let started = Arc::new(Barrier::new(parts.len()));
    let threads = parts.into_iter().map(|part| {
        let started = started.clone();
        std::thread::spawn(move || {
            let site = site();
            site.client();
            started.wait();
            part.into_iter().map(|case| (case.clone(), look(&site, &case))).collect::<Vec<_>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("looked at")).collect()
}

/// The same on a site of its own for each case: nodes that fail are avoided later on.
pub fn sweep_with_fresh_sites<C: Clone + Send + 'static, R: Send + 'static>(
    cases: &[C],
    site: fn() -> Site,
    look: fn(&Site, &C) -> R,
) -> Vec<(C, R)> {
    let parts = cases.chunks(cases.len().div_ceil(SIDE_BY_SIDE)).map(<[C]>::to_vec);
    let threads = parts.map(|part| {
        std::thread::spawn(move || {
            part.into_iter().map(|case| (case.clone(), look(&site(), &case))).collect::<Vec<_>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("looked at")).collect()
}

/// Pairs of readings of which the second is soon after the first.
pub fn reading_pairs(most: u64) -> Vec<[u64; 2]> {
    (1..=most).flat_map(|n| (1..=4).map(move |more| [n, n + more])).collect()
}
