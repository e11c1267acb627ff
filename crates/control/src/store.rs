//! The last good version on disk.
//!
//! Weighed: redb keeps many values and survives crashes, but here is one value, written rarely and as a whole, and a file
//! that those on call can read and copy is worth more than a database.

use crate::sealed::{self, Sealed};
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

pub use crate::sealed::{Disk, Files};

/// The first words of the file, and the version of its form.
const MAGIC: &str = "aniseyoke-version 1";

/// What is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The version.
    pub version: Version,
    /// When it was kept, in milliseconds of Unix time.
    pub at_ms: u64,
}

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// Nothing was ever kept.
    Nothing,
    /// The last good version.
    Good(Kept),
    /// Something that is none; it was put aside under the name given, if that could be done.
    Damaged {
        /// What is wrong with it.
        why: String,
        /// Where it is now.
        aside: Option<PathBuf>,
    },
}

/// The last good version on disk.
pub struct Store<F>(Sealed<F>);

impl<F: Files> Store<F> {
    /// A store in this file.
    pub fn new(files: F, path: PathBuf) -> Self {
        Store(Sealed::new(files, path, MAGIC))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        self.0.path()
    }

    /// Keeps a version in place of the one before.
    ///
    /// # Errors
    /// As [`Sealed::keep`].
    pub fn keep(&mut self, kept: &Kept) -> io::Result<()> {
        self.0.keep(&serde_json::to_vec(kept)?)
    }

    /// Finds what was kept. A file that is none is put aside and never fatal.
    ///
    /// # Errors
    /// If there is a file that can't be read.
    pub fn find(&mut self) -> io::Result<Found> {
        Ok(match self.0.find()? {
            sealed::Found::Nothing => Found::Nothing,
            sealed::Found::Damaged { why, aside } => Found::Damaged { why, aside },
            sealed::Found::Whole(payload) => match parse(&payload) {
                Ok(kept) => Found::Good(kept),
                Err(why) => Found::Damaged { why, aside: self.0.put_aside() },
            },
        })
    }
}

/// The epoch of a start: one more than that of the last, whose number is kept in this folder. Danger: a folder that was
/// restored from a backup brings an old epoch back; `seconds`, the time of the start, is never less than any number of
/// restarts, so that it counts on past it.
///
/// # Errors
/// If the last one can't be read, or this one is not known to be on disk: it might be given out twice.
pub fn raise_epoch(files: &mut impl Files, folder: &Path, seconds: u64) -> io::Result<u64> {
    let (file, new) = (folder.join("epoch"), folder.join("epoch.new"));
    let last = files.read(&file)?.and_then(|bytes| String::from_utf8(bytes).ok()?.trim().parse::<u64>().ok());
    let epoch = seconds.max(last.unwrap_or(0) + 1);
    files.write(&new, format!("{epoch}\n").as_bytes())?;
    files.rename(&new, &file)?;
    Ok(epoch)
}

fn parse(payload: &[u8]) -> Result<Kept, String> {
    let kept: Kept = serde_json::from_slice(payload).map_err(|e| format!("it can't be read: {e}"))?;
    kept.version.check().map_err(|e| e.to_string())?;
    Ok(kept)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::version::Stamp;
    use serde_json::json;
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    use std::rc::Rc;

    fn kept(number: u64) -> Kept {
        let version =
            Version::new(Stamp { epoch: 1, number }, &json!({ "text": "x".repeat(300), "n": number }));
        Kept { version, at_ms: number }
    }

    #[test]
    fn what_was_kept_is_found_again_on_this_machines_disk() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("last");
        let mut store = Store::new(Disk, path.clone());
        assert_eq!(store.find().expect("read"), Found::Nothing);
        store.keep(&kept(1)).expect("kept");
        store.keep(&kept(2)).expect("kept");
        assert_eq!(Store::new(Disk, path).find().expect("read"), Found::Good(kept(2)));
    }

    #[test]
    fn any_byte_that_changed_or_is_missing_is_seen_and_the_file_is_put_aside() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("last");
        let mut store = Store::new(Disk, path.clone());
        store.keep(&kept(1)).expect("kept");
        let whole = std::fs::read(&path).expect("there");
        for at in (0..whole.len()).step_by(7) {
            let mut flipped = whole.clone();
            flipped[at] ^= 0x10;
            for bytes in [&flipped[..], &whole[..at]] {
                std::fs::write(&path, bytes).expect("written");
                let found = store.find().expect("read");
                let Found::Damaged { aside: Some(aside), .. } = found else { panic!("{at}: {found:?}") };
                assert!(!path.exists() && aside.exists());
            }
        }
        store.keep(&kept(3)).expect("kept");
        assert_eq!(store.find().expect("read"), Found::Good(kept(3)));
    }

    /// Files in memory that crash: at a step, after a part of its bytes, and lose what was not taken by the disk.
    #[derive(Clone, Default)]
    struct Crashing {
        files: Rc<RefCell<BTreeMap<PathBuf, Vec<u8>>>>,
        /// Steps until the crash, and how much of that step is done, in parts of a hundred.
        left: Option<(usize, usize)>,
    }

    impl Crashing {
        /// The part of this step that is done; none where all of it is.
        fn step(&mut self) -> Option<usize> {
            let (left, part) = self.left?;
            self.left = Some((left.saturating_sub(1), part));
            (left == 0).then_some(part)
        }
    }

    impl Files for Crashing {
        fn read(&mut self, path: &Path) -> io::Result<Option<Vec<u8>>> {
            Ok(self.files.borrow().get(path).cloned())
        }

        fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
            let part = self.step();
            let done = part.map_or(bytes.len(), |part| bytes.len() * part / 100);
            self.files.borrow_mut().insert(path.to_owned(), bytes[..done].to_vec());
            part.map_or(Ok(()), |_| Err(io::Error::other("crash")))
        }

        fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
            let part = self.step();
            // A rename is done or not, never half.
            if part.is_none_or(|part| part >= 50) {
                let mut files = self.files.borrow_mut();
                let bytes = files.remove(from).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
                files.insert(to.to_owned(), bytes);
            }
            part.map_or(Ok(()), |_| Err(io::Error::other("crash")))
        }
    }

    #[test]
    fn a_crash_at_any_point_of_writing_leaves_the_old_or_the_new_and_nothing_between() {
        let (mut olds, mut news) = (0, 0);
        for step in 0..2 {
            for part in 0..=100 {
                let disk = Crashing::default();
                Store::new(disk.clone(), "last".into()).keep(&kept(1)).expect("kept");
                let crashing = Crashing { left: Some((step, part)), ..disk.clone() };
                assert!(Store::new(crashing, "last".into()).keep(&kept(2)).is_err());
                match Store::new(disk.clone(), "last".into()).find().expect("read") {
                    Found::Good(found) if found == kept(1) => olds += 1,
                    Found::Good(found) if found == kept(2) => news += 1,
                    other => panic!("step {step}, part {part}: {other:?}"),
                }
                // Whatever was left beside does not keep the next from being kept.
                let mut after = Store::new(disk, "last".into());
                after.keep(&kept(3)).expect("kept");
                assert_eq!(after.find().expect("read"), Found::Good(kept(3)));
            }
        }
        assert!(olds > 100 && news > 10, "{olds} old, {news} new");
    }
}
