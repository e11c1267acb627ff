use super::*;

#[test]
fn this_process_uses_something_and_one_that_is_not_there_nothing() {
    let usage = Usage::of_process(std::process::id()).expect("this process");
    assert!(usage.memory_mb > 0.5 && usage.descriptors > 2, "{usage:?}");
    assert_eq!(Usage::of_process(u32::MAX - 1), None);
}
