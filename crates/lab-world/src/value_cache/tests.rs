use super::*;

#[test]
fn cached_values_are_invalidated_by_writes_expiry_and_eviction() {
    let mut cache = ValueCache::new(2, 100);
    cache.store(0, 1, 0);
    assert!(
        cache.contains(100, 1, 0) && !cache.contains(100, 1, 1),
        "a write invalidates the cached version"
    );
    cache.store(0, 1, 1);
    assert!(!cache.contains(101, 1, 1), "the value has expired");
    cache.store(0, 1, 0);
    cache.store(0, 2, 0);
    assert!(cache.contains(1, 1, 0));
    cache.store(1, 3, 0);
    assert!(cache.contains(1, 1, 0) && !cache.contains(1, 2, 0), "the least recently used value is evicted");
    assert_eq!(cache.len(), 2);
}
