use super::*;
use crate::version::Stamp;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

fn stored(number: u64) -> StoredVersion {
    let version = Version::new(Stamp { epoch: 1, number }, &json!({ "text": "x".repeat(300), "n": number }));
    StoredVersion { version, at_ms: number }
}

#[test]
fn a_saved_version_is_loaded_from_this_machines_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("last");
    let mut store = Store::new(Disk, path.clone());
    assert_eq!(store.load().expect("read"), Loaded::Missing);
    store.save(&stored(1)).expect("saved");
    store.save(&stored(2)).expect("saved");
    assert_eq!(Store::new(Disk, path).load().expect("read"), Loaded::Valid(stored(2)));
}

#[test]
fn any_changed_or_missing_byte_is_detected_and_the_file_is_quarantined() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("last");
    let mut store = Store::new(Disk, path.clone());
    store.save(&stored(1)).expect("saved");
    let complete = std::fs::read(&path).expect("there");
    for at in (0..complete.len()).step_by(7) {
        let mut flipped = complete.clone();
        flipped[at] ^= 0x10;
        for bytes in [&flipped[..], &complete[..at]] {
            std::fs::write(&path, bytes).expect("written");
            let loaded = store.load().expect("read");
            let Loaded::Damaged { quarantined: Some(quarantined), .. } = loaded else {
                panic!("{at}: {loaded:?}")
            };
            assert!(!path.exists() && quarantined.exists());
        }
    }
    store.save(&stored(3)).expect("saved");
    assert_eq!(store.load().expect("read"), Loaded::Valid(stored(3)));
}

/// Files in memory, with a crash at one step, which is only partly done.
#[derive(Clone, Default)]
struct CrashingFiles {
    files: Rc<RefCell<BTreeMap<PathBuf, Vec<u8>>>>,
    /// Steps until the crash, and the percentage of that step that is done.
    remaining: Option<(usize, usize)>,
}

impl CrashingFiles {
    /// Begins a step. Returns the percentage of it that is done if the crash is at this step.
    fn step(&mut self) -> Option<usize> {
        let (remaining, percent) = self.remaining?;
        self.remaining = Some((remaining.saturating_sub(1), percent));
        (remaining == 0).then_some(percent)
    }
}

impl Files for CrashingFiles {
    fn read(&mut self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.borrow().get(path).cloned())
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let percent = self.step();
        let done = percent.map_or(bytes.len(), |percent| bytes.len() * percent / 100);
        self.files.borrow_mut().insert(path.to_owned(), bytes[..done].to_vec());
        percent.map_or(Ok(()), |_| Err(io::Error::other("crash")))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let percent = self.step();
        // A rename is atomic.
        if percent.is_none_or(|percent| percent >= 50) {
            let mut files = self.files.borrow_mut();
            let bytes = files.remove(from).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
            files.insert(to.to_owned(), bytes);
        }
        percent.map_or(Ok(()), |_| Err(io::Error::other("crash")))
    }
}

#[test]
fn a_crash_at_any_point_of_saving_leaves_the_old_or_the_new_version() {
    let (mut olds, mut news) = (0, 0);
    for step in 0..2 {
        for percent in 0..=100 {
            let disk = CrashingFiles::default();
            Store::new(disk.clone(), "last".into()).save(&stored(1)).expect("saved");
            let crashing = CrashingFiles { remaining: Some((step, percent)), ..disk.clone() };
            assert!(Store::new(crashing, "last".into()).save(&stored(2)).is_err());
            match Store::new(disk.clone(), "last".into()).load().expect("read") {
                Loaded::Valid(found) if found == stored(1) => olds += 1,
                Loaded::Valid(found) if found == stored(2) => news += 1,
                other => panic!("step {step}, percent {percent}: {other:?}"),
            }
            // The next version can be saved whichever files remain.
            let mut after = Store::new(disk, "last".into());
            after.save(&stored(3)).expect("saved");
            assert_eq!(after.load().expect("read"), Loaded::Valid(stored(3)));
        }
    }
    assert!(olds > 100 && news > 10, "{olds} old, {news} new");
}
