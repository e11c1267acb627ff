//! A process that is delayed for 0.15 s after any of its clock readings writes no request for a client that
//! has disconnected, and no retry after its deduplication window.

mod held;
mod rig;

use held::*;
use rig::*;
use serde_json::json;
use socket2::SockRef;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time after a client's disconnect from which no request is forwarded for it.
const MAX_FORWARD_DELAY: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Closes,
    Resets,
}

/// Returns how long after its client's disconnect a request reached a node, if later than
/// [`MAX_FORWARD_DELAY`].
fn late_request(
    site: &Site,
    disconnect: Disconnect,
    at_origin: bool,
    add_delay: impl FnOnce(&Site),
) -> Option<Duration> {
    let mut client = site.client();
    let before = site.faults.forced("held");
    add_delay(site);
    client.write(&get_as(&marked_id(), "read", "X-Time-Left: 5\r\n"));
    until("the process is delayed", || site.faults.forced("held") > before);
    if disconnect == Disconnect::Resets {
        SockRef::from(client.0.get_ref()).set_linger(Some(Duration::ZERO)).expect("lingering");
    }
    drop(client);
    let disconnected_at = Instant::now();
    sleep(DELAY + MAX_FORWARD_DELAY);
    site.clear_faults();
    let received = site
        .origin
        .received
        .try_iter()
        .chain(site.caches.iter().filter(|_| !at_origin).flat_map(|c| c.received.try_iter()));
    let late: Vec<_> = received
        .filter_map(|received| received.received_at.checked_duration_since(disconnected_at))
        .collect();
    // Requests that cache nodes got don't matter if `at_origin` is set.
    site.received().for_each(drop);
    late.into_iter().max().filter(|late| *late > MAX_FORWARD_DELAY)
}

fn assert_none_late(rows: &[((u64, Disconnect), Option<Duration>)], what: &str) {
    let late: Vec<_> = rows.iter().filter(|(_, late)| late.is_some()).collect();
    let max_delay = late.iter().filter_map(|(_, late)| *late).max();
    println!(
        "{what}: {} of {} cases forwarded late, at most {max_delay:?} after the close",
        late.len(),
        rows.len()
    );
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against a delay between the check for the client's disconnect and the write, which are two calls,
/// so that a request is written although its client is gone.
#[test]
fn no_attempt_begins_for_a_client_that_disconnected_while_the_process_was_delayed() {
    let cases = |max| -> Vec<(u64, Disconnect)> {
        (1..=max)
            .flat_map(|n| [Disconnect::Closes, Disconnect::Resets].map(|disconnect| (n, disconnect)))
            .collect()
    };
    let new = sweep(
        &cases(24),
        || site(&[NodeBehavior::Hangs], NodeBehavior::Hangs, |_| {}),
        |site, (n, disconnect)| late_request(site, *disconnect, false, |site| site.delay_readings(&[*n])),
    );
    assert_none_late(&new, "on a new connection");
    let pooled = sweep(
        &cases(24),
        || site(&[NodeBehavior::Misses], NodeBehavior::Misses, |_| {}),
        |site, (n, disconnect)| {
            // One request leaves a pooled connection to each node.
            let mut client = site.client();
            client.ask("read", "");
            client.answer();
            site.received().for_each(drop);
            late_request(site, *disconnect, false, |site| site.delay_readings(&[*n]))
        },
    );
    assert_none_late(&pooled, "on a connection from the pool");
    let origin = sweep(
        &cases(16),
        || site(&[NodeBehavior::Misses], NodeBehavior::Hangs, |_| {}),
        |site, (n, disconnect)| {
            late_request(site, *disconnect, true, |s| s.delay_readings_from_marked_request(&[*n]))
        },
    );
    assert_none_late(&origin, "at the origin");
}

/// Deduplication window of the nodes.
const DEDUP_WINDOW: Duration = Duration::from_millis(1000);
/// Times in ms after which a node breaks the first attempt: long before and shortly before the proxy takes
/// the window for over.
const BREAK_TIMES_MS: [u64; 2] = [500, 780];

/// Returns how long after the first attempt its last retry arrived, or `None` without a retry.
fn last_retry_time(site: &Site, break_time: Duration, readings: &[u64]) -> Option<Duration> {
    let mut client = site.client();
    site.earn_retry(&mut client);
    let (faults, plan) = (site.faults.clone(), delays_after_readings(readings));
    // Runs on the node's own thread, so that only one thread writes the plan at a time. The readings are
    // counted from here on.
    let wait_and_delay = move || {
        sleep(break_time);
        faults.change(&plan).expect("written");
    };
    site.origin.on_marked_request.lock().expect("whole").replace(Box::new(wait_and_delay));
    let id = marked_id();
    client.write(&format!(
        "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: {id}\r\n\
         Content-Length: 1\r\n\r\nx"
    ));
    client.answer();
    site.clear_faults();
    let at_caches = site.caches.iter().flat_map(|cache| cache.received.try_iter()).count();
    assert_eq!(at_caches, 0, "a write goes to the origin");
    let received: Vec<ReceivedRequest> = site.origin.received.try_iter().collect();
    assert!(received.iter().all(|received| received.id == id));
    let first = received.iter().map(|received| received.received_at).min().expect("one attempt");
    received.iter().map(|received| received.received_at - first).max().filter(|after| !after.is_zero())
}

/// Guards against a retry whose write is delayed beyond the deduplication window and which so runs twice.
#[test]
fn a_delayed_retry_is_not_written_after_its_deduplication_window() {
    let cases: Vec<_> = BREAK_TIMES_MS
        .into_iter()
        .flat_map(|break_time_ms| reading_pairs(16).into_iter().map(move |pair| (break_time_ms, pair)))
        .collect();
    let rows = sweep_with_fresh_sites(
        &cases,
        || {
            site(&[NodeBehavior::Hits], NodeBehavior::Breaks(Duration::ZERO), |config| {
                let window = u64::try_from(DEDUP_WINDOW.as_nanos()).expect("short");
                config["settings"]["categories"][1]["dedup_window_ns"] = json!(window);
            })
        },
        |site, (break_time_ms, readings)| {
            last_retry_time(site, Duration::from_millis(*break_time_ms), readings)
        },
    );
    for break_time_ms in BREAK_TIMES_MS {
        let of_these: Vec<_> =
            rows.iter().filter(|((break_time, _), _)| *break_time == break_time_ms).collect();
        let retries = of_these.iter().filter_map(|(_, after)| *after);
        println!(
            "broken after {break_time_ms} ms: {} cases, {} retries, the last {:?} after the first attempt",
            of_these.len(),
            retries.clone().count(),
            retries.max()
        );
    }
    let late: Vec<_> =
        rows.iter().filter(|(_, after)| after.is_some_and(|after| after > DEDUP_WINDOW)).collect();
    assert!(late.is_empty(), "{} arrived after {DEDUP_WINDOW:?}: {late:?}", late.len());
    let retries = rows.iter().filter(|(_, after)| after.is_some()).count();
    assert!(retries * 3 > rows.len(), "hardly any retry was made: {retries} of {}", rows.len());
}
