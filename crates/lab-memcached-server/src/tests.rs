use super::*;
use aniseyoke_memcached::{Extras, Header, Opcode, Status};

const NOW: u64 = 1_800_000_000;

fn store() -> Store {
    Store::new(NonZeroUsize::new(100).expect("not 0"), 50)
}

fn head(opcode: Opcode, key: &'static str, extras: Extras) -> Header {
    Header { key: Bytes::from_static(key.as_bytes()), extras, ..Header::request(opcode) }
}

fn store_value(opcode: Opcode, key: &'static str, expires: u32) -> Header {
    head(opcode, key, Extras::Store { flags: 7, expires })
}

fn value(store: &mut Store, now: u64, key: &'static str) -> Option<String> {
    let response = store.apply(now, &head(Opcode::Get, key, Extras::None), Bytes::new());
    (response.status == Status::Ok).then(|| String::from_utf8(response.value.to_vec()).expect("a text"))
}

#[test]
fn values_are_stored_conditionally_and_expire() {
    let mut k = store();
    let one = || Bytes::from_static(b"1");
    assert_eq!(k.apply(NOW, &store_value(Opcode::Replace, "k", 0), one()).status, Status::NotFound);
    let first = k.apply(NOW, &store_value(Opcode::Add, "k", 10), one());
    assert_eq!(
        (first.status, k.apply(NOW, &store_value(Opcode::Add, "k", 0), one()).status),
        (Status::Ok, Status::Exists)
    );
    let wrong_cas = Header { cas: first.cas + 9, ..store_value(Opcode::Set, "k", 0) };
    assert_eq!(k.apply(NOW, &wrong_cas, one()).status, Status::Exists);
    assert_eq!(value(&mut k, NOW + 9, "k"), Some("1".into()));
    assert_eq!(value(&mut k, NOW + 10, "k"), None);
    assert_eq!(
        k.apply(NOW, &Header { cas: 5, ..store_value(Opcode::Set, "k", 0) }, one()).status,
        Status::NotFound
    );
    let timestamp = (NOW + 5) as u32;
    assert_eq!(k.apply(NOW, &store_value(Opcode::Set, "k", timestamp), one()).status, Status::Ok);
    assert_eq!((value(&mut k, NOW + 4, "k"), value(&mut k, NOW + 5, "k")), (Some("1".into()), None));
    assert_eq!(
        k.apply(NOW, &store_value(Opcode::Set, "k", 0), Bytes::from(vec![b'x'; 51])).status,
        Status::TooLarge
    );
    assert_eq!(k.mutations(), 2);
}

#[test]
fn counters_wrap_on_increment_stop_at_zero_and_start_at_the_initial_value() {
    let mut k = store();
    let count = |opcode, delta, expires| head(opcode, "n", Extras::Counter { delta, initial: 5, expires });
    let read = |response: Response| (response.status, response.value.to_vec());
    let ok = |n: u64| (Status::Ok, n.to_be_bytes().to_vec());
    let existing_only = count(Opcode::Increment, 1, u32::MAX);
    assert_eq!(k.apply(NOW, &existing_only, Bytes::new()).status, Status::NotFound);
    assert_eq!(read(k.apply(NOW, &count(Opcode::Increment, 3, 0), Bytes::new())), ok(5));
    assert_eq!(read(k.apply(NOW, &count(Opcode::Increment, 3, 0), Bytes::new())), ok(8));
    assert_eq!(read(k.apply(NOW, &count(Opcode::Decrement, 9, 0), Bytes::new())), ok(0));
    assert_eq!(read(k.apply(NOW, &count(Opcode::Increment, u64::MAX, 0), Bytes::new())), ok(u64::MAX));
    assert_eq!(read(k.apply(NOW, &count(Opcode::Increment, 2, 0), Bytes::new())), ok(1));
    assert_eq!(value(&mut k, NOW, "n"), Some("1".into()));
    k.apply(NOW, &store_value(Opcode::Set, "n", 0), Bytes::from_static(b"one"));
    assert_eq!(k.apply(NOW, &existing_only, Bytes::new()).status, Status::NotNumber);
}

#[test]
fn values_are_appended_prepended_touched_and_deleted() {
    let mut k = store();
    let add = |opcode| head(opcode, "k", Extras::None);
    assert_eq!(k.apply(NOW, &add(Opcode::Append), Bytes::new()).status, Status::NotStored);
    k.apply(NOW, &store_value(Opcode::Set, "k", 5), Bytes::from_static(b"b"));
    k.apply(NOW, &add(Opcode::Append), Bytes::from_static(b"c"));
    k.apply(NOW, &add(Opcode::PrependQ), Bytes::from_static(b"a"));
    assert_eq!(value(&mut k, NOW, "k"), Some("abc".into()));
    assert_eq!(
        k.apply(NOW, &head(Opcode::Touch, "k", Extras::Expiration(100)), Bytes::new()).status,
        Status::Ok
    );
    let response = k.apply(NOW + 50, &head(Opcode::GatK, "k", Extras::Expiration(1)), Bytes::new());
    assert_eq!(
        (response.extras, &response.key[..], &response.value[..]),
        (Extras::Flags(7), &b"k"[..], &b"abc"[..])
    );
    assert_eq!(value(&mut k, NOW + 51, "k"), None);
    assert_eq!(k.apply(NOW, &head(Opcode::Delete, "k", Extras::None), Bytes::new()).status, Status::NotFound);
}
