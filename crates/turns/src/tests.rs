//! Tests of the scheduler and of the text form of a schedule.

use super::*;

const LOCK: Wait = Wait::Futex { address: 8, bits: u32::MAX, limited: false };
const LOCK_WITH_TIMEOUT: Wait = Wait::Futex { address: 8, bits: u32::MAX, limited: true };
const SEEDS: std::ops::Range<u64> = 0..200;

/// Returns a scheduler of two threads whose seed holds back the given thread, or none.
fn scheduler_holding_back(index: Option<usize>) -> Scheduler {
    let held = |s: &Scheduler| s.held_back().map(ThreadId::index) == index;
    let mut scheduler = SEEDS.map(Scheduler::new).find(held).expect("a seed with this held-back thread");
    scheduler.create();
    scheduler
}

/// Makes the holder of the turn make this call `times` times.
fn repeat_call(scheduler: &mut Scheduler, call: Call, times: u32) -> Result<(), Fault> {
    (0..times).try_for_each(|_| {
        let holder = scheduler.holder().expect("a thread runs");
        scheduler.turn(holder, call)
    })
}

#[test]
fn same_seed_draws_same_order() {
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
fn held_back_thread_runs_only_when_no_other_is_ready() {
    let mut scheduler = scheduler_holding_back(Some(1));
    repeat_call(&mut scheduler, Call::Send, 100).expect("no fault");
    assert_eq!(scheduler.holder(), Some(ThreadId::MAIN));
    scheduler.wait(ThreadId::MAIN, Call::FutexWait, LOCK).expect("the other can run");
    assert_eq!(scheduler.holder().map(ThreadId::index), Some(1));
}

#[test]
fn repeated_yields_with_another_thread_ready_are_a_spin_fault() {
    let mut scheduler = scheduler_holding_back(Some(1));
    repeat_call(&mut scheduler, Call::Yield, MAX_YIELDS - 1).expect("not yet");
    assert_eq!(repeat_call(&mut scheduler, Call::Yield, 1), Err(Fault::Spins(Call::Yield)));
}

#[test]
fn another_call_resets_the_yield_count() {
    let mut scheduler = scheduler_holding_back(Some(1));
    for _ in 0..3 {
        repeat_call(&mut scheduler, Call::Yield, MAX_YIELDS - 1).expect("no fault");
        repeat_call(&mut scheduler, Call::Send, 1).expect("no fault");
    }
}

#[test]
fn yields_with_no_other_thread_ready_are_no_fault() {
    let mut scheduler = Scheduler::new(0);
    repeat_call(&mut scheduler, Call::Yield, 3 * MAX_YIELDS).expect("no fault");
}

#[test]
fn calls_without_a_wait_are_a_fault() {
    let mut scheduler = scheduler_holding_back(Some(1));
    repeat_call(&mut scheduler, Call::Send, MAX_TURNS - 1).expect("not yet");
    assert_eq!(repeat_call(&mut scheduler, Call::Send, 1), Err(Fault::NeverWaits(Call::Send)));
}

#[test]
fn wake_readies_at_most_the_given_number_of_threads() {
    let mut scheduler = Scheduler::new(0);
    let (first, second) = (scheduler.create(), scheduler.create());
    for id in [first, second] {
        while scheduler.holder() != Some(id) {
            repeat_call(&mut scheduler, Call::Send, 1).expect("no fault");
        }
        scheduler.wait(id, Call::FutexWait, LOCK).expect("main can run");
    }
    assert_eq!(scheduler.wake(16, u32::MAX, 2), 0);
    assert_eq!(scheduler.wake(8, u32::MAX, 1), 1);
    assert!(!scheduler.is_waiting(first) && scheduler.is_waiting(second));
}

#[test]
fn all_threads_waiting_for_each_other_is_a_fault() {
    let mut scheduler = scheduler_holding_back(None);
    let first = scheduler.holder().expect("a thread runs");
    scheduler.wait(first, Call::FutexWait, LOCK).expect("the other can run");
    let second = scheduler.holder().expect("the other runs");
    assert_eq!(scheduler.wait(second, Call::FutexWait, LOCK), Err(Fault::Deadlock(Call::FutexWait)));
}

#[test]
fn wait_with_timeout_or_for_outside_event_is_no_fault() {
    for wait in [LOCK_WITH_TIMEOUT, Wait::Outside] {
        let mut scheduler = scheduler_holding_back(None);
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
fn join_returns_when_the_thread_ends_and_not_before() {
    let mut scheduler = scheduler_holding_back(Some(1));
    let other = scheduler.create();
    scheduler.wait(ThreadId::MAIN, Call::JoinThread, Wait::End(other)).expect("others can run");
    assert_eq!(scheduler.holder(), Some(other));
    scheduler.end(other).expect("the first waits no more");
    assert_eq!(scheduler.holder(), Some(ThreadId::MAIN));
    scheduler.wait(ThreadId::MAIN, Call::JoinThread, Wait::End(other)).expect("it has ended");
    assert!(!scheduler.is_waiting(ThreadId::MAIN));
}

#[test]
fn call_without_the_turn_is_a_fault() {
    let mut scheduler = Scheduler::new(0);
    let other = scheduler.create();
    assert_eq!(scheduler.turn(other, Call::Send), Err(Fault::WithoutTurn(Call::Send)));
}

#[test]
fn schedule_round_trips_through_its_text_form() {
    let schedule = ThreadSchedule { seed: 7, signals: vec![(40, 1), (200, 15)] };
    assert_eq!(ThreadSchedule::from_text(&schedule.seed.to_string(), "40:1,200:15"), schedule);
    assert_eq!(ThreadSchedule::from_text("", ""), ThreadSchedule::default());
}
