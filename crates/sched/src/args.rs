//! Command line of `gorsespur-sched`.

use std::path::PathBuf;

use clap::Parser;

/// Owns shards: places tasks on workers, renews leases, evicts and recovers.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-sched", version)]
pub struct SchedArgs {
    /// Settings file in YAML.
    #[arg(long)]
    pub settings: PathBuf,
    /// Directory for event recordings, one per ownership, that gorsespur-replay reads.
    #[arg(long)]
    pub record: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
