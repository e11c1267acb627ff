use super::*;
use tempfile::TempDir;

#[test]
fn a_process_sees_the_start_claims_and_end_of_the_others() {
    let dir = TempDir::new().expect("a folder");
    let join = || Peers::join(Some(dir.path().to_owned()));
    let old = join();
    assert_eq!(old.other_claims(), []);
    let new = join();
    assert_eq!((old.other_claims(), new.other_claims()), (vec![None], vec![None]));
    old.claim(57);
    assert_eq!(new.other_claims(), [Some(57)]);
    old.claim(3);
    assert_eq!(new.other_claims(), [Some(3)]);
    drop(old);
    assert_eq!(new.other_claims(), []);
    // A process that takes the slot of an ended process does not inherit its claim.
    let _next = join();
    assert_eq!(new.other_claims(), [None]);
}

#[test]
fn the_parts_of_all_processes_do_not_exceed_the_total() {
    assert_eq!(remaining_descriptors(384, &[]), 384);
    assert_eq!(remaining_descriptors(384, &[None]), 192);
    assert_eq!(remaining_descriptors(384, &[Some(40)]), 344);
    assert_eq!(remaining_descriptors(384, &[None, None]), 128);
    assert_eq!(remaining_descriptors(384, &[Some(9999)]), 192);
}
