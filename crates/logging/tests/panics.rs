//! A panic with a standard error that nobody reads. The test starts itself as the process that panics.

use std::io::{ErrorKind, Read, Write};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Set for the process that panics.
const PANICS: &str = "ANISEYOKE_TEST_PANICS";
/// What it prints on standard output after so many milliseconds of its panic.
const AFTER: &str = "went on after ";
/// A panic may wait for the reader of standard error for less than this, on a busy machine.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// The process is given up after this time.
const LONG: Duration = Duration::from_secs(20);

/// Panics as a task of the serving thread does, whose panic is caught.
#[test]
fn process_that_panics() {
    if std::env::var_os(PANICS).is_none() {
        return;
    }
    aniseyoke_logging::install_panic_hook();
    let start = Instant::now();
    let panicked = std::panic::catch_unwind(|| panic!("as planned"));
    assert!(panicked.is_err());
    println!("{AFTER}{}", start.elapsed().as_millis());
}

fn command(standard_error: impl Into<Stdio>) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("its path"));
    command.args(["--exact", "process_that_panics", "--nocapture"]).env(PANICS, "yes");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(standard_error);
    command
}

/// Guards against a thread that stops serving at a panic, since nobody reads the log.
#[test]
fn a_panic_waits_no_longer_than_milliseconds_for_a_reader_of_standard_error() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    nix::fcntl::fcntl(&writer, nix::fcntl::FcntlArg::F_SETFL(nix::fcntl::OFlag::O_NONBLOCK)).expect("set");
    // A write of up to a page is made whole or not at all, so that single bytes fill what is left.
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
    while child.try_wait().expect("its status").is_none() && started.elapsed() < LONG {
        std::thread::sleep(Duration::from_millis(1));
    }
    let _ = child.kill();
    let mut text = String::new();
    child.stdout.take().expect("its output").read_to_string(&mut text).expect("text");
    let _ = child.wait();
    let after = text.split_once(AFTER).and_then(|(_, after)| after.lines().next()?.parse().ok());
    let after = Duration::from_millis(after.unwrap_or_else(|| panic!("it went on: {text}")));
    assert!(after < MAX_WAIT, "{after:?}");
}

/// Guards against a panic of which the log says nothing.
#[test]
fn a_panic_is_told_with_its_thread_place_and_message() {
    let output = command(Stdio::piped()).output().expect("run");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.starts_with("aniseyoke: thread 'process_that_panics' panicked at "), "{text}");
    assert!(text.contains("tests/panics.rs:") && text.contains("as planned"), "{text}");
}
