//! A program whose threads have the fault that its argument names, or none.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

/// The number of calls without a wait; more than the scheduler allows.
const ENDLESS_CALLS: u32 = 200_000;

/// A flag with the lock and the condition variable of its waiters.
#[derive(Default)]
struct Flag {
    set: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl Flag {
    fn is_set(&self) -> bool {
        self.set.load(Ordering::SeqCst)
    }

    /// Waits correctly: checks the flag while holding the lock.
    fn wait(&self) {
        let mut guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.is_set() {
            guard = self.changed.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Planted fault: checks the flag before taking the lock, so that a wake-up between the two is lost.
    fn wait_with_lost_wakeup(&self) {
        if self.is_set() {
            return;
        }
        thread::yield_now();
        let guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.changed.wait(guard));
    }

    /// Planted fault: yields until the flag is set.
    fn spin(&self) {
        while !self.is_set() {
            thread::yield_now();
        }
    }

    fn set(&self) {
        let guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        self.set.store(true, Ordering::SeqCst);
        drop(guard);
        self.changed.notify_all();
    }
}

/// Planted fault: makes many calls without ever waiting.
fn write_without_waiting() {
    let mut sink = std::fs::OpenOptions::new().write(true).open("/dev/null").expect("a sink");
    for _ in 0..ENDLESS_CALLS {
        sink.write_all(b"x").expect("written");
    }
}

fn main() {
    let fault = std::env::args().nth(1).unwrap_or_default();
    let flag = Arc::new(Flag::default());
    let thread_flag = flag.clone();
    let setter = thread::spawn(move || thread_flag.set());
    match fault.as_str() {
        "none" => flag.wait(),
        "spin" => flag.spin(),
        "lost-wakeup" => flag.wait_with_lost_wakeup(),
        "never-waits" => write_without_waiting(),
        other => panic!("unknown fault {other:?}"),
    }
    setter.join().expect("it ends");
    println!("done");
}
