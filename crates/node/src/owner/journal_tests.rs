//! Tests of the journal's time limits, and of what it publishes to other instances.

use std::time::Duration;

use gorsespur_jobs::Takeover;
use test_case::test_case;

use super::{
    Tenure,
    inbox::Inbox,
    journal::{JournalInput, contact_time, write, write_timeout},
};
use crate::{
    census::Census,
    fakes_tests::{LeaseStore, shared},
    rows::LeaseRow,
};

/// A slow store answers some calls; an unreachable one answers none and is called again soon,
/// except that a first attempt may meet either.
#[test_case(false, false, 2500; "first attempt")]
#[test_case(false, true, 2500; "first attempt while other calls get no answer")]
#[test_case(true, false, 2500; "slow")]
#[test_case(true, true, 700; "unreachable")]
fn an_unreachable_store_is_retried_soon(again: bool, lost: bool, ms: u64) {
    assert_eq!(write_timeout(again, lost), Duration::from_millis(ms));
}

/// A released lease still publishes when worker leases of owners before the last one end.
#[test]
fn a_released_lease_publishes_when_earlier_leases_end() {
    let store = LeaseStore::new(LeaseRow::default());
    let shared = shared(store.clone());
    // Far enough in the future that the duration of the test does not matter.
    let prior_leases_end = u64::MAX / 2;
    let tenure = Tenure {
        epoch: 1,
        largest: 500,
        census: Census::default(),
        pending: Vec::new(),
        head: 1,
        takeover: Takeover {
            asked_at: 0,
            prior_leases_end,
        },
    };
    let (sender, inputs) = flume::bounded(1);
    sender.send(JournalInput::Release).expect("room");
    let inbox = Inbox::new().expect("an event loop");
    write(&shared, &tenure, &inputs, &inbox.sender());
    let newest = store.newest();
    assert!(newest.released);
    assert!(newest.earlier > prior_leases_end / 2, "{}", newest.earlier);
}

/// Guards against counting the first write after an outage from its first attempt: that contact
/// would be as old as the outage, and renew no worker lease.
#[test_case(true, true, 6000; "done, and others see it")]
#[test_case(true, false, 0; "done, and others do not see it")]
#[test_case(false, true, 0; "done by an earlier attempt")]
#[test_case(false, false, 0; "done by an earlier attempt, and others do not see it")]
fn a_contact_counts_from_the_attempt_that_others_see(done: bool, renews: bool, at: u64) {
    assert_eq!(contact_time(done, renews, 0, 6000), at);
}
