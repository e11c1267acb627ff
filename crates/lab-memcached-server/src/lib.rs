//! A memcached server for the binary protocol, for tests. [`Store`] implements the operations on the stored values and
//! their responses, without I/O or a clock. [`Server`] serves a store on sockets; third-party client libraries are
//! tested against it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod server;

pub use server::Server;

use aniseyoke_memcached::{Extras, Header, Opcode, Status};
use bytes::Bytes;
use lru::LruCache;
use std::num::NonZeroUsize;

/// Maximum relative time to live, in seconds: 30 days. Larger values are absolute Unix times.
const MAX_RELATIVE_EXPIRY: u32 = 60 * 60 * 24 * 30;
/// Time to live of a counter operation that fails if the counter does not exist.
const NO_INITIAL_VALUE: u32 = u32::MAX;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Item {
    value: Bytes,
    flags: u32,
    /// Expiry as Unix time in seconds; `None` if the value does not expire.
    expires_at: Option<u64>,
    cas: u64,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status of the request.
    pub status: Status,
    /// The flags, if the response contains a value.
    pub extras: Extras,
    /// The key, if the operation returns it.
    pub key: Bytes,
    /// The value, or the text of the status.
    pub value: Bytes,
    /// The CAS version of the value.
    pub cas: u64,
}

impl Response {
    fn status_only(status: Status) -> Self {
        let value = Bytes::from_static(status.text().as_bytes());
        Response { status, extras: Extras::None, key: Bytes::new(), value, cas: 0 }
    }

    fn ok(cas: u64) -> Self {
        Response { cas, ..Response::status_only(Status::Ok) }
    }
}

/// The stored values of a server.
pub struct Store {
    items: LruCache<Bytes, Item>,
    max_value_bytes: usize,
    next_cas: u64,
    /// Number of requests that changed stored values, for the auditor.
    mutations: u64,
}

impl Store {
    /// A store for this many values of at most `max_value_bytes` each; the least recently used is evicted first.
    pub fn new(items: NonZeroUsize, max_value_bytes: usize) -> Self {
        Store { items: LruCache::new(items), max_value_bytes, next_cas: 1, mutations: 0 }
    }

    /// Number of requests that changed stored values.
    pub fn mutations(&self) -> u64 {
        self.mutations
    }

    fn expires_at(now: u64, expires: u32) -> Option<u64> {
        match expires {
            0 => None,
            span if span <= MAX_RELATIVE_EXPIRY => Some(now + u64::from(span)),
            timestamp => Some(u64::from(timestamp)),
        }
    }

    fn get(&mut self, now: u64, key: &Bytes) -> Option<&mut Item> {
        if self.items.peek(key).is_some_and(|i| i.expires_at.is_some_and(|expires_at| expires_at <= now)) {
            self.items.pop(key);
        }
        self.items.get_mut(key)
    }

    fn put(&mut self, key: &Bytes, mut item: Item) -> Response {
        item.cas = self.next_cas;
        self.next_cas += 1;
        self.mutations += 1;
        let cas = item.cas;
        // The key is copied: a slice of the read buffer would keep the whole buffer allocated as long as the value is
        // stored.
        self.items.put(Bytes::copy_from_slice(key), item);
        Response::ok(cas)
    }

    /// Applies a request. `now` is Unix time in seconds. Operations on the connection, such as quit, are left to the
    /// caller.
    pub fn apply(&mut self, now: u64, head: &Header, value: Bytes) -> Response {
        let Some(opcode) = head.operation() else { return Response::status_only(Status::Unknown) };
        if value.len() > self.max_value_bytes {
            return Response::status_only(Status::TooLarge);
        }
        match (opcode.without_quiet(), head.extras) {
            (Opcode::Get | Opcode::GetK, _) => self.read(now, head, opcode, None),
            (Opcode::Gat | Opcode::GatK, Extras::Expiration(expires)) => {
                self.read(now, head, opcode, Some(Self::expires_at(now, expires)))
            }
            (Opcode::Touch, Extras::Expiration(expires)) => {
                let expires_at = Self::expires_at(now, expires);
                match self.get(now, &head.key) {
                    Some(item) => {
                        item.expires_at = expires_at;
                        let cas = item.cas;
                        self.mutations += 1;
                        Response::ok(cas)
                    }
                    None => Response::status_only(Status::NotFound),
                }
            }
            (Opcode::Set | Opcode::Add | Opcode::Replace, Extras::Store { flags, expires }) => self
                .store_value(
                    now,
                    head,
                    opcode.without_quiet(),
                    Item { value, flags, expires_at: Self::expires_at(now, expires), cas: 0 },
                ),
            (Opcode::Append | Opcode::Prepend, _) => self.extend(now, head, opcode.without_quiet(), &value),
            (Opcode::Delete, _) => match self.get(now, &head.key).map(|i| i.cas) {
                None => Response::status_only(Status::NotFound),
                Some(cas) if head.cas != 0 && head.cas != cas => Response::status_only(Status::Exists),
                Some(_) => {
                    self.items.pop(&head.key);
                    self.mutations += 1;
                    Response::ok(0)
                }
            },
            (Opcode::Increment | Opcode::Decrement, Extras::Counter { delta, initial, expires }) => {
                self.count(now, head, opcode.without_quiet(), (delta, initial, expires))
            }
            (Opcode::Flush, _) => {
                self.items.clear();
                self.mutations += 1;
                Response::ok(0)
            }
            (Opcode::Noop | Opcode::Quit | Opcode::Verbosity, _) => Response::ok(0),
            (Opcode::Version, _) => Response { value: Bytes::from_static(b"1.6.0"), ..Response::ok(0) },
            _ => Response::status_only(Status::NotSupported),
        }
    }

    fn read(&mut self, now: u64, head: &Header, opcode: Opcode, new_expiry: Option<Option<u64>>) -> Response {
        let key = if opcode.returns_key() { head.key.clone() } else { Bytes::new() };
        let Some(item) = self.get(now, &head.key) else {
            return Response { key, ..Response::status_only(Status::NotFound) };
        };
        if let Some(expires_at) = new_expiry {
            item.expires_at = expires_at;
        }
        Response {
            status: Status::Ok,
            extras: Extras::Flags(item.flags),
            key,
            value: item.value.clone(),
            cas: item.cas,
        }
    }

    fn store_value(&mut self, now: u64, head: &Header, opcode: Opcode, item: Item) -> Response {
        match (self.get(now, &head.key).map(|i| i.cas), opcode) {
            (Some(_), Opcode::Add) => Response::status_only(Status::Exists),
            (None, Opcode::Replace) => Response::status_only(Status::NotFound),
            (None, _) if head.cas != 0 => Response::status_only(Status::NotFound),
            (Some(cas), _) if head.cas != 0 && head.cas != cas => Response::status_only(Status::Exists),
            _ => self.put(&head.key, item),
        }
    }

    fn extend(&mut self, now: u64, head: &Header, opcode: Opcode, addition: &[u8]) -> Response {
        let Some(item) = self.get(now, &head.key).cloned() else {
            return Response::status_only(Status::NotStored);
        };
        if head.cas != 0 && head.cas != item.cas {
            return Response::status_only(Status::Exists);
        }
        if item.value.len() + addition.len() > self.max_value_bytes {
            return Response::status_only(Status::TooLarge);
        }
        let value = if opcode == Opcode::Append { [&item.value, addition] } else { [addition, &item.value] };
        self.put(&head.key, Item { value: value.concat().into(), ..item })
    }

    fn count(
        &mut self,
        now: u64,
        head: &Header,
        opcode: Opcode,
        (delta, initial, expires): (u64, u64, u32),
    ) -> Response {
        let Some(item) = self.get(now, &head.key).cloned() else {
            if expires == NO_INITIAL_VALUE {
                return Response::status_only(Status::NotFound);
            }
            let value = Bytes::from(initial.to_string());
            let response = self
                .put(&head.key, Item { value, flags: 0, expires_at: Self::expires_at(now, expires), cas: 0 });
            return Response { value: Bytes::copy_from_slice(&initial.to_be_bytes()), ..response };
        };
        if head.cas != 0 && head.cas != item.cas {
            return Response::status_only(Status::Exists);
        }
        let number =
            std::str::from_utf8(&item.value).ok().and_then(|text| text.trim_end().parse::<u64>().ok());
        let Some(before) = number else { return Response::status_only(Status::NotNumber) };
        // An increment wraps around at 2^64; a decrement stops at 0.
        let after = match opcode {
            Opcode::Increment => before.wrapping_add(delta),
            _ => before.saturating_sub(delta),
        };
        let response = self.put(&head.key, Item { value: Bytes::from(after.to_string()), ..item });
        Response { value: Bytes::copy_from_slice(&after.to_be_bytes()), ..response }
    }
}

#[cfg(test)]
mod tests;
