use super::*;
use crate::purge_log::record::encode_batch;
use aniseyoke_fanout::publishers::CallStatus;
use std::fs::OpenOptions;

fn requests(from: u64, count: u64) -> Vec<PurgeRequest> {
    (from..from + count)
        .map(|n| PurgeRequest { publisher: "p".into(), sequence: n, keys: vec![n * 10, n * 10 + 1] })
        .collect()
}

fn reopened(dir: &Path, min_entries: usize) -> OpenedLog {
    PurgeLog::open(dir, min_entries, 99).expect("opened")
}

#[test]
fn synced_records_are_read_again_under_the_same_epoch() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.disk.append(&requests(1, 2)).expect("stored");
    opened.disk.append(&requests(3, 1)).expect("stored");
    let again = reopened(folder.path(), 100);
    assert_eq!(again.log.position(), Progress { epoch: 7, through: 6 });
    assert_eq!(again.log.entries_after(0, 99), Ok(vec![10, 11, 20, 21, 30, 31]));
    assert_eq!(again.publishers.status("p", 2), CallStatus::Numbered(4));
    assert!(again.warnings.is_empty());
}

#[test]
fn an_incomplete_record_at_the_end_is_truncated_with_a_warning_and_earlier_records_stay() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.disk.append(&requests(1, 1)).expect("stored");
    let before = opened.disk.length as usize;
    opened.disk.append(&requests(2, 1)).expect("stored");
    let path = segment::path(folder.path(), 0);
    let complete = std::fs::read(&path).expect("there");
    for end in before + 1..complete.len() {
        std::fs::write(&path, &complete[..end]).expect("written");
        let mut again = reopened(folder.path(), 100);
        assert_eq!(
            (again.log.position(), again.warnings.len()),
            (Progress { epoch: 7, through: 2 }, 1),
            "{end}"
        );
        again.disk.append(&requests(2, 1)).expect("stored");
        assert_eq!(std::fs::read(&path).expect("there"), complete);
    }
}

#[test]
fn damage_to_synced_records_starts_a_new_epoch() {
    for at in (0..).step_by(5) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
        opened.disk.append(&requests(1, 2)).expect("stored");
        let intact = opened.disk.length as usize;
        opened.disk.append(&requests(3, 5)).expect("stored");
        if at >= intact {
            return;
        }
        let path = segment::path(folder.path(), 0);
        let mut bytes = std::fs::read(&path).expect("there");
        bytes[at] ^= 0x10;
        std::fs::write(&path, bytes).expect("written");
        let again = reopened(folder.path(), 100);
        // A flipped bit in a length may point past the end of the file, which looks like an incomplete
        // record. Entries are lost then, which is detected once a child turns out to be ahead of the root.
        let torn = again.log.position().epoch == 7 && again.log.newest() < 14;
        assert!(
            again.log.position() == Progress { epoch: 99, through: 0 } || torn,
            "{at}: {:?}",
            again.log.position()
        );
        assert!(!again.warnings.is_empty());
    }
}

#[test]
fn the_oldest_segments_are_removed_and_the_minimum_is_retained() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 20, 7).expect("opened");
    for n in 1..=100 {
        opened.disk.append(&requests(n, 1)).expect("stored");
        assert!(segment::list(folder.path()).expect("read").len() <= 2);
    }
    let again = reopened(folder.path(), 20);
    assert_eq!(again.log.position(), Progress { epoch: 7, through: 200 });
    assert!(again.log.retains_after(180) && !again.log.retains_after(179));
    let mut log = again.disk;
    log.start_epoch(100).expect("started");
    assert_eq!(reopened(folder.path(), 20).log.position(), Progress { epoch: 100, through: 0 });
}

#[test]
fn a_record_that_can_not_be_stored_is_rejected_and_leaves_no_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.disk.append(&requests(1, 1)).expect("stored");
    opened.disk.file = File::open(segment::path(folder.path(), 0)).expect("opened to be read only");
    assert!(opened.disk.append(&requests(2, 1)).is_err());
    assert!(opened.disk.append(&requests(2, 1)).is_err());
    assert_eq!(reopened(folder.path(), 100).log.newest(), 2);
}

/// Guards against lost purges: once the files are renamed for a new epoch, a record appended to one of them
/// would be acknowledged, but the next start would not read it.
#[test]
fn a_log_whose_new_epoch_failed_accepts_nothing_until_it_has_started() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = folder.path().join("purges");
    let mut opened = PurgeLog::open(&dir, 100, 7).expect("opened");
    opened.disk.append(&requests(1, 1)).expect("stored");
    std::fs::rename(&dir, folder.path().join("gone")).expect("renamed");
    assert!(opened.disk.start_epoch(8).is_err());
    assert!(
        opened.disk.append(&requests(2, 1)).is_err(),
        "it would be in a renamed file, which no start reads"
    );
    std::fs::create_dir(&dir).expect("made");
    opened.disk.start_epoch(9).expect("started");
    opened.disk.append(&requests(2, 1)).expect("stored");
    assert_eq!(reopened(&dir, 100).log.position(), Progress { epoch: 9, through: 2 });
}

/// Guards against a damaged log: a record appended after bytes that a failed write left, and that could not
/// be truncated at once, could not be read again.
#[test]
fn bytes_of_a_failed_write_that_could_not_be_truncated_are_truncated_before_the_next_record() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.disk.append(&requests(1, 1)).expect("stored");
    let path = segment::path(folder.path(), 0);
    opened.disk.file = File::open(&path).expect("opened to be read only");
    assert!(opened.disk.append(&requests(2, 1)).is_err(), "neither written nor truncated");
    // The file ends with part of a record.
    let mut complete = OpenOptions::new().append(true).open(&path).expect("opened");
    complete.write_all(&encode_batch(&requests(2, 1))[..9]).expect("written");
    opened.disk.file = complete;
    opened.disk.append(&requests(3, 1)).expect("the file is writable again");
    let again = reopened(folder.path(), 100);
    assert_eq!((again.log.newest(), again.warnings.len()), (4, 0));
}
