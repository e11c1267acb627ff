//! Tests panics with a standard error that nobody reads. The test binary starts itself as the process that
//! panics.

use std::io::{ErrorKind, Read, Write};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The environment variable that is set for the process that panics.
const PANIC_VARIABLE: &str = "ANISEYOKE_TEST_PANICS";
/// The prefix of the line on standard output that reports the duration of the panic in milliseconds.
const DURATION_PREFIX: &str = "went on after ";
/// The limit on the time that a panic waits for the reader of standard error, on a busy machine.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// The time after which the process is killed.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

/// Panics like a task of a serving thread, whose panic is caught.
#[test]
fn process_that_panics() {
    if std::env::var_os(PANIC_VARIABLE).is_none() {
        return;
    }
    aniseyoke_logging::install_panic_hook();
    let start = Instant::now();
    let panicked = std::panic::catch_unwind(|| panic!("as planned"));
    assert!(panicked.is_err());
    println!("{DURATION_PREFIX}{}", start.elapsed().as_millis());
}

fn command(standard_error: impl Into<Stdio>) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("its path"));
    command.args(["--exact", "process_that_panics", "--nocapture"]).env(PANIC_VARIABLE, "yes");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(standard_error);
    command
}

/// Guards against a serving thread that blocks at a panic because nobody reads the log.
#[test]
fn a_panic_waits_only_milliseconds_for_the_reader_of_standard_error() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    nix::fcntl::fcntl(&writer, nix::fcntl::FcntlArg::F_SETFL(nix::fcntl::OFlag::O_NONBLOCK)).expect("set");
    // A pipe takes a write of up to a page completely or not at all, so that single bytes fill the rest.
    for length in [4096, 1] {
        let full = loop {
            if let Err(error) = writer.write(&[b'\n'; 4096][..length]) {
                break error;
            }
        };
        assert_eq!(full.kind(), ErrorKind::WouldBlock);
    }
    nix::fcntl::fcntl(&writer, nix::fcntl::FcntlArg::F_SETFL(nix::fcntl::OFlag::empty())).expect("set");
    let mut child = command(writer).spawn().expect("started");
    let started = Instant::now();
    while child.try_wait().expect("its status").is_none() && started.elapsed() < PROCESS_TIMEOUT {
        std::thread::sleep(Duration::from_millis(1));
    }
    let _ = child.kill();
    let mut text = String::new();
    child.stdout.take().expect("its output").read_to_string(&mut text).expect("text");
    let _ = child.wait();
    let duration =
        text.split_once(DURATION_PREFIX).and_then(|(_, duration)| duration.lines().next()?.parse().ok());
    let duration = Duration::from_millis(duration.unwrap_or_else(|| panic!("it went on: {text}")));
    assert!(duration < MAX_WAIT, "{duration:?}");
}

/// Guards against a panic that is not logged.
#[test]
fn a_panic_is_printed_with_its_thread_location_and_message() {
    let output = command(Stdio::piped()).output().expect("run");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.starts_with("aniseyoke: thread 'process_that_panics' panicked at "), "{text}");
    assert!(text.contains("tests/panics.rs:") && text.contains("as planned"), "{text}");
}
