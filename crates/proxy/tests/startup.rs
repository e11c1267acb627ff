//! The log lines in which the proxy process reports the progress of its start.

mod rig;

use nix::fcntl::{fcntl, FcntlArg, OFlag};
use rig::*;
use serde_json::Value;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::os::fd::AsFd;
use std::process::{Command, Stdio};

/// The phases of the start in order, with the names that are logged.
const PHASES: [&str; 8] = [
    "signal handling",
    "operator's file",
    "log",
    "platform configuration",
    "stored version",
    "plan",
    "listening",
    "engine",
];

/// Sets the log level to debug for the phases of the start alone.
fn log_phases(command: &mut Command) {
    command.env("ANISEYOKE__LOG__LEVEL", "info");
    command.env("ANISEYOKE__LOG__TARGETS", r#"{ startup = "debug" }"#);
}

/// Returns the log lines about the start up to the completion of the last phase.
fn start_lines(log: impl Read) -> Vec<String> {
    let lines = BufReader::new(log).lines().map(|line| line.expect("a line of text"));
    let mut found = Vec::new();
    for line in lines.filter(|line| line.starts_with("aniseyoke: start: ")) {
        let last = line.contains("engine completed");
        found.push(line);
        if last {
            return found;
        }
    }
    panic!("the log ended before the start was complete: {found:?}");
}

fn assert_phases_in_order(lines: &[String]) {
    assert!(lines[0].starts_with("aniseyoke: start: begun"), "{lines:?}");
    let mut times_us = Vec::new();
    for (line, phase) in lines[1..].iter().zip(PHASES) {
        let time = line.strip_prefix(&format!("aniseyoke: start: {phase} completed elapsed_us="));
        let time = time.unwrap_or_else(|| panic!("{phase} expected: {line:?}"));
        times_us.push(time.parse::<u64>().expect("a whole number"));
    }
    assert_eq!(lines.len(), 1 + PHASES.len(), "{lines:?}");
    assert!(times_us.is_sorted(), "{times_us:?}");
}

#[test]
fn the_start_logs_its_phases_in_order_at_debug_level() {
    let discovery = Server::new();
    let (mut child, platform) = start_with(&config(discovery.addr, &[]).to_string(), log_phases);
    let lines = start_lines(child.stderr.take().expect("a log"));
    assert!(lines[0].contains(&format!("process={}", child.id())), "{lines:?}");
    assert_phases_in_order(&lines);
    child.kill().expect("killed");
    child.wait().expect("ended");
    let _ = std::fs::remove_file(platform);
}

/// Guards against more log lines by default: a start that fails prints its error and nothing else.
#[test]
fn the_start_logs_no_phases_by_default() {
    let discovery = Server::new();
    let mut proxy = Proxy::new(&config(discovery.addr, &[]));
    assert!(!proxy.logged_at_startup("start: "), "{:?}", proxy.startup_log);
    // The proxy polls its endpoint list only after the last phase.
    let mut poll = discovery.take();
    poll.request();
    let log = proxy.take_log();
    proxy.signal("-TERM");
    let log = log.join().expect("the log's end");
    assert!(!log.contains("start: "), "{log}");
}

#[test]
fn start_lines_are_json_if_the_log_is_json() {
    let discovery = Server::new();
    let (mut child, platform) = start_with(&config(discovery.addr, &[]).to_string(), |command| {
        log_phases(command);
        command.env("ANISEYOKE__LOG__FORMAT", "json");
    });
    let mut first = String::new();
    BufReader::new(child.stderr.take().expect("a log")).read_line(&mut first).expect("a line");
    let first: Value = serde_json::from_str(&first).expect("JSON");
    assert_eq!(first["message"], "start: begun");
    assert_eq!(first["target"], "aniseyoke::startup");
    assert_eq!(first["process"], child.id());
    child.kill().expect("killed");
    child.wait().expect("ended");
    let _ = std::fs::remove_file(platform);
}

/// Fills a pipe, so that a further write to it blocks. Returns the number of bytes written.
fn fill(pipe: &mut (impl Write + AsFd)) -> usize {
    let set_flags = |pipe: &dyn AsFd, flags| fcntl(pipe.as_fd(), FcntlArg::F_SETFL(flags)).expect("flags");
    set_flags(pipe, OFlag::O_NONBLOCK);
    let mut written = 0;
    let full = loop {
        match pipe.write(b"\n") {
            Ok(bytes) => written += bytes,
            Err(error) => break error,
        }
    };
    assert_eq!(full.kind(), ErrorKind::WouldBlock);
    set_flags(pipe, OFlag::empty());
    written
}

/// Guards against a start that blocks on its first log line: standard error may be a full pipe that nobody
/// reads.
#[test]
fn a_full_pipe_that_nobody_reads_does_not_delay_the_start() {
    let (mut unread, mut log) = std::io::pipe().expect("a pipe");
    let filled = fill(&mut log);
    let discovery = Server::new();
    let (mut child, platform) = start_with(&config(discovery.addr, &[]).to_string(), |command| {
        log_phases(command);
        command.stderr(log);
    });
    // The first poll of the endpoint list shows that the proxy has started.
    let mut poll = discovery.take();
    poll.request();
    let mut before = vec![0; filled];
    unread.read_exact(&mut before).expect("what the pipe was filled with");
    assert!(before.iter().all(|byte| *byte == b'\n'), "a line was written to a full pipe");
    assert_phases_in_order(&start_lines(unread));
    child.kill().expect("killed");
    child.wait().expect("ended");
    let _ = std::fs::remove_file(platform);
}

/// Guards against first lines that overwrite the beginning of the file because they use an open file
/// description of their own.
#[test]
fn a_log_in_a_file_is_appended_to_the_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let mut log = File::create(&path).expect("a file");
    log.write_all(b"what was there\n").expect("written");
    let discovery = Server::new();
    let (mut child, platform) = start_with(&config(discovery.addr, &[]).to_string(), |command| {
        log_phases(command);
        command.stderr(Stdio::from(log));
    });
    let mut text = String::new();
    until("the start is complete", || {
        text = std::fs::read_to_string(&path).expect("a log");
        text.contains("engine completed")
    });
    assert!(text.starts_with("what was there\naniseyoke: start: begun"), "{text}");
    assert_phases_in_order(&start_lines(text.as_bytes()));
    child.kill().expect("killed");
    child.wait().expect("ended");
    let _ = std::fs::remove_file(platform);
}
