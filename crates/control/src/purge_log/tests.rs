use super::*;

fn calls(from: u64, count: u64) -> Vec<Call> {
    (from..from + count)
        .map(|n| Call { publisher: "p".into(), sequence: n, keys: vec![n * 10, n * 10 + 1] })
        .collect()
}

fn reopened(dir: &Path, most: usize) -> Opened {
    PurgeLog::open(dir, most, 99).expect("opened")
}

#[test]
fn what_was_synced_is_found_again_under_the_same_epoch() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.file.append(&calls(1, 2)).expect("kept");
    opened.file.append(&calls(3, 1)).expect("kept");
    let again = reopened(folder.path(), 100);
    assert_eq!(again.log.at(), Progress { epoch: 7, through: 6 });
    assert_eq!(again.log.after(0, 99), Ok(vec![10, 11, 20, 21, 30, 31]));
    assert_eq!(again.publishers.seen("p", 2), aniseyoke_fanout::publishers::Seen::Through(4));
    assert!(again.say.is_empty());
}

#[test]
fn wherever_the_end_is_torn_what_was_synced_before_is_there_and_the_cut_is_said() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.file.append(&calls(1, 1)).expect("kept");
    let before = opened.file.length as usize;
    opened.file.append(&calls(2, 1)).expect("kept");
    let path = segment(folder.path(), 0);
    let whole = std::fs::read(&path).expect("there");
    for end in before + 1..whole.len() {
        std::fs::write(&path, &whole[..end]).expect("written");
        let mut again = reopened(folder.path(), 100);
        assert_eq!((again.log.at(), again.say.len()), (Progress { epoch: 7, through: 2 }, 1), "{end}");
        again.file.append(&calls(2, 1)).expect("kept");
        assert_eq!(std::fs::read(&path).expect("there"), whole);
    }
}

#[test]
fn damage_to_what_was_synced_is_a_lost_log_and_a_new_epoch() {
    for at in (0..).step_by(5) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
        opened.file.append(&calls(1, 2)).expect("kept");
        let sound = opened.file.length as usize;
        opened.file.append(&calls(3, 5)).expect("kept");
        if at >= sound {
            return;
        }
        let path = segment(folder.path(), 0);
        let mut bytes = std::fs::read(&path).expect("there");
        bytes[at] ^= 0x10;
        std::fs::write(&path, bytes).expect("written");
        let again = reopened(folder.path(), 100);
        // A length that grew past the end looks like a torn end; that loses entries, and shows when one below is ahead.
        let torn = again.log.at().epoch == 7 && again.log.newest() < 14;
        assert!(again.log.at() == Progress { epoch: 99, through: 0 } || torn, "{at}: {:?}", again.log.at());
        assert!(!again.say.is_empty());
    }
}

#[test]
fn the_oldest_segments_go_and_at_least_the_cap_is_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 20, 7).expect("opened");
    for n in 1..=100 {
        opened.file.append(&calls(n, 1)).expect("kept");
        assert!(segments(folder.path()).expect("read").len() <= 2);
    }
    let again = reopened(folder.path(), 20);
    assert_eq!(again.log.at(), Progress { epoch: 7, through: 200 });
    assert!(again.log.keeps(180) && !again.log.keeps(179));
    let mut anew = again.file;
    anew.begin_anew(100).expect("begun");
    assert_eq!(reopened(folder.path(), 20).log.at(), Progress { epoch: 100, through: 0 });
}

#[test]
fn what_can_not_be_kept_is_refused_and_nothing_of_it_stays() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.file.append(&calls(1, 1)).expect("kept");
    opened.file.file = File::open(segment(folder.path(), 0)).expect("opened to be read only");
    assert!(opened.file.append(&calls(2, 1)).is_err());
    assert!(opened.file.append(&calls(2, 1)).is_err());
    assert_eq!(reopened(folder.path(), 100).log.newest(), 2);
}

/// Danger: with its files put aside, what was appended would be answered for, and not be found by the next start.
#[test]
fn a_log_that_could_not_begin_anew_takes_nothing_until_it_has() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = folder.path().join("purges");
    let mut opened = PurgeLog::open(&dir, 100, 7).expect("opened");
    opened.file.append(&calls(1, 1)).expect("kept");
    std::fs::rename(&dir, folder.path().join("gone")).expect("renamed");
    assert!(opened.file.begin_anew(8).is_err());
    assert!(opened.file.append(&calls(2, 1)).is_err(), "it would be in a file that no start finds");
    std::fs::create_dir(&dir).expect("made");
    opened.file.begin_anew(9).expect("begun");
    opened.file.append(&calls(2, 1)).expect("kept");
    assert_eq!(reopened(&dir, 100).log.at(), Progress { epoch: 9, through: 2 });
}

/// Danger: what could not be cut off after a failed write must not have a record appended behind it.
#[test]
fn a_torn_end_that_could_not_be_cut_is_cut_before_the_next_record() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(folder.path(), 100, 7).expect("opened");
    opened.file.append(&calls(1, 1)).expect("kept");
    let path = segment(folder.path(), 0);
    opened.file.file = File::open(&path).expect("opened to be read only");
    assert!(opened.file.append(&calls(2, 1)).is_err(), "neither written nor cut");
    // Half a record is there.
    let mut whole = OpenOptions::new().append(true).open(&path).expect("opened");
    whole.write_all(&encode(&calls(2, 1))[..9]).expect("written");
    opened.file.file = whole;
    opened.file.append(&calls(3, 1)).expect("the disk is back");
    let again = reopened(folder.path(), 100);
    assert_eq!((again.log.newest(), again.say.len()), (4, 0));
}
