//! CPU contention for a run: threads that do nothing but use CPU time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Threads that keep CPU cores busy until this value is dropped.
pub struct BusyThreads {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    /// Starts `count` threads.
    pub fn start(count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spin = |stop: Arc<AtomicBool>| {
            while !stop.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        };
        let threads = (0..count)
            .map(|_| {
                let stop = stop.clone();
                std::thread::spawn(move || spin(stop))
            })
            .collect();
        BusyThreads { stop, threads }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // The loop of the thread can't panic.
            let _ = thread.join();
        }
    }
}
