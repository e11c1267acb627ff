//! Stand-ins for the second review: discovery, cache nodes, origin, clients and the platform's part that starts a
//! proxy. Only the standard library is used. All addresses are loopback addresses with ports that the kernel chooses.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes `record.txt`, with the time since the start on each line.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens the record in the folder that `CASE_DIR` names.
    pub fn open() -> Arc<Record> {
        let dir = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into());
        let file = File::create(Path::new(&dir).join("record.txt")).expect("record.txt");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.seconds(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{:9.3} {}", self.seconds(), text.as_ref());
    }
}

/// Records the verdict: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: bool, text: &str) -> i32 {
    record.say(format!("{}: {text}", if broken { "BROKEN" } else { "HELD" }));
    i32::from(broken)
}

// ---- HTTP -----------------------------------------------------------------------------------------------------------

/// A message's first line, headers (names in lower case) and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the message arrived to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-correlation-id").unwrap_or("")
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// Reads messages from a stream.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65536];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the stream ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned())).collect();
                return Ok(Some(Message { first_line, headers, body: Vec::new(), whole: false }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_body(&mut self, message: &mut Message, to_end: bool) -> io::Result<()> {
        if message.is_chunked() {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                let data = self.take(size)?;
                message.body.extend_from_slice(&data);
                self.take(2)?;
            }
        }
        match message.length() {
            Some(length) => {
                while message.body.len() < length {
                    if self.buffer.is_empty() && self.fill()? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    let n = self.buffer.len().min(length - message.body.len());
                    message.body.extend(self.buffer.drain(..n));
                }
                Ok(())
            }
            None if to_end => loop {
                message.body.append(&mut self.buffer);
                if self.fill()? == 0 {
                    return Ok(());
                }
            },
            None => Ok(()),
        }
    }

    /// Reads a request; `None` if the stream ends before its first byte.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.read_body(&mut message, false)?;
        message.whole = true;
        Ok(Some(message))
    }

    /// Reads an answer, skipping interim ones. An answer that breaks off has `whole` unset; no answer is an error.
    pub fn answer(&mut self) -> io::Result<Message> {
        loop {
            let mut message = self.head()?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
            if (100..200).contains(&message.status()) {
                continue;
            }
            message.whole = self.read_body(&mut message, true).is_ok();
            return Ok(message);
        }
    }
}

// ---- discovery ------------------------------------------------------------------------------------------------------

/// A member of the list.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub addr: SocketAddr,
    pub kind: &'static str,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Member {
    pub fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"hall\",\"kind\":\"{}\",\"cell\":0,\"state\":\"{}\",\"weight\":1.0,\"started_ms\":{}}}",
            self.id, self.addr, self.kind, self.state, self.started_ms
        )
    }
}

#[derive(Default)]
struct ListState {
    version: u64,
    members: BTreeMap<String, (u64, Member)>,
}

/// Discovery: the list, and its service.
pub struct Discovery {
    state: Mutex<ListState>,
    changed: Condvar,
    /// Whether calls are answered 503, as the service is down.
    pub down: AtomicBool,
    record: Arc<Record>,
}

pub fn list_json(version: u64, full: bool, members: &[&Member]) -> String {
    let members: Vec<String> = members.iter().map(|m| m.json()).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", members.join(","))
}

impl Discovery {
    /// Starts the service; returns its address.
    pub fn start(record: Arc<Record>) -> (Arc<Discovery>, SocketAddr) {
        let state = Mutex::new(ListState { version: 1, ..ListState::default() });
        let down = AtomicBool::new(false);
        let discovery = Arc::new(Discovery { state, changed: Condvar::new(), down, record });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        (discovery, addr)
    }

    /// Sets a member, or one of its fields, as a new version of the list.
    pub fn set(&self, member: Member) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        self.record.line(format!("discovery: version {version}: {} {}", member.id, member.state));
        state.members.insert(member.id.clone(), (version, member));
        self.changed.notify_all();
    }

    /// The list as a proxy held it last.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.version, true, &Self::members(&state, 0))
    }

    fn members(state: &ListState, from: u64) -> Vec<&Member> {
        let members = state.members.values().filter(|(version, _)| *version > from);
        members.map(|(_, m)| m).filter(|m| from > 0 || m.state != "gone").collect()
    }

    /// Ends watches and turns calls away, or serves again.
    pub fn set_down(&self, down: bool) {
        self.record.line(format!("discovery: {}", if down { "down" } else { "up" }));
        self.down.store(down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            let path = request.path().to_owned();
            let number = |name: &str| -> Option<u64> {
                let query = path.split_once('?')?.1;
                query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
            };
            let (from, hold) = (number("from").unwrap_or(0), number("hold_ms").unwrap_or(0).min(60_000));
            let until = Instant::now() + ms(hold);
            let mut state = self.state.lock().unwrap();
            while from > 0 && state.version <= from && !self.down.load(Ordering::SeqCst) {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
            let down = self.down.load(Ordering::SeqCst);
            let body = list_json(state.version, from == 0, &Self::members(&state, from));
            drop(state);
            let (status, body) =
                if down { ("503 Service Unavailable", String::new()) } else { ("200 OK", body) };
            self.record.line(format!("discovery: {path} -> {status} {body}"));
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
            if reader.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---- cache nodes ----------------------------------------------------------------------------------------------------

/// Answers one request, and returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Starts a cache node, or the origin; returns its address.
pub fn start_node(record: &Arc<Record>, name: &str, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    serve_node(record, name, listener, handler);
    addr
}

/// Serves as a cache node on a listener.
pub fn serve_node(record: &Arc<Record>, name: &str, listener: TcpListener, handler: Handler) {
    let (record, name) = (record.clone(), name.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, name, handler) = (record.clone(), name.clone(), handler.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(Some(request)) = reader.request() {
                    record.line(format!("{name}: got {} id {}", request.first_line, request.id()));
                    let mut stream = reader.stream.try_clone().unwrap();
                    if !handler(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// The answer of a node to a request that it serves.
pub fn served(name: &str, request: &Message) -> String {
    let body = format!("{name} made this for {}", request.id());
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Lookup: hit\r\n\r\n{body}", body.len())
}

/// A node that serves every request after a time.
pub fn serving(name: &str, after: Duration) -> Handler {
    let name = name.to_owned();
    Arc::new(move |request, stream| {
        thread::sleep(after);
        stream.write_all(served(&name, request).as_bytes()).is_ok()
    })
}

// ---- the proxy ------------------------------------------------------------------------------------------------------

/// What a proxy is told.
pub struct Platform {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub known: String,
    /// The listening socket, where the platform holds it.
    pub listener: Option<TcpListener>,
}

/// Returns a loopback address with a port that is free now. The address is this process's own, so that no other program
/// takes the port before the proxy does.
pub fn free_addr() -> SocketAddr {
    let pid = std::process::id();
    let host = Ipv4Addr::new(127, 16 + (pid % 200) as u8, (pid / 200 % 250) as u8, 1);
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

impl Platform {
    pub fn new(discovery: SocketAddr) -> Platform {
        let root = std::env::var("REPOSITORY").expect("REPOSITORY names the repository").into();
        let base = std::env::var("CASE_TMP").expect("CASE_TMP names a temporary folder");
        Platform {
            root,
            dir: base.into(),
            listen: free_addr(),
            discovery,
            memory_mb: 128,
            sockets: 1024,
            known: "null".into(),
            listener: None,
        }
    }

    /// Holds the clients' listening socket, as for an upgrade.
    pub fn hold_listener(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.listen = listener.local_addr().unwrap();
        self.listener = Some(listener);
    }

    fn run_command(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find(|line| line.starts_with("run ")).expect("the run line");
        line.split('"').nth(1).expect("a command").to_owned()
    }

    fn config(&self) -> String {
        let class = |name: &str, effect: &str, deadline: u64, promise: u64, value: u32| {
            format!(
                "{{\"deadline_ns\":{deadline},\"dedup_window_ns\":6000000000,\"effect\":\"{effect}\",\"group\":\"all\",\"late_value\":0.0,\"name\":\"{name}\",\"promise_ns\":{promise},\"stream\":false,\"value\":{value}.0}}"
            )
        };
        let classes = [
            class("track-lookup", "safe", 1_500_000_000, 600_000_000, 2),
            class("cod-settle", "unsafe", 1_500_000_000, 800_000_000, 10),
            class("scan-event", "keyed", 6_000_000_000, 2_500_000_000, 2),
        ];
        format!(
            concat!(
                "{{\"name\":\"p0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",",
                "\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},",
                "\"settings\":{{\"caps\":{{\"attempts_cap\":4,\"cancelling\":true,\"conn_idle_ns\":30000000000,",
                "\"connect_timeout_ns\":250000000,\"max_retry_after_ns\":2000000000,\"second_copies\":true}},",
                "\"categories\":[{}],\"customers\":[{{\"fraction\":1.0,\"name\":\"hanbit-main\",\"quota_rps\":1000.0}}],",
                "\"discovery\":\"subscribe\",\"family_info\":{{\"mode\":\"aside\",\"origin_kind\":1}},",
                "\"localities\":[\"hall\"],\"machine_types\":[\"mid-core\",\"ledger\"],\"n_instances\":1,",
                "\"over_share_worth\":0.05,\"rules\":{{\"answer_slack_ns\":20000000,\"cold_from\":0.32,",
                "\"cold_ns\":8900000000,\"drain_grace_ns\":2000000000,\"fall_multiple\":3.0,\"fall_ns\":2000000000,",
                "\"must_ask_in_ns\":10000000000}},\"self_index\":0,\"worth_by\":\"work\",\"zone\":0}}}}"
            ),
            self.listen,
            self.discovery,
            0x51ed_0001_u64 + SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos() as u64,
            self.memory_mb,
            self.sockets,
            self.known,
            classes.join(","),
        )
    }

    /// Starts a proxy with a second address for operators.
    pub fn start(&self, record: &Arc<Record>) -> Proxy {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let config = self.dir.join(format!("config-{number}.json"));
        std::fs::write(&config, self.config()).expect("the configuration");
        let tmp = self.dir.join("tmp");
        std::fs::create_dir_all(&tmp).expect("TMPDIR");
        let log = File::create(self.dir.join(format!("proxy-{number}.log"))).expect("the log");
        let mgmt = free_addr();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(self.run_command()).current_dir(&self.root);
        command
            .env("PROXY_NAME", "p0")
            .env("PROXY_CONFIG", &config)
            .env("PROXY_LISTEN", self.listen.to_string());
        command.env("PROXY_DISCOVERY", self.discovery.to_string()).env("PROXY_MGMT", mgmt.to_string());
        command.env("TMPDIR", &tmp).stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        let listener = self.listener.as_ref().map(|listener| listener.as_raw_fd());
        if listener.is_some() {
            command.env("PROXY_FD", "5");
        }
        // SAFETY: both calls may be made between fork and exec.
        unsafe {
            command.pre_exec(move || {
                // The proxy ends with this program, however that ends.
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                match listener {
                    Some(fd) if dup2(fd, 5) != 5 => Err(io::Error::last_os_error()),
                    _ => Ok(()),
                }
            })
        };
        let child = command.spawn().expect("the proxy");
        record.line(format!("platform: proxy {number} started, process {}", child.id()));
        Proxy { child, number, mgmt, record: record.clone(), ended: None }
    }
}

/// A running proxy.
pub struct Proxy {
    child: Child,
    pub number: u64,
    pub mgmt: SocketAddr,
    record: Arc<Record>,
    ended: Option<ExitStatus>,
}

impl Proxy {
    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("platform: signal {signal} to proxy {}", self.number));
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.pid(), signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
            if let Some(status) = self.ended {
                self.record.line(format!("platform: proxy {} ended, {status}", self.number));
            }
        }
        self.ended
    }

    /// One call of an operator; returns the status of the answer, 0 if there is none within 2 s.
    pub fn call(&self, method: &str, path: &str, body: &str) -> u16 {
        let called = (|| -> io::Result<Message> {
            let mut stream = TcpStream::connect(self.mgmt)?;
            stream.set_read_timeout(Some(ms(2000)))?;
            let length = body.len();
            write!(
                stream,
                "{method} {path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: {length}\r\n\r\n{body}"
            )?;
            Reader::new(stream).answer()
        })();
        let (status, text) = match called {
            Ok(answer) => (answer.status(), String::from_utf8_lossy(&answer.body).trim().to_owned()),
            Err(error) => (0, error.to_string()),
        };
        if path != "/api/ready" {
            self.record.line(format!(
                "operator: {method} {path} {body} at proxy {} -> {status} {text}",
                self.number
            ));
        }
        status
    }

    /// Waits until it says that it can serve; false after 8 s.
    pub fn wait_ready(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < ms(8000) && self.has_ended().is_none() {
            if self.call("GET", "/api/ready", "") == 200 {
                self.record.line(format!("platform: proxy {} says yes", self.number));
                return true;
            }
            thread::sleep(ms(10));
        }
        self.record.say(format!("platform: proxy {} does not say yes", self.number));
        false
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if self.has_ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

// ---- clients --------------------------------------------------------------------------------------------------------

/// Returns a request id that was not used before.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64 & 0xffff_ffff;
    format!("{base:08x}{:08x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Returns the head of a request.
pub fn request_head(method: &str, path: &str, id: &str, time_left: f64, body: Option<usize>) -> String {
    let length =
        body.map_or(String::new(), |n| format!("Content-Length: {n}\r\nIdempotency-Key: k-{id}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Account: hanbit-main\r\nX-Time-Left: {time_left:.3}\r\n{length}\r\n"
    )
}

/// Sends a request on a new connection and reads the answer, for `wait` at most.
pub fn ask(addr: SocketAddr, head: &str, body: &[u8], wait: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    Reader::new(stream).answer()
}

/// Records what a client asked and how it ended.
pub fn record_asked(record: &Record, head: &str, answer: &io::Result<Message>) {
    let line = head.lines().next().unwrap_or("");
    let id = head.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: ")).unwrap_or("");
    record.line(match answer {
        Ok(answer) => {
            let cut = if answer.whole { "" } else { ", not whole" };
            format!("client: sent {line} id {id} -> {}, {} bytes{cut}", answer.first_line, answer.body.len())
        }
        Err(error) => format!("client: sent {line} id {id} -> no answer: {error}"),
    });
}

/// Sends reads of ever new keys for a time, each on a new connection as a front deals them out; returns how many were
/// sent, and how many served.
pub fn read_load(record: Arc<Record>, addr: SocketAddr, time: Duration) -> thread::JoinHandle<(u64, u64)> {
    thread::spawn(move || {
        let end = Instant::now() + time;
        let (mut sent, mut served) = (0u64, 0);
        while Instant::now() < end {
            sent += 1;
            let key = sent.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let head = request_head("GET", &format!("/track-lookup/{key:016x}"), &new_id(), 1.0, None);
            let answer = ask(addr, &head, b"", ms(1500));
            record_asked(&record, &head, &answer);
            served += u64::from(answer.is_ok_and(|answer| answer.status() == 200));
            thread::sleep(ms(5));
        }
        (sent, served)
    })
}

/// Ends the program with the verdict of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn play(case: fn(&Arc<Record>) -> i32) {
    let record = Record::open();
    std::process::exit(case(&record));
}
