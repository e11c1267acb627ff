use super::*;
use crate::peers::Peers;

fn id(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("a header")
}

/// Guards against an id that blocks others, or later uses, although nothing was sent for it.
#[test]
fn an_id_is_free_again_unless_it_was_sent_and_must_not_run_twice() {
    let ids = RequestIds::new(None, true);
    let first = ids.reserve(&id("a"), true).expect("free");
    assert_eq!(ids.reserve(&id("a"), false).err(), Some(IdError::Open));
    drop(first);
    let second = ids.reserve(&id("a"), true).expect("free again");
    second.mark_sent();
    drop(second);
    assert_eq!(ids.reserve(&id("a"), true).err(), Some(IdError::Sent));
    // The refused one leaves nothing behind, and a request that may run twice is not concerned.
    let repeatable = ids.reserve(&id("a"), false).expect("free");
    repeatable.mark_sent();
    drop(repeatable);
    assert!(ids.reserve(&id("b"), true).is_ok());
}

/// Guards against an id that runs at two processes of a proxy.
#[test]
fn processes_see_each_others_ids_and_those_of_earlier_ones() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = Some(folder.path().to_path_buf());
    let (old_peers, new_peers) = (Peers::join(dir.clone()), Peers::join(dir.clone()));
    let (old, new) = (
        RequestIds::new(IdFiles::open(old_peers.slot()), true),
        RequestIds::new(IdFiles::open(new_peers.slot()), true),
    );
    let sent = old.reserve(&id("old"), true).expect("free");
    sent.mark_sent();
    assert_eq!(new.reserve(&id("old"), true).err(), Some(IdError::Sent));
    drop(sent);
    new.reserve(&id("new"), true).expect("free").mark_sent();
    assert_eq!(old.reserve(&id("new"), true).err(), Some(IdError::Sent));
    // An id that was refused at one process is not recorded by it.
    drop((old, old_peers));
    let third_peers = Peers::join(dir);
    let third = RequestIds::new(IdFiles::open(third_peers.slot()), true);
    for known in ["old", "new"] {
        assert_eq!(third.reserve(&id(known), true).err(), Some(IdError::Sent), "{known}");
    }
    assert!(third.reserve(&id("free"), true).is_ok());
}

/// Guards against a process that does not start, or rejects requests, since the files of ids are damaged or can't be
/// used.
#[test]
fn files_that_can_not_be_used_leave_each_process_its_own_ids() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = Some(folder.path().to_path_buf());
    let own = folder.path().join("aniseyoke-ids.0");
    let other = folder.path().join("aniseyoke-ids.1");
    let damages: [&dyn Fn(); 3] = [
        &|| std::fs::write(&own, vec![0xa5; 12_345]).expect("written"),
        &|| std::fs::write(&other, [0x5a; 3]).expect("written"),
        &|| {
            std::fs::remove_file(&own).expect("removed");
            std::fs::create_dir(&own).expect("made");
        },
    ];
    for (round, damage) in damages.iter().enumerate() {
        damage();
        let peers = Peers::join(dir.clone());
        let ids = RequestIds::new(IdFiles::open(peers.slot()), true);
        let name = id(&format!("id-{round}"));
        ids.reserve(&name, true).expect("free").mark_sent();
        assert_eq!(ids.reserve(&name, true).err(), Some(IdError::Sent));
    }
}

/// Guards against the id of another client's open request that the other process of an upgrade lets in, and against
/// one that stays taken after its process was killed.
#[test]
fn an_id_in_progress_is_taken_at_all_processes_that_run() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = Some(folder.path().to_path_buf());
    let join = || {
        let peers = Peers::join(dir.clone());
        let ids = RequestIds::new(IdFiles::open(peers.slot()), true);
        (peers, ids)
    };
    let ((first_peers, first), (_second_peers, second)) = (join(), join());
    for runs_once in [false, true] {
        let name = id(&format!("open-{runs_once}"));
        let open = first.reserve(&name, false).expect("free");
        assert_eq!(second.reserve(&name, runs_once).err(), Some(IdError::Open), "{runs_once}");
        open.mark_sent();
        drop(open);
        assert!(second.reserve(&name, runs_once).is_ok(), "{runs_once}");
    }
    let open = first.reserve(&id("killed"), false).expect("free");
    assert_eq!(second.reserve(&id("killed"), false).err(), Some(IdError::Open));
    // A process that is killed removes nothing from its file.
    let file = folder.path().join("aniseyoke-ids.0");
    let as_killed = std::fs::read(&file).expect("read");
    drop((open, first, first_peers));
    std::fs::write(&file, as_killed).expect("written");
    assert!(second.reserve(&id("killed"), false).is_ok());
    let (_third_peers, third) = join();
    assert!(third.reserve(&id("killed"), false).is_ok());
}
