//! Command line of `gorsespur-ctl`.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};

/// Checks, applies and shows organisation templates.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-ctl", version)]
pub struct CtlArgs {
    /// Addresses of the platform.
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Addresses of the platform; flags override the settings file.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// YAML file with settings.
    #[arg(long, global = true)]
    pub settings: Option<PathBuf>,
    /// Address of the table service.
    #[arg(long, global = true)]
    pub table: Option<SocketAddr>,
    /// Address of the membership list.
    #[arg(long, global = true)]
    pub members: Option<SocketAddr>,
}

/// Commands of `gorsespur-ctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a template without contacting the platform.
    Check {
        /// Template file.
        file: PathBuf,
    },
    /// Show what applying a template would change.
    Diff {
        /// Template file.
        file: PathBuf,
    },
    /// Apply a template unless it was changed since the version that was edited.
    Apply {
        /// Template file.
        file: PathBuf,
        /// Version that was edited; defaults to the version in the first line of the file, or
        /// to 0 (new organisation) without one.
        #[arg(long)]
        on: Option<u64>,
        /// Operator named in the audit entry; defaults to `who` in the settings, then to $USER.
        #[arg(long)]
        who: Option<String>,
        /// Reason given in the audit entry.
        #[arg(long, default_value = "")]
        why: String,
    },
    /// Show the template in force in a form that can be edited and applied.
    Show {
        /// Organisation; without one, all are listed.
        org: Option<String>,
    },
    /// Show the audit trail of an organisation.
    History {
        /// Organisation.
        org: String,
    },
    /// Explain from the logs of the instances why a job ended as it did.
    Explain {
        /// Job id of 16 hexadecimal digits.
        job: String,
        /// Log files of the instances, in any order; standard input if none is given.
        logs: Vec<PathBuf>,
    },
    /// Show from logs how all jobs spent their time, by queue and over time.
    Losses {
        /// Log files of the instances, in any order; standard input if none is given.
        logs: Vec<PathBuf>,
        /// Seconds covered by each row of the table over time.
        #[arg(long, default_value_t = 2)]
        window: u64,
    },
    /// Show instances and shards, and the workers and jobs that are held up.
    Status,
}
