use super::*;

#[test]
fn a_burst_may_use_the_work_limit_of_the_entire_window() {
    let mut window = WorkWindow::new(1000);
    window.record(0, 2999, false);
    assert!(!window.exceeds(3.0, 1.0));
    window.record(1, 2, true);
    assert!(window.exceeds(3.0, 1.0));
    window.record(1002, 0, false);
    assert!(!window.exceeds(3.0, 1.0), "work older than the window does not count");
    assert_eq!(window.cold_fraction(), 0.0);
}

#[test]
fn capacity_rises_linearly_during_warm_up() {
    assert_eq!(capacity_fraction(0, 10, 0.4), 0.4);
    assert!((capacity_fraction(5, 10, 0.4) - 0.7).abs() < 1e-9);
    assert_eq!(capacity_fraction(10, 10, 0.4), 1.0);
    assert_eq!(capacity_fraction(0, 0, 0.4), 1.0);
}
