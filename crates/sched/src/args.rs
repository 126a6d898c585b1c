//! Command line of `gorsespur-sched`.

use std::path::PathBuf;

use clap::Parser;

/// Owns shards: places tasks on workers, renews leases, evicts, recovers.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-sched", version)]
pub struct SchedArgs {
    /// Settings file in YAML.
    #[arg(long)]
    pub settings: PathBuf,
    /// Directory to record each ownership's events in, for gorsespur-replay.
    #[arg(long)]
    pub record: Option<PathBuf>,
    /// Check the settings and stop.
    #[arg(long)]
    pub check: bool,
}
