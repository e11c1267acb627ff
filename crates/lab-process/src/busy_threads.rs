//! Load beside a run: threads that do nothing but use processors.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Threads that keep processors busy until this is dropped.
pub struct BusyThreads {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    /// Starts so many.
    pub fn start(count: usize) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let spin = |over: Arc<AtomicBool>| {
            while !over.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        };
        let threads = (0..count)
            .map(|_| {
                let over = over.clone();
                std::thread::spawn(move || spin(over))
            })
            .collect();
        BusyThreads { over, threads }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that spins can't panic.
            let _ = thread.join();
        }
    }
}
