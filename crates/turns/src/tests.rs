//! Tests of the scheduler.

use super::*;

const LOCK: Wait = Wait::Futex { address: 8, bits: u32::MAX, limited: false };
const LIMITED: Wait = Wait::Futex { address: 8, bits: u32::MAX, limited: true };
const SEEDS: std::ops::Range<u64> = 0..200;

/// A scheduler of two threads, and a seed that holds this thread back or none.
fn holding_back(index: Option<usize>) -> Scheduler {
    let held = |s: &Scheduler| s.held_back().map(ThreadId::index) == index;
    let mut scheduler = SEEDS.map(Scheduler::new).find(held).expect("such a seed");
    scheduler.create();
    scheduler
}

/// Has whoever has the turn make this call so often.
fn repeat(scheduler: &mut Scheduler, call: Call, times: u32) -> Result<(), Fault> {
    (0..times).try_for_each(|_| {
        let holder = scheduler.holder().expect("a thread runs");
        scheduler.turn(holder, call)
    })
}

#[test]
fn a_seed_draws_the_same_order_again() {
    let order = |seed| {
        let mut scheduler = Scheduler::new(seed);
        scheduler.create();
        scheduler.create();
        let step = |_| {
            let holder = scheduler.holder().expect("a thread runs");
            scheduler.turn(holder, Call::Send).expect("no fault");
            holder.index()
        };
        (0..100).map(step).collect::<Vec<_>>()
    };
    assert!(SEEDS.clone().all(|seed| order(seed) == order(seed)));
    assert!(SEEDS.skip(1).any(|seed| order(seed) != order(0)));
}

#[test]
fn the_thread_that_is_held_back_runs_when_no_other_can() {
    let mut scheduler = holding_back(Some(1));
    repeat(&mut scheduler, Call::Send, 100).expect("no fault");
    assert_eq!(scheduler.holder(), Some(ThreadId::MAIN));
    scheduler.wait(ThreadId::MAIN, Call::FutexWait, LOCK).expect("the other can run");
    assert_eq!(scheduler.holder().map(ThreadId::index), Some(1));
}

#[test]
fn a_thread_that_yields_over_one_that_is_held_back_spins() {
    let mut scheduler = holding_back(Some(1));
    repeat(&mut scheduler, Call::Yield, MAX_YIELDS - 1).expect("not yet");
    assert_eq!(repeat(&mut scheduler, Call::Yield, 1), Err(Fault::Spins(Call::Yield)));
}

#[test]
fn yields_with_a_call_between_them_are_no_spinning() {
    let mut scheduler = holding_back(Some(1));
    for _ in 0..3 {
        repeat(&mut scheduler, Call::Yield, MAX_YIELDS - 1).expect("no fault");
        repeat(&mut scheduler, Call::Send, 1).expect("no fault");
    }
}

#[test]
fn yields_are_no_spinning_while_no_other_thread_can_run() {
    let mut scheduler = Scheduler::new(0);
    repeat(&mut scheduler, Call::Yield, 3 * MAX_YIELDS).expect("no fault");
}

#[test]
fn a_thread_that_never_waits_is_a_fault() {
    let mut scheduler = holding_back(Some(1));
    repeat(&mut scheduler, Call::Send, MAX_TURNS - 1).expect("not yet");
    assert_eq!(repeat(&mut scheduler, Call::Send, 1), Err(Fault::NeverWaits(Call::Send)));
}

#[test]
fn a_wake_up_makes_as_many_ready_as_it_says() {
    let mut scheduler = Scheduler::new(0);
    let (first, second) = (scheduler.create(), scheduler.create());
    for id in [first, second] {
        while scheduler.holder() != Some(id) {
            repeat(&mut scheduler, Call::Send, 1).expect("no fault");
        }
        scheduler.wait(id, Call::FutexWait, LOCK).expect("main can run");
    }
    assert_eq!(scheduler.wake(16, u32::MAX, 2), 0);
    assert_eq!(scheduler.wake(8, u32::MAX, 1), 1);
    assert!(!scheduler.is_waiting(first) && scheduler.is_waiting(second));
}

#[test]
fn threads_that_all_wait_for_each_other_are_a_fault() {
    let mut scheduler = holding_back(None);
    let first = scheduler.holder().expect("a thread runs");
    scheduler.wait(first, Call::FutexWait, LOCK).expect("the other can run");
    let second = scheduler.holder().expect("the other runs");
    assert_eq!(scheduler.wait(second, Call::FutexWait, LOCK), Err(Fault::AllWait(Call::FutexWait)));
}

#[test]
fn a_wait_with_a_limit_or_for_what_is_outside_is_no_fault() {
    for wait in [LIMITED, Wait::Outside] {
        let mut scheduler = holding_back(None);
        let first = scheduler.holder().expect("a thread runs");
        scheduler.wait(first, Call::FutexWait, LOCK).expect("the other can run");
        let second = scheduler.holder().expect("the other runs");
        scheduler.wait(second, Call::FutexWait, wait).expect("it ends by itself");
        assert_eq!(scheduler.holder(), None);
        scheduler.resume(second);
        assert_eq!(scheduler.holder(), Some(second));
    }
}

#[test]
fn whoever_waits_for_a_threads_end_goes_on_when_it_ends_and_not_before() {
    let mut scheduler = holding_back(Some(1));
    let other = scheduler.create();
    scheduler.wait(ThreadId::MAIN, Call::JoinThread, Wait::End(other)).expect("others can run");
    assert_eq!(scheduler.holder(), Some(other));
    scheduler.end(other).expect("the first waits no more");
    assert_eq!(scheduler.holder(), Some(ThreadId::MAIN));
    scheduler.wait(ThreadId::MAIN, Call::JoinThread, Wait::End(other)).expect("it has ended");
    assert!(!scheduler.is_waiting(ThreadId::MAIN));
}

#[test]
fn a_call_without_the_turn_is_a_fault() {
    let mut scheduler = Scheduler::new(0);
    let other = scheduler.create();
    assert_eq!(scheduler.turn(other, Call::Send), Err(Fault::WithoutTurn(Call::Send)));
}

#[test]
fn an_order_is_read_as_it_was_written() {
    let order = Order { seed: 7, signals: vec![(40, 1), (200, 15)] };
    assert_eq!(Order::from_text(&order.seed.to_string(), "40:1,200:15"), order);
    assert_eq!(Order::from_text("", ""), Order::default());
}
