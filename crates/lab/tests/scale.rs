//! Runs the small scale experiment. Its completeness is reproducible; its speed is not checked.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn lab(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke-lab"));
    command.args(args).output().expect("run")
}

fn small_plan() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/scale-small.toml")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn all_changes_take_effect_in_a_small_fleet_despite_kills_and_a_partition() {
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().join("out");
    let plan = small_plan();
    let run =
        lab(&["scale", "--plan", plan.to_str().expect("a path"), "--out", out.to_str().expect("a path")]);
    let output = format!("{}{}", text(&run.stdout), text(&run.stderr));
    assert!(run.status.success(), "{output}");
    let json = std::fs::read_to_string(out.join("scale.json")).expect("scale.json");
    let scale: Value = serde_json::from_str(&json).expect("JSON");
    let value = |name: &str| {
        let figures = scale["figures"].as_array().expect("figures");
        let found = figures.iter().find(|f| f["name"] == name);
        found.unwrap_or_else(|| panic!("no figure {name}"))["value"].as_f64().expect("a number")
    };
    assert_eq!((scale["name"].as_str(), scale["seed"].as_u64()), (Some("scale-small"), Some(1)));
    assert_eq!(value("run.complete"), 1.0, "{output}");
    assert_eq!(value("purge.made"), value("purge.due"), "{output}");
    assert!(value("purge.due") > 150.0);
    assert_eq!(value("purge.not_done_everywhere"), 0.0, "{output}");
    assert_eq!(value("change.not_done_everywhere"), 0.0, "{output}");
    assert_eq!((value("change.made"), value("real.count")), (6.0, 3.0));
    // The three-second network partition shows in the figures, as does the traffic of every member.
    assert!(value("purge.done_everywhere.most") >= 1000.0, "{output}");
    assert!(value("hollow_proxy.control.bytes.mean") > 0.0 && value("hollow_proxy.list.bytes.mean") > 0.0);
    assert!(value("real.core.most") > 0.0 && value("site_relay.memory.most") > 0.0);
    let plot = std::fs::read_to_string(out.join("scale.svg")).expect("scale.svg");
    assert!(plot.contains("</svg>"));
    // A second run in the same folder would find the log of the first.
    let second_run =
        lab(&["scale", "--plan", plan.to_str().expect("a path"), "--out", out.to_str().expect("a path")]);
    assert_eq!(second_run.status.code(), Some(2));
    assert!(text(&second_run.stderr).contains("a run needs a new folder"), "{}", text(&second_run.stderr));
}

#[test]
fn a_descriptor_limit_that_is_too_low_is_reported_as_one_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let script = "ulimit -n 150 && exec \"$0\" \"$@\"";
    let mut command = Command::new("sh");
    command.args(["-c", script, env!("CARGO_BIN_EXE_aniseyoke-lab"), "scale", "--plan"]).arg(small_plan());
    command.arg("--out").arg(folder.path().join("out"));
    let run = command.output().expect("run");
    let output = text(&run.stderr);
    assert_eq!(run.status.code(), Some(2), "{output}");
    assert!(
        output.contains("the rig needs ") && output.contains("may have 150") && output.contains(" short"),
        "{output}"
    );
}

#[test]
fn every_experiment_is_valid_and_its_schedule_is_reproducible() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut found = 0;
    for entry in std::fs::read_dir(folder).expect("experiments") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        if name.starts_with("scale-") {
            found += 1;
            let check =
                || lab(&["scale", "--check", "--seed", "7", "--plan", path.to_str().expect("a path")]);
            let (one, two) = (check(), check());
            assert!(one.status.success(), "{}", text(&one.stderr));
            assert_eq!(one.stdout, two.stdout);
        }
    }
    assert!(found >= 4, "{found}");
}

#[test]
fn child_processes_exit_when_their_rig_is_killed() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke-lab"));
    command.args(["scale", "--plan"]).arg(small_plan()).arg("--out").arg(folder.path().join("out"));
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    let mut rig = command.spawn().expect("started");
    let list = format!("/proc/{0}/task/{0}/children", rig.id());
    let deadline = Instant::now() + Duration::from_secs(120);
    // The service, three regions, six sites, three proxies and two hosts. Under cargo, programs are built first.
    let children = loop {
        let text = std::fs::read_to_string(&list).expect("the rig runs");
        let children: Vec<u32> = text.split_whitespace().filter_map(|pid| pid.parse().ok()).collect();
        if children.len() == 15 {
            break children;
        }
        assert!(Instant::now() < deadline, "{} children", children.len());
        std::thread::sleep(Duration::from_millis(10));
    };
    rig.kill().expect("killed");
    rig.wait().expect("gone");
    let deadline = Instant::now() + Duration::from_secs(20);
    let is_running = |pid: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // A zombie process has exited.
        stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
    };
    while children.iter().any(is_running) {
        assert!(Instant::now() < deadline, "{children:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
