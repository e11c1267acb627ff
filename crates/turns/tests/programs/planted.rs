//! A program whose threads are at fault in the way that its argument names, or not at all.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

/// Calls without a wait, more than the scheduler lets pass.
const ENDLESS_CALLS: u32 = 200_000;

/// A flag, and the lock and the condition variable of those who wait for it.
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

    /// Waits as it has to be done: looks at the flag under the lock.
    fn wait(&self) {
        let mut guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.is_set() {
            guard = self.changed.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// The planted fault: looks at the flag before it takes the lock, so that a wake-up between the two is lost.
    fn wait_with_lost_wakeup(&self) {
        if self.is_set() {
            return;
        }
        thread::yield_now();
        let guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.changed.wait(guard));
    }

    /// The planted fault: yields until the flag is set.
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

/// The planted fault: keeps the process to itself with calls that don't wait.
fn keep_busy() {
    let mut sink = std::fs::OpenOptions::new().write(true).open("/dev/null").expect("a sink");
    for _ in 0..ENDLESS_CALLS {
        sink.write_all(b"x").expect("written");
    }
}

fn main() {
    let fault = std::env::args().nth(1).unwrap_or_default();
    let flag = Arc::new(Flag::default());
    let of_thread = flag.clone();
    let setter = thread::spawn(move || of_thread.set());
    match fault.as_str() {
        "none" => flag.wait(),
        "spin" => flag.spin(),
        "lost-wakeup" => flag.wait_with_lost_wakeup(),
        "never-waits" => keep_busy(),
        other => panic!("unknown fault {other:?}"),
    }
    setter.join().expect("it ends");
    println!("done");
}
