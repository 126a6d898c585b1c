//! How long the journal waits for an answer.

use std::time::Duration;

use test_case::test_case;

use super::journal::limit;

/// A slow store answers others; one that answers nobody is asked again soon, but for the
/// first try, which may have met either.
#[test_case(false, false, 2500; "first try")]
#[test_case(false, true, 2500; "first try while others get no answer")]
#[test_case(true, false, 2500; "slow")]
#[test_case(true, true, 700; "silent")]
fn a_silent_store_is_asked_again_soon(again: bool, lost: bool, ms: u64) {
    assert_eq!(limit(again, lost), Duration::from_millis(ms));
}
