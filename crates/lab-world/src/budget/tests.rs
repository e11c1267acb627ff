use super::*;

#[test]
fn a_burst_can_spend_the_whole_window_at_once() {
    let mut window = Window::new(1000);
    window.book(0, 2999, false);
    assert!(!window.over(3.0, 1.0));
    window.book(1, 2, true);
    assert!(window.over(3.0, 1.0));
    window.book(1002, 0, false);
    assert!(!window.over(3.0, 1.0), "what is older than the window does not count");
    assert_eq!(window.cold_part(), 0.0);
}

#[test]
fn capacity_rises_evenly() {
    assert_eq!(warmth(0, 10, 0.4), 0.4);
    assert!((warmth(5, 10, 0.4) - 0.7).abs() < 1e-9);
    assert_eq!(warmth(10, 10, 0.4), 1.0);
    assert_eq!(warmth(0, 0, 0.4), 1.0);
}
