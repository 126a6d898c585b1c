//! Tests of the decisions about jobs, in virtual time.

mod behind;
mod common;
mod crashing;
mod evacuation;
mod gangs;
mod guards;
mod load;
mod promises;
mod regression;
mod resizing;
mod sharing;
#[path = "../../benches/site.rs"]
#[expect(dead_code, reason = "the benchmarks use more of it")]
mod site;
mod takeovers;
