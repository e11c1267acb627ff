//! A memcached server's own behaviour, without I/O or clock: what each operation does to the values kept, and what it
//! answers. The laboratory's nodes of that protocol stand on it, and client libraries of others are tried against it.

mod server;

pub use server::Server;

use aniseyoke_memcached::{Extras, Head, Opcode, Status};
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
    pub fn act(&mut self, now: u64, head: &Head, value: Bytes) -> Said {
        let Some(opcode) = head.operation() else { return Said::words(Status::Unknown) };
        if value.len() > self.value_most {
            return Said::words(Status::TooLarge);
        }
        match (opcode.loud(), head.extras) {
            (Opcode::Get | Opcode::GetK, _) => self.read(now, head, opcode, None),
            (Opcode::Gat | Opcode::GatK, Extras::Expires(expires)) => {
                self.read(now, head, opcode, Some(Self::until(now, expires)))
            }
            (Opcode::Touch, Extras::Expires(expires)) => {
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
                opcode.loud(),
                Item { value, flags, until: Self::until(now, expires), cas: 0 },
            ),
            (Opcode::Append | Opcode::Prepend, _) => self.extend(now, head, opcode.loud(), &value),
            (Opcode::Delete, _) => match self.get(now, &head.key).map(|i| i.cas) {
                None => Said::words(Status::NotFound),
                Some(cas) if head.cas != 0 && head.cas != cas => Said::words(Status::Exists),
                Some(_) => {
                    self.items.pop(&head.key);
                    self.ran += 1;
                    Said::done(0)
                }
            },
            (Opcode::Increment | Opcode::Decrement, Extras::Count { delta, initial, expires }) => {
                self.count(now, head, opcode.loud(), (delta, initial, expires))
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

    fn read(&mut self, now: u64, head: &Head, opcode: Opcode, touched: Option<Option<u64>>) -> Said {
        let key = if opcode.answers_with_key() { head.key.clone() } else { Bytes::new() };
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

    fn store(&mut self, now: u64, head: &Head, opcode: Opcode, item: Item) -> Said {
        match (self.get(now, &head.key).map(|i| i.cas), opcode) {
            (Some(_), Opcode::Add) => Said::words(Status::Exists),
            (None, Opcode::Replace) => Said::words(Status::NotFound),
            (None, _) if head.cas != 0 => Said::words(Status::NotFound),
            (Some(cas), _) if head.cas != 0 && head.cas != cas => Said::words(Status::Exists),
            _ => self.put(&head.key, item),
        }
    }

    fn extend(&mut self, now: u64, head: &Head, opcode: Opcode, more: &[u8]) -> Said {
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
        head: &Head,
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
mod tests;
