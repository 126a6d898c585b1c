//! Tests of the term of a lease.

use super::renewal_gaps::RenewalGaps;

/// Returns the gaps of `times` renewals that are `apart` milliseconds apart.
fn gaps_of(times: u64, apart: u64) -> RenewalGaps {
    let mut renewal_gaps = RenewalGaps::default();
    for at in 1..=times {
        renewal_gaps.record(at * apart);
    }
    renewal_gaps
}

#[test]
fn a_new_owner_has_the_longest_term() {
    assert_eq!(gaps_of(0, 410).term(), 1800);
    assert_eq!(gaps_of(1, 410).term(), 1800);
}

/// An owner that dies while the store has its normal speed is replaced after a second instead of
/// 1.8 s.
#[test]
fn a_fast_store_yields_a_short_term() {
    assert_eq!(gaps_of(10, 410).term(), 1020);
}

/// At a sixtieth of the store's speed, no instance takes the lease from a live owner.
#[test]
fn a_slow_store_yields_the_longest_term() {
    assert_eq!(gaps_of(10, 1100).term(), 1800);
}

#[test]
fn a_peak_decays() {
    let mut renewal_gaps = gaps_of(2, 1100);
    for at in 1..=20 {
        renewal_gaps.record(2200 + at * 410);
    }
    assert!(renewal_gaps.term() < 1060, "{} ms", renewal_gaps.term());
}
