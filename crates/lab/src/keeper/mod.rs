//! A memcached server's own behaviour, without I/O or clock: what each operation does to the values kept, and what it
//! answers. The laboratory's nodes of that protocol stand on it, and client libraries of others are tried against it.

mod server;

pub use server::Server;

use aniseyoke_memcached::{Extras, Header, Opcode, Status};
use bytes::Bytes;
use lru::LruCache;
use std::num::NonZeroUsize;

/// A span of time to live above this, in seconds, is a moment of Unix time: 30 days.
const SPAN_MOST: u32 = 60 * 60 * 24 * 30;
/// The time to live of a counter that must be there already.
const MUST_BE_THERE: u32 = u32::MAX;

/// A value kept.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Item {
    value: Bytes,
    flags: u32,
    /// When it goes, as Unix time in seconds; none: never.
    until: Option<u64>,
    cas: u64,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// What became of the request.
    pub status: Status,
    /// Flags, where a value is given back.
    pub extras: Extras,
    /// The key, where it is asked for.
    pub key: Bytes,
    /// The value, or words.
    pub value: Bytes,
    /// The version of the value.
    pub cas: u64,
}

impl Said {
    fn words(status: Status) -> Self {
        let value = Bytes::from_static(status.text().as_bytes());
        Said { status, extras: Extras::None, key: Bytes::new(), value, cas: 0 }
    }

    fn done(cas: u64) -> Self {
        Said { cas, ..Said::words(Status::Ok) }
    }
}

/// All values of a server.
pub struct Keeper {
    items: LruCache<Bytes, Item>,
    value_most: usize,
    next_cas: u64,
    /// Requests that changed something, for the auditor.
    ran: u64,
}

impl Keeper {
    /// Keeps so many values of at most so many bytes; the one that was not used for longest goes first.
    pub fn new(items: NonZeroUsize, value_most: usize) -> Self {
        Keeper { items: LruCache::new(items), value_most, next_cas: 1, ran: 0 }
    }

    /// Requests that changed something.
    pub fn ran(&self) -> u64 {
        self.ran
    }

    fn until(now: u64, expires: u32) -> Option<u64> {
        match expires {
            0 => None,
            span if span <= SPAN_MOST => Some(now + u64::from(span)),
            moment => Some(u64::from(moment)),
        }
    }

    fn get(&mut self, now: u64, key: &Bytes) -> Option<&mut Item> {
        if self.items.peek(key).is_some_and(|i| i.until.is_some_and(|until| until <= now)) {
            self.items.pop(key);
        }
        self.items.get_mut(key)
    }

    fn put(&mut self, key: &Bytes, mut item: Item) -> Said {
        item.cas = self.next_cas;
        self.next_cas += 1;
        self.ran += 1;
        let cas = item.cas;
        // Danger: a key that is a slice of what was read would keep all of that for as long as the value is kept.
        self.items.put(Bytes::copy_from_slice(key), item);
        Said::done(cas)
    }

    /// Does what a request asks. `now` is Unix time in seconds. Operations about the connection are the caller's.
    pub fn act(&mut self, now: u64, head: &Header, value: Bytes) -> Said {
        let Some(opcode) = head.operation() else { return Said::words(Status::Unknown) };
        if value.len() > self.value_most {
            return Said::words(Status::TooLarge);
        }
        match (opcode.without_quiet(), head.extras) {
            (Opcode::Get | Opcode::GetK, _) => self.read(now, head, opcode, None),
            (Opcode::Gat | Opcode::GatK, Extras::Expiration(expires)) => {
                self.read(now, head, opcode, Some(Self::until(now, expires)))
            }
            (Opcode::Touch, Extras::Expiration(expires)) => {
                let until = Self::until(now, expires);
                match self.get(now, &head.key) {
                    Some(item) => {
                        item.until = until;
                        let cas = item.cas;
                        self.ran += 1;
                        Said::done(cas)
                    }
                    None => Said::words(Status::NotFound),
                }
            }
            (Opcode::Set | Opcode::Add | Opcode::Replace, Extras::Store { flags, expires }) => self.store(
                now,
                head,
                opcode.without_quiet(),
                Item { value, flags, until: Self::until(now, expires), cas: 0 },
            ),
            (Opcode::Append | Opcode::Prepend, _) => self.extend(now, head, opcode.without_quiet(), &value),
            (Opcode::Delete, _) => match self.get(now, &head.key).map(|i| i.cas) {
                None => Said::words(Status::NotFound),
                Some(cas) if head.cas != 0 && head.cas != cas => Said::words(Status::Exists),
                Some(_) => {
                    self.items.pop(&head.key);
                    self.ran += 1;
                    Said::done(0)
                }
            },
            (Opcode::Increment | Opcode::Decrement, Extras::Counter { delta, initial, expires }) => {
                self.count(now, head, opcode.without_quiet(), (delta, initial, expires))
            }
            (Opcode::Flush, _) => {
                self.items.clear();
                self.ran += 1;
                Said::done(0)
            }
            (Opcode::Noop | Opcode::Quit | Opcode::Verbosity, _) => Said::done(0),
            (Opcode::Version, _) => Said { value: Bytes::from_static(b"1.6.0"), ..Said::done(0) },
            _ => Said::words(Status::NotSupported),
        }
    }

    fn read(&mut self, now: u64, head: &Header, opcode: Opcode, touched: Option<Option<u64>>) -> Said {
        let key = if opcode.returns_key() { head.key.clone() } else { Bytes::new() };
        let Some(item) = self.get(now, &head.key) else {
            return Said { key, ..Said::words(Status::NotFound) };
        };
        if let Some(until) = touched {
            item.until = until;
        }
        Said {
            status: Status::Ok,
            extras: Extras::Flags(item.flags),
            key,
            value: item.value.clone(),
            cas: item.cas,
        }
    }

    fn store(&mut self, now: u64, head: &Header, opcode: Opcode, item: Item) -> Said {
        match (self.get(now, &head.key).map(|i| i.cas), opcode) {
            (Some(_), Opcode::Add) => Said::words(Status::Exists),
            (None, Opcode::Replace) => Said::words(Status::NotFound),
            (None, _) if head.cas != 0 => Said::words(Status::NotFound),
            (Some(cas), _) if head.cas != 0 && head.cas != cas => Said::words(Status::Exists),
            _ => self.put(&head.key, item),
        }
    }

    fn extend(&mut self, now: u64, head: &Header, opcode: Opcode, more: &[u8]) -> Said {
        let Some(item) = self.get(now, &head.key).cloned() else { return Said::words(Status::NotStored) };
        if head.cas != 0 && head.cas != item.cas {
            return Said::words(Status::Exists);
        }
        if item.value.len() + more.len() > self.value_most {
            return Said::words(Status::TooLarge);
        }
        let both = if opcode == Opcode::Append { [&item.value, more] } else { [more, &item.value] };
        self.put(&head.key, Item { value: both.concat().into(), ..item })
    }

    fn count(
        &mut self,
        now: u64,
        head: &Header,
        opcode: Opcode,
        (delta, initial, expires): (u64, u64, u32),
    ) -> Said {
        let Some(item) = self.get(now, &head.key).cloned() else {
            if expires == MUST_BE_THERE {
                return Said::words(Status::NotFound);
            }
            let value = Bytes::from(initial.to_string());
            let said =
                self.put(&head.key, Item { value, flags: 0, until: Self::until(now, expires), cas: 0 });
            return Said { value: Bytes::copy_from_slice(&initial.to_be_bytes()), ..said };
        };
        if head.cas != 0 && head.cas != item.cas {
            return Said::words(Status::Exists);
        }
        let told = std::str::from_utf8(&item.value).ok().and_then(|text| text.trim_end().parse::<u64>().ok());
        let Some(before) = told else { return Said::words(Status::NotNumber) };
        // Up it wraps, down it stops at nothing.
        let after = match opcode {
            Opcode::Increment => before.wrapping_add(delta),
            _ => before.saturating_sub(delta),
        };
        let said = self.put(&head.key, Item { value: Bytes::from(after.to_string()), ..item });
        Said { value: Bytes::copy_from_slice(&after.to_be_bytes()), ..said }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: u64 = 1_800_000_000;

    fn keeper() -> Keeper {
        Keeper::new(NonZeroUsize::new(100).expect("not 0"), 50)
    }

    fn head(opcode: Opcode, key: &'static str, extras: Extras) -> Header {
        Header { key: Bytes::from_static(key.as_bytes()), extras, ..Header::request(opcode) }
    }

    fn store(opcode: Opcode, key: &'static str, expires: u32) -> Header {
        head(opcode, key, Extras::Store { flags: 7, expires })
    }

    fn value(keeper: &mut Keeper, now: u64, key: &'static str) -> Option<String> {
        let said = keeper.act(now, &head(Opcode::Get, key, Extras::None), Bytes::new());
        (said.status == Status::Ok).then(|| String::from_utf8(said.value.to_vec()).expect("a text"))
    }

    #[test]
    fn values_are_stored_by_their_conditions_and_go_when_their_time_is_over() {
        let mut k = keeper();
        let one = || Bytes::from_static(b"1");
        assert_eq!(k.act(NOW, &store(Opcode::Replace, "k", 0), one()).status, Status::NotFound);
        let first = k.act(NOW, &store(Opcode::Add, "k", 10), one());
        assert_eq!(
            (first.status, k.act(NOW, &store(Opcode::Add, "k", 0), one()).status),
            (Status::Ok, Status::Exists)
        );
        let bound = Header { cas: first.cas + 9, ..store(Opcode::Set, "k", 0) };
        assert_eq!(k.act(NOW, &bound, one()).status, Status::Exists);
        assert_eq!(value(&mut k, NOW + 9, "k"), Some("1".into()));
        assert_eq!(value(&mut k, NOW + 10, "k"), None);
        assert_eq!(
            k.act(NOW, &Header { cas: 5, ..store(Opcode::Set, "k", 0) }, one()).status,
            Status::NotFound
        );
        let moment = (NOW + 5) as u32;
        assert_eq!(k.act(NOW, &store(Opcode::Set, "k", moment), one()).status, Status::Ok);
        assert_eq!((value(&mut k, NOW + 4, "k"), value(&mut k, NOW + 5, "k")), (Some("1".into()), None));
        assert_eq!(
            k.act(NOW, &store(Opcode::Set, "k", 0), Bytes::from(vec![b'x'; 51])).status,
            Status::TooLarge
        );
        assert_eq!(k.ran(), 2);
    }

    #[test]
    fn counters_wrap_upwards_stop_at_nothing_and_begin_where_they_are_told() {
        let mut k = keeper();
        let count =
            |opcode, delta, expires| head(opcode, "n", Extras::Counter { delta, initial: 5, expires });
        let read = |said: Said| (said.status, said.value.to_vec());
        let is = |n: u64| (Status::Ok, n.to_be_bytes().to_vec());
        let must = count(Opcode::Increment, 1, u32::MAX);
        assert_eq!(k.act(NOW, &must, Bytes::new()).status, Status::NotFound);
        assert_eq!(read(k.act(NOW, &count(Opcode::Increment, 3, 0), Bytes::new())), is(5));
        assert_eq!(read(k.act(NOW, &count(Opcode::Increment, 3, 0), Bytes::new())), is(8));
        assert_eq!(read(k.act(NOW, &count(Opcode::Decrement, 9, 0), Bytes::new())), is(0));
        assert_eq!(read(k.act(NOW, &count(Opcode::Increment, u64::MAX, 0), Bytes::new())), is(u64::MAX));
        assert_eq!(read(k.act(NOW, &count(Opcode::Increment, 2, 0), Bytes::new())), is(1));
        assert_eq!(value(&mut k, NOW, "n"), Some("1".into()));
        k.act(NOW, &store(Opcode::Set, "n", 0), Bytes::from_static(b"one"));
        assert_eq!(k.act(NOW, &must, Bytes::new()).status, Status::NotNumber);
    }

    #[test]
    fn bytes_are_added_at_either_end_touched_and_deleted() {
        let mut k = keeper();
        let add = |opcode| head(opcode, "k", Extras::None);
        assert_eq!(k.act(NOW, &add(Opcode::Append), Bytes::new()).status, Status::NotStored);
        k.act(NOW, &store(Opcode::Set, "k", 5), Bytes::from_static(b"b"));
        k.act(NOW, &add(Opcode::Append), Bytes::from_static(b"c"));
        k.act(NOW, &add(Opcode::PrependQ), Bytes::from_static(b"a"));
        assert_eq!(value(&mut k, NOW, "k"), Some("abc".into()));
        assert_eq!(
            k.act(NOW, &head(Opcode::Touch, "k", Extras::Expiration(100)), Bytes::new()).status,
            Status::Ok
        );
        let said = k.act(NOW + 50, &head(Opcode::GatK, "k", Extras::Expiration(1)), Bytes::new());
        assert_eq!((said.extras, &said.key[..], &said.value[..]), (Extras::Flags(7), &b"k"[..], &b"abc"[..]));
        assert_eq!(value(&mut k, NOW + 51, "k"), None);
        assert_eq!(
            k.act(NOW, &head(Opcode::Delete, "k", Extras::None), Bytes::new()).status,
            Status::NotFound
        );
    }
}
