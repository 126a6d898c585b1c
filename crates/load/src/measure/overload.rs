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
        for (case, load, fault) in cases {
            let settings = OverloadSettings {
                policy,
                load,
                fault,
                seed: args.seed,
                duration: args.seconds * 1_000,
            };
            print_result(name, case, &settings.run());
        }
    }
    Ok(())
}

fn print_result(policy: &str, case: &str, result: &OverloadResult) {
    println!(
        "overload: policy={policy} case={case} requests={} answered={} goodput={:.3} tries_per_request={:.3} repeatable_ok={:.4} urgent_p50_ms={:.1} urgent_p99_ms={:.1} all_p99_ms={:.1} refused={} late={} refused_wait_p99_ms={:.1}",
        result.requests,
        result.answered,
        result.goodput,
        result.tries as f64 / result.requests.max(1) as f64,
        result.repeatable_ok as f64 / result.repeatable.max(1) as f64,
        result.urgent_latencies.quantile_ms(0.5),
        result.urgent_latencies.quantile_ms(0.99),
        result.latencies.quantile_ms(0.99),
        result.refused,
        result.late,
        result.refused_wait.quantile_ms(0.99),
    );
}
