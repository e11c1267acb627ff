//! Tests of the `measure` command: it checks the limit of file descriptors before it starts.

use std::process::{Command, Stdio};

fn run_measure(limit: &str, proxies: &str) -> (bool, String, String) {
    let program = env!("CARGO_BIN_EXE_aniseyoke-control");
    let script = format!("ulimit -n {limit} && exec \"$0\" \"$@\"");
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &script,
        program,
        "measure",
        "--versions",
        "1",
        "--routes",
        "5",
        "--proxies",
        proxies,
    ]);
    let out = command.stdin(Stdio::null()).output().expect("run");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn too_low_a_descriptor_limit_is_reported_in_one_error_line() {
    let (succeeded, out, err) = run_measure("1024", "2500");
    assert!(!succeeded && out.is_empty(), "{out}");
    assert_eq!(err.lines().count(), 1, "{err}");
    for part in ["2500 proxies need 5064 descriptors", "may have 1024", "4040 short", "at most 480 proxies"] {
        assert!(err.contains(part), "`{part}` is not in {err}");
    }
}

#[test]
fn the_number_of_proxies_named_in_the_error_can_be_measured() {
    let (succeeded, out, err) = run_measure("1024", "480");
    assert!(succeeded, "{err}");
    assert!(out.starts_with("480 proxies"), "{out}");
    assert_eq!(err, "");
}
