//! The epoch and the last known good version on files of which each step fails in turn: not done, done in part, or done.

use aniseyoke_control::epoch::raise;
use aniseyoke_control::store::{Files, Loaded, Store, StoredVersion};
use aniseyoke_control::{Stamp, Version};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// How much of a step that fails is done.
#[derive(Clone, Copy, PartialEq)]
enum Done {
    Nothing,
    Half,
    All,
}

/// Files in memory, of which one step fails.
struct Failing {
    files: BTreeMap<PathBuf, Vec<u8>>,
    /// Steps until the one that fails; none if no other fails.
    left: Option<usize>,
    done: Done,
}

impl Failing {
    fn new() -> Self {
        Failing { files: BTreeMap::new(), left: None, done: Done::Nothing }
    }

    fn fails(&mut self) -> bool {
        let fails = self.left == Some(0);
        self.left = self.left.and_then(|left| left.checked_sub(1));
        fails
    }

    fn result(fails: bool) -> io::Result<()> {
        if fails {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl Files for &mut Failing {
    fn read(&mut self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let fails = self.fails();
        Failing::result(fails)?;
        Ok(self.files.get(path).cloned())
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let fails = self.fails();
        let length = match self.done {
            Done::Nothing if fails => return Failing::result(true),
            Done::Half if fails => bytes.len() / 2,
            _ => bytes.len(),
        };
        self.files.insert(path.to_owned(), bytes[..length].to_vec());
        Failing::result(fails)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let fails = self.fails();
        if !fails || self.done == Done::All {
            let bytes = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
            self.files.insert(to.to_owned(), bytes);
        }
        Failing::result(fails)
    }
}

const ALL: [Done; 3] = [Done::Nothing, Done::Half, Done::All];

/// Danger: under an epoch that is assigned twice the same numbers mean different things.
#[test]
fn no_epoch_is_assigned_twice_whichever_step_fails() {
    for step in 0..3 {
        for done in ALL {
            let mut disk = Failing::new();
            let first = raise(&mut &mut disk, Path::new("state"), 100).expect("the first");
            (disk.left, disk.done) = (Some(step), done);
            assert!(raise(&mut &mut disk, Path::new("state"), 90).is_err(), "step {step}");
            // The clock has gone back meanwhile.
            let next = raise(&mut &mut disk, Path::new("state"), 5).expect("the disk is back");
            assert!(next > first, "step {step}: {next} after {first}");
        }
    }
}

fn stored(number: u64) -> StoredVersion {
    let version = Version::new(Stamp { epoch: 1, number }, &json!({ "n": number }));
    StoredVersion { version, at_ms: number }
}

#[test]
fn a_failed_save_leaves_the_old_or_the_new_version_and_the_next_save_succeeds() {
    for step in 0..2 {
        for done in ALL {
            let mut disk = Failing::new();
            Store::new(&mut disk, "last".into()).save(&stored(1)).expect("saved");
            (disk.left, disk.done) = (Some(step), done);
            assert!(Store::new(&mut disk, "last".into()).save(&stored(2)).is_err());
            let loaded = Store::new(&mut disk, "last".into()).load().expect("read");
            let renamed = step == 1 && done == Done::All;
            assert_eq!(loaded, Loaded::Valid(stored(if renamed { 2 } else { 1 })));
            let mut after = Store::new(&mut disk, "last".into());
            after.save(&stored(3)).expect("saved");
            assert_eq!(after.load().expect("read"), Loaded::Valid(stored(3)));
        }
    }
}
