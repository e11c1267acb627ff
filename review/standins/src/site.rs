//! Cache nodes, the origin and discovery, as the protocol page describes them.

use crate::http::{Connection, Message};
use crate::record::Record;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A cache node or the origin.
pub struct Node {
    pub id: String,
    pub kind: &'static str,
    pub addr: SocketAddr,
    /// While set, the process hangs: its connections stay open, and it reads and answers nothing.
    pub hung: AtomicBool,
    /// How long a request takes, in milliseconds.
    pub work_ms: AtomicU64,
    /// How many of a hundred answers are followed by a second copy, some milliseconds late.
    pub late_copies: AtomicU64,
    /// How many such copies were sent.
    pub copies_sent: AtomicU64,
    /// The requests on connections where a request came in the very moment of a copy, so that it is not certain
    /// which of the two was first. They are excused.
    pub excused: Mutex<HashSet<String>>,
    /// How often each request id has run.
    pub ran: Mutex<HashMap<String, u32>>,
}

impl Node {
    fn pause(&self) {
        while self.hung.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

pub struct Site {
    pub nodes: Vec<Arc<Node>>,
    pub discovery: SocketAddr,
}

impl Site {
    /// Three cache nodes, which hold every key, and the origin.
    pub fn start(record: &Arc<Record>) -> io::Result<Site> {
        let kinds = ["fast-core", "mid-core", "slow-core", "ledger"];
        let mut nodes = Vec::new();
        for (n, kind) in kinds.into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let node = Arc::new(Node {
                id: if kind == "ledger" { "ledger".to_owned() } else { format!("s-{n}") },
                kind,
                addr: listener.local_addr()?,
                hung: AtomicBool::new(false),
                work_ms: AtomicU64::new(if kind == "ledger" { 60 } else { 10 }),
                late_copies: AtomicU64::new(0),
                copies_sent: AtomicU64::new(0),
                excused: Mutex::default(),
                ran: Mutex::default(),
            });
            nodes.push(node.clone());
            let record = record.clone();
            thread::spawn(move || accept(&listener, &node, &record));
        }
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = listener.local_addr()?;
        let list = list(&nodes);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || discovery_connection(Connection::new(stream), &list));
            }
        });
        Ok(Site { nodes, discovery })
    }

    pub fn origin(&self) -> &Arc<Node> {
        self.nodes.iter().find(|node| node.kind == "ledger").unwrap()
    }

    /// The list in discovery's form.
    pub fn list(&self) -> String {
        list(&self.nodes)
    }
}

fn list(nodes: &[Arc<Node>]) -> String {
    let entry = |node: &Arc<Node>| {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"hall","kind":"{}","cell":0,"state":"ready","weight":1.0,"started_ms":0}}"#,
            node.id, node.addr, node.kind
        )
    };
    let entries: Vec<String> = nodes.iter().map(entry).collect();
    format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, entries.join(","))
}

fn accept(listener: &TcpListener, node: &Arc<Node>, record: &Arc<Record>) {
    for (number, stream) in listener.incoming().flatten().enumerate() {
        let (node, record) = (node.clone(), record.clone());
        thread::spawn(move || {
            let _ = serve(Connection::new(stream), number as u64, &node, &record);
        });
    }
}

fn serve(mut connection: Connection, number: u64, node: &Node, record: &Record) -> io::Result<()> {
    let mut served = 0;
    let mut excused = false;
    let pause = || node.pause();
    while let Some(mut request) = connection.read_head(&pause)? {
        connection.read_body(&mut request, &pause)?;
        node.pause();
        let (method, target) = request.method_and_target();
        let Some(id) = request.header("x-correlation-id") else {
            record.line(&format!("{}: a request without an id: {}", node.id, request.start));
            connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        if method == "PUT" && node.kind != "ledger" {
            connection.write(b"HTTP/1.1 404 Not Found\r\nX-Lookup: miss\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        if excused {
            node.excused.lock().unwrap().insert(id.to_owned());
        }
        *node.ran.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        record.line(&format!("{}: runs {method} {target} {id}, {} bytes", node.id, request.body.len()));
        thread::sleep(Duration::from_millis(node.work_ms.load(Ordering::Relaxed)));
        node.pause();
        let value = format!("value of {target} for request {id} from {}", node.id);
        let answer =
            format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {}\r\n\r\n{value}", value.len());
        connection.write(answer.as_bytes())?;
        served += 1;
        if (served * 37 + number) % 100 < node.late_copies.load(Ordering::Relaxed) {
            let late = Duration::from_micros(1000 + (served * 7919 + number * 104_729) % 4000);
            if connection.nothing_comes_for(late)? {
                connection.write(answer.as_bytes())?;
                excused |= connection.has_input();
                node.copies_sent.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("{}: a late copy of the answer to {id}", node.id));
            }
        }
    }
    Ok(())
}

fn discovery_connection(mut connection: Connection, list: &str) {
    while let Ok(Some(request)) = connection.read_head(&|| ()) {
        let text = match hold_ms(&request) {
            None => list.to_owned(),
            Some(hold) => {
                thread::sleep(Duration::from_millis(hold));
                r#"{"version":1,"full":false,"servers":[]}"#.to_owned()
            }
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if connection.write(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn hold_ms(request: &Message) -> Option<u64> {
    let (_, target) = request.method_and_target();
    target.split(['?', '&']).find_map(|part| part.strip_prefix("hold_ms=")).and_then(|v| v.parse().ok())
}
