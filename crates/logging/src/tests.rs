use super::*;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

/// Sends everything that is written to a channel.
struct ChannelOutput(Sender<String>);

impl Write for ChannelOutput {
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
    let (subscriber, handle) = build(options, ChannelOutput(output)).expect("a thread");
    tracing::subscriber::with_default(subscriber, || body(&handle));
    drop(handle);
    written.into_iter().collect::<String>().lines().map(str::to_owned).collect()
}

#[test]
fn a_plain_line_is_the_program_name_the_message_and_its_fields() {
    let lines = lines_of(&options(Format::Plain, 9, Level::Info), |_| {
        tracing::info!("listening on {}", "127.0.0.1:80");
        tracing::warn!(node = "a", tries = 3, "slow");
        tracing::debug!("not written");
    });
    assert_eq!(lines, ["aniseyoke: listening on 127.0.0.1:80", "aniseyoke: slow node=\"a\" tries=3"]);
}

#[test]
fn a_json_line_is_valid_for_any_message_and_fields() {
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
fn lines_beyond_the_burst_are_suppressed_and_reported_once() {
    let lines = lines_of(&options(Format::Plain, 3, Level::Info), |handle| {
        (0..50).for_each(|n| tracing::info!("again {n}"));
        tracing::info!("another");
        handle.report_suppressed();
        handle.report_suppressed();
    });
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert_eq!(lines[2], "aniseyoke: again 2");
    assert_eq!(lines[3], "aniseyoke: another");
    assert!(lines[4].contains("47 lines from") && lines[4].contains("were suppressed"), "{}", lines[4]);
}

#[test]
fn levels_depend_on_the_target_and_can_be_changed_at_run_time() {
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
fn line_breaks_in_a_message_are_replaced() {
    let lines =
        lines_of(&options(Format::Plain, 9, Level::Info), |_| tracing::info!("{}", "a\r\naniseyoke: forged"));
    assert_eq!(lines, ["aniseyoke: a  aniseyoke: forged"]);
}

/// Blocks until the lock is released.
struct BlockedOutput(std::sync::Arc<Mutex<()>>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        drop(self.0.lock());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against logging that blocks request processing: standard error may be a pipe that nobody reads.
#[test]
fn a_blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let gate = std::sync::Arc::new(Mutex::new(()));
    let guard = gate.lock().expect("free");
    let (subscriber, handle) =
        build(&options(Format::Plain, 100_000, Level::Info), BlockedOutput(gate.clone())).expect("a thread");
    let start = std::time::Instant::now();
    tracing::subscriber::with_default(subscriber, || (0..20_000).for_each(|n| tracing::info!("line {n}")));
    assert!(start.elapsed() < Duration::from_secs(5), "logging must not block");
    assert!(handle.dropped() >= 20_000 - MAX_QUEUED_LINES - 10, "{} dropped", handle.dropped());
    drop(guard);
}

/// Records the thread that writes each line, and accepts a limited number of lines.
struct LimitedOutput {
    written: Sender<(std::thread::ThreadId, String)>,
    remaining: usize,
}

impl Write for LimitedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let Some(remaining) = self.remaining.checked_sub(1) else {
            return Err(std::io::ErrorKind::WouldBlock.into());
        };
        self.remaining = remaining;
        let line = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.written.send((std::thread::current().id(), line));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a startup that hangs before its first line is written.
#[test]
fn first_lines_are_written_by_the_calling_thread_and_unwritten_ones_are_returned_in_order() {
    let (written, lines) = channel();
    let out = LimitedOutput { written, remaining: 2 };
    let not_written = early::write_lines_directly(&options(Format::Plain, 9, Level::Info), out, || {
        (1..=4).for_each(|n| tracing::info!("line {n}"));
        tracing::debug!("not logged at this level");
    });
    let this = std::thread::current().id();
    let expected = [(this, "aniseyoke: line 1\n".to_owned()), (this, "aniseyoke: line 2\n".to_owned())];
    assert_eq!(lines.into_iter().collect::<Vec<_>>(), expected);
    assert_eq!(not_written, ["aniseyoke: line 3\n", "aniseyoke: line 4\n"]);
}

/// Guards against a shutdown that waits for a log that nobody reads until the process is killed.
#[test]
fn a_blocked_output_delays_shutdown_at_most_until_the_close_deadline() {
    for deadline in
        [None, Some(Duration::ZERO), Some(Duration::from_millis(90)), Some(Duration::from_secs(60))]
    {
        let gate = std::sync::Arc::new(Mutex::new(()));
        let guard = gate.lock().expect("free");
        let (subscriber, handle) =
            build(&options(Format::Plain, 9, Level::Info), BlockedOutput(gate.clone())).expect("a thread");
        tracing::subscriber::with_default(subscriber, || tracing::info!("not written"));
        let start = Instant::now();
        if let Some(after) = deadline {
            handle.set_close_deadline(start + after);
        }
        drop(handle);
        let bound = deadline.unwrap_or(MAX_CLOSE_WAIT).clamp(MIN_CLOSE_WAIT, MAX_CLOSE_WAIT);
        assert!(start.elapsed() >= bound, "{:?} of {bound:?}", start.elapsed());
        assert!(start.elapsed() < bound + Duration::from_millis(700), "{:?} of {bound:?}", start.elapsed());
        drop(guard);
    }
}

/// Guards against lines that are lost at shutdown when the log thread lags behind.
#[test]
fn close_writes_all_queued_lines_and_later_lines_are_dropped() {
    let (output, written) = channel();
    let queue = LineQueue::start(MAX_QUEUED_LINES, ChannelOutput(output)).expect("a thread");
    for n in 0..MAX_QUEUED_LINES {
        queue.write_line(&format!("line {n}\n"));
    }
    queue.close(Duration::from_secs(30));
    queue.write_line("too late\n");
    assert_eq!(queue.dropped(), 1);
    let expected: Vec<String> = (0..MAX_QUEUED_LINES).map(|n| format!("line {n}\n")).collect();
    assert_eq!(written.try_iter().collect::<Vec<_>>(), expected);
}

/// Guards against a line that does not wake the log thread, which waits without a timeout.
#[test]
fn a_line_is_written_while_the_queue_stays_open() {
    let (output, written) = channel();
    let queue = LineQueue::start(MAX_QUEUED_LINES, ChannelOutput(output)).expect("a thread");
    for n in 0..100 {
        queue.write_line(&format!("line {n}\n"));
        assert_eq!(written.recv_timeout(Duration::from_secs(30)).expect("written"), format!("line {n}\n"));
    }
}

/// Panics at the first line.
struct PanickingOutput;

impl Write for PanickingOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        panic!("as planned");
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a shutdown that waits for a thread that has ended.
#[test]
fn a_queue_whose_thread_has_panicked_closes_at_once() {
    let queue = LineQueue::start(MAX_QUEUED_LINES, PanickingOutput).expect("a thread");
    queue.write_line("line\n");
    let start = Instant::now();
    queue.close(Duration::from_secs(60));
    assert!(start.elapsed() < Duration::from_secs(30), "{:?}", start.elapsed());
}
