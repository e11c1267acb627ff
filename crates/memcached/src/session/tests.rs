//! Tests of a session, in which the test acts as client and as driver.

use super::types::SECOND;
use super::*;
use crate::response_queue::QueueLimits;
use crate::Extras;
use proptest::prelude::*;

type TestSession = Session<&'static str>;

fn session() -> TestSession {
    Session::new(0, SessionConfig::default())
}

fn packet_of(opcode: Opcode, key: &str, opaque: u32, value: &[u8]) -> Vec<u8> {
    let extras = match opcode.extras() {
        [8] => Extras::Store { flags: 0, expires: 0 },
        [20] => Extras::Counter { delta: 1, initial: 0, expires: 0 },
        _ => Extras::None,
    };
    let header =
        Header { extras, opaque, key: Bytes::copy_from_slice(key.as_bytes()), ..Header::request(opcode) };
    let mut bytes = Vec::new();
    encode::packet(Direction::Request, &header, value, &mut bytes).expect("fits");
    bytes
}

/// Feeds bytes to the session, and returns all events.
fn events(session: &mut TestSession, bytes: &[u8]) -> Vec<Event> {
    let mut buffer = BytesMut::from(bytes);
    std::iter::from_fn(|| session.next_event(1, &mut buffer)).collect()
}

/// Returns the requests among events.
fn requests_in(events: Vec<Event>) -> Vec<(RequestNumber, Header)> {
    let request_of = |event| match event {
        Event::Request { request, header } => Some((request, header)),
        _ => None,
    };
    events.into_iter().filter_map(request_of).collect()
}

/// Returns all output: for each response the opaque of its request, the status, and the value.
fn take_output(session: &mut TestSession) -> Vec<(u32, u16, Option<&'static str>)> {
    let number = |bytes: &[u8]| bytes.iter().fold(0u32, |n, b| n << 8 | u32::from(*b));
    let out = std::iter::from_fn(|| session.next_output(2));
    out.map(|o| (number(&o.bytes[12..16]), number(&o.bytes[6..8]) as u16, o.value)).collect()
}

fn found(value: &'static str) -> Response<&'static str> {
    Response {
        value: Some((value.len(), value)),
        buffered: value.len(),
        extras: Extras::Flags(0),
        ..Response::of_status(Status::Ok)
    }
}

/// Failed quiet requests before a NOOP get their responses before it, successful ones get none.
#[test]
fn a_quiet_set_that_fails_is_answered_before_the_noop_behind_it() {
    let mut s = session();
    let bytes = [
        packet_of(Opcode::SetQ, "a", 1, b"x"),
        packet_of(Opcode::SetQ, "b", 2, b"y"),
        packet_of(Opcode::GetQ, "c", 3, b""),
        packet_of(Opcode::Noop, "", 4, b""),
    ];
    let requests = requests_in(events(&mut s, &bytes.concat()));
    assert_eq!(requests.len(), 3);
    assert_eq!(take_output(&mut s), [], "the response to the noop waits for all requests before it");
    s.respond(requests[2].0, &requests[2].1, Response::of_status(Status::NotFound));
    s.respond(requests[1].0, &requests[1].1, Response::of_status(Status::Internal));
    assert_eq!(take_output(&mut s), []);
    s.respond(requests[0].0, &requests[0].1, Response::of_status(Status::Ok));
    assert_eq!(take_output(&mut s), [(2, 0x84, None), (4, 0, None)]);
    assert_eq!(s.in_flight(), 0);
}

#[test]
fn values_arrive_in_parts_and_an_opaque_may_be_used_twice() {
    let mut s = session();
    let bytes = [packet_of(Opcode::Set, "k", 9, b"value"), packet_of(Opcode::GetK, "k", 9, b"")].concat();
    let (front, back) = bytes.split_at(35);
    let mut buffer = BytesMut::from(front);
    let Some(Event::Request { request: first, header: set }) = s.next_event(1, &mut buffer) else {
        panic!("asked")
    };
    assert_eq!(s.next_event(1, &mut buffer), Some(Event::Value(first, Bytes::from_static(b"va"))));
    assert_eq!((s.next_event(1, &mut buffer), s.wants_input()), (None, true));
    buffer.extend_from_slice(back);
    assert_eq!(s.next_event(1, &mut buffer), Some(Event::Value(first, Bytes::from_static(b"lue"))));
    assert_eq!(s.next_event(1, &mut buffer), Some(Event::RequestComplete(first)));
    let Some(Event::Request { request: second, header: get }) = s.next_event(1, &mut buffer) else {
        panic!("asked")
    };
    assert!(first != second && (set.opaque, get.opaque) == (9, 9));
    assert!(s.respond(second, &get, found("value")));
    assert!(s.respond(first, &set, Response::of_status(Status::Ok)));
    assert!(!s.respond(first, &set, Response::of_status(Status::Ok)), "it already has a response");
    let out = [s.next_output(2), s.next_output(2)].map(|o| o.expect("two"));
    assert_eq!((out[0].value, out[1].value), (None, Some("value")));
    assert!(out[1].bytes.ends_with(b"k"), "the response to a getk includes the key");
}

/// Guards against buffering without bound: the requests behind a slow one are limited in number.
#[test]
fn no_more_is_read_than_may_be_in_flight_and_reading_continues_with_capacity() {
    let config =
        SessionConfig { queue: QueueLimits { requests: 10, bytes: 100 }, ..SessionConfig::default() };
    let mut s: TestSession = Session::new(0, config);
    let bytes: Vec<u8> = (0..30).flat_map(|n| packet_of(Opcode::Get, "k", n, b"")).collect();
    let mut buffer = BytesMut::from(&bytes[..]);
    let first: Vec<_> = std::iter::from_fn(|| s.next_event(1, &mut buffer)).collect();
    let requests = requests_in(first);
    assert_eq!((requests.len(), s.wants_input(), s.timed_out(u64::MAX / 2)), (10, false, None));
    for (request, header) in &requests[1..] {
        s.respond(*request, header, found("v"));
    }
    assert!(take_output(&mut s).is_empty() && s.next_event(1, &mut buffer).is_none());
    s.respond(requests[0].0, &requests[0].1, found("v"));
    assert_eq!(take_output(&mut s).len(), 10);
    let more = requests_in(std::iter::from_fn(|| s.next_event(1, &mut buffer)).collect());
    assert_eq!(more.len(), 10);
}

#[test]
fn slow_and_idle_connections_time_out() {
    let mut s = session();
    let bytes = packet_of(Opcode::Set, "key", 1, b"value");
    let mut buffer = BytesMut::new();
    // With one byte per second the header is not complete in time.
    for (second, byte) in bytes.iter().take(4).enumerate() {
        buffer.extend_from_slice(&[*byte]);
        assert_eq!(s.next_event(second as u64 * SECOND, &mut buffer), None);
    }
    assert_eq!((s.timed_out(3 * SECOND), s.timed_out(4 * SECOND)), (None, Some(Timeout::Incomplete)));
    buffer.extend_from_slice(&bytes[4..bytes.len() - 1]);
    assert!(matches!(s.next_event(4 * SECOND, &mut buffer), Some(Event::Request { .. })));
    assert!(matches!(s.next_event(4 * SECOND, &mut buffer), Some(Event::Value(..))));
    assert_eq!(s.next_event(5 * SECOND, &mut buffer), None);
    assert_eq!((s.timed_out(14 * SECOND), s.timed_out(15 * SECOND)), (None, Some(Timeout::Incomplete)));
    let idle = session();
    assert_eq!((idle.timed_out(60 * SECOND), idle.timed_out(61 * SECOND)), (None, Some(Timeout::Idle)));
}

#[test]
fn a_client_that_must_authenticate_can_access_no_values_before() {
    let mut s: TestSession =
        Session::new(0, SessionConfig { require_authentication: true, ..SessionConfig::default() });
    let login = packet_of(Opcode::SaslAuth, "PLAIN", 3, b"\0acme\0secret");
    let bytes =
        [packet_of(Opcode::Set, "k", 1, b"x"), packet_of(Opcode::SaslAuth, "CRAM-MD5", 2, b""), login]
            .concat();
    let all = events(&mut s, &bytes);
    let [Event::Authenticate { request, header, value }] = &all[..] else { panic!("{all:?}") };
    assert_eq!(sasl::parse_plain(value).map(|p| p.user), Some("acme"));
    s.credentials_checked(*request, header, false);
    assert_eq!(take_output(&mut s), [(1, 0x20, None), (2, 0x20, None), (3, 0x20, None)]);
    let all = events(&mut s, &packet_of(Opcode::SaslAuth, "PLAIN", 4, b"\0acme\0secret"));
    let [Event::Authenticate { request, header, .. }] = &all[..] else { panic!("{all:?}") };
    s.credentials_checked(*request, header, true);
    assert_eq!(requests_in(events(&mut s, &packet_of(Opcode::Get, "k", 5, b""))).len(), 1);
}

#[test]
fn the_connection_ends_after_the_responses_to_earlier_requests() {
    let cases = [
        (packet_of(Opcode::Quit, "", 8, b""), Some((8, 0))),
        (packet_of(Opcode::QuitQ, "", 8, b""), None),
        (
            [&packet_of(Opcode::Set, "k", 8, b"")[..8], &[0xff; 4], &[0, 0, 0, 8], &[0; 8]].concat(),
            Some((8, 3)),
        ),
        ([&packet_of(Opcode::Set, "kk", 8, b"")[..8], &[0, 0, 0, 1], &[0; 12]].concat(), Some((0, 4))),
        (vec![0x02], None),
    ];
    for (bytes, last) in cases {
        let mut s = session();
        let requests =
            requests_in(events(&mut s, &[packet_of(Opcode::Get, "k", 7, b""), bytes.clone()].concat()));
        assert!(!s.is_finished() && !s.wants_input(), "{bytes:?}");
        s.respond(requests[0].0, &requests[0].1, found("v"));
        let out: Vec<_> =
            take_output(&mut s).into_iter().map(|(opaque, status, _)| (opaque, status)).collect();
        assert_eq!(out, [Some((7, 0)), last].into_iter().flatten().collect::<Vec<_>>(), "{bytes:?}");
        assert!(s.is_finished());
    }
    let mut s = session();
    assert!(events(&mut s, b"get k\r\n").is_empty());
    assert!(s
        .next_output(1)
        .is_some_and(|out| out.bytes.starts_with(b"ERROR ") && out.bytes.ends_with(b"\r\n")));
    assert!(s.is_finished());
}

/// Guards against storing the beginning of a value whose connection breaks before its end.
#[test]
fn complete_requests_of_a_client_that_stops_are_answered_and_an_incomplete_one_is_cancelled() {
    let mut s = session();
    let half = &packet_of(Opcode::Set, "b", 2, b"value")[..36];
    let all = events(&mut s, &[&packet_of(Opcode::Get, "a", 1, b"")[..], half].concat());
    let requests = requests_in(all);
    assert_eq!(s.input_ended(), Some(requests[1].0), "the incomplete request is returned");
    assert!(!s.is_finished());
    s.respond(requests[0].0, &requests[0].1, found("v"));
    assert!(!s.respond(requests[1].0, &requests[1].1, Response::of_status(Status::Ok)));
    assert_eq!((take_output(&mut s).len(), s.is_finished()), (1, true));
}

#[test]
fn a_drain_reads_the_request_that_has_begun_and_no_other() {
    let mut s = session();
    let bytes = [packet_of(Opcode::Set, "a", 1, b"value"), packet_of(Opcode::Get, "b", 2, b"")].concat();
    let mut buffer = BytesMut::from(&bytes[..34]);
    let begun = requests_in(std::iter::from_fn(|| s.next_event(1, &mut buffer)).collect());
    s.drain();
    buffer.extend_from_slice(&bytes[34..]);
    let rest: Vec<Event> = std::iter::from_fn(|| s.next_event(1, &mut buffer)).collect();
    assert!(matches!(rest[..], [Event::Value(..), Event::RequestComplete(_)]), "{rest:?}");
    s.respond(begun[0].0, &begun[0].1, Response::of_status(Status::Ok));
    assert_eq!((take_output(&mut s), s.is_finished()), (vec![(1, 0, None)], true));
}

#[test]
fn requests_that_the_session_answers_do_not_reach_the_core() {
    let mut s = session();
    let operations = [Opcode::Noop, Opcode::Version, Opcode::Stat, Opcode::Flush, Opcode::SaslList];
    let bytes: Vec<u8> =
        operations.iter().zip(1..).flat_map(|(o, opaque)| packet_of(*o, "", opaque, b"")).collect();
    assert!(events(&mut s, &bytes).is_empty());
    let out: Vec<_> = take_output(&mut s).into_iter().map(|(opaque, status, _)| (opaque, status)).collect();
    assert_eq!(out, [(1, 0), (2, 0), (3, 0), (4, 0x83), (5, 0)]);
}

proptest! {
    /// For any requests and any order in which the driver responds, each request that is not quiet has one
    /// response, in order, and no quiet request with the expected outcome has one.
    #[test]
    fn each_request_has_one_response_in_order(
        wanted in prop::collection::vec((0usize..4, any::<bool>(), any::<prop::sample::Index>()), 1..40),
    ) {
        let kinds = [Opcode::Get, Opcode::GetQ, Opcode::Set, Opcode::SetQ];
        let mut s = session();
        let mut open = Vec::new();
        let mut expected = Vec::new();
        for (opaque, (kind, succeeds, _)) in wanted.iter().enumerate() {
            let value: &[u8] = if kinds[*kind].is_retrieval() { b"" } else { b"v" };
            let requests = requests_in(events(&mut s, &packet_of(kinds[*kind], "k", opaque as u32, value)));
            let status = match (*succeeds, kinds[*kind].is_retrieval()) {
                (true, _) => Status::Ok,
                (false, true) => Status::NotFound,
                (false, false) => Status::Temporary,
            };
            if semantics::has_response(kinds[*kind], status) {
                expected.push((opaque as u32, status as u16, None));
            }
            open.push((requests[0].clone(), status));
        }
        let mut got = Vec::new();
        for (_, _, which) in &wanted {
            let ((request, header), status) = open.remove(which.index(open.len()));
            prop_assert!(s.respond(request, &header, Response::of_status(status)));
            got.extend(take_output(&mut s));
        }
        prop_assert_eq!(got, expected);
        prop_assert_eq!(s.in_flight(), 0);
    }

    #[test]
    fn random_bytes_cause_no_panic_and_leave_bounded_state(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        magic in any::<bool>(),
    ) {
        let mut s = session();
        let mut bytes = bytes;
        if let (true, Some(first)) = (magic, bytes.first_mut()) {
            *first = 0x80;
        }
        for part in bytes.chunks(7) {
            events(&mut s, part);
        }
        s.input_ended();
        prop_assert!(s.in_flight() <= bytes.len() / 24 + 1);
    }
}
