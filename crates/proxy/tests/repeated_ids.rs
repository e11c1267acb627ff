//! Requests whose id comes again: every request has an id of its own, so that such a one must not run again where
//! its class must not run twice.

mod bodies;
mod rig;

use bodies::*;
use rig::*;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_ID_SEEDS";

/// A write of a class that must not run twice.
fn order(id: &str, time_left: f64) -> String {
    format!(
        "PUT /order/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
         X-Time-Left: {time_left}\r\nContent-Length: 5\r\n\r\nvalue"
    )
}

/// A node that answers late, and records each request that it got.
fn slow_origin(records: &Records, before_answer: Duration) -> SocketAddr {
    let records = records.clone();
    serve(Server::new(), move |peer| {
        while let Some(head) = read_head(peer) {
            let id = header(&head, "x-correlation-id").expect("an id").to_owned();
            read_shaped(peer, &head, &ReadShape::AtOnce);
            records.add(NodeRecord { node: 0, id, received_at: Some(Instant::now()), answered_at: None });
            std::thread::sleep(before_answer);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored";
            if std::io::Write::write_all(peer.0.get_mut(), answer).is_err() {
                return;
            }
        }
    })
}

/// The processes of one proxy, which share a listening socket and a folder.
struct Platform {
    listener: TcpListener,
    folder: PathBuf,
    discovery: SocketAddr,
    origin: SocketAddr,
    records: Records,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    fn new(before_answer: Duration) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("aniseyoke-ids-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let records = Records::default();
        let origin = slow_origin(&records, before_answer);
        let discovery = serve_list(&list(42, true, &[member("o1", origin, "origin", "ready")]));
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        Platform { listener, folder, discovery, origin, records }
    }

    fn start(&self) -> (Proxy, SocketAddr) {
        let mut config = config(self.discovery, &[member("o1", self.origin, "origin", "ready")]);
        config["mgmt"] = json!("127.0.0.1:0");
        config["listen"] = json!(self.addr().to_string());
        let socket = OwnedFd::from(self.listener.try_clone().expect("a copy"));
        let mut proxy = Proxy::with(&config, |command| {
            command.env("TMPDIR", &self.folder).env("PROXY_FD", "0").stdin(Stdio::from(socket));
        });
        let admin = proxy.admin_addr();
        until("ready", || call(admin, "GET", "/api/ready", "") == 200);
        (proxy, admin)
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    fn runs(&self, id: &str) -> usize {
        self.records.of(id).len()
    }

    /// Sends a write and closes its connection once the node has it.
    fn send_and_leave(&self, id: &str) {
        let mut client = Peer::to(self.addr());
        client.write(&order(id, 5.0));
        until("the node has it", || self.runs(id) == 1);
        close_at_once(client);
    }
}

/// Guards against an id that runs twice when it comes again after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_again() {
    for seed in seeds(SEEDS_VARIABLE, 1..5) {
        let mut random = Random::new(seed);
        let platform = Platform::new(random.millis(0, 400));
        let (_proxy, _) = platform.start();
        platform.send_and_leave("twice");
        std::thread::sleep(random.millis(0, 1000));
        for _ in 0..random.between(1, 3) {
            let mut again = Peer::to(platform.addr());
            again.write(&order("twice", 1.0));
            let answer = again.answer();
            assert!(answer.status() >= 400, "seed {seed}: served again: {}", answer.line);
        }
        assert_eq!(platform.runs("twice"), 1, "seed {seed}");
    }
}

/// Guards against an id that runs again at the other process of an upgrade, or after the upgrade.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_again() {
    for seed in seeds(SEEDS_VARIABLE, 1..4) {
        let mut random = Random::new(seed);
        let platform = Platform::new(random.millis(0, 400));
        let (mut old, _) = platform.start();
        let before: Vec<_> = (0..3).map(|n| format!("before-{n}")).collect();
        before.iter().for_each(|id| platform.send_and_leave(id));
        let (mut new, _) = platform.start();
        // Either process may take a connection; a stopped one takes none.
        let ids: Vec<_> = (0..6).map(|n| format!("shared-{n}")).collect();
        ids.iter().for_each(|id| platform.send_and_leave(id));
        let ask_again = |ids: &[String]| {
            for id in ids {
                let mut again = Peer::to(platform.addr());
                again.write(&order(id, 1.0));
                assert!(again.answer().status() >= 400, "seed {seed}: {id} was served again");
                assert_eq!(platform.runs(id), 1, "seed {seed}: {id}");
            }
        };
        new.pause();
        ask_again(&before);
        ask_again(&ids);
        new.signal("-CONT");
        old.signal("-TERM");
        old.logged("draining");
        ask_again(&before);
        ask_again(&ids);
        assert!(old.child.wait().expect("its end").success());
        ask_again(&before);
        // A process that comes after both knows the ids too.
        new.signal("-KILL");
        new.child.wait().expect("its end");
        let (_third, _) = platform.start();
        ask_again(&ids);
    }
}

/// Guards against a request that is refused since its id was read before, although nothing of it was sent.
#[test]
fn an_id_of_which_nothing_was_sent_may_come_again() {
    let platform = Platform::new(Duration::ZERO);
    let (_proxy, _) = platform.start();
    let mut random = Random::new(1);
    for number in 0..20 {
        let id = format!("cut-{number}");
        let mut client = Peer::to(platform.addr());
        // The close crosses a request that was not read whole.
        let text = order(&id, 5.0);
        let part = random.between(1, text.len() - 1);
        client.write(&text[..part]);
        close_at_once(client);
        let mut again = Peer::to(platform.addr());
        again.write(&text);
        let answer = again.answer();
        assert_eq!(answer.status(), 200, "{part} bytes before");
    }
}

/// Guards against requests that are sent on after their client has closed with much still unread.
#[test]
fn requests_behind_a_close_are_not_sent_on() {
    for seed in seeds(SEEDS_VARIABLE, 1..5) {
        let mut random = Random::new(seed);
        let before_answer = if random.chance(50) { random.millis(0, 20) } else { random.millis(100, 300) };
        let platform = Platform::new(before_answer);
        let (_proxy, _) = platform.start();
        let mut client = Peer::to(platform.addr());
        let count = random.between(200, 1500);
        let ids: Vec<_> = (0..count).map(|n| format!("left-{n}")).collect();
        let text: String = ids.iter().map(|id| order(id, 5.0)).collect();
        client.write(&text);
        until("the first is at the node", || platform.runs("left-0") == 1);
        close_at_once(client);
        let left_at = Instant::now();
        std::thread::sleep(Duration::from_millis(1500));
        let late =
            platform.records.all().into_iter().filter(|record| {
                record.received_at.is_some_and(|at| at > left_at + Duration::from_millis(100))
            });
        let late: Vec<_> = late.map(|record| record.id).collect();
        assert!(late.is_empty(), "seed {seed}: sent on after the close: {late:?}");
    }
}
