//! Command line of `gorsespur-load`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Load, trial runs and measurements on loopback.
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
    /// Run the whole system on stand-ins, with kills, and judge it.
    Trial(TrialArgs),
    /// Measure what one more worker, task or message costs.
    Slopes(TrialArgs),
    /// Print the table of docs/CAPACITY.md from the output of `slopes`.
    Capacity {
        /// File with the output of `slopes`.
        #[arg(long)]
        from: PathBuf,
    },
    /// Measure one thing against its baseline, in one run.
    Measure {
        /// What to measure.
        #[command(subcommand)]
        what: Measure,
    },
}

/// Arguments of a run with processes.
#[derive(Debug, Clone, Args)]
pub struct TrialArgs {
    /// Seed of the load and the faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of load.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Directory of the programs; by default that of this program.
    #[arg(long)]
    pub bin: Option<PathBuf>,
    /// Directory for settings, logs, ledgers and traces; emptied first.
    #[arg(long, default_value = "trial-out")]
    pub out: PathBuf,
    /// Directory of the templates.
    #[arg(long, default_value = "templates")]
    pub templates: PathBuf,
    /// Record traces of the schedulers.
    #[arg(long)]
    pub record: bool,
}

/// What to measure.
#[derive(Debug, Subcommand)]
pub enum Measure {
    /// What an entry adds to a direct call, at half load.
    Overhead(TrialArgs),
    /// Promises under kills, pauses, outages and a zone that is cut off.
    Faults(TrialArgs),
    /// Placement under interference, in virtual time.
    Interference(InterferenceArgs),
    /// Routing under overload and with bad targets, in virtual time.
    Overload(SeedArgs),
    /// Cost of placement, journalling and recovery.
    Starts(SeedArgs),
    /// Full membership against partial views.
    Membership(MembershipArgs),
}

/// Arguments of the comparison of memberships.
#[derive(Debug, Clone, Args)]
pub struct MembershipArgs {
    /// Seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Instances of the system in all zones.
    #[arg(long, default_value_t = 528)]
    pub instances: usize,
    /// Availability zones.
    #[arg(long, default_value_t = 22)]
    pub zones: usize,
}

/// Arguments of a measurement without processes.
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
    /// Seconds of virtual time; the hidden table shifts half-way.
    #[arg(long, default_value_t = 300)]
    pub seconds: u64,
    /// Seed of the hidden table; by default that of the arrivals.
    #[arg(long)]
    pub table_seed: Option<u64>,
    /// Strength of the hidden slowdowns.
    #[arg(long, default_value_t = 0.6)]
    pub strength: f64,
    /// Lag of the reports in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub lag: u64,
    /// Workers.
    #[arg(long, default_value_t = 24)]
    pub workers: usize,
    /// Replicas of the service, at most one a worker.
    #[arg(long, default_value_t = 16)]
    pub replicas: u32,
}
