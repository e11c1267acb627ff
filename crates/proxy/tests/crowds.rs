//! Clients hold as many descriptors as they can while discovery is down. Once it is back, the watch has to
//! get a descriptor, the change has to be in force in time, and requests have to be answered.

mod rig;

use rig::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// Descriptor limit of the proxy, both in its settings and in the kernel.
const DESCRIPTORS: usize = 256;
/// Number of clients, more than the descriptor limit.
const CLIENTS: usize = 400;
/// A proxy must know of a change within this time after discovery became reachable.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(6);

/// Clients that each hold a connection and reconnect once it is closed. Every second client sends one
/// request.
struct ClientFlood {
    stop: Arc<AtomicBool>,
    clients: Option<JoinHandle<()>>,
}

impl ClientFlood {
    fn at(proxy: SocketAddr) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let stopped = stop.clone();
        let clients = std::thread::spawn(move || {
            let mut connections: Vec<Option<TcpStream>> = (0..CLIENTS).map(|_| None).collect();
            while !stopped.load(Ordering::Relaxed) {
                for (n, slot) in connections.iter_mut().enumerate() {
                    let ended = slot.as_mut().is_none_or(|stream| match stream.read(&mut [0; 512]) {
                        Ok(read) => read == 0,
                        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
                    });
                    if !ended {
                        continue;
                    }
                    *slot = TcpStream::connect_timeout(&proxy, Duration::from_millis(50)).ok();
                    if let Some(stream) = slot {
                        stream.set_nonblocking(true).expect("not blocking");
                        if n % 2 == 0 {
                            // A connection that is closed at once is found by the next iteration.
                            let _ = stream.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
                        }
                    }
                }
                sleep(Duration::from_millis(5));
            }
        });
        ClientFlood { stop, clients: Some(clients) }
    }
}

impl Drop for ClientFlood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(clients) = self.clients.take() {
            let _ = clients.join();
        }
    }
}

/// Returns the number of descriptors that the proxy process has open.
fn open_descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("its descriptors").count()
}

/// Sends a request again as long as its connection is closed without an answer; returns the status of the
/// answer.
fn request_until_answered(proxy: &Proxy) -> u16 {
    let mut status = None;
    until("a request is answered", || {
        let Ok(stream) = TcpStream::connect(proxy.addr) else { return false };
        let mut client = Peer::new(stream);
        if client.0.get_mut().write_all(get("read", "").as_bytes()).is_ok() {
            status = client.read().map(|m| m.status());
        }
        status.is_some()
    });
    status.expect("an answer")
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryFault {
    /// Nothing listens on its port.
    Refused,
    /// Connections to it are not established.
    Silent,
    /// Connections are established, but nothing is sent on them.
    Mute,
}

/// Makes the command start the program with the low descriptor limit.
fn limit_descriptors(command: &mut Command) {
    let program = command.get_program().to_owned();
    let settings: Vec<_> =
        command.get_envs().filter_map(|(k, v)| Some((k.to_owned(), v?.to_owned()))).collect();
    *command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")]).arg(program);
    command.env_clear().envs(settings).stderr(std::process::Stdio::piped());
}

/// Returns how long after discovery became reachable its change is in force, while clients hold all
/// descriptors.
fn time_until_in_force(fault: DiscoveryFault) -> Duration {
    let (cache, origin) = (Server::new(), Server::new());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let discovery = listener.local_addr().expect("an address");
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut settings = config(discovery, &servers);
    settings["limits"]["sockets"] = json!(DESCRIPTORS);
    let mut proxy = Proxy::with(&settings, limit_descriptors);
    let mut watch = Peer::new(listener.accept().expect("a watch").0);
    watch.request();
    // Discovery goes down. A listening socket with a full backlog establishes no connection.
    drop(listener);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.bind(&discovery.into()).expect("bound");
    let listener = match fault {
        DiscoveryFault::Refused => None,
        DiscoveryFault::Silent => Some(0),
        DiscoveryFault::Mute => Some(128),
    };
    listener.into_iter().for_each(|backlog| socket.listen(backlog).expect("listening"));
    let filler = (fault == DiscoveryFault::Silent).then(|| TcpStream::connect(discovery).expect("connected"));
    drop(watch);
    proxy.logged("discovery at");
    let flood = ClientFlood::at(proxy.addr);
    // Clients hold as many as they can get: half of what is left beside the proxy's own descriptors.
    until("the descriptors are filled", || open_descriptors(&proxy) > (DESCRIPTORS - 40) / 2);
    sleep(Duration::from_secs(3));
    println!("{fault:?}: {} descriptors open", open_descriptors(&proxy));
    // Discovery is back, and meanwhile the node has been set to drain.
    let back = Instant::now();
    socket.listen(128).expect("listening");
    let listener = TcpListener::from(socket);
    drop(filler);
    let drained = list(42, false, &[member("c1", cache.addr, "std", "draining")]).to_string();
    let notified = std::thread::spawn(move || loop {
        let mut watch = Peer::new(listener.accept().expect("a watch").0);
        let Some(request) = watch.read() else { continue };
        assert!(request.line.contains("from=41"), "{}", request.line);
        let length = drained.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{drained}");
        // A call that the proxy gave up meanwhile gets no answer; another one follows.
        if watch.0.get_mut().write_all(answer.as_bytes()).is_ok() && watch.read().is_some() {
            return (watch, back.elapsed());
        }
    });
    let (_watch, notice_delay) = notified.join().expect("told");
    // The next call has arrived, so the list is in force: no node but the draining one could serve the
    // request.
    assert_eq!(request_until_answered(&proxy), 503, "{fault:?}");
    assert!(cache.no_new_connection(), "{fault:?}");
    println!(
        "{fault:?}: in force {notice_delay:?} after its return, a request answered after {:?}",
        back.elapsed()
    );
    drop(flood);
    notice_delay
}

/// Guards against a watch that finds no free descriptor and backs off as if discovery were down, while
/// changes that it misses count as delivered.
#[test]
fn the_watch_gets_a_descriptor_although_idle_clients_hold_all_others() {
    for fault in [DiscoveryFault::Refused, DiscoveryFault::Silent, DiscoveryFault::Mute] {
        let notice_delay = time_until_in_force(fault);
        assert!(notice_delay < MAX_NOTICE_DELAY, "{fault:?}: {notice_delay:?}");
    }
}
