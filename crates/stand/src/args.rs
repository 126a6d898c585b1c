//! Command line of `gorsespur-stand`.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};

/// Stand-ins for the platform's services and for workers.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-stand", version)]
pub struct StandArgs {
    /// Service to run.
    #[command(subcommand)]
    pub role: StandRole,
}

/// Service to run.
#[derive(Debug, Subcommand)]
pub enum StandRole {
    /// Run the table service, object store and membership list.
    Platform(PlatformArgs),
    /// Run one worker with its services.
    Worker(WorkerArgs),
    /// Replace the membership list of a running platform.
    Members(MembersArgs),
}

/// Arguments of `members`.
#[derive(Debug, Args)]
pub struct MembersArgs {
    /// Address of any endpoint of the platform.
    #[arg(long = "gate", value_name = "GATE")]
    pub endpoint: SocketAddr,
    /// YAML file with the members.
    pub file: PathBuf,
}

/// Arguments of `platform`.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Endpoint of an availability zone, as ZONE=ADDRESS; give one for each zone, so
    /// that zones can be cut off separately.
    #[arg(long = "gate", value_name = "GATES", required = true, value_parser = parse_endpoint)]
    pub endpoints: Vec<(String, SocketAddr)>,
    /// Maximum number of writes per second.
    #[arg(long, default_value_t = 500)]
    pub writes: u32,
    /// Maximum number of reads per second.
    #[arg(long, default_value_t = 2000)]
    pub reads: u32,
    /// Delay until a new membership list becomes visible, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub lag: u64,
    /// Seed of the random faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

fn parse_endpoint(text: &str) -> Result<(String, SocketAddr), String> {
    let (zone, addr) = text.split_once('=').ok_or("expected ZONE=ADDRESS")?;
    let addr = addr
        .parse()
        .map_err(|_| format!("{addr} is not an address"))?;
    Ok((zone.to_owned(), addr))
}

/// Arguments of `worker`.
#[derive(Debug, Args)]
pub struct WorkerArgs {
    /// Name of the worker.
    #[arg(long)]
    pub name: String,
    /// Address that serves exchanges.
    #[arg(long)]
    pub addr: SocketAddr,
    /// Address that serves requests to the worker's services.
    #[arg(long)]
    pub target: SocketAddr,
    /// Address of the object store.
    #[arg(long)]
    pub objects: SocketAddr,
    /// Number of cores.
    #[arg(long, default_value_t = 30)]
    pub cores: u64,
    /// Memory in MiB.
    #[arg(long, default_value_t = 128_000)]
    pub memory: u64,
    /// Number of accelerators.
    #[arg(long, default_value_t = 0)]
    pub accels: u32,
    /// Number of requests that the worker's services run concurrently.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Mean duration of a request without interference, in milliseconds.
    #[arg(long, default_value_t = 4.0)]
    pub service_ms: f64,
    /// Delay of usage samples in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub lag: u64,
    /// Seed of the interference table.
    #[arg(long, default_value_t = 1)]
    pub table_seed: u64,
    /// Strength of the interference; 0 for none.
    #[arg(long, default_value_t = 0.3)]
    pub strength: f64,
    /// Ledger file to append to; without one the ledger stays in memory.
    #[arg(long)]
    pub ledger: Option<PathBuf>,
}
