//! Compares routing under overload and with faulty targets to round-robin without retry budgets.

use gorsespur_core::route::RoutePolicy;

use super::overload_sim::{OverloadResult, OverloadSettings, TargetFault};
use crate::{args::SeedArgs, error::LoadError};

/// Offered load as a share of the capacity. `FAULT_LOAD` fits into the capacity that is left when
/// a third of the targets is faulty.
const LIGHT_LOAD: f64 = 0.3;
const DOUBLE_LOAD: f64 = 2.0;
const FAULT_LOAD: f64 = 0.45;

/// Measures and prints a line for each case.
pub(crate) fn run(args: &SeedArgs) -> Result<(), LoadError> {
    let policies = [
        ("two-choices", RoutePolicy::TwoChoices),
        ("round-robin", RoutePolicy::RoundRobin),
    ];
    for (name, policy) in policies {
        let cases = [
            ("unloaded", LIGHT_LOAD, TargetFault::None),
            ("twice", DOUBLE_LOAD, TargetFault::None),
            ("third-failing", FAULT_LOAD, TargetFault::Failing),
            ("third-slow", FAULT_LOAD, TargetFault::Slow),
            ("third-gone", FAULT_LOAD, TargetFault::Unreachable),
        ];
        for (case, load, bad) in cases {
            let run = OverloadSettings {
                policy,
                load,
                fault: bad,
                seed: args.seed,
                duration: args.seconds * 1_000,
            };
            print_result(name, case, &run.run());
        }
    }
    Ok(())
}

fn print_result(policy: &str, case: &str, r: &OverloadResult) {
    println!(
        "overload: policy={policy} case={case} requests={} answered={} goodput={:.3} tries_per_request={:.3} repeatable_ok={:.4} urgent_p50_ms={:.1} urgent_p99_ms={:.1} all_p99_ms={:.1} refused={} late={} refused_wait_p99_ms={:.1}",
        r.requests,
        r.answered,
        r.goodput,
        r.tries as f64 / r.requests.max(1) as f64,
        r.repeatable_ok as f64 / r.repeatable.max(1) as f64,
        r.urgent_latencies.quantile_ms(0.5),
        r.urgent_latencies.quantile_ms(0.99),
        r.latencies.quantile_ms(0.99),
        r.refused,
        r.late,
        r.refused_wait.quantile_ms(0.99),
    );
}
