//! A process that is held up for 0.15 s between reading its clock and what it does next, whichever reading that is: nothing
//! is written for a client that has left, and no repeat behind its window.

mod held;
mod rig;

use held::*;
use rig::*;
use serde_json::json;
use socket2::SockRef;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// From so long after a client has left nothing is sent on for it.
const TERM: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Closes,
    Resets,
}

/// How long after its client had left a request came to a node, if that was after more than the term.
fn left_while_held_up(site: &Site, way: Way, at_origin: bool, hold: impl FnOnce(&Site)) -> Option<Duration> {
    let mut client = site.client();
    let before = site.faults.forced("held");
    hold(site);
    client.write(&get_as(&marked_id(), "read", "X-Time-Left: 5\r\n"));
    until("it is held up", || site.faults.forced("held") > before);
    if way == Way::Resets {
        SockRef::from(client.0.get_ref()).set_linger(Some(Duration::ZERO)).expect("lingering");
    }
    drop(client);
    let left = Instant::now();
    sleep(DELAY + TERM);
    site.clear_faults();
    let came = site
        .origin
        .received
        .try_iter()
        .chain(site.caches.iter().filter(|_| !at_origin).flat_map(|c| c.received.try_iter()));
    let late: Vec<_> = came.filter_map(|came| came.received_at.checked_duration_since(left)).collect();
    // What a cache node got is of no interest there.
    site.received().for_each(drop);
    late.into_iter().max().filter(|late| *late > TERM)
}

fn judge_left(rows: &[((u64, Way), Option<Duration>)], what: &str) {
    let late: Vec<_> = rows.iter().filter(|(_, late)| late.is_some()).collect();
    let latest = late.iter().filter_map(|(_, late)| *late).max();
    println!("{what}: {} of {} cases begun late, at most {latest:?} after the close", late.len(), rows.len());
    assert!(late.is_empty(), "{late:?}");
}

/// Danger: the look at the client and the write are two calls, and a process that is held up between them writes for
/// nobody.
#[test]
fn nothing_is_begun_for_a_client_that_left_while_the_process_was_held_up() {
    let cases = |most| -> Vec<(u64, Way)> {
        (1..=most).flat_map(|n| [Way::Closes, Way::Resets].map(|way| (n, way))).collect()
    };
    let new = sweep(
        &cases(24),
        || site(&[NodeBehavior::Hangs], NodeBehavior::Hangs, |_| {}),
        |site, (n, way)| left_while_held_up(site, *way, false, |site| site.delay_readings(&[*n])),
    );
    judge_left(&new, "on a new connection");
    let pooled = sweep(
        &cases(24),
        || site(&[NodeBehavior::Misses], NodeBehavior::Misses, |_| {}),
        |site, (n, way)| {
            // One request leaves a connection to each.
            let mut client = site.client();
            client.ask("read", "");
            client.answer();
            site.received().for_each(drop);
            left_while_held_up(site, *way, false, |site| site.delay_readings(&[*n]))
        },
    );
    judge_left(&pooled, "on a connection from the pool");
    let origin = sweep(
        &cases(16),
        || site(&[NodeBehavior::Misses], NodeBehavior::Hangs, |_| {}),
        |site, (n, way)| {
            left_while_held_up(site, *way, true, |site| site.delay_readings_from_marked_request(&[*n]))
        },
    );
    judge_left(&origin, "at the origin");
}

/// How long nodes know a repeat.
const WINDOW: Duration = Duration::from_millis(1000);
/// When a node ends the first attempt: long before, and soon before the decisions take the window for over.
const BREAKS: [u64; 2] = [500, 780];

/// How long after the first attempt the last repeat of it came; nothing if none came.
fn repeated(site: &Site, breaks: Duration, readings: &[u64]) -> Option<Duration> {
    let mut client = site.client();
    site.earn_retry(&mut client);
    let (faults, plan) = (site.faults.clone(), delays_after_readings(readings));
    // On the node's own thread, so that only one writes the plan at a time. The readings are counted from here on.
    let then_ends = move || {
        sleep(breaks);
        faults.change(&plan).expect("written");
    };
    site.origin.on_marked_request.lock().expect("whole").replace(Box::new(then_ends));
    let id = marked_id();
    client.write(&format!(
        "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: {id}\r\n\
         Content-Length: 1\r\n\r\nx"
    ));
    client.answer();
    site.clear_faults();
    let at_caches = site.caches.iter().flat_map(|cache| cache.received.try_iter()).count();
    assert_eq!(at_caches, 0, "a write goes to the origin");
    let came: Vec<ReceivedRequest> = site.origin.received.try_iter().collect();
    assert!(came.iter().all(|came| came.id == id));
    let first = came.iter().map(|came| came.received_at).min().expect("one attempt");
    came.iter().map(|came| came.received_at - first).max().filter(|after| !after.is_zero())
}

/// Danger: a repeat whose writing is held up runs twice.
#[test]
fn a_repeat_that_is_held_up_is_not_written_after_its_window() {
    let cases: Vec<_> =
        BREAKS.into_iter().flat_map(|at| reading_pairs(16).into_iter().map(move |pair| (at, pair))).collect();
    let rows = sweep_with_fresh_sites(
        &cases,
        || {
            site(&[NodeBehavior::Hits], NodeBehavior::Breaks(Duration::ZERO), |config| {
                let window = u64::try_from(WINDOW.as_nanos()).expect("short");
                config["settings"]["categories"][1]["dedup_window_ns"] = json!(window);
            })
        },
        |site, (at, readings)| repeated(site, Duration::from_millis(*at), readings),
    );
    for at in BREAKS {
        let of_these: Vec<_> = rows.iter().filter(|((breaks, _), _)| *breaks == at).collect();
        let repeats = of_these.iter().filter_map(|(_, after)| *after);
        println!(
            "ended after {at} ms: {} cases, {} repeats, the last {:?} after the first",
            of_these.len(),
            repeats.clone().count(),
            repeats.max()
        );
    }
    let late: Vec<_> = rows.iter().filter(|(_, after)| after.is_some_and(|after| after > WINDOW)).collect();
    assert!(late.is_empty(), "{} came after {WINDOW:?}: {late:?}", late.len());
    let repeats = rows.iter().filter(|(_, after)| after.is_some()).count();
    assert!(repeats * 3 > rows.len(), "hardly any repeat was begun: {repeats} of {}", rows.len());
}
