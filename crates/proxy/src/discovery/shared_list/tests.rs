use super::*;
use crate::peers::Peers;
use std::path::Path;
use std::time::{Duration, Instant};

/// Timeout of a write in the background.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

fn service(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn list(version: u64) -> EndpointList {
    EndpointList { version, full: true, servers: Vec::new() }
}

/// A process of the proxy that has written a list.
fn process(dir: &Path, service: SocketAddr, version: u64) -> (Peers, SharedList) {
    let peers = Peers::join(Some(dir.to_owned()));
    let slot = peers.slot().expect("a slot");
    let path = file_path(&slot, slot.number);
    let before = FileStamp::of(&path);
    let shared = SharedList::open(slot);
    shared.write(service, list(version));
    let end = Instant::now() + WRITE_TIMEOUT;
    while FileStamp::of(&path) == before {
        assert!(Instant::now() < end, "nothing was written");
        std::thread::sleep(Duration::from_millis(1));
    }
    (peers, shared)
}

fn initial(dir: &Path, known: Option<u64>) -> Option<u64> {
    let peers = Peers::join(Some(dir.to_owned()));
    let mut shared = SharedList::open(peers.slot().expect("a slot"));
    shared.initial(service(1), known.map(list).as_ref()).map(|list| list.version)
}

/// Guards against a process that begins with an older list than another one has, or with that of another service.
#[test]
fn a_process_begins_with_the_list_of_one_that_runs_or_with_the_newest() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = folder.path();
    assert_eq!(initial(dir, Some(7)), None);
    let ended = process(dir, service(1), 9);
    drop(ended);
    assert_eq!((initial(dir, Some(8)), initial(dir, None)), (Some(9), Some(9)));
    assert_eq!((initial(dir, Some(9)), initial(dir, Some(10))), (None, None));
    // The service has begun to count anew since; the platform's list may be of before.
    let _first = process(dir, service(1), 3);
    assert_eq!(initial(dir, Some(8)), Some(3));
    let _second = process(dir, service(1), 4);
    let _other = process(dir, service(2), 50);
    assert_eq!(initial(dir, Some(8)), Some(4));
}

/// Guards against a list that is read again, or missed.
#[test]
fn a_list_that_another_process_writes_is_returned_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let (_old_peers, mut old) = process(folder.path(), service(1), 1);
    let (new_peers, new) = process(folder.path(), service(1), 5);
    assert_eq!(old.changed(service(1)).map(|list| list.version), Some(5));
    assert_eq!(old.changed(service(1)), None);
    drop((new, new_peers));
    let (_peers, _third) = process(folder.path(), service(1), 6);
    assert_eq!(old.changed(service(1)).map(|list| list.version), Some(6));
}
