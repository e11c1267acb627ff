use super::*;

const STEP: Duration = Duration::from_millis(10);

fn progress(read: u64, unread: u64, missing: Option<u64>) -> UploadProgress {
    UploadProgress { read, unread, missing }
}

/// Guards against a slow client whose time begins before it has written its body.
#[test]
fn the_time_does_not_begin_while_all_that_arrives_is_read() {
    let start = Instant::now();
    let mut clock = UploadClock::new(start);
    let mut unwritten_at = start;
    for step in 1..200 {
        unwritten_at = clock.observe(start + STEP * step, progress(100 * u64::from(step), 0, Some(5)));
    }
    assert_eq!(unwritten_at, start + STEP * 198);
}

/// Guards against a body that waits in its client's machine and has no time limit.
#[test]
fn the_time_begins_when_bytes_wait() {
    let start = Instant::now();
    let mut clock = UploadClock::new(start);
    for step in 1..200 {
        // Now and then all is read; what waited for the window arrives some time after that.
        let unread = if step % 8 == 0 { 0 } else { 90_000 };
        let at = clock.observe(start + STEP * step, progress(1000 * u64::from(step), unread, None));
        assert_eq!(at, start);
    }
}

/// Guards against a slow client whose request is given up while a node has stopped reading for a moment.
#[test]
fn bytes_that_go_on_arriving_while_nothing_is_read_postpone_the_time() {
    let start = Instant::now();
    let mut clock = UploadClock::new(start);
    let mut unwritten_at = start;
    for step in 1..=90 {
        // A piece of 2 kB every 30 ms.
        unwritten_at = clock.observe(start + STEP * step, progress(5000, 2000 * u64::from(step / 3), None));
    }
    assert_eq!(unwritten_at, start + STEP * 89);
    // Then the window is full.
    assert_eq!(clock.observe(start + STEP * 200, progress(5000, 60_000, None)), unwritten_at);
}

/// Guards against a long body that is given up although its client can't have written it.
#[test]
fn the_time_does_not_begin_before_the_client_can_have_written_the_body() {
    let start = Instant::now();
    let mut clock = UploadClock::new(start);
    let at = clock.observe(start + STEP, progress(0, 9, Some(MAX_CLIENT_BUFFER_BYTES + 1)));
    assert_eq!(at, start + STEP);
    assert_eq!(clock.observe(start + 2 * STEP, progress(1, 9, Some(MAX_CLIENT_BUFFER_BYTES))), start + STEP);
}

/// Guards against a long chunked body that is given up although its client goes on writing.
#[test]
fn bytes_that_the_client_can_not_have_written_before_postpone_the_time() {
    const RATE: u64 = 100_000;
    let start = Instant::now();
    let mut clock = UploadClock::new(start);
    let steps = u32::try_from(3 * MAX_CLIENT_BUFFER_BYTES / RATE).expect("a number");
    let mut unwritten_at = start;
    for step in 1..=steps {
        unwritten_at = clock.observe(start + STEP * step, progress(RATE * u64::from(step), 90_000, None));
    }
    // What arrives within this time is more than waits in the client's machine.
    let behind = start + STEP * steps - unwritten_at;
    let held = STEP * u32::try_from((MAX_CLIENT_BUFFER_BYTES + 2 * SAMPLE_BYTES) / RATE).expect("a number");
    assert!(behind <= held, "{behind:?}");
    assert!(clock.samples.len() as u64 <= MAX_CLIENT_BUFFER_BYTES / SAMPLE_BYTES + 2);
}
