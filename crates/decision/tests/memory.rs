//! The memory of the decision module is bounded while servers, keys and requests come and go.

mod common;
use aniseyoke_decision::api::*;
use common::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};

/// The system allocator with a count of the allocated bytes. This file has only one test, so that no other
/// test allocates meanwhile.
struct Counting;
static ALLOCATED_BYTES: AtomicIsize = AtomicIsize::new(0);

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Replaces the whole fleet and submits requests for new keys, which end with various outcomes.
fn round(p: &mut Proxy, n: u64) {
    p.list(ListKind::Full, entries(n * 50..n * 50 + 50));
    for i in 0..3000u64 {
        p.now += 2 * MS;
        let (id, actions) = p.request((n * 3000 + i).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Some(server) = sent(&actions) else { continue };
        let hit = Some(i % 5 == 0);
        if i % 3 == 0 {
            p.event(Event::ResponseStarted { id, attempt: 0 });
        }
        let actions = match i % 8 {
            0 => p.end(id, 0, server, Status::Timeout, None),
            1 => p.end(id, 0, server, Status::ConnectFailed, None),
            2 => p.event(Event::ClientLeft(id)),
            3 => p.event(Event::AnswerBegun(id)),
            _ => p.end(id, 0, server, Status::Ok, hit),
        };
        // Ends the second attempt, or the streamed answer.
        if let Some(second) = sent(&actions) {
            p.end(id, 1, second, Status::Ok, hit);
        } else if i % 8 == 3 {
            p.end(id, 0, server, Status::Ok, hit);
        }
    }
}

#[test]
fn memory_does_not_grow_with_servers_keys_and_requests_that_come_and_go() {
    let mut p = Proxy::new(settings(), 7);
    (0..20).for_each(|n| round(&mut p, n));
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    (20..60).for_each(|n| round(&mut p, n));
    let after = ALLOCATED_BYTES.load(Ordering::Relaxed);
    assert!(before > 100_000, "{before} bytes allocated, too few for a valid count");
    assert!(after < before + before / 10, "{before} bytes allocated after 20 fleets, {after} after 60");
}
