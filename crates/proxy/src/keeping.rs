//! Writes what is kept over restarts on a thread of its own. Danger: a disk that hangs must hold up neither the news that
//! comes nor the proxy, and what waits for it must not grow: the newest waits, and replaces what waited before it.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

struct Slot<T> {
    next: Mutex<Next<T>>,
    told: Condvar,
}

struct Next<T> {
    kept: Option<T>,
    over: bool,
}

impl<T> Slot<T> {
    fn next(&self) -> MutexGuard<'_, Next<T>> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The one writer of a file.
pub struct Keeping<T>(Arc<Slot<T>>);

impl<T: Send + 'static> Keeping<T> {
    /// Starts the thread; `write` is called with one value after the other.
    ///
    /// # Errors
    /// If there is no thread to be had.
    pub fn start(mut write: impl FnMut(T) + Send + 'static) -> io::Result<Self> {
        let slot =
            Arc::new(Slot { next: Mutex::new(Next { kept: None, over: false }), told: Condvar::new() });
        let waits = slot.clone();
        let writes = move || loop {
            let mut next = waits.next();
            while next.kept.is_none() && !next.over {
                next = waits.told.wait(next).unwrap_or_else(PoisonError::into_inner);
            }
            let Some(kept) = next.kept.take() else { return };
            drop(next);
            write(kept);
        };
        std::thread::Builder::new().name("keeping".into()).spawn(writes)?;
        Ok(Keeping(slot))
    }

    /// Keeps this one next, whatever waited before it.
    pub fn keep(&self, kept: T) {
        self.0.next().kept = Some(kept);
        self.0.told.notify_one();
    }
}

impl<T> Drop for Keeping<T> {
    fn drop(&mut self) {
        self.0.next().over = true;
        self.0.told.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::channel;

    #[test]
    fn while_the_disk_hangs_only_the_newest_waits_and_nobody_waits_for_it() {
        let ((begun, begins), (let_go, goes)) = (channel(), channel());
        let keeping = Keeping::start(move |kept: u64| {
            begun.send(kept).expect("the test looks");
            // The disk hangs until the test says otherwise.
            goes.recv().expect("the test goes on");
        });
        let keeping = keeping.expect("started");
        keeping.keep(1);
        assert_eq!(begins.recv(), Ok(1));
        (2..50).for_each(|n| keeping.keep(n));
        let_go.send(()).expect("it waits");
        assert_eq!(begins.recv(), Ok(49));
        drop(keeping);
        let_go.send(()).expect("it waits");
        assert!(begins.recv().is_err(), "the thread ends, and wrote nothing else");
    }
}
