//! Compares placement with learned interference to the baselines, and to the same policy with the
//! hidden interference table as an oracle.

use gorsespur_core::{placement::PlacementPolicy, template::Weights};

use super::placement_sim::{PlacementSim, PlacementSimResult, PlacementSimSettings};
use crate::{args::InterferenceArgs, error::LoadError};

/// Placement weights of the organisations Weld and Taipei.
const WELD_WEIGHTS: Weights = Weights {
    tail_latency: 0.6,
    throughput: 0.2,
    evictions: 0.2,
};
const TAIPEI_WEIGHTS: Weights = Weights {
    tail_latency: 0.2,
    throughput: 0.4,
    evictions: 0.4,
};

/// Measures and prints a line for each organisation.
pub(crate) fn run(args: &InterferenceArgs) -> Result<(), LoadError> {
    for (user, weights) in [("weld", WELD_WEIGHTS), ("taipei", TAIPEI_WEIGHTS)] {
        let settings = |policy, oracle| PlacementSimSettings {
            preempt_after: if policy == PlacementPolicy::Interference {
                None
            } else {
                Some(0)
            },
            workers: args.workers,
            replicas: args.replicas,
            weights,
            policy,
            seed: args.seed,
            table_seed: args.table_seed.unwrap_or(args.seed),
            strength: args.strength,
            report_lag: args.lag,
            duration: args.seconds * 1_000,
            oracle,
        };
        let least_loaded = PlacementSim::new(settings(PlacementPolicy::LeastLoaded, false)).run();
        let random = PlacementSim::new(settings(PlacementPolicy::Random, false)).run();
        let learned = PlacementSim::new(settings(PlacementPolicy::Interference, false)).run();
        let with_oracle = PlacementSim::new(settings(PlacementPolicy::Interference, true)).run();
        println!(
            "interference: user={user} seed={} table_seed={} strength={} lag_ms={} {} {} {} {} p99_ratio={:.3} work_ratio={:.3} evictions_ratio={:.3} told_p99_ratio={:.3} told_work_ratio={:.3} told_evictions_ratio={:.3}",
            args.seed,
            args.table_seed.unwrap_or(args.seed),
            args.strength,
            args.lag,
            format_result("least", &least_loaded),
            format_result("random", &random),
            format_result("mine", &learned),
            format_result("told", &with_oracle),
            learned.latencies.quantile_ms(0.99) / least_loaded.latencies.quantile_ms(0.99),
            learned.work_ms as f64 / least_loaded.work_ms as f64,
            learned.evictions as f64 / least_loaded.evictions.max(1) as f64,
            with_oracle.latencies.quantile_ms(0.99) / least_loaded.latencies.quantile_ms(0.99),
            with_oracle.work_ms as f64 / least_loaded.work_ms as f64,
            with_oracle.evictions as f64 / least_loaded.evictions.max(1) as f64,
        );
    }
    Ok(())
}

fn format_result(name: &str, result: &PlacementSimResult) -> String {
    format!(
        "{name}_p50_ms={:.2} {name}_p99_ms={:.2} {name}_done={} {name}_work_s={} {name}_evictions={} {name}_urgent_mean_ms={:.0} {name}_urgent_max_ms={}",
        result.latencies.quantile_ms(0.5),
        result.latencies.quantile_ms(0.99),
        result.completed,
        result.work_ms / 1_000,
        result.evictions,
        result.urgent_mean_ms,
        result.urgent_max_ms
    )
}
