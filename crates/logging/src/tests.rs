use super::*;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

/// Passes on what is written to it.
struct Output(Sender<String>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn options(format: Format, burst: u32, all: Level) -> Options {
    let levels = Levels { all, targets: vec![("loud".into(), Level::Trace)] };
    Options { format, rate_limit: RateLimit { burst, per_second: 1 }, levels }
}

fn lines_of(options: &Options, body: impl FnOnce(&LogHandle)) -> Vec<String> {
    let (output, written): (_, Receiver<String>) = channel();
    let (subscriber, handle) = build(options, Output(output)).expect("a thread");
    tracing::subscriber::with_default(subscriber, || body(&handle));
    drop(handle);
    written.into_iter().collect::<String>().lines().map(str::to_owned).collect()
}

#[test]
fn a_plain_line_is_the_message_after_the_name() {
    let lines = lines_of(&options(Format::Plain, 9, Level::Info), |_| {
        tracing::info!("listening on {}", "127.0.0.1:80");
        tracing::warn!(node = "a", tries = 3, "slow");
        tracing::debug!("not written");
    });
    assert_eq!(lines, ["aniseyoke: listening on 127.0.0.1:80", "aniseyoke: slow node=\"a\" tries=3"]);
}

#[test]
fn a_json_line_can_be_read_whatever_was_put_in_it() {
    let lines = lines_of(&options(Format::Json, 9, Level::Info), |_| {
        tracing::info!(name = "a \"quoted\"\nthing", level = "forged", "of {}", "two\nlines");
        tracing::info!("{}", "x".repeat(1 << 20));
    });
    let read = |n: usize| serde_json::from_str::<serde_json::Value>(&lines[n]).expect("JSON");
    assert_eq!(lines.len(), 2);
    assert_eq!(
        (read(0)["level"].as_str(), read(0)["message"].as_str()),
        (Some("info"), Some("of two\nlines"))
    );
    assert!(read(0)["time"].as_str().is_some_and(|t| t.ends_with('Z')));
    assert!(lines[1].len() <= MAX_LINE_BYTES && read(1)["message"].as_str().is_some());
}

#[test]
fn a_line_that_repeats_is_written_for_a_while_and_then_counted() {
    let lines = lines_of(&options(Format::Plain, 3, Level::Info), |handle| {
        (0..50).for_each(|n| tracing::info!("again {n}"));
        tracing::info!("another");
        handle.report_suppressed();
        handle.report_suppressed();
    });
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert_eq!(lines[2], "aniseyoke: again 2");
    assert_eq!(lines[3], "aniseyoke: another");
    assert!(lines[4].contains("47 lines from") && lines[4].contains("left out"), "{}", lines[4]);
}

#[test]
fn levels_can_change_while_the_log_runs_and_depend_on_the_target() {
    let lines = lines_of(&options(Format::Plain, 9, Level::Warn), |handle| {
        tracing::info!("one");
        tracing::trace!(target: "loud::part", "two");
        handle.set_levels(&Levels { all: Level::Debug, targets: vec![("loud".into(), Level::Off)] });
        tracing::debug!("three");
        tracing::error!(target: "loud", "four");
    });
    assert_eq!(lines, ["aniseyoke: two", "aniseyoke: three"]);
}

#[test]
fn text_of_others_stays_on_one_line() {
    let lines =
        lines_of(&options(Format::Plain, 9, Level::Info), |_| tracing::info!("{}", "a\r\naniseyoke: forged"));
    assert_eq!(lines, ["aniseyoke: a  aniseyoke: forged"]);
}

/// Blocks until the lock is released.
struct Blocked(std::sync::Arc<Mutex<()>>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        drop(self.0.lock());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a log that holds up serving: standard error may be a pipe that nobody reads.
#[test]
fn an_output_that_blocks_delays_nobody_and_dropped_lines_are_counted() {
    let gate = std::sync::Arc::new(Mutex::new(()));
    let held = gate.lock().expect("free");
    let (subscriber, handle) =
        build(&options(Format::Plain, 100_000, Level::Info), Blocked(gate.clone())).expect("a thread");
    let start = std::time::Instant::now();
    tracing::subscriber::with_default(subscriber, || (0..20_000).for_each(|n| tracing::info!("line {n}")));
    assert!(start.elapsed() < Duration::from_secs(5), "it did not wait");
    assert!(handle.dropped() >= 20_000 - MAX_QUEUED_LINES - 10, "{} dropped", handle.dropped());
    drop(held);
}

/// Notes which thread writes each line, and takes only so many lines.
struct FirstLines {
    written: Sender<(std::thread::ThreadId, String)>,
    room: usize,
}

impl Write for FirstLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let Some(room) = self.room.checked_sub(1) else { return Err(std::io::ErrorKind::WouldBlock.into()) };
        self.room = room;
        let line = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.written.send((std::thread::current().id(), line));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a start that gets stuck before its first line is written.
#[test]
fn first_lines_are_written_by_the_calling_thread_and_what_did_not_fit_is_returned_in_order() {
    let (written, lines) = channel();
    let out = FirstLines { written, room: 2 };
    let not_written = early::write_lines_of(&options(Format::Plain, 9, Level::Info), out, || {
        (1..=4).for_each(|n| tracing::info!("line {n}"));
        tracing::debug!("not logged at this level");
    });
    let this = std::thread::current().id();
    let expected = [(this, "aniseyoke: line 1\n".to_owned()), (this, "aniseyoke: line 2\n".to_owned())];
    assert_eq!(lines.into_iter().collect::<Vec<_>>(), expected);
    assert_eq!(not_written, ["aniseyoke: line 3\n", "aniseyoke: line 4\n"]);
}

/// Guards against an end that waits for a log that nobody reads until the process is killed.
#[test]
fn an_output_that_blocks_holds_the_end_up_no_longer_than_until_the_time_that_was_set() {
    for deadline in
        [None, Some(Duration::ZERO), Some(Duration::from_millis(90)), Some(Duration::from_secs(60))]
    {
        let gate = std::sync::Arc::new(Mutex::new(()));
        let held = gate.lock().expect("free");
        let (subscriber, handle) =
            build(&options(Format::Plain, 9, Level::Info), Blocked(gate.clone())).expect("a thread");
        tracing::subscriber::with_default(subscriber, || tracing::info!("not written"));
        let start = Instant::now();
        if let Some(after) = deadline {
            handle.set_close_deadline(start + after);
        }
        drop(handle);
        let bound = deadline.unwrap_or(MAX_CLOSE_WAIT).clamp(MIN_CLOSE_WAIT, MAX_CLOSE_WAIT);
        assert!(start.elapsed() >= bound, "{:?} of {bound:?}", start.elapsed());
        assert!(start.elapsed() < bound + Duration::from_millis(700), "{:?} of {bound:?}", start.elapsed());
        drop(held);
    }
}

/// Guards against lines that are lost at the end of a log whose thread is behind.
#[test]
fn all_lines_in_the_queue_are_written_before_the_end_and_none_after_it() {
    let (output, written) = channel();
    let queue = LineQueue::start(MAX_QUEUED_LINES, Output(output)).expect("a thread");
    for n in 0..MAX_QUEUED_LINES {
        queue.write_line(&format!("line {n}\n"));
    }
    queue.close(Duration::from_secs(30));
    queue.write_line("too late\n");
    assert_eq!(queue.dropped(), 1);
    let expected: Vec<String> = (0..MAX_QUEUED_LINES).map(|n| format!("line {n}\n")).collect();
    assert_eq!(written.try_iter().collect::<Vec<_>>(), expected);
}

/// Guards against a line that wakes nobody: the writing thread waits without a limit.
#[test]
fn a_line_is_written_while_the_queue_stays_open() {
    let (output, written) = channel();
    let queue = LineQueue::start(MAX_QUEUED_LINES, Output(output)).expect("a thread");
    for n in 0..100 {
        queue.write_line(&format!("line {n}\n"));
        assert_eq!(written.recv_timeout(Duration::from_secs(30)).expect("written"), format!("line {n}\n"));
    }
}

/// Panics at the first line.
struct Panicking;

impl Write for Panicking {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        panic!("as planned");
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against an end that waits for a thread that is gone.
#[test]
fn a_queue_whose_thread_has_panicked_closes_at_once() {
    let queue = LineQueue::start(MAX_QUEUED_LINES, Panicking).expect("a thread");
    queue.write_line("line\n");
    let start = Instant::now();
    queue.close(Duration::from_secs(60));
    assert!(start.elapsed() < Duration::from_secs(30), "{:?}", start.elapsed());
}
