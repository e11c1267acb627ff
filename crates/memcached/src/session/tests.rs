//! A session whose other ends are the test.

use super::*;
use proptest::prelude::*;

type Plain = Session<&'static str>;

fn session() -> Plain {
    Session::new(0, Rules::default())
}

fn request(opcode: Opcode, key: &str, opaque: u32, value: &[u8]) -> Vec<u8> {
    let extras = match opcode.extras() {
        [8] => Extras::Store { flags: 0, expires: 0 },
        [20] => Extras::Count { delta: 1, initial: 0, expires: 0 },
        _ => Extras::None,
    };
    let head = Head { extras, opaque, key: Bytes::copy_from_slice(key.as_bytes()), ..Head::request(opcode) };
    let mut bytes = Vec::new();
    encode::packet(Side::Request, &head, value, &mut bytes).expect("fits");
    bytes
}

/// All that is to be done about some bytes.
fn steps(session: &mut Plain, bytes: &[u8]) -> Vec<Step> {
    let mut came = BytesMut::from(bytes);
    std::iter::from_fn(|| session.read(1, &mut came)).collect()
}

/// Those that are for the core, as the place and head of each.
fn asked(steps: Vec<Step>) -> Vec<(Place, Head)> {
    let ask = |step| match step {
        Step::Ask { place, head } => Some((place, head)),
        _ => None,
    };
    steps.into_iter().filter_map(ask).collect()
}

/// All that is written now, as the client's mark, the status, and the value behind it.
fn written(session: &mut Plain) -> Vec<(u32, u16, Option<&'static str>)> {
    let number = |bytes: &[u8]| bytes.iter().fold(0u32, |n, b| n << 8 | u32::from(*b));
    let out = std::iter::from_fn(|| session.write(2));
    out.map(|o| (number(&o.bytes[12..16]), number(&o.bytes[6..8]) as u16, o.value)).collect()
}

fn found(value: &'static str) -> Reply<&'static str> {
    Reply {
        value: Some((value.len(), value)),
        held: value.len(),
        extras: Extras::Flags(0),
        ..Reply::plain(Status::Ok)
    }
}

/// The client learns of what failed quietly before it, at the latest at the NOOP, and of nothing that went well.
#[test]
fn a_quiet_set_that_fails_is_told_before_the_answer_to_the_noop_behind_it() {
    let mut s = session();
    let bytes = [
        request(Opcode::SetQ, "a", 1, b"x"),
        request(Opcode::SetQ, "b", 2, b"y"),
        request(Opcode::GetQ, "c", 3, b""),
        request(Opcode::Noop, "", 4, b""),
    ];
    let asks = asked(steps(&mut s, &bytes.concat()));
    assert_eq!(asks.len(), 3);
    assert_eq!(written(&mut s), [], "the noop waits for all before it");
    s.answer(asks[2].0, &asks[2].1, Reply::plain(Status::NotFound));
    s.answer(asks[1].0, &asks[1].1, Reply::plain(Status::Internal));
    assert_eq!(written(&mut s), []);
    s.answer(asks[0].0, &asks[0].1, Reply::plain(Status::Ok));
    assert_eq!(written(&mut s), [(2, 0x84, None), (4, 0, None)]);
    assert_eq!(s.open(), 0);
}

#[test]
fn values_come_in_parts_and_a_mark_may_be_used_twice() {
    let mut s = session();
    let bytes = [request(Opcode::Set, "k", 9, b"value"), request(Opcode::GetK, "k", 9, b"")].concat();
    let (front, back) = bytes.split_at(35);
    let mut came = BytesMut::from(front);
    let Some(Step::Ask { place: first, head: set }) = s.read(1, &mut came) else { panic!("asked") };
    assert_eq!(s.read(1, &mut came), Some(Step::Value(first, Bytes::from_static(b"va"))));
    assert_eq!((s.read(1, &mut came), s.wants()), (None, true));
    came.extend_from_slice(back);
    assert_eq!(s.read(1, &mut came), Some(Step::Value(first, Bytes::from_static(b"lue"))));
    assert_eq!(s.read(1, &mut came), Some(Step::Whole(first)));
    let Some(Step::Ask { place: second, head: get }) = s.read(1, &mut came) else { panic!("asked") };
    assert!(first != second && (set.opaque, get.opaque) == (9, 9));
    assert!(s.answer(second, &get, found("value")));
    assert!(s.answer(first, &set, Reply::plain(Status::Ok)));
    assert!(!s.answer(first, &set, Reply::plain(Status::Ok)), "it had its answer");
    let out = [s.write(2), s.write(2)].map(|o| o.expect("two"));
    assert_eq!((out[0].value, out[1].value), (None, Some("value")));
    assert!(out[1].bytes.ends_with(b"k"), "the key stands in the answer to a getk");
}

/// Danger: a thousand requests behind a slow one would each wait for it, or be kept without end.
#[test]
fn no_more_is_read_than_may_be_open_and_reading_goes_on_when_there_is_room() {
    let rules = Rules { bounds: Bounds { requests: 10, bytes: 100 }, ..Rules::default() };
    let mut s: Plain = Session::new(0, rules);
    let bytes: Vec<u8> = (0..30).flat_map(|n| request(Opcode::Get, "k", n, b"")).collect();
    let mut came = BytesMut::from(&bytes[..]);
    let first: Vec<_> = std::iter::from_fn(|| s.read(1, &mut came)).collect();
    let asks = asked(first);
    assert_eq!((asks.len(), s.wants(), s.overdue(u64::MAX / 2)), (10, false, None));
    for (place, head) in &asks[1..] {
        s.answer(*place, head, found("v"));
    }
    assert!(written(&mut s).is_empty() && s.read(1, &mut came).is_none());
    s.answer(asks[0].0, &asks[0].1, found("v"));
    assert_eq!(written(&mut s).len(), 10);
    let more = asked(std::iter::from_fn(|| s.read(1, &mut came)).collect());
    assert_eq!(more.len(), 10);
}

#[test]
fn what_dribbles_or_asks_nothing_is_overdue() {
    let mut s = session();
    let bytes = request(Opcode::Set, "key", 1, b"value");
    let mut came = BytesMut::new();
    // A byte each second: the head is never whole in time.
    for (second, byte) in bytes.iter().take(4).enumerate() {
        came.extend_from_slice(&[*byte]);
        assert_eq!(s.read(second as u64 * SECOND, &mut came), None);
    }
    assert_eq!((s.overdue(3 * SECOND), s.overdue(4 * SECOND)), (None, Some(Overdue::Halfway)));
    came.extend_from_slice(&bytes[4..bytes.len() - 1]);
    assert!(matches!(s.read(4 * SECOND, &mut came), Some(Step::Ask { .. })));
    assert!(matches!(s.read(4 * SECOND, &mut came), Some(Step::Value(..))));
    assert_eq!(s.read(5 * SECOND, &mut came), None);
    assert_eq!((s.overdue(14 * SECOND), s.overdue(15 * SECOND)), (None, Some(Overdue::Halfway)));
    let idle = session();
    assert_eq!((idle.overdue(60 * SECOND), idle.overdue(61 * SECOND)), (None, Some(Overdue::Idle)));
}

#[test]
fn who_must_show_who_they_are_gets_nothing_before() {
    let mut s: Plain = Session::new(0, Rules { login: true, ..Rules::default() });
    let login = request(Opcode::SaslAuth, "PLAIN", 3, b"\0acme\0secret");
    let bytes =
        [request(Opcode::Set, "k", 1, b"x"), request(Opcode::SaslAuth, "CRAM-MD5", 2, b""), login].concat();
    let all = steps(&mut s, &bytes);
    let [Step::Login { place, head, value }] = &all[..] else { panic!("{all:?}") };
    assert_eq!(sasl::plain(value).map(|p| p.user), Some("acme"));
    s.shown(*place, head, false);
    assert_eq!(written(&mut s), [(1, 0x20, None), (2, 0x20, None), (3, 0x20, None)]);
    let all = steps(&mut s, &request(Opcode::SaslAuth, "PLAIN", 4, b"\0acme\0secret"));
    let [Step::Login { place, head, .. }] = &all[..] else { panic!("{all:?}") };
    s.shown(*place, head, true);
    assert_eq!(asked(steps(&mut s, &request(Opcode::Get, "k", 5, b""))).len(), 1);
}

#[test]
fn the_connection_ends_behind_the_answers_to_what_came_before() {
    let cases = [
        (request(Opcode::Quit, "", 8, b""), Some((8, 0))),
        (request(Opcode::QuitQ, "", 8, b""), None),
        (
            [&request(Opcode::Set, "k", 8, b"")[..8], &[0xff; 4], &[0, 0, 0, 8], &[0; 8]].concat(),
            Some((8, 3)),
        ),
        ([&request(Opcode::Set, "kk", 8, b"")[..8], &[0, 0, 0, 1], &[0; 12]].concat(), Some((0, 4))),
        (vec![0x02], None),
    ];
    for (bytes, last) in cases {
        let mut s = session();
        let asks = asked(steps(&mut s, &[request(Opcode::Get, "k", 7, b""), bytes.clone()].concat()));
        assert!(!s.over() && !s.wants(), "{bytes:?}");
        s.answer(asks[0].0, &asks[0].1, found("v"));
        let out: Vec<_> = written(&mut s).into_iter().map(|(mark, status, _)| (mark, status)).collect();
        assert_eq!(out, [Some((7, 0)), last].into_iter().flatten().collect::<Vec<_>>(), "{bytes:?}");
        assert!(s.over());
    }
    let mut s = session();
    assert!(steps(&mut s, b"get k\r\n").is_empty());
    assert!(s.write(1).is_some_and(|out| out.bytes.starts_with(b"ERROR ") && out.bytes.ends_with(b"\r\n")));
    assert!(s.over());
}

/// Danger: a value that breaks off must not be stored as far as it came.
#[test]
fn a_client_that_stops_halfway_has_its_whole_requests_answered_and_the_rest_undone() {
    let mut s = session();
    let half = &request(Opcode::Set, "b", 2, b"value")[..36];
    let all = steps(&mut s, &[&request(Opcode::Get, "a", 1, b"")[..], half].concat());
    let asks = asked(all);
    assert_eq!(s.ended(), Some(asks[1].0), "it is to be called off");
    assert!(!s.over());
    s.answer(asks[0].0, &asks[0].1, found("v"));
    assert!(!s.answer(asks[1].0, &asks[1].1, Reply::plain(Status::Ok)));
    assert_eq!((written(&mut s).len(), s.over()), (1, true));
}

#[test]
fn a_drain_reads_what_has_begun_and_nothing_more() {
    let mut s = session();
    let bytes = [request(Opcode::Set, "a", 1, b"value"), request(Opcode::Get, "b", 2, b"")].concat();
    let mut came = BytesMut::from(&bytes[..34]);
    let begun = asked(std::iter::from_fn(|| s.read(1, &mut came)).collect());
    s.drain();
    came.extend_from_slice(&bytes[34..]);
    let rest: Vec<Step> = std::iter::from_fn(|| s.read(1, &mut came)).collect();
    assert!(matches!(rest[..], [Step::Value(..), Step::Whole(_)]), "{rest:?}");
    s.answer(begun[0].0, &begun[0].1, Reply::plain(Status::Ok));
    assert_eq!((written(&mut s), s.over()), (vec![(1, 0, None)], true));
}

#[test]
fn what_is_answered_here_asks_the_core_nothing() {
    let mut s = session();
    let here = [Opcode::Noop, Opcode::Version, Opcode::Stat, Opcode::Flush, Opcode::SaslList];
    let bytes: Vec<u8> = here.iter().zip(1..).flat_map(|(o, mark)| request(*o, "", mark, b"")).collect();
    assert!(steps(&mut s, &bytes).is_empty());
    let out: Vec<_> = written(&mut s).into_iter().map(|(mark, status, _)| (mark, status)).collect();
    assert_eq!(out, [(1, 0), (2, 0), (3, 0), (4, 0x83), (5, 0)]);
}

proptest! {
    /// Whatever is asked, in whatever order answers come: each loud request has one answer, in order, and no quiet one
    /// that went as expected has any.
    #[test]
    fn each_request_has_its_answer_once_and_in_order(
        wanted in prop::collection::vec((0usize..4, any::<bool>(), any::<prop::sample::Index>()), 1..40),
    ) {
        let kinds = [Opcode::Get, Opcode::GetQ, Opcode::Set, Opcode::SetQ];
        let mut s = session();
        let mut open = Vec::new();
        let mut expected = Vec::new();
        for (mark, (kind, well, _)) in wanted.iter().enumerate() {
            let value: &[u8] = if kinds[*kind].retrieves() { b"" } else { b"v" };
            let asks = asked(steps(&mut s, &request(kinds[*kind], "k", mark as u32, value)));
            let status = match (*well, kinds[*kind].retrieves()) {
                (true, _) => Status::Ok,
                (false, true) => Status::NotFound,
                (false, false) => Status::Temporary,
            };
            if meaning::answered(kinds[*kind], status) {
                expected.push((mark as u32, status as u16, None));
            }
            open.push((asks[0].clone(), status));
        }
        let mut got = Vec::new();
        for (_, _, which) in &wanted {
            let ((place, head), status) = open.remove(which.index(open.len()));
            prop_assert!(s.answer(place, &head, Reply::plain(status)));
            got.extend(written(&mut s));
        }
        prop_assert_eq!(got, expected);
        prop_assert_eq!(s.open(), 0);
    }

    #[test]
    fn noise_is_no_panic_and_leaves_bounded_state(bytes in prop::collection::vec(any::<u8>(), 0..300), magic in any::<bool>()) {
        let mut s = session();
        let mut bytes = bytes;
        if let (true, Some(first)) = (magic, bytes.first_mut()) {
            *first = 0x80;
        }
        for part in bytes.chunks(7) {
            steps(&mut s, part);
        }
        s.ended();
        prop_assert!(s.open() <= bytes.len() / 24 + 1);
    }
}
