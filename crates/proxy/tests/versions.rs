//! Versions from a control service at the real program.

mod rig;

use aniseyoke_control::frame::ProxyStatus;
use aniseyoke_control::hosted::Hosted;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::store::{Disk, Store, StoredVersion};
use aniseyoke_control::{Stamp, Version};
use rig::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A service in a thread of its own, ended with the test.
struct Control(Hosted);

fn control(epoch: u64) -> Control {
    Control(Hosted::start(epoch).expect("started"))
}

impl Control {
    fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    fn publish(&self, body: Value) -> Stamp {
        self.0.publish(body, Plan::default()).expect("published").0
    }

    fn row(&self) -> Option<ProxyStatus> {
        self.0.statuses().into_iter().next()
    }

    fn runs(&self, stamp: Stamp) {
        until("it runs", || self.row().is_some_and(|r| r.running == Some(stamp)));
        assert!(self.row().is_some_and(|r| r.ack_latency.is_some()), "it was told so");
    }

    fn refusal(&self, stamp: Stamp) -> String {
        let refused = || self.row().and_then(|r| r.rejected).filter(|(s, _)| *s == stamp);
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

fn one_at_a_time() -> Value {
    json!({ "limits": { "node": { "floor": 1.0, "start": 1.0, "ceiling": 1.0 }, "queue": { "most": 0 } } })
}

#[test]
fn a_proxy_follows_a_relay_as_it_follows_a_service() {
    let (site, control) = (Site::new(), control(1));
    let relay = Hosted::relay("site", vec![control.addr()]).expect("started");
    let mut proxy = site.start(&[relay.addr]);
    let door = proxy.admin_addr();
    let first = control.publish(json!({}));
    until("it came through the relay", || relay.statuses().first().is_some_and(|r| r.running == Some(first)));
    for body in [one_at_a_time(), json!({})] {
        let stamp = control.publish(body);
        control.runs(stamp);
        assert_eq!(control.row().expect("the relay").instance, "site");
        assert_eq!(get_version(door)["version"].as_str(), Some(stamp.to_string().as_str()));
    }
    let why = control.refusal(control.publish(json!({ "log": { "burst": 0 } })));
    assert!(why.starts_with("p0: "), "{why}");
}

#[test]
fn a_version_comes_into_force_while_requests_are_open_and_goes_again() {
    let (site, control) = (Site::new(), control(1));
    let mut proxy = site.start(&[control.addr()]);
    let door = proxy.admin_addr();
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.ask("read", "");
    let mut node = site.cache.take();
    node.request();
    let stamp = control.publish(one_at_a_time());
    control.runs(stamp);
    assert_eq!(get_version(door)["version"].as_str(), Some(stamp.to_string().as_str()));
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
    let mut proxy = site.start(&[control.addr()]);
    let door = proxy.admin_addr();
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
        assert_eq!(get_version(door)["version"].as_str(), Some(good.to_string().as_str()));
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
    let proxy = site.start(&[service.addr()]);
    let stamp = service.publish(one_at_a_time());
    service.runs(stamp);
    until("it is kept", || site.kept().exists());
    let addr = service.addr();
    drop((proxy, service));
    let mut again = site.start(&[addr]);
    assert_eq!(get_version(again.admin_addr())["version"].as_str(), Some(stamp.to_string().as_str()));
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
    let kept = StoredVersion { version: Version::new(Stamp { epoch: 1, number: 900 }, &json!({})), at_ms: 1 };
    Store::new(Disk, site.kept()).save(&kept).expect("kept");
    let mut bytes = std::fs::read(site.kept()).expect("there");
    bytes[100] ^= 1;
    std::fs::write(site.kept(), &bytes).expect("written");
    let service = control(2);
    let mut proxy = site.start(&[service.addr()]);
    assert_eq!(get_version(proxy.admin_addr())["version"], Value::Null);
    assert!(site.kept().with_file_name("aniseyoke-version.damaged").exists());
    let stamp = service.publish(json!({ "log": { "burst": 3 } }));
    service.runs(stamp);
    // A service from a backup: lower numbers under the epoch that was there before.
    let old = control(1);
    old.publish(json!({ "log": { "burst": 4 } }));
    // The version is kept by a thread of its own after it is in force: the proxy is ended only once it is on disk.
    until("the later one is kept", || {
        let mut store = Store::new(Disk, site.kept());
        matches!(store.load(), Ok(aniseyoke_control::store::Loaded::Valid(k)) if k.version.stamp == stamp)
    });
    drop((proxy, service));
    let proxy = site.start(&[old.addr()]);
    let why = old.refusal(Stamp { epoch: 1, number: 1 });
    assert!(why.contains("older"), "{why}");
    assert_eq!(proxy.health(), 200);
}

/// A proxy that follows a service, before two cache nodes of two kinds.
fn two_kinds(site: &Site, service: &Control) -> (Proxy, [Server; 2]) {
    let path = site.folder.path().join("operator.toml");
    std::fs::write(&path, format!("[control]\nservices = [\"{}\"]\n", service.addr())).expect("written");
    let caches = [Server::new(), Server::new()];
    let servers = [
        member("c1", caches[0].addr, "std", "ready"),
        member("c2", caches[1].addr, "fast", "ready"),
        member("o1", site.origin.addr, "origin", "ready"),
    ];
    let mut config = config(site.discovery.addr, &servers);
    config["settings"]["machine_types"] = json!(["std", "origin", "fast"]);
    (Proxy::with(&config, |c| _ = c.env("ANISEYOKE_FILE", &path)), caches)
}

fn pools() -> Value {
    json!({ "std": { "kinds": ["std"] }, "fast": { "kinds": ["fast"] } })
}

/// Whom a request goes to.
fn asked(client: &mut Peer, caches: &[Server; 2], peers: &mut [Option<Peer>; 2], to: usize) {
    client.ask("read", "");
    let node = peers[to].get_or_insert_with(|| caches[to].take());
    assert!(node.request().line.contains("/read/7f3a9c21e0b4d655"));
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn requests_go_to_the_pool_of_the_first_route_that_fits_and_open_ones_stay_where_they_are() {
    let (site, service) = (Site::new(), control(1));
    let (proxy, caches) = two_kinds(&site, &service);
    let (mut client, mut peers) = (proxy.client(), [None, None]);
    let route = |body: Value| json!({ "pools": pools(), "routes": body });
    let by_prefix = json!([{ "prefix": "7f3b", "pool": "std" }, { "prefix": "7f3", "pool": "fast" }]);
    service.runs(service.publish(route(by_prefix)));
    (0..5).for_each(|_| asked(&mut client, &caches, &mut peers, 1));
    let mut early = proxy.client();
    early.ask("read", "");
    let mut node = peers[1].take().expect("a connection");
    node.request();
    let by_tenant = json!([{ "class": "order", "pool": "fast" }, { "tenant": "acme", "pool": "std" }]);
    service.runs(service.publish(route(by_tenant)));
    (0..5).for_each(|_| asked(&mut client, &caches, &mut peers, 0));
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(early.answer().status(), 200, "what was open has its answer from where it was");
    let why = service.refusal(service.publish(route(json!([{ "tenant": "nobody", "pool": "std" }]))));
    assert!(why.contains("names no tenant \"nobody\""), "{why}");
}

#[test]
fn a_remark_takes_a_node_out_of_service_and_one_that_would_take_the_last_is_turned_down() {
    let (site, service) = (Site::new(), control(1));
    let (proxy, caches) = two_kinds(&site, &service);
    let (mut client, mut peers) = (proxy.client(), [None, None]);
    let drain = |on: Value| json!({ "overlays": [on] });
    service.runs(service.publish(drain(json!({ "node": "c2", "drain": true }))));
    (0..5).for_each(|_| asked(&mut client, &caches, &mut peers, 0));
    service.runs(service.publish(drain(json!({ "kind": "std", "drain": true }))));
    (0..5).for_each(|_| asked(&mut client, &caches, &mut peers, 1));
    let why = service.refusal(service.publish(drain(json!({ "zone": "a", "drain": true }))));
    assert!(why.contains("no node that takes work would be left for class read, which has 1"), "{why}");
    let lost = json!({ "pools": pools(), "overlays": [{ "node": "c1", "drain": true }],
                       "routes": [{ "class": "read", "pool": "std" }] });
    let why = service.refusal(service.publish(lost));
    assert!(why.contains("class read routed to pool std"), "{why}");
    asked(&mut client, &caches, &mut peers, 1);
    service.runs(service.publish(json!({})));
    assert_eq!(proxy.health(), 200);
}

/// Danger: ten thousand routes that name a class with a slip would be ten thousand reasons in one frame.
#[test]
fn ten_thousand_routes_come_into_force_and_a_slip_in_all_of_them_is_told_in_short() {
    let (site, service) = (Site::new(), control(1));
    let (mut proxy, caches) = two_kinds(&site, &service);
    let (mut client, mut peers) = (proxy.client(), [None, None]);
    let routes = |class: &str| {
        let route = |n: u32| json!({ "class": class, "prefix": format!("{n:05}/"), "pool": "std" });
        let mut routes: Vec<Value> = (0..10_000).map(route).collect();
        routes.push(json!({ "prefix": "7f3a", "pool": "fast" }));
        json!({ "pools": pools(), "routes": routes })
    };
    service.runs(service.publish(routes("read")));
    asked(&mut client, &caches, &mut peers, 1);
    proxy.logged("swapped in");
    let why = service.refusal(service.publish(routes("raed")));
    assert!(why.contains("names no class \"raed\"") && why.len() < 20_000, "{}", why.len());
    asked(&mut client, &caches, &mut peers, 1);
}
