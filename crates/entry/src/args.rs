//! Command line of `gorsespur-entry`.

use std::path::PathBuf;

use clap::Parser;

/// Takes requests and jobs of callers.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-entry", version)]
pub struct EntryArgs {
    /// Settings file in YAML.
    #[arg(long)]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
