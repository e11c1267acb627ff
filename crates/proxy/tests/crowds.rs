//! Clients that hold all the descriptors that they can while discovery is down: once it is back, the watch has to get its
//! own, the change has to be in force in time, and requests have to be answered.

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

/// What the proxy may hold, by its settings and by its limit in the kernel.
const DESCRIPTORS: usize = 256;
/// More clients than that.
const CLIENTS: usize = 400;
/// A change counts as told so long after discovery could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// Clients that hold a connection each and open another once it is ended. Every other one asks once.
struct Crowd {
    stop: Arc<AtomicBool>,
    clients: Option<JoinHandle<()>>,
}

impl Crowd {
    fn at(proxy: SocketAddr) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let stopped = stop.clone();
        let clients = std::thread::spawn(move || {
            let mut held: Vec<Option<TcpStream>> = (0..CLIENTS).map(|_| None).collect();
            while !stopped.load(Ordering::Relaxed) {
                for (n, place) in held.iter_mut().enumerate() {
                    let ended = place.as_mut().is_none_or(|stream| match stream.read(&mut [0; 512]) {
                        Ok(read) => read == 0,
                        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
                    });
                    if !ended {
                        continue;
                    }
                    *place = TcpStream::connect_timeout(&proxy, Duration::from_millis(50)).ok();
                    if let Some(stream) = place {
                        stream.set_nonblocking(true).expect("not blocking");
                        if n % 2 == 0 {
                            // One that is ended at once is seen by the next look.
                            let _ = stream.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
                        }
                    }
                }
                sleep(Duration::from_millis(5));
            }
        });
        Crowd { stop, clients: Some(clients) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(clients) = self.clients.take() {
            let _ = clients.join();
        }
    }
}

/// The descriptors that a process has open.
fn open(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("its descriptors").count()
}

/// The status that a request gets which is asked again while its connection is closed unread.
fn ask_until_answered(proxy: &Proxy) -> u16 {
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
enum Down {
    /// Nobody listens there.
    Refused,
    /// Connections to it do not come up.
    Silent,
    /// They come up, and nothing is said on them.
    Mute,
}

/// Has the program started with so few descriptors.
fn limit_descriptors(command: &mut Command) {
    let program = command.get_program().to_owned();
    let settings: Vec<_> =
        command.get_envs().filter_map(|(k, v)| Some((k.to_owned(), v?.to_owned()))).collect();
    *command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")]).arg(program);
    command.env_clear().envs(settings).stderr(std::process::Stdio::piped());
}

/// How long after it could be reached discovery's change is in force, where clients hold all descriptors.
fn in_force_after(down: Down) -> Duration {
    let (cache, origin) = (Server::new(), Server::new());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let discovery = listener.local_addr().expect("an address");
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut small = config(discovery, &servers);
    small["limits"]["sockets"] = json!(DESCRIPTORS);
    let mut proxy = Proxy::with(&small, limit_descriptors);
    let mut watch = Peer::new(listener.accept().expect("a watch").0);
    watch.request();
    // Down; a socket that is bound and has a full backlog lets no connection come up.
    drop(listener);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.bind(&discovery.into()).expect("bound");
    let listener = match down {
        Down::Refused => None,
        Down::Silent => Some(0),
        Down::Mute => Some(128),
    };
    listener.into_iter().for_each(|backlog| socket.listen(backlog).expect("listening"));
    let filler = (down == Down::Silent).then(|| TcpStream::connect(discovery).expect("connected"));
    drop(watch);
    proxy.logged("discovery at");
    let crowd = Crowd::at(proxy.addr);
    // Clients hold all that they can get: half of what is left beside the proxy's own.
    until("the descriptors are filled", || open(&proxy) > (DESCRIPTORS - 40) / 2);
    sleep(Duration::from_secs(3));
    println!("{down:?}: {} descriptors open", open(&proxy));
    // Back, and in the meantime the node was told to drain.
    let back = Instant::now();
    socket.listen(128).expect("listening");
    let listener = TcpListener::from(socket);
    drop(filler);
    let drained = list(42, false, &[member("c1", cache.addr, "std", "draining")]).to_string();
    let told = std::thread::spawn(move || loop {
        let mut watch = Peer::new(listener.accept().expect("a watch").0);
        let Some(request) = watch.read() else { continue };
        assert!(request.line.contains("from=41"), "{}", request.line);
        let length = drained.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{drained}");
        // A call that was given up meanwhile gets nothing, and is not the last.
        if watch.0.get_mut().write_all(answer.as_bytes()).is_ok() && watch.read().is_some() {
            return (watch, back.elapsed());
        }
    });
    let (_watch, told) = told.join().expect("told");
    // The next call is there, so that the list is in force: nothing can be served but by the node that drains.
    assert_eq!(ask_until_answered(&proxy), 503, "{down:?}");
    assert!(cache.no_new_connection(), "{down:?}");
    println!("{down:?}: in force {told:?} after its return, a request answered after {:?}", back.elapsed());
    drop(crowd);
    told
}

/// Danger: a watch that finds no descriptor waits like one whose discovery is down, and what it misses counts as told.
#[test]
fn the_watch_gets_its_descriptor_where_idle_clients_hold_all_others() {
    for down in [Down::Refused, Down::Silent, Down::Mute] {
        let told = in_force_after(down);
        assert!(told < TOLD_AFTER, "{down:?}: {told:?}");
    }
}
