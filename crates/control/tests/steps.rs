//! Files whose every step fails in turn, before it, in its midst and after it: the epoch, and the last good version.

use aniseyoke_control::store::{raise_epoch, Files, Found, Kept, Store};
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
    /// Steps until the one that fails; none: no more fails.
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

/// Danger: under an epoch that is given out twice the same numbers mean different things.
#[test]
fn no_epoch_is_given_out_twice_whatever_step_fails() {
    for step in 0..3 {
        for done in ALL {
            let mut disk = Failing::new();
            let first = raise_epoch(&mut &mut disk, Path::new("state"), 100).expect("the first");
            (disk.left, disk.done) = (Some(step), done);
            assert!(raise_epoch(&mut &mut disk, Path::new("state"), 90).is_err(), "step {step}");
            // The clock has gone back meanwhile.
            let next = raise_epoch(&mut &mut disk, Path::new("state"), 5).expect("the disk is back");
            assert!(next > first, "step {step}: {next} after {first}");
        }
    }
}

fn kept(number: u64) -> Kept {
    let version = Version::new(Stamp { epoch: 1, number }, &json!({ "n": number }));
    Kept { version, at_ms: number }
}

#[test]
fn a_version_whose_keeping_fails_leaves_the_old_or_the_new_one_and_the_next_is_kept() {
    for step in 0..2 {
        for done in ALL {
            let mut disk = Failing::new();
            Store::new(&mut disk, "last".into()).keep(&kept(1)).expect("kept");
            (disk.left, disk.done) = (Some(step), done);
            assert!(Store::new(&mut disk, "last".into()).keep(&kept(2)).is_err());
            let found = Store::new(&mut disk, "last".into()).find().expect("read");
            let renamed = step == 1 && done == Done::All;
            assert_eq!(found, Found::Good(kept(if renamed { 2 } else { 1 })));
            let mut after = Store::new(&mut disk, "last".into());
            after.keep(&kept(3)).expect("kept");
            assert_eq!(after.find().expect("read"), Found::Good(kept(3)));
        }
    }
}
