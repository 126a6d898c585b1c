//! Command line arguments of `gorsespur-load`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Generate load, run trials and measure, all on one host.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-load", version)]
pub struct LoadArgs {
    /// What to run.
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// What to run.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Run the whole system with stand-ins, kill processes and verify the guarantees.
    Trial(TrialArgs),
    /// Measure what one more worker, task or message costs.
    Slopes(TrialArgs),
    /// Print the table of docs/CAPACITY.md from the output of `slopes`.
    Capacity {
        /// File with the output of `slopes`.
        #[arg(long)]
        from: PathBuf,
    },
    /// Compare one property to its baseline in one run.
    Measure {
        /// What to measure.
        #[command(subcommand)]
        what: Measure,
    },
}

/// Arguments of commands that start processes.
#[derive(Debug, Clone, Args)]
pub struct TrialArgs {
    /// Seed for the load and the faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Duration of the load in seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Directory of the system's programs; by default that of this program.
    #[arg(long)]
    pub bin: Option<PathBuf>,
    /// Output directory for settings, logs, ledgers and traces; emptied first.
    #[arg(long, default_value = "trial-out")]
    pub out: PathBuf,
    /// Directory of the organisations' templates.
    #[arg(long, default_value = "templates")]
    pub templates: PathBuf,
    /// Record traces of the schedulers for replay.
    #[arg(long)]
    pub record: bool,
}

/// What to measure.
#[derive(Debug, Subcommand)]
pub enum Measure {
    /// Latency that an entry adds to a direct call, at half load.
    Overhead(TrialArgs),
    /// Guarantees under kills, pauses, outages and a zone that is cut off.
    Faults(TrialArgs),
    /// Placement under interference, in virtual time.
    Interference(InterferenceArgs),
    /// Routing under overload and with bad targets, in virtual time.
    Overload(SeedArgs),
    /// Cost of placement, journalling, recovery and cancellation.
    Starts(SeedArgs),
    /// Full membership compared to partial views.
    Membership(MembershipArgs),
}

/// Arguments of the membership comparison.
#[derive(Debug, Clone, Args)]
pub struct MembershipArgs {
    /// Seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of instances in all zones.
    #[arg(long, default_value_t = 528)]
    pub instances: usize,
    /// Number of availability zones.
    #[arg(long, default_value_t = 22)]
    pub zones: usize,
}

/// Arguments of measurements that start no processes.
#[derive(Debug, Clone, Args)]
pub struct SeedArgs {
    /// Seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of virtual time.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
}

/// Arguments of the interference measurement.
#[derive(Debug, Clone, Args)]
pub struct InterferenceArgs {
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of virtual time; the hidden interference table changes half-way.
    #[arg(long, default_value_t = 300)]
    pub seconds: u64,
    /// Seed of the hidden interference table; by default the seed of the arrivals.
    #[arg(long)]
    pub table_seed: Option<u64>,
    /// Strength of the slowdowns in the hidden table.
    #[arg(long, default_value_t = 0.6)]
    pub strength: f64,
    /// Lag of the workers' reports in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub lag: u64,
    /// Number of workers.
    #[arg(long, default_value_t = 24)]
    pub workers: usize,
    /// Number of replicas of the service, at most one per worker.
    #[arg(long, default_value_t = 16)]
    pub replicas: u32,
}
