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
        let settings = |policy, told| PlacementSimSettings {
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
            oracle: told,
        };
        let base = PlacementSim::new(settings(PlacementPolicy::LeastLoaded, false)).run();
        let random = PlacementSim::new(settings(PlacementPolicy::Random, false)).run();
        let mine = PlacementSim::new(settings(PlacementPolicy::Interference, false)).run();
        let best = PlacementSim::new(settings(PlacementPolicy::Interference, true)).run();
        println!(
            "interference: user={user} seed={} table_seed={} strength={} lag_ms={} {} {} {} {} p99_ratio={:.3} work_ratio={:.3} evictions_ratio={:.3} told_p99_ratio={:.3} told_work_ratio={:.3} told_evictions_ratio={:.3}",
            args.seed,
            args.table_seed.unwrap_or(args.seed),
            args.strength,
            args.lag,
            figures("least", &base),
            figures("random", &random),
            figures("mine", &mine),
            figures("told", &best),
            mine.latencies.quantile_ms(0.99) / base.latencies.quantile_ms(0.99),
            mine.work_ms as f64 / base.work_ms as f64,
            mine.evictions as f64 / base.evictions.max(1) as f64,
            best.latencies.quantile_ms(0.99) / base.latencies.quantile_ms(0.99),
            best.work_ms as f64 / base.work_ms as f64,
            best.evictions as f64 / base.evictions.max(1) as f64,
        );
    }
    Ok(())
}

fn figures(name: &str, r: &PlacementSimResult) -> String {
    format!(
        "{name}_p50_ms={:.2} {name}_p99_ms={:.2} {name}_done={} {name}_work_s={} {name}_evictions={} {name}_urgent_mean_ms={:.0} {name}_urgent_max_ms={}",
        r.latencies.quantile_ms(0.5),
        r.latencies.quantile_ms(0.99),
        r.completed,
        r.work_ms / 1_000,
        r.evictions,
        r.urgent_mean_ms,
        r.urgent_max_ms
    )
}
