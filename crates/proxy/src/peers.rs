//! Which processes of this proxy live side by side while one replaces another, and what each may take. Locks tell who
//! lives, and no time is exchanged, so that no clock can make one seem to have ended.

use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// So many processes of one proxy may live at once.
const PLACES: usize = 4;
/// A claim is written as a number of so many digits.
const DIGITS: usize = 10;

/// This process's place among the living: a lock that it holds for life, so that the kernel gives it up
/// however the process ends.
pub struct Peers {
    dir: Option<PathBuf>,
    mine: Option<(usize, File)>,
}

impl Peers {
    pub fn join(dir: Option<PathBuf>) -> Self {
        let take = |dir: &Path| {
            // Danger: who looks whether a place is taken holds it for a moment, so each is tried again.
            (0..4 * PLACES).map(|n| n % PLACES).find_map(|n| {
                let file =
                    OpenOptions::new().create(true).truncate(false).write(true).open(place(dir, n)).ok()?;
                file.try_lock().ok()?;
                let _ = file.set_len(0);
                Some((n, file))
            })
        };
        let mine = dir.as_deref().and_then(take);
        if dir.is_some() && mine.is_none() {
            tracing::warn!("no place among the processes of this proxy: it counts itself as alone");
        }
        Peers { dir, mine }
    }

    /// Tells the others that this process takes at most so many descriptors from now on.
    pub fn claim(&self, descriptors: usize) {
        if let Some((_, file)) = &self.mine {
            // A claim that is not written leaves the others with less.
            let _ = file.write_all_at(format!("{descriptors:0DIGITS$}").as_bytes(), 0);
        }
    }

    /// The claims of the others that live; none: that one claims an even part.
    pub fn others(&self) -> Vec<Option<usize>> {
        let (Some(dir), Some((mine, _))) = (&self.dir, &self.mine) else { return Vec::new() };
        let alive = |n: &usize| {
            let file = File::open(place(dir, *n));
            n != mine && file.is_ok_and(|file| file.try_lock_shared().is_err())
        };
        let claim = |n| fs::read_to_string(place(dir, n)).ok().and_then(|text| text.trim().parse().ok());
        (0..PLACES).filter(alive).map(claim).collect()
    }
}

/// The part of `all` that is left for this process beside others with these claims.
pub fn part(all: usize, others: &[Option<usize>]) -> usize {
    let even = all / (others.len() + 1);
    let taken: usize = others.iter().map(|claim| claim.unwrap_or(even).min(all)).sum();
    all.saturating_sub(taken).max(even)
}

fn place(dir: &Path, n: usize) -> PathBuf {
    dir.join(format!("aniseyoke-alive.{n}"))
}

#[cfg(test)]
mod tests {
    use super::super::scratch::Scratch;
    use super::*;

    #[test]
    fn the_living_see_one_another_their_claims_and_their_end() {
        let at = Scratch::new();
        let join = || Peers::join(Some(at.path().to_owned()));
        let old = join();
        assert_eq!(old.others(), []);
        let new = join();
        assert_eq!((old.others(), new.others()), (vec![None], vec![None]));
        old.claim(57);
        assert_eq!(new.others(), [Some(57)]);
        old.claim(3);
        assert_eq!(new.others(), [Some(3)]);
        drop(old);
        assert_eq!(new.others(), []);
        // Who takes the place of one that has ended does not inherit its claim.
        let _next = join();
        assert_eq!(new.others(), [None]);
    }

    #[test]
    fn together_they_take_no_more_than_one() {
        assert_eq!(part(384, &[]), 384);
        assert_eq!(part(384, &[None]), 192);
        assert_eq!(part(384, &[Some(40)]), 344);
        assert_eq!(part(384, &[None, None]), 128);
        assert_eq!(part(384, &[Some(9999)]), 192);
    }
}
