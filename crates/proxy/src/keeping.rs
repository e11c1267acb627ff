//! Writes the last good version on a thread of its own. Danger: a disk that hangs must hold up neither the versions that
//! come nor the proxy, and what waits for it must not grow: the newest waits, and replaces what waited before it.

use aniseyoke_control::store::Kept;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Slot {
    next: Mutex<Next>,
    told: Condvar,
}

#[derive(Default)]
struct Next {
    kept: Option<Kept>,
    over: bool,
}

impl Slot {
    fn next(&self) -> MutexGuard<'_, Next> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The one writer of the last good version.
pub struct Keeping(Arc<Slot>);

impl Keeping {
    /// Starts the thread; `write` is called with one version after the other.
    ///
    /// # Errors
    /// If there is no thread to be had.
    pub fn start(mut write: impl FnMut(Kept) + Send + 'static) -> io::Result<Self> {
        let slot = Arc::<Slot>::default();
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
    pub fn keep(&self, kept: Kept) {
        self.0.next().kept = Some(kept);
        self.0.told.notify_one();
    }
}

impl Drop for Keeping {
    fn drop(&mut self) {
        self.0.next().over = true;
        self.0.told.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use aniseyoke_control::{Stamp, Version};
    use std::sync::mpsc::channel;

    #[test]
    fn while_the_disk_hangs_only_the_newest_waits_and_nobody_waits_for_it() {
        let ((begun, begins), (let_go, goes)) = (channel(), channel());
        let keeping = Keeping::start(move |kept| {
            begun.send(kept.version.stamp.number).expect("the test looks");
            // The disk hangs until the test says otherwise.
            goes.recv().expect("the test goes on");
        });
        let keeping = keeping.expect("started");
        let kept = |number| Kept { version: Version::new(Stamp { epoch: 1, number }, &().into()), at_ms: 1 };
        keeping.keep(kept(1));
        assert_eq!(begins.recv(), Ok(1));
        (2..50).for_each(|n| keeping.keep(kept(n)));
        let_go.send(()).expect("it waits");
        assert_eq!(begins.recv(), Ok(49));
        drop(keeping);
        let_go.send(()).expect("it waits");
        assert!(begins.recv().is_err(), "the thread ends, and wrote nothing else");
    }
}
