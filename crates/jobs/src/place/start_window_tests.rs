//! Tests of the bound on starts in flight.

use super::start_window::StartWindow;

fn record_answers(window: &mut StartWindow, count: u32, ms: u64) {
    for _ in 0..count {
        window.record_answer(ms);
    }
}

#[test]
fn quick_answers_leave_starts_unbounded() {
    let mut window = StartWindow::default();
    record_answers(&mut window, 1000, 20);
    assert_eq!(window.limit(), None);
}

/// One zone of five is cut off, and one worker in ten answers late.
#[test]
fn some_late_answers_leave_starts_unbounded() {
    let mut window = StartWindow::default();
    for _ in 0..200 {
        record_answers(&mut window, 3, 700);
        record_answers(&mut window, 7, 10);
    }
    assert_eq!(window.limit(), None);
}

#[test]
fn late_answers_shrink_the_window_and_quick_ones_grow_it() {
    let mut window = StartWindow::default();
    record_answers(&mut window, 320, 600);
    assert_eq!(window.limit(), Some(16));
    record_answers(&mut window, 32, 600);
    assert_eq!(window.limit(), Some(16));
    record_answers(&mut window, 32, 20);
    assert_eq!(window.limit(), Some(18));
    record_answers(&mut window, 50 * 32, 20);
    assert_eq!(window.limit(), None);
}
