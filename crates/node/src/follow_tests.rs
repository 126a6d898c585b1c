//! Tests of following the configuration while the store refuses calls.

use std::{thread, time::Duration};

use gorsespur_runtime::cancel::CancelToken;

use crate::{
    fakes_tests::{UnavailableStore, shared},
    follow::follow,
};

/// Guards against instances that call a refusing store ten times a second: hundreds of them did so
/// for seconds while it refused a third of them.
#[test]
fn calls_to_a_refusing_store_back_off() {
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
    let calls: u64 = line.expect("counted").parse().expect("a number");
    assert!((1..=10).contains(&calls), "{calls}");
}
