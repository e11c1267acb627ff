//! Polling of the list service as set in the operator's file, and the endpoint list that is stored over
//! restarts.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

struct Site {
    cache: Server,
    other: Server,
    origin: Server,
    discovery: Server,
    folder: tempfile::TempDir,
}

impl Site {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (cache, other) = (Server::new(), Server::new());
        Site { cache, other, origin: Server::new(), discovery: Server::new(), folder }
    }

    fn members(&self) -> [Value; 2] {
        [member("c1", self.cache.addr, "std", "ready"), member("o1", self.origin.addr, "origin", "ready")]
    }

    /// Starts a proxy that stores the endpoint list of `site`. `known`: whether the platform configuration
    /// has version 41 of the list.
    fn start(&self, site: &str, known: bool) -> Proxy {
        let path = self.folder.path().join("operator.toml");
        let text =
            format!("[list]\nevery = \"200ms\"\nkeep = \"state\"\nfresh_for = \"1m\"\nsite = \"{site}\"\n");
        std::fs::write(&path, text).expect("written");
        let mut config = config(self.discovery.addr, &self.members());
        config["mgmt"] = json!("127.0.0.1:0");
        if !known {
            config["known"] = Value::Null;
        }
        Proxy::with(&config, |c| {
            c.env("ANISEYOKE_FILE", &path).current_dir(self.folder.path());
        })
    }

    fn stored_list(&self) -> PathBuf {
        self.folder.path().join("state/aniseyoke-list")
    }

    /// Has a proxy store version 50 of the list and, on top of it, version 51 with another node, and kills
    /// it.
    fn store_list(&self) {
        let _proxy = self.start("here", true);
        let mut call = self.discovery.take();
        assert!(call.request().line.contains("from=41"));
        let [first, origin] = self.members();
        let other = member("c2", self.other.addr, "std", "ready");
        call.reply("200 OK", "", &list(50, true, &[first.clone(), origin]).to_string());
        // A delta is applied to the stored list.
        assert!(call.request().line.contains("from=50"));
        let mut removed = first;
        removed["state"] = json!("gone");
        call.reply("200 OK", "", &list(51, false, &[removed, other]).to_string());
        until("the list is stored", || {
            std::fs::read_to_string(self.stored_list()).is_ok_and(|text| text.contains("\"version\":51"))
        });
    }
}

fn list_status(admin_addr: SocketAddr) -> Value {
    get_version(admin_addr)["list"].clone()
}

#[test]
fn a_restarted_proxy_serves_from_its_stored_list_while_the_service_does_not_answer() {
    let site = Site::new();
    site.store_list();
    let mut proxy = site.start("here", false);
    let status = list_status(proxy.admin_addr());
    assert_eq!((&status["from"], &status["version"]), (&json!("disk"), &json!(51)));
    assert!(status["age_s"].as_f64().is_some_and(|age| age < 60.0), "{status}");
    // The service accepts the call but doesn't answer. Requests go to the node of the stored list, not to the
    // removed one.
    let mut call = site.discovery.take();
    assert!(call.request().line.contains("from=51"));
    let mut client = proxy.client();
    client.ask("read", "X-Time-Left: 20\r\n");
    let mut node = site.other.take();
    node.request();
    node.reply("200 OK", "", "here");
    assert_eq!(client.answer().body, b"here");
    assert!(site.cache.no_new_connection());
}

#[test]
fn a_stored_list_that_is_damaged_or_of_another_site_is_logged_and_not_used() {
    let site = Site::new();
    site.store_list();
    let mut other_site = site.start("there", true);
    assert!(other_site
        .logged_at_startup("aniseyoke-list: the kept list is not used: it is of another site (here"));
    assert_eq!(list_status(other_site.admin_addr())["from"], "platform");
    drop(other_site);
    let mut bytes = std::fs::read(site.stored_list()).expect("kept");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(site.stored_list(), bytes).expect("written");
    let mut proxy = site.start("here", false);
    assert!(proxy.logged_at_startup("aniseyoke-list: the kept list is damaged, not used and put aside"));
    let admin_addr = proxy.admin_addr();
    assert_eq!(list_status(admin_addr)["from"], "nothing");
    assert!(!site.stored_list().exists());
    // Without a list there is no node to send to: the request is rejected and nothing is forwarded.
    let mut client = proxy.client();
    client.ask("read", "X-Time-Left: 20\r\n");
    let answer = client.answer();
    assert!(matches!(answer.status(), 429 | 503), "{answer:?}");
    assert!(
        site.cache.no_new_connection() && site.other.no_new_connection() && site.origin.no_new_connection()
    );
}

#[test]
fn a_rejected_poll_is_repeated_after_the_retry_after_of_the_service() {
    let site = Site::new();
    let mut proxy = site.start("here", true);
    let admin_addr = proxy.admin_addr();
    let mut call = site.discovery.take();
    call.request();
    call.reply("503 Service Unavailable", "Retry-After: 1.5\r\n", "");
    let rejected = Instant::now();
    proxy.logged("answered 503, retry after 1.5 s");
    let mut retry = site.discovery.take();
    retry.request();
    assert!(rejected.elapsed() > Duration::from_millis(1300), "{:?}", rejected.elapsed());
    assert_eq!(list_status(admin_addr)["refused"], 1);
}

#[test]
fn frequent_changes_are_polled_at_most_once_per_interval() {
    let site = Site::new();
    let _proxy = site.start("here", true);
    let mut call = site.discovery.take();
    let mut polled = Vec::new();
    for version in 42..48 {
        call.request();
        polled.push(Instant::now());
        call.reply("200 OK", "", &list(version, false, &[]).to_string());
    }
    let shortest = polled.windows(2).map(|w| w[1] - w[0]).min().expect("some");
    assert!(shortest > Duration::from_millis(150), "{shortest:?}");
}

#[test]
fn an_unusable_list_folder_does_not_prevent_the_start() {
    let site = Site::new();
    std::fs::write(site.folder.path().join("state"), "a file").expect("written");
    let mut proxy = site.start("here", true);
    assert!(proxy.logged_at_startup("the list is not kept: state: "), "{:?}", proxy.startup_log);
    assert_eq!(list_status(proxy.admin_addr())["from"], "platform");
}
