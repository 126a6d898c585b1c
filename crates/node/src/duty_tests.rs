//! Tests of threads whose duty panics.

use crate::duty;

/// Guards against processes that answer and do nothing of a duty: the panic of its thread is acted on.
#[test]
fn a_panic_ends_more_than_its_thread() {
    let ended = duty::run_or(|| panic!("sum overflows"), || true);
    assert!(ended);
    assert!(!duty::run_or(|| false, || true));
}
