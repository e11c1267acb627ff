use super::*;

#[test]
fn copies_go_void_by_write_by_age_and_for_lack_of_room() {
    let mut cache = ValueCache::new(2, 100);
    cache.store(0, 1, 0);
    assert!(cache.contains(100, 1, 0) && !cache.contains(100, 1, 1), "a write voids");
    cache.store(0, 1, 1);
    assert!(!cache.contains(101, 1, 1), "age voids");
    cache.store(0, 1, 0);
    cache.store(0, 2, 0);
    assert!(cache.contains(1, 1, 0));
    cache.store(1, 3, 0);
    assert!(cache.contains(1, 1, 0) && !cache.contains(1, 2, 0), "the least recently used goes");
    assert_eq!(cache.len(), 2);
}
