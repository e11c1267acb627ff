//! What the proxy stores on disk (operators' orders, the endpoint list, the last good version), while writes
//! and syncs fail and when the process is killed in the middle of a write.

mod rig;

use aniseyoke_control::hosted::ServiceThread;
use aniseyoke_control::rollout::Plan as Rollout;
use aniseyoke_control::store::{Disk, Loaded, Store};
use aniseyoke_faults::{
    configure_preload, errno, ActivePlan, Call, CallTarget, Effect, Frequency, Plan, Rule,
};
use rig::*;
use serde_json::{json, Value};
use std::io::BufRead as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use tempfile::TempDir;

/// A state folder that persists over restarts, a folder for the fault plan, and the servers that a proxy
/// needs.
struct Site {
    state: TempDir,
    faults: TempDir,
    nodes: [Server; 2],
    discovery: Server,
}

impl Site {
    fn new() -> Self {
        let folder = || tempfile::tempdir().expect("a folder");
        let nodes = [Server::new(), Server::new()];
        Site { state: folder(), faults: folder(), nodes, discovery: Server::new() }
    }

    fn listed(&self) -> [Value; 2] {
        [0, 1].map(|n| member(&format!("c{n}"), self.nodes[n].addr, "std", "ready"))
    }

    /// Starts a proxy with a fault plan; `settings`: the text of the operator's file.
    fn start(&self, plan: &Plan, settings: &str) -> (Proxy, SocketAddr, ActivePlan) {
        let mut config = config(self.discovery.addr, &self.listed());
        config["mgmt"] = json!("127.0.0.1:0");
        let file = self.faults.path().join("operator.toml");
        std::fs::write(&file, settings).expect("written");
        let mut active_plan = None;
        let mut proxy = Proxy::with(&config, |command| {
            command.env("TMPDIR", self.state.path()).env("ANISEYOKE_FILE", &file);
            active_plan = Some(configure_preload(command, self.faults.path(), plan).expect("armed"));
        });
        // The lines up to the one with the admin endpoint report the loaded state.
        let admin_addr = loop {
            let mut line = String::new();
            assert!(
                proxy.log.read_line(&mut line).expect("a line") > 0,
                "the log ended: {:?}",
                proxy.startup_log
            );
            let admin_addr = line.trim().split_once("operators call at ").map(|(_, addr)| addr.parse());
            proxy.startup_log.push(line);
            if let Some(admin_addr) = admin_addr {
                break admin_addr.expect("an address");
            }
        };
        (proxy, admin_addr, active_plan.expect("armed"))
    }

    /// The path of a file in the state folder. An empty name means the folder with all files in it.
    fn path(&self, name: &str) -> PathBuf {
        if name.is_empty() {
            self.state.path().into()
        } else {
            self.state.path().join(name)
        }
    }

    /// A rule that fails these calls with error `number` on files whose path begins with that of `name`.
    fn failing(&self, calls: &[Call], name: &str, number: i32) -> Rule {
        Rule::new("failing", calls, Effect::Fail(number)).about(CallTarget::Files(self.path(name)))
    }

    /// The excluded cache nodes in the file of operators' orders, which has to be complete.
    fn excluded(&self) -> Vec<String> {
        let text = std::fs::read(self.path("aniseyoke-operators.json")).expect("read");
        let orders: Value = serde_json::from_slice(&text).expect("whole");
        serde_json::from_value(orders["bans"].clone()).expect("ids")
    }
}

fn plan(rule: Rule) -> Plan {
    Plan::new(1, &[rule])
}

/// Waits until the process has stopped in the middle of a write, and kills it.
fn kill_when_stopped(mut proxy: Proxy) {
    let stat = format!("/proc/{}/stat", proxy.child.id());
    until("it has stopped", || {
        let stat = std::fs::read_to_string(&stat).expect("a state");
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
    });
    proxy.child.kill().expect("killed");
    proxy.child.wait().expect("ended");
}

/// Guards against a ban that is acknowledged before it is on disk: the next process doesn't know it, and the
/// node gets requests again.
#[test]
fn an_order_is_acknowledged_only_once_it_is_synced_and_the_next_call_succeeds() {
    use Call::{Fsync, Open, Rename, Write};
    let always = Frequency::Always;
    let steps = [
        ("the lock", Open, "aniseyoke-operators.lock", always),
        ("reading", Open, "aniseyoke-operators.json", always),
        ("the new file", Open, "aniseyoke-operators.new", always),
        ("its bytes", Write, "aniseyoke-operators.new", always),
        ("its sync", Fsync, "aniseyoke-operators.new", always),
        ("its name", Rename, "aniseyoke-operators.json", always),
        ("the folder's sync", Fsync, "", Frequency::Only(2)),
    ];
    let (mut calls, mut unexpected) = (0, Vec::new());
    for number in [errno::ENOSPC, errno::EIO] {
        for (step, call, name, often) in steps {
            let site = Site::new();
            let (proxy, admin_addr, active_plan) = site.start(&Plan::default(), "");
            assert_eq!(call_for_node(admin_addr, "/api/exclude", "c0"), 200);
            active_plan.change(&plan(site.failing(&[call], name, number).often(often))).expect("changed");
            calls += 1;
            let status = call_for_node(admin_addr, "/api/exclude", "c1");
            if status != 503 {
                unexpected.push(format!("{step}, error {number}: {status}"));
                continue;
            }
            assert!(active_plan.forced("failing") > 0, "{step}");
            // After the rename the file has the order already, but it was not acknowledged.
            let renamed = name.is_empty();
            assert_eq!(site.excluded().len(), if renamed { 2 } else { 1 }, "{step}");
            active_plan.change(&Plan::default()).expect("changed");
            assert_eq!(call_for_node(admin_addr, "/api/exclude", "c1"), 200, "{step}: the disk works again");
            drop(proxy);
            assert_eq!(site.excluded(), ["c0", "c1"], "{step}");
            let (next, ..) = site.start(&Plan::default(), "");
            assert!(next.logged_at_startup("out {\"c0\", \"c1\"}"), "{:?}", next.startup_log);
        }
    }
    assert!(
        unexpected.is_empty(),
        "of {calls} calls whose write failed, {} were not answered with 503: {unexpected:#?}",
        unexpected.len()
    );
}

/// Guards against a repeated call that is acknowledged because the file reads as expected: after a failed
/// sync its content may be in memory only.
#[test]
fn a_call_repeated_after_a_failed_sync_is_written_again() {
    let site = Site::new();
    let (_proxy, admin_addr, active_plan) = site.start(&Plan::default(), "");
    let folder = site.failing(&[Call::Fsync], "", errno::EIO).often(Frequency::Only(2));
    active_plan.change(&plan(folder)).expect("changed");
    assert_eq!(call(admin_addr, "POST", "/api/evacuate", ""), 503);
    // The file already has the order, and every sync fails.
    active_plan.change(&plan(site.failing(&[Call::Fsync], "", errno::EIO))).expect("changed");
    assert_eq!(call(admin_addr, "POST", "/api/evacuate", ""), 503, "it is still not on disk");
    active_plan.change(&Plan::default()).expect("changed");
    assert_eq!(call(admin_addr, "POST", "/api/evacuate", ""), 200);
}

#[test]
fn a_process_killed_while_writing_an_order_leaves_the_earlier_orders_intact() {
    for bytes in [0, 1, 13] {
        let site = Site::new();
        let (proxy, admin_addr, active_plan) = site.start(&Plan::default(), "");
        assert_eq!(call_for_node(admin_addr, "/api/exclude", "c0"), 200);
        let new_file = site.path("aniseyoke-operators.new");
        let stop =
            Rule::new("stop", &[Call::Write], Effect::StopAfter(bytes)).about(CallTarget::Files(new_file));
        active_plan.change(&plan(stop)).expect("changed");
        let mut caller = Peer::to(admin_addr);
        let body = json!({ "id": "c1" }).to_string();
        let length = body.len();
        caller.write(&format!(
            "POST /api/exclude HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
        kill_when_stopped(proxy);
        assert_eq!(site.excluded(), ["c0"]);
        let (_next, admin_addr, _armed) = site.start(&Plan::default(), "");
        assert_eq!(call_for_node(admin_addr, "/api/exclude", "c1"), 200);
        assert_eq!(site.excluded(), ["c0", "c1"]);
    }
}

/// Guards against a process that could not read the orders at its start and overwrites them with the next
/// order.
#[test]
fn orders_that_could_not_be_read_at_the_start_are_read_later_and_never_overwritten() {
    let site = Site::new();
    let (proxy, admin_addr, _armed) = site.start(&Plan::default(), "");
    assert_eq!(call_for_node(admin_addr, "/api/exclude", "c0"), 200);
    drop(proxy);
    let unreadable = site.failing(&[Call::Open], "aniseyoke-operators.json", errno::EIO);
    let (mut next, admin_addr, active_plan) = site.start(&plan(unreadable), "");
    assert_eq!(
        (call_for_node(admin_addr, "/api/exclude", "c1"), site.excluded()),
        (503, vec!["c0".to_owned()])
    );
    active_plan.change(&Plan::default()).expect("changed");
    next.logged("out {\"c0\"}");
    assert_eq!(call_for_node(admin_addr, "/api/exclude", "c1"), 200);
    assert_eq!(site.excluded(), ["c0", "c1"]);
}

fn list_is_stored(site: &Site, version: u64) -> bool {
    let text = std::fs::read_to_string(site.path("aniseyoke-list")).unwrap_or_default();
    text.contains(&format!("\"version\":{version}"))
}

/// The proxy gets a list only once. Guards against one that failed to write it and begins its next
/// incarnation with an older list.
#[test]
fn a_list_that_could_not_be_written_is_written_once_the_disk_works_and_survives_a_kill() {
    let steps = [(Call::Open, "aniseyoke-list.new"), (Call::Write, "aniseyoke-list.new"), (Call::Fsync, "")];
    for (call, name) in steps {
        let site = Site::new();
        let folder = site.state.path().display();
        let settings = format!("[list]\nevery = \"200ms\"\nkeep = \"{folder}\"\nfresh_for = \"1h\"\n");
        let rule = site.failing(&[call], name, errno::ENOSPC);
        let (proxy, _, active_plan) = site.start(&plan(rule), &settings);
        let mut watch = site.discovery.take();
        watch.request();
        watch.reply("200 OK", "", &list(50, true, &site.listed()).to_string());
        until("the write has failed", || active_plan.forced("failing") > 0);
        assert!(!list_is_stored(&site, 50) || name.is_empty());
        active_plan.change(&Plan::default()).expect("changed");
        until("it is stored", || list_is_stored(&site, 50));
        drop((watch, proxy));
        while !site.discovery.no_new_connection() {}
        // The next process is killed when a newer list is partly written.
        let stop_mid_write = Rule::new("stop", &[Call::Write], Effect::StopAfter(90))
            .about(CallTarget::Files(site.path("aniseyoke-list.new")));
        let (proxy, ..) = site.start(&plan(stop_mid_write), &settings);
        let mut watch = site.discovery.take();
        assert!(watch.request().line.contains("from=50"));
        watch.reply("200 OK", "", &list(51, true, &site.listed()).to_string());
        kill_when_stopped(proxy);
        let (next, ..) = site.start(&Plan::default(), &settings);
        assert!(next.logged_at_startup("begun with version 50 of the list"), "{:?}", next.startup_log);
        assert!(site.discovery.take().request().line.contains("from=5"));
    }
}

#[test]
fn a_version_that_could_not_be_written_is_written_once_the_disk_works_and_survives_a_kill() {
    for call in [Call::Write, Call::Fsync, Call::Rename] {
        let (site, service) = (Site::new(), ServiceThread::start(1).expect("started"));
        let folder = site.state.path().display();
        let settings =
            format!("[control]\nservices = [\"{}\"]\ninstance = \"p0\"\ndir = \"{folder}\"\n", service.addr);
        let rule = site.failing(&[call], "aniseyoke-version", errno::EIO);
        let (proxy, _, active_plan) = site.start(&plan(rule), &settings);
        let body = json!({ "log": { "burst": 7 } });
        let (stamp, _) = service.publish(body, Rollout::default()).expect("published");
        until("the write has failed", || active_plan.forced("failing") > 0);
        let stored_stamp = || match Store::new(Disk, site.path("aniseyoke-version")).load().expect("read") {
            Loaded::Valid(stored) => Some(stored.version.stamp),
            Loaded::Missing => None,
            Loaded::Damaged { reason: why, .. } => panic!("{why}"),
        };
        assert_eq!(stored_stamp(), None);
        active_plan.change(&Plan::default()).expect("changed");
        until("it is stored", || stored_stamp() == Some(stamp));
        let stop_mid_write = Rule::new("stop", &[Call::Write], Effect::StopAfter(90))
            .about(CallTarget::Files(site.path("aniseyoke-version.new")));
        active_plan.change(&plan(stop_mid_write)).expect("changed");
        service.publish(json!({ "log": { "burst": 8 } }), Rollout::default()).expect("published");
        kill_when_stopped(proxy);
        assert_eq!(stored_stamp(), Some(stamp));
        drop(service);
        let (next, ..) = site.start(&Plan::default(), &settings);
        assert!(
            next.logged_at_startup(&format!("version {stamp} from disk is in force")),
            "{:?}",
            next.startup_log
        );
    }
}
