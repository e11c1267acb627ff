//! Answers that have begun to arrive: how long they are waited for, and how their servers are judged.

mod common;
use aniseyoke_decision::api::*;
use common::*;

const KEY: u64 = 0xabcdef;

/// Settings of a cache-aside deployment whose origin is `entry(7)`, where a late answer is worth nothing.
fn cache_aside(hedging: bool) -> Settings {
    Settings { cache_aside: true, origin_kind: Some(1), hedging, ..settings() }
}

/// Returns the longest pause that is allowed in an answer that has just begun.
fn begin(p: &mut Proxy, id: RequestId, attempt: u32) -> Option<Nanos> {
    let actions = p.event(Event::ResponseStarted { id, attempt });
    actions.iter().find_map(|a| match a {
        Action::AwaitResponse { id: awaited, attempt: number, max_pause } => {
            assert_eq!((*awaited, *number), (id, attempt));
            Some(*max_pause)
        }
        _ => None,
    })
}

/// Returns the token and delay of the hedging timer.
fn hedging_timer(actions: &[Action]) -> (u64, Nanos) {
    let timer = actions.iter().find_map(|a| match a {
        Action::Timer { token, delay } => Some((*token, *delay)),
        _ => None,
    });
    timer.expect("a timer")
}

fn cancelled(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Cancel { .. }))
}

/// Submits a read whose answer begins and pauses, and answers it by a hedged request; returns whether its first attempt
/// was cancelled.
fn overtake(p: &mut Proxy, id: RequestId, actions: &[Action]) -> bool {
    let (token, delay) = hedging_timer(actions);
    p.now += MS;
    assert_eq!(begin(p, id, 0), Some(0), "a hedged request may follow");
    p.now += delay;
    let Some(second) = sent(&p.event(Event::Timer(token))) else { return false };
    p.now += 5 * MS;
    cancelled(&p.end_after(id, 1, second, Status::Ok, Some(true), 5 * MS))
}

/// Sends reads of many keys. A server begins each answer, pauses until a hedged request was answered, and ends with
/// `status`; returns how many of the last hundred reads were sent there.
fn reads_at_a_slow_server(status: Status) -> usize {
    let mut p = Proxy::with_list(cache_aside(true), entries(0..8));
    p.background_traffic(0..300);
    let slow = p.serve(KEY, true);
    let mut reads = 0;
    for number in 0..300u64 {
        p.now += MS;
        let (id, actions) = p.request(number * 7919);
        let server = sent(&actions).expect("sent");
        if server != slow {
            p.end(id, 0, server, Status::Ok, Some(true));
            continue;
        }
        reads += usize::from(number >= 200);
        assert!(!overtake(&mut p, id, &actions), "its end shows whether the server gives");
        let (elapsed, hit) = (790 * MS, Some(true));
        p.event(Event::Outcome(Outcome { id, attempt: 0, server, status, elapsed, last: true, hit }));
    }
    reads
}

#[test]
fn an_answer_that_has_begun_is_awaited_once_while_its_attempt_is_in_flight() {
    let mut p = Proxy::with_list(cache_aside(true), entries(0..8));
    let (id, actions) = p.request(KEY);
    let server = sent(&actions).expect("sent");
    assert_eq!(begin(&mut p, id, 0), Some(0));
    assert_eq!(begin(&mut p, id, 0), None, "it begins once");
    assert_eq!(begin(&mut p, id, 1), None, "there is no such attempt");
    p.end(id, 0, server, Status::Ok, Some(true));
    assert_eq!(begin(&mut p, id, 0), None, "the request has ended");
}

/// Guards against a request that is lost to a server that hangs midway, since nothing may be sent beside its attempt.
#[test]
fn without_hedging_an_answer_may_pause_for_half_of_the_time_if_another_attempt_is_possible() {
    let mut p = Proxy::with_list(cache_aside(false), entries(0..8));
    let (id, actions) = p.request(KEY);
    let server = sent(&actions).expect("sent");
    assert_eq!(begin(&mut p, id, 0), Some(400 * MS));
    let actions = p.end_after(id, 0, server, Status::Timeout, None, 400 * MS);
    assert_eq!(sent(&actions), Some(entry(7).server), "it goes to the origin");
    assert_eq!(begin(&mut p, id, 1), Some(0), "no other server has the key");
    let write = Request { key: Some(1), write: true, remaining: 800 * MS, ..Request::default() };
    let (id, _) = p.submit(write);
    assert_eq!(begin(&mut p, id, 0), Some(0), "only the origin takes writes");
    let once = Class { idempotency: Idempotency::NonIdempotent, ..settings().classes[0].clone() };
    let mut p = Proxy::with_list(Settings { classes: vec![once], ..cache_aside(false) }, entries(0..8));
    let (id, _) = p.request(KEY);
    assert_eq!(begin(&mut p, id, 0), Some(0), "it must not run twice");
}

/// Guards against servers that are ejected since the rest of their answers is late.
#[test]
fn a_server_that_gives_its_answers_slowly_stays_in_use() {
    let reads = reads_at_a_slow_server(Status::Ok);
    assert!(reads >= 5, "{reads} of 100 reads");
}

/// Guards against a server that hangs in the middle of each answer and stays in use.
#[test]
fn a_server_that_hangs_in_the_middle_of_its_answers_is_ejected() {
    let reads = reads_at_a_slow_server(Status::Timeout);
    assert!(reads <= 1, "{reads} of 100 reads");
}

#[test]
fn an_attempt_whose_client_waits_for_less_than_the_objective_is_cancelled() {
    let mut p = Proxy::with_list(cache_aside(true), entries(0..8));
    p.background_traffic(0..100);
    let (id, actions) = p.submit(Request { key: Some(KEY), remaining: 250 * MS, ..Request::default() });
    assert!(overtake(&mut p, id, &actions), "its end would show nothing");
}

/// Guards against an origin that gets no more writes since the rest of its answers is late.
#[test]
fn answers_of_the_origin_that_begin_in_time_and_end_late_do_not_reduce_its_limit() {
    for begins_in_time in [true, false] {
        let mut p = Proxy::with_list(cache_aside(true), entries(0..8));
        let mut refused = 0;
        for key in 0..300 {
            let write = Request { key: Some(key), write: true, remaining: 800 * MS, ..Request::default() };
            let (id, actions) = p.submit(write);
            let Some(origin) = sent(&actions) else {
                refused += 1;
                p.now += 100 * MS;
                continue;
            };
            p.now += if begins_in_time { 10 * MS } else { 400 * MS };
            assert_eq!(begin(&mut p, id, 0), Some(0));
            p.now += if begins_in_time { 400 * MS } else { 10 * MS };
            p.end_after(id, 0, origin, Status::Ok, None, 410 * MS);
        }
        assert_eq!(refused > 0, !begins_in_time, "{refused} of 300 refused, begins_in_time {begins_in_time}");
    }
}
