use super::*;

#[test]
fn usage_is_measured_for_this_process_and_absent_for_an_unknown_pid() {
    let usage = Usage::of_process(std::process::id()).expect("this process");
    assert!(usage.memory_mb > 0.5 && usage.descriptors > 2, "{usage:?}");
    assert_eq!(Usage::of_process(u32::MAX - 1), None);
}
