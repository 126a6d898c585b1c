//! Command line of `gorsespur-replay`.

use std::path::PathBuf;

use clap::Parser;

/// Replays recorded traces and compares them with expected outcomes.
///
/// The expected outcomes of TRACE are read from TRACE.yaml, if that file exists.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-replay", version)]
pub struct ReplayArgs {
    /// Trace files recorded by `gorsespur-sched --record`.
    #[arg(required = true)]
    pub traces: Vec<PathBuf>,
    /// Print outcomes as JSON instead of text.
    #[arg(long)]
    pub json: bool,
}
