//! Clients and nodes whose bodies come in shapes that a seed draws: framing, size, pauses, pace, and who stops when.
#![allow(dead_code)]

use crate::rig::{config, Peer, Server, STEP_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest single read of a body, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Answers over this length are timed by their first byte.
pub const BUFFERED_BYTES: usize = 64 << 10;

/// Returns a configuration whose classes have short deadlines, and answers after the wanted time are worth nothing.
pub fn short_deadlines(discovery: SocketAddr, servers: &[Value]) -> Value {
    let mut config = config(discovery, servers);
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        class["promise_ns"] = json!(600_000_000u64);
        class["deadline_ns"] = json!(1_500_000_000u64);
        class["late_value"] = json!(0.0);
    }
    config
}

/// Returns the seeds of a test: those that the variable names as `FROM..TO`, or the default.
pub fn seeds(variable: &str, default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else { return default };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Random numbers that follow from a seed (splitmix64).
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x6a09_e667_f3bc_c909)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn between(&mut self, low: usize, high: usize) -> usize {
        low + (self.next() % (high - low + 1) as u64) as usize
    }

    pub fn millis(&mut self, low: usize, high: usize) -> Duration {
        Duration::from_millis(self.between(low, high) as u64)
    }

    pub fn chance(&mut self, percent: usize) -> bool {
        self.between(1, 100) <= percent
    }

    pub fn pick<T: Clone>(&mut self, from: &[T]) -> T {
        from[self.between(0, from.len() - 1)].clone()
    }
}

/// The byte at an offset of a body; lost, repeated or moved parts differ from it.
pub fn byte(salt: usize, offset: usize) -> u8 {
    ((salt + offset) % 251) as u8
}

pub fn body(salt: usize, length: usize) -> Vec<u8> {
    (0..length).map(|offset| byte(salt, offset)).collect()
}

/// How a message tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    /// The end of the connection; for answers only.
    Close,
}

/// A body and the pace at which it is written.
#[derive(Clone, Debug)]
pub struct BodyShape {
    pub framing: Framing,
    pub salt: usize,
    pub length: usize,
    /// The pause behind the head.
    pub before_body: Duration,
    pub piece_bytes: usize,
    /// The pause behind each piece.
    pub between_pieces: Duration,
    /// One longer pause behind this many bytes.
    pub pause_at: usize,
    pub pause: Duration,
}

impl BodyShape {
    pub fn headers(&self) -> String {
        match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.length),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Close => "Connection: close\r\n".to_owned(),
        }
    }

    /// Writes the body behind its head, which has been written.
    pub fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        std::thread::sleep(self.before_body);
        let mut offset = 0;
        let mut paused = self.pause.is_zero();
        while offset < self.length {
            let count = self.piece_bytes.min(self.length - offset);
            let bytes: Vec<u8> = (offset..offset + count).map(|offset| byte(self.salt, offset)).collect();
            if self.framing == Framing::Chunked {
                let chunk = [format!("{count:x}\r\n").as_bytes(), &bytes, b"\r\n"].concat();
                stream.write_all(&chunk)?;
            } else {
                stream.write_all(&bytes)?;
            }
            offset += count;
            // Behind the last byte of its answer a node reads the next request at once.
            let is_open = offset < self.length || self.framing == Framing::Chunked;
            if !paused && is_open && offset >= self.pause_at {
                paused = true;
                std::thread::sleep(self.pause);
            }
            if !self.between_pieces.is_zero() && offset < self.length {
                std::thread::sleep(self.between_pieces);
            }
        }
        if self.framing == Framing::Chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        stream.flush()
    }

    /// The time that the pauses take.
    pub fn pauses(&self) -> Duration {
        let pieces = u32::try_from(self.length / self.piece_bytes).expect("a number of pieces");
        self.before_body + self.pause + self.between_pieces * pieces
    }
}

/// What a client saw of an answer.
#[derive(Debug)]
pub struct Seen {
    /// `None` if the connection ended before a final answer's head.
    pub status: Option<u16>,
    pub first_byte_at: Instant,
    pub ended_at: Instant,
    /// Whether the body came to its end.
    pub is_whole: bool,
    pub body: Vec<u8>,
}

/// Reads one line; an error counts as the end of the connection.
fn read_line(peer: &mut Peer) -> String {
    let mut line = String::new();
    let _ = peer.0.read_line(&mut line);
    line
}

/// Reads the next final answer and its body, as far as they come.
pub fn read_answer(peer: &mut Peer) -> Seen {
    loop {
        let line = read_line(peer);
        let first_byte_at = Instant::now();
        let status = line.split(' ').nth(1).and_then(|status| status.parse::<u16>().ok());
        let mut headers = Vec::new();
        if status.is_some() {
            loop {
                let line = read_line(peer).trim_end().to_lowercase();
                if line.is_empty() {
                    break;
                }
                headers.push(line);
            }
        }
        if status.is_some_and(|status| status < 200) {
            continue;
        }
        let (body, is_whole) = if status.is_some() { read_body(peer, &headers) } else { (Vec::new(), false) };
        return Seen { status, first_byte_at, ended_at: Instant::now(), is_whole, body };
    }
}

/// Reads a body by the framing that its headers tell; returns it, and whether it came to its end.
pub fn read_body(peer: &mut Peer, headers: &[String]) -> (Vec<u8>, bool) {
    let length = headers.iter().find_map(|header| header.strip_prefix("content-length:"));
    if let Some(length) = length {
        let length = length.trim().parse().expect("a length");
        return read_exactly(peer, length);
    }
    if headers.iter().any(|header| header.starts_with("transfer-encoding:")) {
        return read_chunks(peer);
    }
    let mut body = Vec::new();
    let ended = peer.0.read_to_end(&mut body).is_ok();
    (body, ended)
}

fn read_exactly(peer: &mut Peer, length: usize) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let read = (&mut peer.0).take(length as u64).read_to_end(&mut body);
    let is_whole = read.is_ok() && body.len() == length;
    (body, is_whole)
}

fn read_chunks(peer: &mut Peer) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let line = read_line(peer);
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
        let (chunk, is_whole) = read_exactly(peer, size + 2);
        if !is_whole {
            body.extend_from_slice(&chunk[..chunk.len().min(size)]);
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// The head of a request: its request line and headers, in lowercase.
pub fn read_head(peer: &mut Peer) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let line = read_line(peer).trim_end().to_lowercase();
        match line.is_empty() {
            true if lines.is_empty() => return None,
            true => return Some(lines),
            false => lines.push(line),
        }
    }
}

/// Returns the value of a header of a head.
pub fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    head.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')).map(str::trim)
}

/// How a node reads the body of a request.
#[derive(Clone, Debug)]
pub enum ReadShape {
    AtOnce,
    /// At about this many bytes a second.
    Rate(usize),
    /// At once, but for one pause behind this many bytes.
    Pause {
        at: usize,
        pause: Duration,
    },
    /// No further than this many bytes, for a time that no client waits.
    Stop {
        at: usize,
    },
}

/// How long a node that stops reading stays; longer than any client waits.
const STOPPED_FOR: Duration = Duration::from_secs(8);

/// Reads the body of a request by its head and shape; returns its bytes if it came to its end.
pub fn read_shaped(peer: &mut Peer, head: &[String], shape: &ReadShape) -> Option<Vec<u8>> {
    let mut reader = ShapedReader { peer, shape: shape.clone(), read: 0, started: Instant::now() };
    if let Some(length) = header(head, "content-length") {
        return reader.exactly(length.parse().expect("a length"));
    }
    header(head, "transfer-encoding")?;
    let mut body = Vec::new();
    loop {
        let line = read_line(reader.peer);
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let chunk = reader.exactly(size + 2)?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

struct ShapedReader<'a> {
    peer: &'a mut Peer,
    shape: ReadShape,
    read: usize,
    started: Instant,
}

impl ShapedReader<'_> {
    fn exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        let mut bytes = vec![0; length];
        let mut filled = 0;
        while filled < length {
            self.wait();
            let limit = READ_BYTES.min(length - filled);
            match self.peer.0.read(&mut bytes[filled..filled + limit]) {
                Ok(0) => return None,
                Ok(count) => {
                    filled += count;
                    self.read += count;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
        Some(bytes)
    }

    fn wait(&mut self) {
        match self.shape {
            ReadShape::Rate(rate) => {
                let due = Duration::from_secs_f64(self.read as f64 / rate as f64);
                std::thread::sleep(due.saturating_sub(self.started.elapsed()));
            }
            ReadShape::Pause { at, pause } if self.read >= at => {
                std::thread::sleep(pause);
                self.shape = ReadShape::AtOnce;
            }
            ReadShape::Stop { at } if self.read >= at => std::thread::sleep(STOPPED_FOR),
            _ => {}
        }
    }
}

/// What a node saw of one request.
#[derive(Clone, Debug)]
pub struct NodeRecord {
    pub node: usize,
    pub id: String,
    /// When the last byte of the request was read; `None` if it never came.
    pub received_at: Option<Instant>,
    /// When the last byte of the answer was written; `None` if the connection ended before.
    pub answered_at: Option<Instant>,
}

/// What nodes saw, in the order in which their requests ended.
#[derive(Clone, Default)]
pub struct Records(Arc<Mutex<Vec<NodeRecord>>>);

impl Records {
    pub fn add(&self, record: NodeRecord) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    pub fn all(&self) -> Vec<NodeRecord> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn of(&self, id: &str) -> Vec<NodeRecord> {
        self.all().into_iter().filter(|record| record.id == id).collect()
    }
}

/// Serves each connection to a server on a thread of its own, until it ends.
pub fn serve(server: Server, serve: impl Fn(&mut Peer) + Clone + Send + 'static) -> SocketAddr {
    let addr = server.addr;
    std::thread::spawn(move || {
        while let Ok(stream) = server.accepted.recv() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(&mut Peer::new(stream)));
        }
    });
    addr
}

/// Serves this list as a discovery service, without a change to it; returns its address.
pub fn serve_list(list: &serde_json::Value) -> SocketAddr {
    let list = list.to_string();
    serve(Server::new(), move |peer| {
        while let Some(head) = read_head(peer) {
            if head[0].contains("from=") {
                std::thread::sleep(STEP_TIMEOUT);
            }
            peer.reply("200 OK", "", &list);
        }
    })
}
