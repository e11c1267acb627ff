//! Runs the proxy binary against clients, cache nodes and a discovery service that a test scripts on loopback
//! sockets.
#![allow(dead_code)]

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Timeout of a single step of a test, far above what any step takes.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of an effect that follows immediately, with allowance for a busy machine.
const IMMEDIATE_TIMEOUT: Duration = Duration::from_secs(2);

/// A received HTTP message: its start line, its headers with lowercase names, and its body.
#[derive(Debug, PartialEq)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// The test's end of a connection.
pub struct Peer(pub BufReader<TcpStream>);

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("time-out");
        stream.set_write_timeout(Some(STEP_TIMEOUT)).expect("time-out");
        Peer(BufReader::new(stream))
    }

    pub fn to(addr: SocketAddr) -> Self {
        Self::new(TcpStream::connect(addr).expect("connected"))
    }

    /// Returns the status of the proxy's health endpoint, asked on a new connection.
    pub fn health(addr: SocketAddr) -> u16 {
        let mut peer = Self::to(addr);
        peer.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        peer.answer().status()
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// Reads the next message; `None` if the connection has ended.
    pub fn read(&mut self) -> Option<Message> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => return None,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
            read => read.expect("a line"),
        };
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            self.0.read_line(&mut header).expect("a header");
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { line: line.trim_end().to_owned(), headers, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
        message.body.resize(length, 0);
        self.0.read_exact(&mut message.body).expect("a body");
        Some(message)
    }

    /// Reads the next final answer and skips interim (1xx) ones.
    pub fn answer(&mut self) -> Message {
        loop {
            let message = self.read().expect("an answer");
            if message.status() >= 200 {
                return message;
            }
        }
    }

    /// Whether the peer neither sends anything nor closes the connection for the given time.
    pub fn stays_open(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).expect("time-out");
        let read = self.0.fill_buf().map(<[u8]>::len);
        self.0.get_ref().set_read_timeout(Some(STEP_TIMEOUT)).expect("time-out");
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Waits until the connection ends; whether it is reset, which discards data in transit, at once or after
    /// an orderly close.
    pub fn ends_with_a_reset(&mut self) -> bool {
        match self.0.read(&mut [0; 1]) {
            Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
            Ok(n) => assert_eq!(n, 0, "unexpected data"),
        }
        reset_follows(self.0.get_ref())
    }

    pub fn request(&mut self) -> Message {
        self.read().expect("a request")
    }

    pub fn reply(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"));
    }

    pub fn ask(&mut self, class: &str, extra_headers: &str) {
        self.write(&get(class, extra_headers));
    }
}

/// Whether a reset follows the orderly close of a connection, seen as a pending socket error. The kernel
/// sends a reset when bytes reach a socket that was closed without having read them.
pub fn reset_follows(stream: &TcpStream) -> bool {
    let until = Instant::now() + IMMEDIATE_TIMEOUT;
    while Instant::now() < until {
        if stream.take_error().expect("an answer").is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    false
}

/// Returns a GET request of a class with a unique correlation ID and additional header lines.
pub fn get(class: &str, extra_headers: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    get_as(&format!("own-{}", NUMBER.fetch_add(1, Ordering::Relaxed)), class, extra_headers)
}

pub fn get_as(id: &str, class: &str, extra_headers: &str) -> String {
    format!(
        "GET /{class}/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
         X-Account: acme\r\n{extra_headers}\r\n"
    )
}

/// A listening server that hands its connections to the test one by one.
pub struct Server {
    pub addr: SocketAddr,
    pub accepted: mpsc::Receiver<TcpStream>,
}

impl Server {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = listener.local_addr().expect("an address");
        let (sender, accepted) = mpsc::channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Server { addr, accepted }
    }

    pub fn take(&self) -> Peer {
        Peer::new(self.accepted.recv_timeout(STEP_TIMEOUT).expect("a connection"))
    }

    pub fn no_new_connection(&self) -> bool {
        self.accepted.try_recv().is_err()
    }
}

/// Returns the next connection that one of the servers accepts, with the index of that server.
pub fn accept_any(servers: &[Server]) -> (usize, Peer) {
    let until = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < until {
        for (index, server) in servers.iter().enumerate() {
            if let Ok(stream) = server.accepted.recv_timeout(Duration::from_millis(1)) {
                return (index, Peer::new(stream));
            }
        }
    }
    panic!("no server got a connection")
}

pub fn member(id: &str, addr: SocketAddr, kind: &str, state: &str) -> Value {
    json!({"id": id, "addr": addr.to_string(), "zone": "a", "kind": kind, "cell": 0, "state": state,
           "weight": 1.0, "started_ms": 0})
}

pub fn list(version: u64, full: bool, servers: &[Value]) -> Value {
    json!({"version": version, "full": full, "servers": servers})
}

pub fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "promise_ns": 20_000_000_000u64,
           "deadline_ns": 60_000_000_000u64, "dedup_window_ns": 60_000_000_000u64, "late_value": 0.5,
           "value": 1.0, "stream": false})
}

pub fn config(discovery: SocketAddr, servers: &[Value]) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "news": {"of": ["a", "later"]},
        "known": list(41, true, servers),
        "settings": {
            "categories": [class("read", "safe"), class("set", "keyed"), class("order", "unsafe")],
            "customers": [{"name": "acme", "quota_rps": 1000.0, "fraction": 1.0}],
            "localities": ["a"], "machine_types": ["std", "origin"], "zone": 0, "n_instances": 1,
            "self_index": 0, "discovery": "subscribe", "over_share_worth": 0.1, "worth_by": "request",
            "family_info": {"mode": "aside", "origin_kind": 1},
            "caps": {"attempts_cap": 5, "cancelling": true, "second_copies": true,
                     "conn_idle_ns": 60_000_000_000u64, "connect_timeout_ns": 20_000_000_000u64,
                     "max_retry_after_ns": 2_000_000_000u64},
            "rules": {"cold_from": 0.1, "cold_ns": 20_000_000_000u64, "fall_multiple": 3.0,
                      "fall_ns": 3_000_000_000u64, "must_ask_in_ns": 40_000_000_000u64},
            "an_unknown_key": 7
        }
    })
}

/// A running proxy process, killed on drop.
pub struct Proxy {
    pub child: Child,
    pub addr: SocketAddr,
    pub log: BufReader<ChildStderr>,
    /// The log lines before the one that reports the listening address.
    pub startup_log: Vec<String>,
    pub file: PathBuf,
}

pub fn start(text: &str) -> (Child, PathBuf) {
    start_with(text, |_| {})
}

pub fn start_with(text: &str, change: impl FnOnce(&mut Command)) -> (Child, PathBuf) {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let name = format!("aniseyoke-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a configuration file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke"));
    command.env_clear().env("PROXY_CONFIG", &file).stderr(Stdio::piped());
    change(&mut command);
    kill_with_thread(&mut command);
    (spawn(&mut command), file)
}

/// Taken for writing to start a process, and for reading to close a connection whose end must be sent at
/// once: between fork and exec the child holds a duplicate of each connection, which delays its close.
static PROCESS_START: RwLock<()> = RwLock::new(());

/// Starts a process and returns after its `exec`.
fn spawn(command: &mut Command) -> Child {
    let _guard = PROCESS_START.write().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("started")
}

/// Closes a connection such that its FIN or RST is sent at once.
pub fn close_at_once(peer: Peer) {
    let _guard = PROCESS_START.read().unwrap_or_else(PoisonError::into_inner);
    drop(peer);
}

/// Makes the kernel kill the child when the thread that starts it ends, even if the test process is killed.
/// An orphaned proxy would keep polling ports that belong to servers of other tests by then.
#[allow(unsafe_code)]
fn kill_with_thread(command: &mut Command) {
    let set_signal = || nix::sys::prctl::set_pdeathsig(Signal::SIGKILL).map_err(std::io::Error::from);
    // SAFETY: audited. The closure runs in the child between fork and exec and makes one system call, prctl,
    // which is async-signal-safe; it allocates nothing and touches no lock or memory of the parent.
    unsafe {
        command.pre_exec(set_signal);
    }
}

impl Proxy {
    pub fn new(config: &Value) -> Self {
        Self::with(config, |_| {})
    }

    pub fn with(config: &Value, change: impl FnOnce(&mut Command)) -> Self {
        Self::try_with(config, change)
            .unwrap_or_else(|early| panic!("the log ended before the start: {early:?}"))
    }

    /// Starts the program and waits until it listens; returns its exit status and log if it ends before.
    pub fn try_with(config: &Value, change: impl FnOnce(&mut Command)) -> Result<Self, String> {
        let (mut child, file) = start_with(&config.to_string(), change);
        let mut log = BufReader::new(child.stderr.take().expect("a log"));
        let (mut line, mut early) = (String::new(), Vec::new());
        while !line.contains("listening on") {
            early.extend((!line.is_empty()).then(|| std::mem::take(&mut line)));
            if log.read_line(&mut line).expect("a line") == 0 {
                let status = child.wait().expect("its end");
                return Err(format!("{status}: {}", early.concat()));
            }
        }
        let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let addr = addr.unwrap_or_else(|| panic!("no address in {line:?}"));
        Ok(Proxy { child, addr, log, startup_log: early, file })
    }

    pub fn client(&self) -> Peer {
        Peer::to(self.addr)
    }

    /// Sends a signal by its name, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let signal: Signal = name.replacen('-', "SIG", 1).parse().expect("a signal");
        let process = Pid::from_raw(i32::try_from(self.child.id()).expect("an id"));
        kill(process, signal).expect("sent");
    }

    /// Sends `SIGSTOP` and returns once the process has stopped; `SIGCONT` resumes it.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until("it has stopped", || {
            let stat = std::fs::read_to_string(&stat).expect("a state");
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
    }

    pub fn health(&self) -> u16 {
        Peer::health(self.addr)
    }

    /// Returns the address of the admin endpoint from the log; must be called before anything else is read
    /// from the log.
    pub fn admin_addr(&mut self) -> SocketAddr {
        let mut line = String::new();
        while !line.contains("operators call at") {
            line.clear();
            assert!(
                self.log.read_line(&mut line).expect("a line") > 0,
                "the log ended before the admin endpoint opened"
            );
        }
        line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address")
    }

    /// Whether a log line before the one that reports the listening address contains `pattern`.
    pub fn logged_at_startup(&self, pattern: &str) -> bool {
        self.startup_log.iter().any(|line| line.contains(pattern))
    }

    /// Reads the rest of the log on a thread that ends at its end.
    pub fn take_log(&mut self) -> std::thread::JoinHandle<String> {
        let copy = self.log.get_ref().as_fd().try_clone_to_owned().expect("a copy");
        let empty = BufReader::new(ChildStderr::from(copy));
        let mut log = std::mem::replace(&mut self.log, empty);
        std::thread::spawn(move || {
            let mut text = String::new();
            log.read_to_string(&mut text).expect("the log");
            text
        })
    }

    /// Waits for a log line that contains `pattern`; returns the number of lines before it.
    pub fn logged(&mut self, pattern: &str) -> usize {
        for before in 0.. {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).expect("a line") > 0, "the log ended before {pattern:?}");
            if line.contains(pattern) {
                return before;
            }
        }
        unreachable!("the log is endless")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A proxy with one cache node, an origin and a discovery service.
pub struct Rig {
    pub proxy: Proxy,
    pub cache: Server,
    pub origin: Server,
    pub discovery: Server,
}

pub fn rig() -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let proxy = Proxy::new(&config(discovery.addr, &servers));
    Rig { proxy, cache, origin, discovery }
}

/// Waits until a condition is true; `what` names it in the failure message.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + STEP_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Makes one call to an admin endpoint; returns the status of its answer.
pub fn call(admin_addr: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    let mut caller = Peer::to(admin_addr);
    let length = body.len();
    caller.write(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"));
    let answer = caller.answer();
    assert_eq!((answer.header("connection"), caller.read()), (Some("close"), None));
    answer.status()
}

/// Makes an admin call that names one cache node.
pub fn call_for_node(admin_addr: SocketAddr, call_path: &str, id: &str) -> u16 {
    call(admin_addr, "POST", call_path, &json!({ "id": id }).to_string())
}

/// Returns the answer of an admin endpoint to a query of its version.
pub fn get_version(admin_addr: SocketAddr) -> Value {
    let mut caller = Peer::to(admin_addr);
    caller.write("GET /api/version HTTP/1.1\r\nHost: a\r\n\r\n");
    serde_json::from_slice(&caller.answer().body).expect("JSON")
}
