//! Which processes of this proxy run side by side while one replaces another, and how many descriptors each may take. File
//! locks tell which of them run, and no time is exchanged, so that no clock can make one seem to have ended.

use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Most processes of one proxy that run at once.
const MAX_PROCESSES: usize = 4;
/// A claim is written as a number of so many digits.
const CLAIM_DIGITS: usize = 10;
/// How often each slot is tried.
const ROUNDS: usize = 4;

/// One of the lock files that processes of a proxy share.
struct Slot {
    number: usize,
    /// Locked for as long as the process runs, so that the kernel frees it however the process ends.
    file: File,
}

/// This process among the processes of its proxy.
pub struct Peers {
    dir: Option<PathBuf>,
    own: Option<Slot>,
}

impl Peers {
    /// Takes a slot in a folder that all processes of the proxy share; without a folder, or a free slot, the process counts
    /// as the only one.
    pub fn join(dir: Option<PathBuf>) -> Self {
        let own = dir.as_deref().and_then(Slot::take_any);
        if dir.is_some() && own.is_none() {
            tracing::warn!("no place among the processes of this proxy: it counts itself as alone");
        }
        Peers { dir, own }
    }

    /// Tells the others that this process takes at most so many descriptors from now on.
    pub fn claim(&self, descriptors: usize) {
        if let Some(Slot { file, .. }) = &self.own {
            // A claim that is not written leaves the others with less.
            let _ = file.write_all_at(format!("{descriptors:0CLAIM_DIGITS$}").as_bytes(), 0);
        }
    }

    /// The claims of the other processes that run; `None`: that one claims an even part.
    pub fn other_claims(&self) -> Vec<Option<usize>> {
        let (Some(dir), Some(own)) = (&self.dir, &self.own) else { return Vec::new() };
        let others = (0..MAX_PROCESSES).filter(|number| *number != own.number);
        others.filter(|number| is_taken(dir, *number)).map(|number| read_claim(dir, number)).collect()
    }
}

impl Slot {
    fn take_any(dir: &Path) -> Option<Slot> {
        // Each is tried again, since whoever checks whether a slot is taken locks it for a moment.
        (0..ROUNDS * MAX_PROCESSES).find_map(|n| Self::take(dir, n % MAX_PROCESSES))
    }

    fn take(dir: &Path, number: usize) -> Option<Slot> {
        let mut options = OpenOptions::new();
        let file = options.create(true).truncate(false).write(true).open(slot_path(dir, number)).ok()?;
        file.try_lock().ok()?;
        // The claim of a process that has ended is not inherited.
        let _ = file.set_len(0);
        Some(Slot { number, file })
    }
}

fn is_taken(dir: &Path, number: usize) -> bool {
    File::open(slot_path(dir, number)).is_ok_and(|file| file.try_lock_shared().is_err())
}

fn read_claim(dir: &Path, number: usize) -> Option<usize> {
    fs::read_to_string(slot_path(dir, number)).ok()?.trim().parse().ok()
}

fn slot_path(dir: &Path, number: usize) -> PathBuf {
    dir.join(format!("aniseyoke-alive.{number}"))
}

/// How many of `total` descriptors are left for this process beside others with these claims.
pub fn remaining_descriptors(total: usize, other_claims: &[Option<usize>]) -> usize {
    let even_part = total / (other_claims.len() + 1);
    let claimed: usize = other_claims.iter().map(|claim| claim.unwrap_or(even_part).min(total)).sum();
    total.saturating_sub(claimed).max(even_part)
}

#[cfg(test)]
mod tests;
