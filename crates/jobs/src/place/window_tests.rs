//! When starts are held back.

use super::window::Window;

fn answered(window: &mut Window, count: u32, ms: u64) {
    for _ in 0..count {
        window.answered(ms);
    }
}

#[test]
fn quick_answers_bound_nothing() {
    let mut window = Window::default();
    answered(&mut window, 1000, 20);
    assert_eq!(window.bound(), None);
}

/// A zone of five is cut off, and one worker in ten answers late.
#[test]
fn some_late_answers_bound_nothing() {
    let mut window = Window::default();
    for _ in 0..200 {
        answered(&mut window, 3, 700);
        answered(&mut window, 7, 10);
    }
    assert_eq!(window.bound(), None);
}

#[test]
fn late_answers_bound_it_and_quick_ones_free_it() {
    let mut window = Window::default();
    answered(&mut window, 320, 600);
    assert_eq!(window.bound(), Some(16));
    answered(&mut window, 32, 600);
    assert_eq!(window.bound(), Some(16));
    answered(&mut window, 32, 20);
    assert_eq!(window.bound(), Some(18));
    answered(&mut window, 50 * 32, 20);
    assert_eq!(window.bound(), None);
}
