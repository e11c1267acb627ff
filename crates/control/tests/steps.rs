//! Tests of storing the epoch and the last known good version while each file operation fails in turn: without effect,
//! after half of it, or after all of it.

use aniseyoke_control::epoch::raise;
use aniseyoke_control::store::{Files, Loaded, Store, StoredVersion};
use aniseyoke_control::{Stamp, Version};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// How much of a failing operation takes effect.
#[derive(Clone, Copy, PartialEq)]
enum Completed {
    Nothing,
    Half,
    All,
}

/// An in-memory file system in which one operation fails.
struct FailingFiles {
    files: BTreeMap<PathBuf, Vec<u8>>,
    /// The number of operations before the one that fails; `None` if no further operation fails.
    operations_left: Option<usize>,
    completed: Completed,
}

impl FailingFiles {
    fn new() -> Self {
        FailingFiles { files: BTreeMap::new(), operations_left: None, completed: Completed::Nothing }
    }

    fn fails(&mut self) -> bool {
        let fails = self.operations_left == Some(0);
        self.operations_left =
            self.operations_left.and_then(|operations_left| operations_left.checked_sub(1));
        fails
    }

    fn result(fails: bool) -> io::Result<()> {
        if fails {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl Files for &mut FailingFiles {
    fn read(&mut self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let fails = self.fails();
        FailingFiles::result(fails)?;
        Ok(self.files.get(path).cloned())
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let fails = self.fails();
        let length = match self.completed {
            Completed::Nothing if fails => return FailingFiles::result(true),
            Completed::Half if fails => bytes.len() / 2,
            _ => bytes.len(),
        };
        self.files.insert(path.to_owned(), bytes[..length].to_vec());
        FailingFiles::result(fails)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let fails = self.fails();
        if !fails || self.completed == Completed::All {
            let bytes = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
            self.files.insert(to.to_owned(), bytes);
        }
        FailingFiles::result(fails)
    }
}

const ALL_COMPLETED: [Completed; 3] = [Completed::Nothing, Completed::Half, Completed::All];

/// Guards against an epoch that is assigned twice, under which the same numbers would identify different versions.
#[test]
fn no_epoch_is_assigned_twice_if_a_file_operation_fails() {
    for operation in 0..3 {
        for completed in ALL_COMPLETED {
            let mut disk = FailingFiles::new();
            let first = raise(&mut &mut disk, Path::new("state"), 100).expect("the first");
            (disk.operations_left, disk.completed) = (Some(operation), completed);
            assert!(raise(&mut &mut disk, Path::new("state"), 90).is_err(), "operation {operation}");
            // The clock has moved backwards meanwhile.
            let next = raise(&mut &mut disk, Path::new("state"), 5).expect("the disk works again");
            assert!(next > first, "operation {operation}: {next} after {first}");
        }
    }
}

fn stored(number: u64) -> StoredVersion {
    let version = Version::new(Stamp { epoch: 1, number }, &json!({ "n": number }));
    StoredVersion { version, at_ms: number }
}

#[test]
fn a_failed_save_leaves_the_old_or_the_new_version_and_the_next_save_succeeds() {
    for operation in 0..2 {
        for completed in ALL_COMPLETED {
            let mut disk = FailingFiles::new();
            Store::new(&mut disk, "last".into()).save(&stored(1)).expect("saved");
            (disk.operations_left, disk.completed) = (Some(operation), completed);
            assert!(Store::new(&mut disk, "last".into()).save(&stored(2)).is_err());
            let loaded = Store::new(&mut disk, "last".into()).load().expect("read");
            let renamed = operation == 1 && completed == Completed::All;
            assert_eq!(loaded, Loaded::Valid(stored(if renamed { 2 } else { 1 })));
            let mut after = Store::new(&mut disk, "last".into());
            after.save(&stored(3)).expect("saved");
            assert_eq!(after.load().expect("read"), Loaded::Valid(stored(3)));
        }
    }
}
