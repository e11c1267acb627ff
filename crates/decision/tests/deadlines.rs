//! Requests with little time left: those of impatient clients are distinguished from late retries by how many
//! requests share a time left, and by the fraction of requests that is answered within it.

mod common;

use aniseyoke_decision::api::*;
use common::*;

const USUAL: Nanos = 450 * MS;

/// Simulates one proxy of many that gets `impatient` requests with `left` as the time left for each usual
/// request. An attempt is answered after `answer`, or times out after the time left. Returns the numbers of
/// sent and of all requests, for usual and for impatient ones.
fn among_impatient(seed: u64, impatient: u64, left: Nanos, answer: Nanos) -> [(u64, u64); 2] {
    let mut p = Proxy::new(Settings { proxies: 300, max_retry_after: SECOND, ..settings() }, seed);
    p.list(ListKind::Cached, entries(0..10));
    let (mut counts, mut out) = ([(0, 0); 2], Vec::new());
    for n in 0..600u64 {
        p.now += 20 * MS;
        let due: Vec<_> =
            out.extract_if(.., |(at, ..): &mut (Nanos, RequestId, ServerId, Nanos)| *at <= p.now).collect();
        for (_, id, server, elapsed) in due {
            if elapsed < answer {
                p.end_after(id, 0, server, Status::Timeout, None, elapsed);
            } else {
                p.end_after(id, 0, server, Status::Ok, Some(true), elapsed);
            }
        }
        // The first 3 s have only usual requests.
        let is_impatient = n >= 150 && n % (impatient + 1) != 0;
        let remaining = if is_impatient { left } else { USUAL };
        let key = Some((seed * 1_000_003 + n) * 7919);
        let (id, actions) = p.submit(Request { key, remaining, ..Request::default() });
        let counted = &mut counts[usize::from(is_impatient)];
        if n >= 300 {
            counted.1 += 1;
        }
        if let Some(server) = sent(&actions) {
            if n >= 300 {
                counted.0 += 1;
            }
            let takes = answer.min(remaining);
            out.push((p.now + takes, id, server, takes));
        }
    }
    counts
}

/// The fractions of usual and of impatient requests that are sent, over 60 proxies.
fn over_a_fleet(impatient: u64, left: Nanos, answer: Nanos) -> [f64; 2] {
    let mut sums = [(0, 0); 2];
    for seed in 0..60 {
        for (sum, one) in sums.iter_mut().zip(among_impatient(seed, impatient, left, answer)) {
            *sum = (sum.0 + one.0, sum.1 + one.1);
        }
    }
    sums.map(|(sent, total)| sent as f64 / total as f64)
}

#[test]
fn usual_requests_are_sent_while_impatient_ones_outnumber_them() {
    // Guards against taking the time left of most requests for the usual one: with five impatient requests
    // for each usual one, the usual ones looked like late retries past their latency objective, and the fleet
    // rejected six in ten unsent.
    let [usual, _] = over_a_fleet(5, 60 * MS, 100 * MS);
    assert!(usual > 0.97, "{usual} of the usual requests are sent");
}

#[test]
fn impatient_requests_are_sent_only_while_answers_arrive_within_their_time_left() {
    // Guards against wasted work: each attempt that is cut off costs work at a server and a connection, and
    // its client retries at once.
    let [_, quick] = over_a_fleet(5, 60 * MS, 30 * MS);
    assert!(quick > 0.9, "{quick} are sent while answers take half of their time");
    let [_, slow] = over_a_fleet(5, 60 * MS, 100 * MS);
    assert!(slow < 0.1, "{slow} are sent while none can be answered");
}

#[test]
fn impatient_requests_without_an_answer_do_not_count_against_servers() {
    // Guards against counting them as late answers: admission then rejected a third of all requests,
    // including usual ones.
    let [usual, _] = over_a_fleet(2, 60 * MS, 70 * MS);
    assert!(usual > 0.97, "{usual} of the usual requests are sent");
}

#[test]
fn a_time_left_above_the_usual_one_sets_the_age_of_the_request() {
    // Guards against taking a client's last attempt, which is past its latency objective, for a request with
    // much time.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    let submit = |p: &mut Proxy, remaining| {
        p.now += 20 * MS;
        let request = Request { key: Some(p.now * 31), remaining, ..Request::default() };
        let (id, actions) = p.submit(request);
        let server = sent(&actions);
        if let Some(server) = server {
            p.end(id, 0, server, Status::Ok, Some(true));
        }
        let timeout = actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        });
        (server.is_some(), timeout)
    };
    for _ in 0..100 {
        assert!(submit(&mut p, USUAL).0);
    }
    // 700 ms are left of 800: 100 ms have passed of the latency objective of 300.
    assert_eq!(submit(&mut p, 700 * MS), (true, Some(200 * MS)));
    // 490 ms left: 310 ms have passed, more than the latency objective, so that an answer has no value.
    assert!(!submit(&mut p, 490 * MS).0);
}

#[test]
fn a_time_left_below_the_usual_one_makes_a_request_a_late_retry_only_if_it_is_marked() {
    // Guards against rejecting every request of a client with a short deadline, however fast answers are.
    for (clients_mark_retries, retry, served) in
        [(true, false, true), (false, false, true), (true, true, false)]
    {
        let mut p = Proxy::with_list(Settings { clients_mark_retries, ..settings() }, entries(0..10));
        p.background_traffic(0..100);
        let short = Request { key: Some(4711), remaining: 250 * MS, retry, ..Request::default() };
        assert_eq!(
            sent(&p.submit(short).1).is_some(),
            served,
            "clients_mark_retries: {clients_mark_retries}, retry: {retry}"
        );
    }
}

#[test]
fn clients_that_leave_before_their_latency_objective_do_not_count_against_servers() {
    // Guards against counting them as late answers: a tenth of all requests was then rejected unsent with all
    // servers idle.
    let mut unsent = 0;
    for seed in 0..60 {
        let mut p = Proxy::new(settings(), seed);
        p.list(ListKind::Cached, entries(0..10));
        for n in 0..200u64 {
            p.now += 20 * MS;
            let key = (seed * 1_000_003 + n) * 7919;
            let (id, actions) = p.request(key);
            let Some(server) = sent(&actions) else {
                unsent += 1;
                continue;
            };
            p.now += 15 * MS;
            if n % 5 < 2 {
                p.event(Event::ClientLeft(id));
            } else {
                p.end(id, 0, server, Status::Ok, Some(true));
            }
        }
    }
    assert_eq!(unsent, 0, "of 12,000 requests rejected unsent");
}
