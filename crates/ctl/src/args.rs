//! Command line of `gorsespur-ctl`.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};

/// Checks, applies and shows organisation templates.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-ctl", version)]
pub struct CtlArgs {
    /// Where the platform is.
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Print JSON for programs.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Where the platform is; flags go before the settings file.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Settings file in YAML.
    #[arg(long, global = true)]
    pub settings: Option<PathBuf>,
    /// Address of the table service.
    #[arg(long, global = true)]
    pub table: Option<SocketAddr>,
    /// Address of the membership list.
    #[arg(long, global = true)]
    pub members: Option<SocketAddr>,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a template without the platform.
    Check {
        /// Template.
        file: PathBuf,
    },
    /// Show what applying a template would change.
    Diff {
        /// Template.
        file: PathBuf,
    },
    /// Apply a template, if nobody changed it since the version that was edited.
    Apply {
        /// Template.
        file: PathBuf,
        /// Version that was edited; by default the one in the file's first
        /// line, and 0 for a new organisation.
        #[arg(long)]
        on: Option<u64>,
        /// Who applies it; by default $USER.
        #[arg(long)]
        who: Option<String>,
        /// Why.
        #[arg(long, default_value = "")]
        why: String,
    },
    /// Show the template in force, ready to be edited.
    Show {
        /// Organisation; all are listed without it.
        org: Option<String>,
    },
    /// Show the audit trail of an organisation.
    History {
        /// Organisation.
        org: String,
    },
    /// Explain why a job ended as it did, out of the instances' logs.
    Explain {
        /// Id of the job: 16 hexadecimal digits.
        job: String,
        /// Logs of the instances, in any order; standard input without one.
        logs: Vec<PathBuf>,
    },
    /// Show where the time of all jobs went, by queue and over time, out of logs.
    Losses {
        /// Logs of the instances, in any order; standard input without one.
        logs: Vec<PathBuf>,
        /// Seconds of one row over time.
        #[arg(long, default_value_t = 2)]
        window: u64,
    },
    /// Show instances, shards, workers and what is held up.
    Status,
}
