//! Command line of `gorsespur-replay`.

use std::path::PathBuf;

use clap::Parser;

/// Replays recorded traces against stated outcomes.
///
/// Beside TRACE a file TRACE.yaml may state outcomes.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-replay", version)]
pub struct ReplayArgs {
    /// Traces recorded by `gorsespur-sched --record`.
    #[arg(required = true)]
    pub traces: Vec<PathBuf>,
    /// Print the outcomes as JSON.
    #[arg(long)]
    pub json: bool,
}
