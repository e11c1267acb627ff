use super::table::{IdHash, IdTable, BUCKET_ENTRIES};
use super::*;
use crate::peers::Peers;

/// Guards against a table that grows, or that forgets new ids before old ones.
#[test]
fn a_full_bucket_forgets_its_oldest_id() {
    let mut table = IdTable::new();
    let ids: Vec<_> = (1..=2 * BUCKET_ENTRIES as u64).map(|n| IdHash::new(n << 40 | 7)).collect();
    for (position, id) in ids.iter().enumerate() {
        assert!(!table.contains(*id));
        table.insert(*id);
        let known: Vec<_> = ids[..=position].iter().filter(|id| table.contains(**id)).collect();
        let newest = &ids[(position + 1).saturating_sub(BUCKET_ENTRIES)..=position];
        assert_eq!(known, newest.iter().collect::<Vec<_>>());
    }
}

/// Guards against ids that are lost at a later process, or that outlive one although they end with it.
#[test]
fn ids_are_known_to_every_later_process_unless_they_end_with_theirs() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = Some(folder.path().to_path_buf());
    let open = |peers: &Peers, set| SharedIds::open(set, IdFiles::open(peers.slot()));
    let sets = [IdSet::Sent, IdSet::Listed, IdSet::Open];
    let mut earlier: Option<Peers> = None;
    let mut recorded = Vec::new();
    for generation in 1..=2 * MAX_PROCESSES as u64 {
        let peers = Peers::join(dir.clone());
        let id = generation << 40 | generation;
        let files = IdFiles::open(peers.slot());
        for set in sets {
            SharedIds::open(set, files.clone()).add(id);
        }
        // Two processes at a time run side by side.
        recorded.push(id);
        let running = recorded.len().saturating_sub(1 + usize::from(earlier.is_some()));
        let observer = Peers::join(dir.clone());
        for (position, id) in recorded.iter().enumerate() {
            for set in sets {
                let expected = set != IdSet::Open || position >= running;
                assert_eq!(open(&observer, set).contains(*id), expected, "{generation}: {id:x}, {set:?}");
            }
        }
        earlier = Some(peers);
    }
}
