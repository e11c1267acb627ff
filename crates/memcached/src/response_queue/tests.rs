use super::*;
use proptest::prelude::*;

fn queue() -> ResponseQueue<u32> {
    ResponseQueue::new(QueueLimits { requests: 1000, bytes: 100 })
}

/// Guards against a slow request that delays the execution of the requests after it, or makes the queue grow
/// without bound.
#[test]
fn a_slow_request_delays_responses_but_not_work_and_what_waits_is_bounded() {
    let mut queue = queue();
    let slow = queue.push_request();
    let others: Vec<RequestNumber> = (0..998).map(|_| queue.push_request()).collect();
    assert!(queue.has_capacity());
    assert!(others.iter().enumerate().all(|(n, request)| queue.respond(*request, n as u32, 0)));
    assert_eq!((queue.pop_ready(), queue.len()), (None, 999));
    let last = queue.push_request();
    assert!(!queue.has_capacity(), "a thousand requests are in flight");
    assert!(queue.respond(last, 9999, 101));
    assert!(queue.respond(slow, 7, 0));
    assert_eq!(queue.pop_ready(), Some(7));
    let rest: Vec<u32> = std::iter::from_fn(|| queue.pop_ready()).collect();
    assert_eq!((rest.len(), rest[0], rest[998]), (999, 0, 9999));
    assert!(queue.is_empty() && queue.waiting_bytes() == 0);
}

#[test]
fn waiting_bytes_use_up_the_capacity_until_they_are_written() {
    let mut queue = queue();
    let (first, second) = (queue.push_request(), queue.push_request());
    assert!(queue.respond(second, 2, 101) && !queue.has_capacity());
    assert!(queue.respond(first, 1, 1));
    assert_eq!((queue.pop_ready(), queue.pop_ready(), queue.has_capacity()), (Some(1), Some(2), true));
}

#[test]
fn a_second_response_is_dropped() {
    let mut queue = queue();
    let (quiet, normal) = (queue.push_request(), queue.push_request());
    assert!(queue.suppress(quiet) && !queue.respond(quiet, 1, 5) && !queue.suppress(quiet));
    assert!(queue.respond(normal, 2, 5) && !queue.respond(normal, 3, 5));
    assert_eq!((queue.pop_ready(), queue.pop_ready(), queue.waiting_bytes()), (Some(2), None, 0));
    assert!(!queue.respond(normal, 4, 5), "its response has already been returned");
}

proptest! {
    #[test]
    fn responses_come_in_the_order_of_requests_and_each_once(
        ends in prop::collection::vec((0usize..20, prop::option::of(0usize..30)), 0..60),
    ) {
        let mut queue = ResponseQueue::new(QueueLimits { requests: 20, bytes: 1 << 20 });
        let (mut open, mut wanted, mut got) = (Vec::new(), Vec::new(), Vec::new());
        let mut next = 0;
        for (which, bytes) in ends {
            while queue.has_capacity() && open.len() < 10 {
                open.push((next, queue.push_request()));
                wanted.push((next, true));
                next += 1;
            }
            let (number, request) = open.remove(which % open.len());
            match bytes {
                Some(bytes) => prop_assert!(queue.respond(request, number, bytes)),
                None => {
                    prop_assert!(queue.suppress(request));
                    wanted[number as usize].1 = false;
                }
            }
            got.extend(std::iter::from_fn(|| queue.pop_ready()));
        }
        for (number, request) in open {
            prop_assert!(queue.respond(request, number, 1));
        }
        got.extend(std::iter::from_fn(|| queue.pop_ready()));
        let wanted: Vec<u32> = wanted.into_iter().filter(|w| w.1).map(|w| w.0).collect();
        prop_assert_eq!(got, wanted);
        prop_assert!(queue.is_empty() && queue.waiting_bytes() == 0);
    }
}
