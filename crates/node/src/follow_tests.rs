//! What an instance asks of a store that refuses it.

use std::{thread, time::Duration};

use gorsespur_runtime::cancel::CancelToken;

use crate::{
    fakes_tests::{UnavailableStore, shared},
    follow::follow,
};

/// A store that refuses a third of hundreds of instances for seconds: each of them asked it ten
/// times a second.
#[test]
fn a_store_that_refuses_is_asked_less_and_less() {
    let shared = shared(UnavailableStore);
    let cancel = CancelToken::new();
    thread::scope(|scope| {
        scope.spawn(|| follow(&shared, &cancel));
        thread::sleep(Duration::from_secs(3));
        cancel.cancel();
    });
    let text = shared.metrics.text();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("gorsespur_store_errors "));
    let asked: u64 = line.expect("counted").parse().expect("a number");
    assert!((1..=10).contains(&asked), "{asked}");
}
