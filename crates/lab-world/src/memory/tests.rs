use super::*;

#[test]
fn copies_go_void_by_write_by_age_and_for_lack_of_room() {
    let mut memory = Memory::new(2, 100);
    memory.store(0, 1, 0);
    assert!(memory.has(100, 1, 0) && !memory.has(100, 1, 1), "a write voids");
    memory.store(0, 1, 1);
    assert!(!memory.has(101, 1, 1), "age voids");
    memory.store(0, 1, 0);
    memory.store(0, 2, 0);
    assert!(memory.has(1, 1, 0));
    memory.store(1, 3, 0);
    assert!(memory.has(1, 1, 0) && !memory.has(1, 2, 0), "the least recently used goes");
    assert_eq!(memory.len(), 2);
}
