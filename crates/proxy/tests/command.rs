//! The command line, the operator's file and the log of the proxy binary.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::io::{BufRead, Read};
use std::path::PathBuf;
use std::process::{Command, Output};

fn program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_aniseyoke")).env_clear().args(args).output().expect("run")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// An operator's file in a temporary folder that is removed with it.
struct File {
    path: PathBuf,
    _folder: tempfile::TempDir,
}

fn file(content: &str) -> File {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.toml");
    std::fs::write(&path, content).expect("written");
    File { path, _folder: folder }
}

impl File {
    fn name(&self) -> &str {
        self.path.to_str().expect("text")
    }
}

#[test]
fn a_file_with_faults_prevents_the_start_and_all_faults_are_reported() {
    let faulty_file = file("[log]\nlevle = \"info\"\n[limits.node]\nfloor = 0.5\n");
    let (mut child, platform) = start_with("{}", |c| _ = c.env("ANISEYOKE_FILE", &faulty_file.path));
    assert_eq!(child.wait().expect("ended").code(), Some(1));
    let mut output = String::new();
    child.stderr.take().expect("a log").read_to_string(&mut output).expect("text");
    let _ = std::fs::remove_file(platform);
    assert!(
        output.contains("operator.toml:2:1: log.levle: there is no such key; did you mean \"level\"?"),
        "{output}"
    );
    assert!(
        output.contains("operator.toml:4:9: limits.node.floor: 0.5 lies outside of 1 to 100000"),
        "{output}"
    );
    assert_eq!(output.lines().count(), 2, "{output}");
}

#[test]
fn names_unknown_to_the_platform_are_rejected_at_startup() {
    let faulty_file = file("[tenants.nobody]\nshare = 1.0\n");
    let discovery = Server::new();
    let config = config(discovery.addr, &[]).to_string();
    let (mut child, platform) = start_with(&config, |c| _ = c.env("ANISEYOKE_FILE", &faulty_file.path));
    assert_eq!(child.wait().expect("ended").code(), Some(1));
    let mut output = String::new();
    child.stderr.take().expect("a log").read_to_string(&mut output).expect("text");
    let _ = std::fs::remove_file(platform);
    assert!(
        output.contains("tenants.nobody: the platform names no tenant \"nobody\"; it names acme"),
        "{output}"
    );
}

/// Guards against orphaned proxies of killed tests, which keep polling ports that belong to other tests'
/// servers by then: 5 of 200 runs of `handover.rs` failed with a foreign proxy's `GET /catalog/members` at a
/// node.
#[test]
fn a_proxy_does_not_outlive_the_thread_of_the_test_that_started_it() {
    let discovery = Server::new();
    let config = config(discovery.addr, &[]).to_string();
    // No destructor kills the child, as when the test is killed.
    let started = std::thread::spawn(move || start_with(&config, |_| {}));
    let (child, file) = started.join().expect("started");
    let id = child.id();
    let stat = format!("/proc/{id}/stat");
    until("it has ended", || {
        // It stays a zombie, because no process waits for it.
        let stat = std::fs::read_to_string(&stat).expect("a state");
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('Z'))
    });
    let _ = std::fs::remove_file(file);
}

#[test]
fn config_commands_work_without_a_platform() {
    let (before, after) = (file(""), file("[log]\nlevel = \"debug\"\n"));
    let check = program(&["config", "check", before.name(), after.name()]);
    assert!(check.status.success() && text(&check.stdout).lines().count() == 2);
    let diff = program(&["config", "diff", before.name(), after.name()]);
    assert_eq!(text(&diff.stdout), "log.level: \"info\" -> \"debug\" (reload)\n");
    let explain = program(&["config", "explain", "limits.queue.most"]);
    assert!(text(&explain.stdout).contains("default   64"), "{}", text(&explain.stdout));
    let schema: Value = serde_json::from_slice(&program(&["config", "schema"]).stdout).expect("JSON");
    assert_eq!(schema["properties"]["log"]["description"], "What is written to the log, and how.");
    assert!(text(&program(&["completions", "bash"]).stdout).contains("aniseyoke"));
    assert!(text(&program(&["man"]).stdout).contains(".TH aniseyoke"));
    let misspelled = program(&["confg"]);
    assert_eq!(misspelled.status.code(), Some(2));
    assert!(text(&misspelled.stderr).contains("config"), "{}", text(&misspelled.stderr));
}

#[test]
fn the_ctl_command_calls_the_admin_endpoint() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    config["mgmt"] = json!("127.0.0.1:0");
    let operator_file = file("[limits]\n");
    let mut proxy = Proxy::with(&config, |c| _ = c.env("ANISEYOKE_FILE", &operator_file.path));
    let admin_addr = proxy.admin_addr().to_string();
    let ctl = |args: &[&str]| program(&[&["ctl", "--door", &admin_addr], args].concat());
    until("it serves", || ctl(&["ready"]).status.success());
    assert!(ctl(&["exclude", "c1"]).status.success() && ctl(&["include", "c1"]).status.success());
    let unknown_node = ctl(&["exclude", "never"]);
    assert_eq!(unknown_node.status.code(), Some(1));
    assert!(
        text(&unknown_node.stderr).contains("says 404")
            && text(&unknown_node.stderr).contains("no such cache node")
    );
    assert!(ctl(&["evacuate"]).status.success());
    assert_eq!(proxy.health(), 503);
    assert!(ctl(&["rejoin"]).status.success());
    let version: Value = serde_json::from_slice(&ctl(&["version"]).stdout).expect("JSON");
    assert_eq!(version["limits"], json!({"waiting": 0, "turned": 0}));
    assert_eq!(version["configuration"].as_str().map(str::len), Some(64));
    assert_eq!(version["file"].as_str(), Some(operator_file.name()));
    drop(proxy);
    let unreachable = ctl(&["--within", "2s", "ready"]);
    assert!(!unreachable.status.success() && text(&unreachable.stderr).contains(&admin_addr));
}

#[test]
fn requests_to_a_node_at_capacity_are_rejected_at_once_with_retry_after() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let operator_file =
        file("[limits.node]\nfloor = 1.0\nstart = 1.0\nceiling = 1.0\n[limits.queue]\nmost = 0\n");
    let config = config(discovery.addr, &servers);
    let proxy = Proxy::with(&config, |c| _ = c.env("ANISEYOKE_FILE", &operator_file.path));
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.ask("read", "");
    let mut node = cache.take();
    node.request();
    second.ask("read", "");
    let rejected = second.answer();
    assert_eq!(rejected.status(), 503);
    assert!(rejected.header("retry-after").is_some());
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(first.answer().status(), 200);
    second.ask("read", "");
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(second.answer().status(), 200, "capacity is available again");
}

#[test]
fn the_log_is_json_if_configured_and_sighup_reloads_its_settings() {
    let operator_file = file("[log]\nformat = \"json\"\n");
    let (cache, discovery) = (Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready")];
    let config = config(discovery.addr, &servers).to_string();
    let (mut child, platform) = start_with(&config, |c| _ = c.env("ANISEYOKE_FILE", &operator_file.path));
    let mut log = std::io::BufReader::new(child.stderr.take().expect("a log"));
    let mut next = |pattern: &str| loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("a line") > 0, "the log ended before {pattern:?}");
        let entry: Value = serde_json::from_str(&line).expect("JSON");
        if entry["message"].as_str().is_some_and(|m| m.contains(pattern)) {
            return entry;
        }
    };
    let started = next("listening on");
    assert_eq!(
        (started["level"].as_str(), started["target"].as_str()),
        (Some("info"), Some("aniseyoke::front"))
    );
    let send_sighup = |id: u32| {
        let done = Command::new("kill").args(["-HUP", &id.to_string()]).status();
        assert!(done.expect("kill").success());
    };
    std::fs::write(&operator_file.path, "[log]\nformat = \"json\"\nlevel = \"eror\"\n").expect("written");
    send_sighup(child.id());
    assert!(next("stays as it was")["message"].as_str().is_some_and(|m| m.contains("log.level")));
    std::fs::write(&operator_file.path, "[log]\nformat = \"plain\"\n").expect("written");
    send_sighup(child.id());
    assert!(next("wait for a restart")["message"].as_str().is_some_and(|m| m.contains("log.format")));
    child.kill().expect("ended");
    child.wait().expect("ended");
    let _ = std::fs::remove_file(platform);
}
