//! Clients that give their requests less time than others, and the rest of a longer wait: told apart by how many share a
//! time left, and by what part of all requests is answered so soon.

mod common;

use aniseyoke_decision::api::*;
use common::*;

const USUAL: Nanos = 450 * MS;

/// A proxy of many at which `impatient` requests of a given time left come for each usual one, for some seconds; what is sent
/// takes `answer`, or is given up after the time left. Returns how many usual and how many impatient requests were sent, and how many
/// of each there were.
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
        // The first seconds have usual requests alone.
        let is_impatient = n >= 150 && n % (impatient + 1) != 0;
        let remaining = if is_impatient { left } else { USUAL };
        let key = Some((seed * 1_000_003 + n) * 7919);
        let (id, actions) = p.ask_as(Request { key, remaining, ..Request::default() });
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

fn over_a_fleet(impatient: u64, left: Nanos, answer: Nanos) -> [f64; 2] {
    let mut sums = [(0, 0); 2];
    for seed in 0..60 {
        for (sum, one) in sums.iter_mut().zip(among_impatient(seed, impatient, left, answer)) {
            *sum = (sum.0 + one.0, sum.1 + one.1);
        }
    }
    sums.map(|(sent, came)| sent as f64 / came as f64)
}

#[test]
fn usual_requests_are_sent_while_impatient_ones_outnumber_them() {
    // Danger: where the time left of most requests passed for the one that clients give, five impatient requests for each usual one
    // made these look like the rest of a wait, long past its latency objective; the whole fleet rejected six in ten of them unsent.
    let [usual, _] = over_a_fleet(5, 60 * MS, 100 * MS);
    assert!(usual > 0.97, "{usual} of the usual requests are sent");
}

#[test]
fn impatient_requests_are_sent_while_answers_come_so_soon_and_rejected_while_they_do_not() {
    // Danger: each that is cut costs a server's work and a connection, and its client is back at once.
    let [_, quick] = over_a_fleet(5, 60 * MS, 30 * MS);
    assert!(quick > 0.9, "{quick} are sent while answers take half of their time");
    let [_, slow] = over_a_fleet(5, 60 * MS, 100 * MS);
    assert!(slow < 0.1, "{slow} are sent while none can be answered");
}

#[test]
fn impatient_requests_that_end_without_an_answer_say_nothing_of_the_servers() {
    // Danger: taken for late answers, they had admission reject a third of all that came, usual requests among them.
    let [usual, _] = over_a_fleet(2, 60 * MS, 70 * MS);
    assert!(usual > 0.97, "{usual} of the usual requests are sent");
}

#[test]
fn a_time_left_beyond_what_clients_usually_give_dates_the_request() {
    // Danger: the last attempt of a wait looks like one with much time, and is past its latency objective.
    let mut p = Proxy::with(settings(), entries(0..10));
    let ask = |p: &mut Proxy, remaining| {
        p.now += 20 * MS;
        let request = Request { key: Some(p.now * 31), remaining, ..Request::default() };
        let (id, actions) = p.ask_as(request);
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
        assert!(ask(&mut p, USUAL).0);
    }
    // 700 ms are left of 800: 100 ms have passed of the latency objective of 300.
    assert_eq!(ask(&mut p, 700 * MS), (true, Some(200 * MS)));
    // 490 ms: 310 have passed, and nothing is worth anything any more.
    assert!(!ask(&mut p, 490 * MS).0);
}

#[test]
fn less_time_than_clients_usually_give_is_a_hurry_and_no_late_retry_unless_it_is_marked() {
    // Danger: who waits for little in all was rejected as hopeless, whatever answers took.
    for (clients_mark_retries, retry, served) in
        [(true, false, true), (false, false, true), (true, true, false)]
    {
        let mut p = Proxy::with(Settings { clients_mark_retries, ..settings() }, entries(0..10));
        p.crowd(0..100);
        let short = Request { key: Some(4711), remaining: 250 * MS, retry, ..Request::default() };
        assert_eq!(
            sent(&p.ask_as(short).1).is_some(),
            served,
            "marks {clients_mark_retries}, marked {retry}"
        );
    }
}

#[test]
fn clients_that_leave_before_their_objective_say_nothing_of_the_servers() {
    // Danger: taken for late answers, they had a tenth of all that came rejected unsent, with all servers idle.
    let mut unsent = 0;
    for seed in 0..60 {
        let mut p = Proxy::new(settings(), seed);
        p.list(ListKind::Cached, entries(0..10));
        for n in 0..200u64 {
            p.now += 20 * MS;
            let key = (seed * 1_000_003 + n) * 7919;
            let (id, actions) = p.ask(key);
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
    assert_eq!(unsent, 0, "of 12,000");
}
