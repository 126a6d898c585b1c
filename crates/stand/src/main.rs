//! Stand-ins for the platform's services and for workers.

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Duration,
};

use clap::Parser;
use gorsespur_core::{name::Name, size::Size};
use gorsespur_runtime::{
    cancel::CancelToken,
    clock::wall_ms,
    exit::report_result,
    logging::{LogSettings, start},
    signals::cancel_on_signal,
};
use gorsespur_services::HttpObjects;
use gorsespur_stand::{
    Ledger, Platform, SimSettings, SimTarget, SimWorker, Slowdown, StandError, StoredCheckpoints,
    ZoneEndpoint,
    args::{PlatformArgs, StandArgs, StandRole, WorkerArgs},
    send_members, serve_platform, serve_worker,
};

/// Time limit of each call to the object store.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit of one wait of the main thread; cancellation ends the wait early.
const WAIT_INTERVAL: Duration = Duration::from_secs(3600);

fn main() -> ExitCode {
    let args = StandArgs::parse();
    let result = match args.role {
        StandRole::Platform(args) => run_platform(args),
        StandRole::Worker(args) => run_worker(args),
        StandRole::Members(args) => send_members(args.endpoint, &args.file),
    };
    report_result("gorsespur-stand", result)
}

fn start_process(id: &str) -> Result<CancelToken, StandError> {
    start(&LogSettings::default(), "stand", id).map_err(|source| StandError::Log { source })?;
    let cancel = CancelToken::new();
    cancel_on_signal(&cancel).map_err(|source| StandError::System { source })?;
    Ok(cancel)
}

fn run_platform(args: PlatformArgs) -> Result<(), StandError> {
    let cancel = start_process("platform")?;
    let lag = Duration::from_millis(args.lag);
    let platform = Platform::new(args.writes, args.reads, lag, args.seed);
    let mut endpoints = Vec::new();
    for (zone, addr) in args.endpoints {
        let zone = Name::from(zone);
        endpoints.push(ZoneEndpoint { zone, addr });
    }
    let endpoints = serve_platform(Arc::new(Mutex::new(platform)), &endpoints, &cancel)?;
    for endpoint in endpoints {
        log::info!(
            "platform: serving zone {} at {}",
            endpoint.zone,
            endpoint.addr
        );
    }
    while !cancel.wait(WAIT_INTERVAL) {}
    Ok(())
}

fn run_worker(args: WorkerArgs) -> Result<(), StandError> {
    let cancel = start_process(&args.name)?;
    let ledger = Ledger::open(args.ledger.as_deref());
    let ledger = Arc::new(ledger.map_err(|source| StandError::Ledger { source })?);
    let settings = SimSettings {
        name: Name::from(&*args.name),
        size: Size::new(args.cores * 1000, args.memory << 20, args.accels),
        period: 1000,
        lag: args.lag,
        slowdown: Slowdown {
            seed: args.table_seed,
            strength: args.strength,
            shift: 0,
        },
    };
    let objects = HttpObjects::new(args.objects, CHECKPOINT_TIMEOUT);
    let checkpoints = Arc::new(StoredCheckpoints::new(objects));
    let sim = SimWorker::new(settings, wall_ms(), ledger.clone(), checkpoints);
    let target = SimTarget::new(args.slots, args.service_ms);
    let worker = serve_worker(
        args.addr,
        args.target,
        sim,
        target,
        ledger,
        &args.name,
        &cancel,
    )?;
    log::info!(
        "worker: serving exchanges at {}, services at {}",
        worker.addr,
        worker.target
    );
    while !cancel.wait(WAIT_INTERVAL) {}
    Ok(())
}
