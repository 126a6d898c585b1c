//! Command line of `gorsespur-stand`.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};

/// Stand-ins for the platform's services and for workers.
#[derive(Debug, Parser)]
#[command(name = "gorsespur-stand", version)]
pub struct StandArgs {
    /// What to stand in for.
    #[command(subcommand)]
    pub role: StandRole,
}

/// What to stand in for.
#[derive(Debug, Subcommand)]
pub enum StandRole {
    /// Table service, object store and membership list.
    Platform(PlatformArgs),
    /// One worker with its services.
    Worker(WorkerArgs),
    /// Tell a running platform its members.
    Members(MembersArgs),
}

/// Arguments of the members.
#[derive(Debug, Args)]
pub struct MembersArgs {
    /// Address of the platform.
    #[arg(long)]
    pub gate: SocketAddr,
    /// Members in YAML.
    pub file: PathBuf,
}

/// Arguments of the platform.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Address and availability zone, as ZONE=ADDRESS; one for each zone, so
    /// that a zone can be cut off.
    #[arg(long = "gate", required = true, value_parser = parse_gate)]
    pub gates: Vec<(String, SocketAddr)>,
    /// Most writes a second.
    #[arg(long, default_value_t = 500)]
    pub writes: u32,
    /// Most reads a second.
    #[arg(long, default_value_t = 2000)]
    pub reads: u32,
    /// Lag of the membership list in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub lag: u64,
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

fn parse_gate(text: &str) -> Result<(String, SocketAddr), String> {
    let (zone, addr) = text.split_once('=').ok_or("expected ZONE=ADDRESS")?;
    let addr = addr
        .parse()
        .map_err(|_| format!("{addr} is not an address"))?;
    Ok((zone.to_owned(), addr))
}

/// Arguments of a worker.
#[derive(Debug, Args)]
pub struct WorkerArgs {
    /// Name.
    #[arg(long)]
    pub name: String,
    /// Address for exchanges.
    #[arg(long)]
    pub addr: SocketAddr,
    /// Address of its services.
    #[arg(long)]
    pub target: SocketAddr,
    /// Address of the object store.
    #[arg(long)]
    pub objects: SocketAddr,
    /// Cores.
    #[arg(long, default_value_t = 30)]
    pub cores: u64,
    /// Memory in MiB.
    #[arg(long, default_value_t = 128_000)]
    pub memory: u64,
    /// Accelerators.
    #[arg(long, default_value_t = 0)]
    pub accels: u32,
    /// Requests that each service runs at one time.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Mean time of a request in milliseconds.
    #[arg(long, default_value_t = 4.0)]
    pub service_ms: f64,
    /// Lag of usage reports in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub lag: u64,
    /// Seed of the hidden slowdowns.
    #[arg(long, default_value_t = 1)]
    pub table_seed: u64,
    /// Strength of the hidden slowdowns; 0 for none.
    #[arg(long, default_value_t = 0.3)]
    pub strength: f64,
    /// File of the ledger, appended to.
    #[arg(long)]
    pub ledger: Option<PathBuf>,
}
