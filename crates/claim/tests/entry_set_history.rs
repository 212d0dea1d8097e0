//! A replaced entry set stays in the layout until the window has passed by the log's clock.

mod support;

use crate::support::set;
use claim::EntrySetHistory;

const WINDOW_US: u64 = 10_000_000;

#[test]
fn a_replaced_set_stays_in_the_layout_for_the_window() {
    let mut history = EntrySetHistory::default();
    assert!(history.apply(1_000, &set(0..3), WINDOW_US));
    assert_eq!(history.layout().sets, [set(0..3)]);
    assert!(!history.apply(2_000, &set(0..3), WINDOW_US));
    assert!(history.apply(5_000, &set(0..4), WINDOW_US));
    assert_eq!(history.layout().sets, [set(0..4), set(0..3)]);
    assert!(!history.apply(14_999, &set(0..4), WINDOW_US));
    assert!(history.apply(15_000, &set(0..4), WINDOW_US));
    assert_eq!(history.layout().sets, [set(0..4)]);
    assert_eq!(history.layout().epoch, 3);
}

#[test]
fn a_set_that_is_declared_again_is_in_the_layout_once() {
    let mut history = EntrySetHistory::default();
    for (clock_ms, entries) in [(1, 3), (2, 4), (3, 3), (4, 4)] {
        assert!(history.apply(clock_ms, &set(0..entries), WINDOW_US));
    }
    assert_eq!(history.layout().sets, [set(0..4), set(0..3)]);
    assert!(history.apply(10_004, &set(0..4), WINDOW_US));
    assert_eq!(history.layout().sets, [set(0..4)]);
}
