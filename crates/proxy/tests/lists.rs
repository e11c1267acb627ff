//! The list service as the operator's file has it asked, and the list that is kept over restarts, at the real program.

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

    /// A proxy that keeps the list of this site; `known`: the platform tells version 41 of it at the start.
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

    fn kept(&self) -> PathBuf {
        self.folder.path().join("state/aniseyoke-list")
    }

    /// A proxy is told version 50, in which there is another node, keeps it, and is killed.
    fn keep_one(&self) {
        let _proxy = self.start("here", true);
        let mut call = self.discovery.take();
        assert!(call.request().line.contains("from=41"));
        let [first, origin] = self.members();
        let other = member("c2", self.other.addr, "std", "ready");
        call.reply("200 OK", "", &list(50, true, &[first.clone(), origin]).to_string());
        // Changes go on top of it.
        assert!(call.request().line.contains("from=50"));
        let mut gone = first;
        gone["state"] = json!("gone");
        call.reply("200 OK", "", &list(51, false, &[gone, other]).to_string());
        until("it is kept", || {
            std::fs::read_to_string(self.kept()).is_ok_and(|text| text.contains("\"version\":51"))
        });
    }
}

fn list_at(door: SocketAddr) -> Value {
    get_version(door)["list"].clone()
}

#[test]
fn a_restarted_proxy_serves_from_the_list_that_it_kept_while_the_service_says_nothing() {
    let site = Site::new();
    site.keep_one();
    let mut proxy = site.start("here", false);
    let held = list_at(proxy.admin_addr());
    assert_eq!((&held["from"], &held["version"]), (&json!("disk"), &json!(51)));
    assert!(held["age_s"].as_f64().is_some_and(|age| age < 60.0), "{held}");
    // The service takes the call and says nothing; the node of the kept list is asked, and the one that was gone is not.
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
fn a_kept_list_that_is_damaged_or_of_another_site_is_named_and_not_used() {
    let site = Site::new();
    site.keep_one();
    let mut elsewhere = site.start("there", true);
    assert!(
        elsewhere.logged_at_startup("aniseyoke-list: the kept list is not used: it is of another site (here")
    );
    assert_eq!(list_at(elsewhere.admin_addr())["from"], "platform");
    drop(elsewhere);
    let mut bytes = std::fs::read(site.kept()).expect("kept");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(site.kept(), bytes).expect("written");
    let mut proxy = site.start("here", false);
    assert!(proxy.logged_at_startup("aniseyoke-list: the kept list is damaged, not used and put aside"));
    let door = proxy.admin_addr();
    assert_eq!(list_at(door)["from"], "nothing");
    assert!(!site.kept().exists());
    // Without a list there is nobody to ask: a clear refusal, and nothing sent anywhere.
    let mut client = proxy.client();
    client.ask("read", "X-Time-Left: 20\r\n");
    let answer = client.answer();
    assert!(matches!(answer.status(), 429 | 503), "{answer:?}");
    assert!(
        site.cache.no_new_connection() && site.other.no_new_connection() && site.origin.no_new_connection()
    );
}

#[test]
fn a_service_that_refuses_is_asked_again_when_it_says() {
    let site = Site::new();
    let mut proxy = site.start("here", true);
    let door = proxy.admin_addr();
    let mut call = site.discovery.take();
    call.request();
    call.reply("503 Service Unavailable", "Retry-After: 1.5\r\n", "");
    let refused = Instant::now();
    proxy.logged("answered 503, retry after 1.5 s");
    let mut again = site.discovery.take();
    again.request();
    assert!(refused.elapsed() > Duration::from_millis(1300), "{:?}", refused.elapsed());
    assert_eq!(list_at(door)["refused"], 1);
}

#[test]
fn a_storm_of_changes_is_asked_for_once_in_a_cycle() {
    let site = Site::new();
    let _proxy = site.start("here", true);
    let mut call = site.discovery.take();
    let mut times = Vec::new();
    for version in 42..48 {
        call.request();
        times.push(Instant::now());
        call.reply("200 OK", "", &list(version, false, &[]).to_string());
    }
    let least = times.windows(2).map(|w| w[1] - w[0]).min().expect("some");
    assert!(least > Duration::from_millis(150), "{least:?}");
}

#[test]
fn a_folder_that_takes_nothing_costs_no_start() {
    let site = Site::new();
    std::fs::write(site.folder.path().join("state"), "a file").expect("written");
    let mut proxy = site.start("here", true);
    assert!(proxy.logged_at_startup("the list is not kept: state: "), "{:?}", proxy.startup_log);
    assert_eq!(list_at(proxy.admin_addr())["from"], "platform");
}
