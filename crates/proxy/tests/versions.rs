//! Versions from a control service at the real program.

mod rig;

use aniseyoke_control::publisher::Row;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::service::Service;
use aniseyoke_control::store::{Disk, Kept, Store};
use aniseyoke_control::{Publisher, Stamp, Version};
use rig::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

enum Order {
    Publish(Value),
    Rows,
}

enum Told {
    Published(Stamp),
    Rows(Vec<Row>),
}

/// A service in a thread of its own, ended with the test.
struct Control {
    addr: SocketAddr,
    orders: Sender<Order>,
    told: Receiver<Told>,
}

fn control(epoch: u64) -> Control {
    let ((orders, ordered), (tell, told), (found, addr)) = (channel(), channel(), channel());
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let service = Service::new(Publisher::new(epoch));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            found.send(listener.local_addr().expect("an address")).expect("awaited");
            tokio::task::spawn_local(service.clone().serve(listener));
            loop {
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
                let answer = match ordered.try_recv() {
                    Ok(Order::Publish(body)) => {
                        Told::Published(service.publish(body, Plan::default()).expect("published"))
                    }
                    Ok(Order::Rows) => Told::Rows(service.look(|p| p.rows())),
                    Err(std::sync::mpsc::TryRecvError::Empty) => continue,
                    Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
                };
                if tell.send(answer).is_err() {
                    return;
                }
            }
        });
    });
    Control { addr: addr.recv().expect("started"), orders, told }
}

impl Control {
    fn publish(&self, body: Value) -> Stamp {
        self.orders.send(Order::Publish(body)).expect("it runs");
        match self.told.recv().expect("it runs") {
            Told::Published(stamp) => stamp,
            Told::Rows(_) => unreachable!("it was not asked"),
        }
    }

    fn row(&self) -> Option<Row> {
        self.orders.send(Order::Rows).expect("it runs");
        match self.told.recv().expect("it runs") {
            Told::Rows(rows) => rows.into_iter().next(),
            Told::Published(_) => unreachable!("it was not asked"),
        }
    }

    fn runs(&self, stamp: Stamp) {
        until("it runs", || self.row().is_some_and(|r| r.running == Some(stamp)));
    }

    fn refusal(&self, stamp: Stamp) -> String {
        let refused = || self.row().and_then(|r| r.refused).filter(|(s, _)| *s == stamp);
        until("it is turned down", || refused().is_some());
        refused().expect("told").1.join("; ")
    }
}

struct Site {
    cache: Server,
    origin: Server,
    discovery: Server,
    folder: tempfile::TempDir,
}

impl Site {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        Site { cache: Server::new(), origin: Server::new(), discovery: Server::new(), folder }
    }

    fn start(&self, services: &[SocketAddr]) -> Proxy {
        let quoted: Vec<String> = services.iter().map(|s| format!("\"{s}\"")).collect();
        let path = self.folder.path().join("operator.toml");
        let dir = self.folder.path().display();
        let text =
            format!("[control]\nservices = [{}]\ninstance = \"p0\"\ndir = \"{dir}\"\n", quoted.join(", "));
        std::fs::write(&path, text).expect("written");
        let servers = [
            member("c1", self.cache.addr, "std", "ready"),
            member("o1", self.origin.addr, "origin", "ready"),
        ];
        let mut config = config(self.discovery.addr, &servers);
        config["mgmt"] = json!("127.0.0.1:0");
        Proxy::with(&config, |c| _ = c.env("ANISEYOKE_FILE", &path))
    }

    fn kept(&self) -> PathBuf {
        self.folder.path().join("aniseyoke-version")
    }
}

fn version_at(door: SocketAddr) -> Value {
    let mut caller = Peer::to(door);
    caller.write("GET /api/version HTTP/1.1\r\nHost: a\r\n\r\n");
    serde_json::from_slice(&caller.answer().body).expect("JSON")
}

fn one_at_a_time() -> Value {
    json!({ "limits": { "node": { "floor": 1.0, "start": 1.0, "ceiling": 1.0 }, "queue": { "most": 0 } } })
}

#[test]
fn a_version_comes_into_force_while_requests_are_open_and_goes_again() {
    let (site, control) = (Site::new(), control(1));
    let mut proxy = site.start(&[control.addr]);
    let door = proxy.door();
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.ask("read", "");
    let mut node = site.cache.take();
    node.request();
    let stamp = control.publish(one_at_a_time());
    control.runs(stamp);
    assert_eq!(version_at(door)["version"].as_str(), Some(stamp.to_string().as_str()));
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(first.answer().status(), 200, "what was open when the version came has its answer");
    first.ask("read", "");
    node.request();
    second.ask("read", "");
    assert_eq!(second.answer().status(), 503, "the limit is in force");
    let stamp = control.publish(json!({}));
    control.runs(stamp);
    second.ask("read", "");
    let mut other = site.cache.take();
    other.request();
    other.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(second.answer().status(), 200, "and is no more");
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(first.answer().status(), 200);
}

#[test]
fn versions_that_would_do_harm_are_turned_down_with_all_reasons_and_what_runs_stays() {
    let (site, control) = (Site::new(), control(1));
    let mut proxy = site.start(&[control.addr]);
    let door = proxy.door();
    let good = control.publish(json!({ "log": { "burst": 7 } }));
    control.runs(good);
    let bad = [
        (json!({ "lgo": {}, "log": { "burst": 0 } }), vec!["did you mean \"log\"", "burst"]),
        (json!({ "tenants": { "nobody": { "share": 1.0 } } }), vec!["names no tenant \"nobody\""]),
        (
            json!({ "tenants": { "acme": { "share": 0.0 } } }),
            vec!["the share of tenant acme would be nothing"],
        ),
        (json!({ "control": { "services": ["127.0.0.1:1"] } }), vec!["may not set which services"]),
    ];
    for (body, parts) in bad {
        let why = control.refusal(control.publish(body));
        assert!(parts.iter().all(|part| why.contains(part)), "{why}");
        assert_eq!(version_at(door)["version"].as_str(), Some(good.to_string().as_str()));
    }
    let after = control.publish(json!({}));
    control.runs(after);
    assert_eq!(proxy.health(), 200);
}

/// Danger: a service that is away while a proxy restarts would leave it without what its operators set.
#[test]
fn the_last_good_version_outlives_a_restart_without_any_service() {
    let site = Site::new();
    let service = control(1);
    let proxy = site.start(&[service.addr]);
    let stamp = service.publish(one_at_a_time());
    service.runs(stamp);
    until("it is kept", || site.kept().exists());
    let addr = service.addr;
    drop((proxy, service));
    let mut again = site.start(&[addr]);
    assert_eq!(version_at(again.door())["version"].as_str(), Some(stamp.to_string().as_str()));
    let (mut first, mut second) = (again.client(), again.client());
    first.ask("read", "");
    let mut node = site.cache.take();
    node.request();
    second.ask("read", "");
    assert_eq!(second.answer().status(), 503, "the limit is in force");
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(first.answer().status(), 200);
}

#[test]
fn a_damaged_version_on_disk_is_put_aside_and_a_service_with_a_later_epoch_is_followed() {
    let site = Site::new();
    let kept = Kept { version: Version::new(Stamp { epoch: 1, number: 900 }, json!({})), at_ms: 1 };
    Store::new(Disk, site.kept()).keep(&kept).expect("kept");
    let mut bytes = std::fs::read(site.kept()).expect("there");
    bytes[100] ^= 1;
    std::fs::write(site.kept(), &bytes).expect("written");
    let service = control(2);
    let mut proxy = site.start(&[service.addr]);
    assert_eq!(version_at(proxy.door())["version"], Value::Null);
    assert!(site.kept().with_file_name("aniseyoke-version.damaged").exists());
    let stamp = service.publish(json!({ "log": { "burst": 3 } }));
    service.runs(stamp);
    // A service from a backup: lower numbers under the epoch that was there before.
    let old = control(1);
    old.publish(json!({ "log": { "burst": 4 } }));
    drop((proxy, service));
    until("the later one is kept", || {
        let mut store = Store::new(Disk, site.kept());
        matches!(store.find(), Ok(aniseyoke_control::store::Found::Good(k)) if k.version.stamp == stamp)
    });
    let proxy = site.start(&[old.addr]);
    let why = old.refusal(Stamp { epoch: 1, number: 1 });
    assert!(why.contains("older"), "{why}");
    assert_eq!(proxy.health(), 200);
}
