//! Tests of the job scheduler's decisions in virtual time.

mod apart;
mod behind;
mod checkpoints;
mod common;
mod crash_waves;
mod crashing;
mod empty;
mod entitlement;
mod evacuation;
mod extremes;
mod gang_ends;
mod gangs;
mod guards;
mod held_ends;
mod inherited_starts;
mod late_drops;
mod late_orders;
mod ledger;
mod lending;
mod lives;
mod load;
mod log;
mod promises;
mod records;
mod regression;
mod removed_queues;
mod reservations;
mod resizing;
mod restarts;
mod sharing;
#[path = "../../benches/site.rs"]
#[expect(dead_code, reason = "the benchmarks use more of it")]
mod site;
mod still;
mod takeovers;
mod waits;
