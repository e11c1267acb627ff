//! Versions of the configuration that the proxy process gets from a control service.

mod rig;

use aniseyoke_control::frame::ProxyStatus;
use aniseyoke_control::hosted::ServiceThread;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::store::{Disk, Store, StoredVersion};
use aniseyoke_control::{Stamp, Version};
use rig::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A control service in a thread of its own that ends with the test.
struct Control(ServiceThread);

fn control(epoch: u64) -> Control {
    Control(ServiceThread::start(epoch).expect("started"))
}

impl Control {
    fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    fn publish(&self, body: Value) -> Stamp {
        self.0.publish(body, Plan::default()).expect("published").0
    }

    fn status(&self) -> Option<ProxyStatus> {
        self.0.statuses().into_iter().next()
    }

    fn wait_until_running(&self, stamp: Stamp) {
        until("the version is running", || self.status().is_some_and(|r| r.running == Some(stamp)));
        assert!(self.status().is_some_and(|r| r.ack_latency.is_some()), "the version was acknowledged");
    }

    fn wait_for_rejection(&self, stamp: Stamp) -> String {
        let rejection = || self.status().and_then(|r| r.rejected).filter(|(s, _)| *s == stamp);
        until("the version is rejected", || rejection().is_some());
        rejection().expect("told").1.join("; ")
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

    fn stored_version(&self) -> PathBuf {
        self.folder.path().join("aniseyoke-version")
    }
}

fn one_at_a_time() -> Value {
    json!({ "limits": { "node": { "floor": 1.0, "start": 1.0, "ceiling": 1.0 }, "queue": { "most": 0 } } })
}

#[test]
fn a_proxy_follows_a_relay_as_it_follows_a_service() {
    let (site, control) = (Site::new(), control(1));
    let relay = ServiceThread::relay("site", vec![control.addr()]).expect("started");
    let mut proxy = site.start(&[relay.addr]);
    let admin_addr = proxy.admin_addr();
    let first = control.publish(json!({}));
    until("the version came through the relay", || {
        relay.statuses().first().is_some_and(|r| r.running == Some(first))
    });
    for body in [one_at_a_time(), json!({})] {
        let stamp = control.publish(body);
        control.wait_until_running(stamp);
        assert_eq!(control.status().expect("the relay").instance, "site");
        assert_eq!(get_version(admin_addr)["version"].as_str(), Some(stamp.to_string().as_str()));
    }
    let rejection = control.wait_for_rejection(control.publish(json!({ "log": { "burst": 0 } })));
    assert!(rejection.starts_with("p0: "), "{rejection}");
}

#[test]
fn a_version_is_put_in_force_and_replaced_while_requests_are_open() {
    let (site, control) = (Site::new(), control(1));
    let mut proxy = site.start(&[control.addr()]);
    let admin_addr = proxy.admin_addr();
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.ask("read", "");
    let mut node = site.cache.take();
    node.request();
    let stamp = control.publish(one_at_a_time());
    control.wait_until_running(stamp);
    assert_eq!(get_version(admin_addr)["version"].as_str(), Some(stamp.to_string().as_str()));
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(first.answer().status(), 200, "a request that was open when the version arrived is answered");
    first.ask("read", "");
    node.request();
    second.ask("read", "");
    assert_eq!(second.answer().status(), 503, "the limit is in force");
    let stamp = control.publish(json!({}));
    control.wait_until_running(stamp);
    second.ask("read", "");
    let mut other = site.cache.take();
    other.request();
    other.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(second.answer().status(), 200, "the limit is not in force any more");
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(first.answer().status(), 200);
}

#[test]
fn invalid_versions_are_rejected_with_all_reasons_and_the_running_one_stays() {
    let (site, control) = (Site::new(), control(1));
    let mut proxy = site.start(&[control.addr()]);
    let admin_addr = proxy.admin_addr();
    let good = control.publish(json!({ "log": { "burst": 7 } }));
    control.wait_until_running(good);
    let invalid = [
        (json!({ "lgo": {}, "log": { "burst": 0 } }), vec!["did you mean \"log\"", "burst"]),
        (json!({ "tenants": { "nobody": { "share": 1.0 } } }), vec!["names no tenant \"nobody\""]),
        (
            json!({ "tenants": { "acme": { "share": 0.0 } } }),
            vec!["the share of tenant acme would be nothing"],
        ),
        (json!({ "control": { "services": ["127.0.0.1:1"] } }), vec!["may not set which services"]),
    ];
    for (body, reasons) in invalid {
        let rejection = control.wait_for_rejection(control.publish(body));
        assert!(reasons.iter().all(|reason| rejection.contains(reason)), "{rejection}");
        assert_eq!(get_version(admin_addr)["version"].as_str(), Some(good.to_string().as_str()));
    }
    let after = control.publish(json!({}));
    control.wait_until_running(after);
    assert_eq!(proxy.health(), 200);
}

/// Guards against a proxy that loses its operators' settings because it restarts while the control service is
/// unavailable.
#[test]
fn the_last_good_version_survives_a_restart_without_any_service() {
    let site = Site::new();
    let service = control(1);
    let proxy = site.start(&[service.addr()]);
    let stamp = service.publish(one_at_a_time());
    service.wait_until_running(stamp);
    until("the version is stored", || site.stored_version().exists());
    let addr = service.addr();
    drop((proxy, service));
    let mut restarted = site.start(&[addr]);
    assert_eq!(get_version(restarted.admin_addr())["version"].as_str(), Some(stamp.to_string().as_str()));
    let (mut first, mut second) = (restarted.client(), restarted.client());
    first.ask("read", "");
    let mut node = site.cache.take();
    node.request();
    second.ask("read", "");
    assert_eq!(second.answer().status(), 503, "the limit is in force");
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(first.answer().status(), 200);
}

#[test]
fn a_damaged_version_on_disk_is_set_aside_and_a_service_with_a_later_epoch_is_followed() {
    let site = Site::new();
    let stored =
        StoredVersion { version: Version::new(Stamp { epoch: 1, number: 900 }, &json!({})), at_ms: 1 };
    Store::new(Disk, site.stored_version()).save(&stored).expect("kept");
    let mut bytes = std::fs::read(site.stored_version()).expect("there");
    bytes[100] ^= 1;
    std::fs::write(site.stored_version(), &bytes).expect("written");
    let service = control(2);
    let mut proxy = site.start(&[service.addr()]);
    assert_eq!(get_version(proxy.admin_addr())["version"], Value::Null);
    assert!(site.stored_version().with_file_name("aniseyoke-version.damaged").exists());
    let stamp = service.publish(json!({ "log": { "burst": 3 } }));
    service.wait_until_running(stamp);
    // A service restored from a backup has lower numbers under the earlier epoch.
    let old = control(1);
    old.publish(json!({ "log": { "burst": 4 } }));
    // A separate thread stores the version after it is in force, so the proxy is ended only once the version
    // is on disk.
    until("the later version is stored", || {
        let mut store = Store::new(Disk, site.stored_version());
        matches!(store.load(), Ok(aniseyoke_control::store::Loaded::Valid(k)) if k.version.stamp == stamp)
    });
    drop((proxy, service));
    let proxy = site.start(&[old.addr()]);
    let rejection = old.wait_for_rejection(Stamp { epoch: 1, number: 1 });
    assert!(rejection.contains("older"), "{rejection}");
    assert_eq!(proxy.health(), 200);
}

/// Starts a proxy that follows a control service and has two cache nodes of different kinds.
fn start_with_two_kinds(site: &Site, service: &Control) -> (Proxy, [Server; 2]) {
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

/// Sends a request and answers it at the cache node with index `to`, where it has to arrive.
fn expect_served_by(client: &mut Peer, caches: &[Server; 2], peers: &mut [Option<Peer>; 2], to: usize) {
    client.ask("read", "");
    let node = peers[to].get_or_insert_with(|| caches[to].take());
    assert!(node.request().line.contains("/read/7f3a9c21e0b4d655"));
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn requests_go_to_the_pool_of_the_first_matching_route_and_open_ones_stay_at_their_node() {
    let (site, service) = (Site::new(), control(1));
    let (proxy, caches) = start_with_two_kinds(&site, &service);
    let (mut client, mut peers) = (proxy.client(), [None, None]);
    let route = |body: Value| json!({ "pools": pools(), "routes": body });
    let by_prefix = json!([{ "prefix": "7f3b", "pool": "std" }, { "prefix": "7f3", "pool": "fast" }]);
    service.wait_until_running(service.publish(route(by_prefix)));
    (0..5).for_each(|_| expect_served_by(&mut client, &caches, &mut peers, 1));
    let mut early = proxy.client();
    early.ask("read", "");
    let mut node = peers[1].take().expect("a connection");
    node.request();
    let by_tenant = json!([{ "class": "order", "pool": "fast" }, { "tenant": "acme", "pool": "std" }]);
    service.wait_until_running(service.publish(route(by_tenant)));
    (0..5).for_each(|_| expect_served_by(&mut client, &caches, &mut peers, 0));
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(early.answer().status(), 200, "an open request is answered by the node that it was sent to");
    let rejection =
        service.wait_for_rejection(service.publish(route(json!([{ "tenant": "nobody", "pool": "std" }]))));
    assert!(rejection.contains("names no tenant \"nobody\""), "{rejection}");
}

#[test]
fn an_overlay_drains_a_node_and_one_that_would_drain_the_last_is_rejected() {
    let (site, service) = (Site::new(), control(1));
    let (proxy, caches) = start_with_two_kinds(&site, &service);
    let (mut client, mut peers) = (proxy.client(), [None, None]);
    let drain = |on: Value| json!({ "overlays": [on] });
    service.wait_until_running(service.publish(drain(json!({ "node": "c2", "drain": true }))));
    (0..5).for_each(|_| expect_served_by(&mut client, &caches, &mut peers, 0));
    service.wait_until_running(service.publish(drain(json!({ "kind": "std", "drain": true }))));
    (0..5).for_each(|_| expect_served_by(&mut client, &caches, &mut peers, 1));
    let rejection = service.wait_for_rejection(service.publish(drain(json!({ "zone": "a", "drain": true }))));
    assert!(
        rejection.contains("no node that takes work would be left for class read, which has 1"),
        "{rejection}"
    );
    let lost = json!({ "pools": pools(), "overlays": [{ "node": "c1", "drain": true }],
                       "routes": [{ "class": "read", "pool": "std" }] });
    let rejection = service.wait_for_rejection(service.publish(lost));
    assert!(rejection.contains("class read routed to pool std"), "{rejection}");
    expect_served_by(&mut client, &caches, &mut peers, 1);
    service.wait_until_running(service.publish(json!({})));
    assert_eq!(proxy.health(), 200);
}

/// Guards against a rejection that is too large for a frame: ten thousand routes with a mistyped class give
/// ten thousand reasons.
#[test]
fn ten_thousand_routes_are_put_in_force_and_an_error_in_all_of_them_is_summarized() {
    let (site, service) = (Site::new(), control(1));
    let (mut proxy, caches) = start_with_two_kinds(&site, &service);
    let (mut client, mut peers) = (proxy.client(), [None, None]);
    let routes = |class: &str| {
        let route = |n: u32| json!({ "class": class, "prefix": format!("{n:05}/"), "pool": "std" });
        let mut routes: Vec<Value> = (0..10_000).map(route).collect();
        routes.push(json!({ "prefix": "7f3a", "pool": "fast" }));
        json!({ "pools": pools(), "routes": routes })
    };
    service.wait_until_running(service.publish(routes("read")));
    expect_served_by(&mut client, &caches, &mut peers, 1);
    proxy.logged("swapped in");
    let rejection = service.wait_for_rejection(service.publish(routes("raed")));
    assert!(rejection.contains("names no class \"raed\"") && rejection.len() < 20_000, "{}", rejection.len());
    expect_served_by(&mut client, &caches, &mut peers, 1);
}
