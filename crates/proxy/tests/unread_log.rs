//! A log that nobody reads any more (its pipe is full or its reader has closed it) must not keep a process
//! from ending.

mod rig;

use nix::fcntl::{fcntl, FcntlArg, OFlag};
use rig::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, PipeReader, PipeWriter, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The longest deadline of these tests.
const DEADLINE: Duration = Duration::from_millis(200);
/// A process may be killed this long after SIGTERM and the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time within which a command that doesn't block ends, even on a busy machine.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// More lines than the queue of the log holds.
const LOG_LINES: usize = 1100;
/// Settings that log at least one line for each client connection.
const LOG_EACH_CONNECTION: &str =
    "[log]\nburst = 100000\nper_second = 10000\n[log.targets]\nfront = \"debug\"\n";

fn short_config() -> Value {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut config = config(nowhere, &[]);
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        class["deadline_ns"] = json!(DEADLINE.as_nanos() as u64);
        class["promise_ns"] = json!(DEADLINE.as_nanos() as u64);
    }
    config
}

/// Writes empty lines to a pipe until no more fit.
fn fill(pipe: &mut PipeWriter) {
    fcntl(&*pipe, FcntlArg::F_SETFL(OFlag::O_NONBLOCK)).expect("set");
    // A write of up to a page is made whole or not at all, so that single bytes fill what is left.
    for length in [4096, 1] {
        let full = loop {
            if let Err(error) = pipe.write(&[b'\n'; 4096][..length]) {
                break error;
            }
        };
        assert_eq!(full.kind(), ErrorKind::WouldBlock);
    }
    fcntl(&*pipe, FcntlArg::F_SETFL(OFlag::empty())).expect("set");
}

/// A proxy whose log was read until it listened and whose log pipe is full since then.
struct UnreadProxy {
    child: Child,
    addr: SocketAddr,
    _pipe: (BufReader<PipeReader>, PipeWriter),
}

impl UnreadProxy {
    /// Starts the proxy. Standard output goes to the pipe of the log if `output_too`, otherwise to /dev/null.
    fn start(output_too: bool, more: impl FnOnce(&mut Command)) -> Self {
        let (reader, mut writer) = std::io::pipe().expect("a pipe");
        let error = writer.try_clone().expect("a copy");
        let output = output_too.then(|| writer.try_clone().expect("a copy"));
        let (child, _) = start_with(&short_config().to_string(), |command| {
            command.stdout(output.map_or_else(Stdio::null, Stdio::from)).stderr(error);
            more(command);
        });
        let mut reader = BufReader::new(reader);
        let mut line = String::new();
        while !line.contains("listening on") {
            line.clear();
            assert!(reader.read_line(&mut line).expect("a line") > 0, "the log ended");
        }
        fill(&mut writer);
        let addr = line.trim().rsplit(' ').next().and_then(|addr| addr.parse().ok()).expect("an address");
        UnreadProxy { child, addr, _pipe: (reader, writer) }
    }

    fn terminate(&self) {
        let done = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(done.expect("kill").success());
    }
}

impl Drop for UnreadProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits for a process to end. Returns `None` if it still runs after `time`.
fn end_within(child: &mut Child, time: Duration) -> Option<ExitStatus> {
    let deadline = Instant::now() + time;
    loop {
        let status = child.try_wait().expect("its status");
        if status.is_some() || Instant::now() > deadline {
            return status;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a shutdown that waits for the reader of the log until the process is killed.
#[test]
fn a_process_whose_log_is_not_read_ends_before_it_may_be_killed() {
    let mut proxy = UnreadProxy::start(false, |_| {});
    proxy.terminate();
    let status = end_within(&mut proxy.child, DEADLINE + KILL_MARGIN);
    assert_eq!(status.and_then(|status| status.code()), Some(0), "not ended by the time of the kill");
}

/// Guards against a shutdown that writes to standard output, which blocks for ever if that is the full pipe
/// of the log.
#[test]
fn a_process_whose_log_and_output_are_one_full_pipe_ends_with_lines_still_queued() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("operator.toml");
    std::fs::write(&file, LOG_EACH_CONNECTION).expect("written");
    let mut proxy = UnreadProxy::start(true, |command| _ = command.env("ANISEYOKE_FILE", &file));
    (0..LOG_LINES).for_each(|_| _ = Peer::health(proxy.addr));
    proxy.terminate();
    let status = end_within(&mut proxy.child, STEP_TIMEOUT);
    assert_eq!(status.and_then(|status| status.code()), Some(0), "the process did not end");
}

/// Starts a proxy whose address is in use. Returns its exit code, or `None` if it doesn't end.
fn exit_code_of_failed_start(error: impl Into<Stdio>) -> Option<i32> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut config = short_config();
    config["listen"] = json!(listener.local_addr().expect("an address").to_string());
    let (mut child, _) = start_with(&config.to_string(), |command| {
        command.stdout(Stdio::null()).stderr(error);
    });
    let status = end_within(&mut child, STEP_TIMEOUT);
    if status.is_none() {
        let _ = child.kill();
        let _ = child.wait();
    }
    status.and_then(|status| status.code())
}

/// Guards against a failed start that blocks for ever on writing its error.
#[test]
fn a_failed_start_ends_though_its_log_is_not_read() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    fill(&mut writer);
    assert_eq!(exit_code_of_failed_start(writer), Some(1));
}

/// Guards against a command that blocks for ever on writing the error in its command line or file.
#[test]
fn an_invalid_command_ends_with_its_status_though_standard_error_is_not_read() {
    for (arguments, expected) in [(&["--nonsense"][..], 2), (&["config", "check", "/nowhere.toml"], 1)] {
        let (_reader, mut writer) = std::io::pipe().expect("a pipe");
        fill(&mut writer);
        let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke"));
        let mut child =
            command.args(arguments).stdout(Stdio::null()).stderr(writer).spawn().expect("started");
        let status = end_within(&mut child, COMMAND_TIMEOUT);
        let _ = child.kill();
        let _ = child.wait();
        assert_eq!(status.and_then(|status| status.code()), Some(expected), "{arguments:?}");
    }
}

/// Guards against a failed start that panics because it can't write its error.
#[test]
fn a_failed_start_ends_with_its_status_though_the_reader_of_its_log_has_closed_it() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    assert_eq!(exit_code_of_failed_start(writer), Some(1));
}

/// Guards against a failed start that blocks for ever on writing its error to a socket, as set up by a
/// service manager.
#[test]
fn a_failed_start_ends_though_its_log_is_a_socket_that_is_not_read() {
    let (_reader, mut writer) = UnixStream::pair().expect("a pair");
    writer.set_nonblocking(true).expect("set");
    let full = loop {
        if let Err(error) = writer.write(b"\n") {
            break error;
        }
    };
    assert_eq!(full.kind(), ErrorKind::WouldBlock);
    writer.set_nonblocking(false).expect("set");
    assert_eq!(exit_code_of_failed_start(OwnedFd::from(writer)), Some(1));
}

/// Guards against an error of a failed start that is lost because the reader of the log is slow.
#[test]
fn a_failed_start_reports_its_error_to_a_reader_that_begins_late() {
    const LATE: Duration = Duration::from_millis(100);
    let (mut reader, mut writer) = std::io::pipe().expect("a pipe");
    fill(&mut writer);
    let text = std::thread::spawn(move || {
        std::thread::sleep(LATE);
        let mut text = String::new();
        reader.read_to_string(&mut text).expect("text");
        text
    });
    assert_eq!(exit_code_of_failed_start(writer), Some(1));
    let text = text.join().expect("read");
    assert!(text.trim_start().starts_with("aniseyoke: PROXY_LISTEN: "), "{:?}", text.trim_start());
}
