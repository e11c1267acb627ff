//! The processes of this proxy that run side by side during a handover, and how many descriptors each may
//! use. File locks show which of them run. They exchange no timestamps, so that a clock step can't make a
//! process seem to have ended.

use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Most processes of one proxy that can run at once. One that was told to stop may go on for many seconds while its
/// clients receive long answers, and further upgrades may begin meanwhile.
pub const MAX_PROCESSES: usize = 8;
/// Number of digits of a claim in its file.
const CLAIM_DIGITS: usize = 10;
/// How many times each slot is tried.
const LOCK_ATTEMPTS: usize = 4;

/// One of the lock files that processes of a proxy share.
struct Slot {
    number: usize,
    /// Locked while the process runs; the kernel releases the lock however the process ends.
    file: File,
}

/// The place of a process among the processes of its proxy.
#[derive(Clone, Debug)]
pub struct SharedSlot {
    /// The folder that all processes of the proxy share.
    pub dir: PathBuf,
    /// The number of the slot, below [`MAX_PROCESSES`]; no other running process has it.
    pub number: usize,
}

/// This process's slot, and the folder with the slots of all processes of the proxy.
pub struct Peers {
    dir: Option<PathBuf>,
    own: Option<Slot>,
}

impl Peers {
    /// Takes a slot in the folder that all processes of the proxy share. Without a folder or a free slot, the
    /// process behaves as if it were the only one.
    pub fn join(dir: Option<PathBuf>) -> Self {
        let own = dir.as_deref().and_then(Slot::take_any);
        if dir.is_some() && own.is_none() {
            tracing::warn!(
                "no free slot among the processes of this proxy: the descriptor limit ignores the others"
            );
        }
        Peers { dir, own }
    }

    /// Returns the slot of this process, if it has one.
    pub fn slot(&self) -> Option<SharedSlot> {
        let (dir, own) = (self.dir.as_ref()?, self.own.as_ref()?);
        Some(SharedSlot { dir: dir.clone(), number: own.number })
    }

    /// Publishes the number of descriptors that this process uses at most from now on.
    pub fn claim(&self, descriptors: usize) {
        if let Some(Slot { file, .. }) = &self.own {
            // Without a written claim the other processes assume an even part, and use fewer.
            let _ = file.write_all_at(format!("{descriptors:0CLAIM_DIGITS$}").as_bytes(), 0);
        }
    }

    /// Returns the claims of the other running processes; `None` stands for an even part.
    pub fn other_claims(&self) -> Vec<Option<usize>> {
        let (Some(dir), Some(own)) = (&self.dir, &self.own) else { return Vec::new() };
        let others = (0..MAX_PROCESSES).filter(|number| *number != own.number);
        others.filter(|number| is_running(dir, *number)).map(|number| read_claim(dir, number)).collect()
    }
}

impl Slot {
    fn take_any(dir: &Path) -> Option<Slot> {
        // Each slot is tried repeatedly, since a process that checks whether a slot is taken locks it for a
        // moment.
        (0..LOCK_ATTEMPTS * MAX_PROCESSES).find_map(|n| Self::take(dir, n % MAX_PROCESSES))
    }

    fn take(dir: &Path, number: usize) -> Option<Slot> {
        let mut options = OpenOptions::new();
        let file = options.create(true).truncate(false).write(true).open(slot_path(dir, number)).ok()?;
        file.try_lock().ok()?;
        // Clears the claim of a process that has ended.
        let _ = file.set_len(0);
        Some(Slot { number, file })
    }
}

/// Whether a process with this slot is running.
pub fn is_running(dir: &Path, number: usize) -> bool {
    File::open(slot_path(dir, number)).is_ok_and(|file| file.try_lock_shared().is_err())
}

fn read_claim(dir: &Path, number: usize) -> Option<usize> {
    fs::read_to_string(slot_path(dir, number)).ok()?.trim().parse().ok()
}

fn slot_path(dir: &Path, number: usize) -> PathBuf {
    dir.join(format!("aniseyoke-alive.{number}"))
}

/// Returns how many of `total` descriptors are left for this process beside others with these claims.
pub fn remaining_descriptors(total: usize, other_claims: &[Option<usize>]) -> usize {
    let even_part = total / (other_claims.len() + 1);
    let claimed: usize = other_claims.iter().map(|claim| claim.unwrap_or(even_part).min(total)).sum();
    total.saturating_sub(claimed).max(even_part)
}

#[cfg(test)]
mod tests;
