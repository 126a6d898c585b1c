//! Startup and shutdown of the scheduler.

use std::{
    path::PathBuf,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use gorsespur_peer::{Agent, AgentState};
use gorsespur_runtime::{
    cancel::CancelToken,
    logging,
    metrics::Metrics,
    server,
    server::{Limits, ServerHandle},
    settings::load,
    signals::cancel_on_signal,
};
use gorsespur_services::{
    HttpMembers, HttpObjects, HttpTable, HttpWorkers, Objects, Table, Workers,
};
use snafu::ResultExt;

use crate::{
    args::SchedArgs,
    error::{
        AgentSnafu, LogSnafu, MetricSnafu, SchedError, ServeSnafu, SettingsSnafu, SystemSnafu,
    },
    exchanger,
    keeper::{Keeper, thread_name},
    owned::OwnedShards,
    peer_api::PeerApi,
    settings::{SchedSettings, check},
};

/// Timeout of a call to the object store. Must be shorter than a shard's lease,
/// since a new owner renews the lease only between attempts to read a snapshot.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a stopping instance finishes the requests of peers.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A running scheduler.
pub struct Running {
    shared: Arc<AgentState>,
    serving: ServerHandle,
    keepers: Vec<JoinHandle<()>>,
    stop: CancelToken,
    end: CancelToken,
}

/// Runs the scheduler until a signal stops it.
pub fn run(args: &SchedArgs) -> Result<(), SchedError> {
    let settings = load(&args.settings, check).context(SettingsSnafu)?;
    if args.check {
        return Ok(());
    }
    let instance = &settings.instance;
    logging::start(&instance.log, "sched", &instance.id).context(LogSnafu)?;
    let stop = CancelToken::new();
    cancel_on_signal(&stop).context(SystemSnafu)?;
    let running = start(&settings, args.record.clone(), &stop)?;
    log::info!("sched: serving peers at {}", instance.listen);
    while !stop.wait(Duration::from_secs(3600)) {}
    running.stop();
    log::info!("sched: stopped");
    Ok(())
}

/// Starts a scheduler, which releases its shards when `stop` is cancelled.
///
/// Events are recorded into files in `record_dir`, if it is set.
pub fn start(
    settings: &SchedSettings,
    record_dir: Option<PathBuf>,
    stop: &CancelToken,
) -> Result<Running, SchedError> {
    let instance = &settings.instance;
    let metrics = Metrics::start(&instance.metrics, "sched").context(MetricSnafu)?;
    let end = CancelToken::new();
    let table: Arc<dyn Table> = Arc::new(HttpTable::new(instance.table, instance.timeout));
    let objects: Arc<dyn Objects> = Arc::new(HttpObjects::new(instance.objects, OBJECT_TIMEOUT));
    let members = Arc::new(HttpMembers::new(instance.members, instance.timeout));
    let workers: Arc<dyn Workers> = Arc::new(HttpWorkers::new(settings.exchange_timeout));
    let exchanges = exchanger::start(&workers, settings.exchange_threads).context(SystemSnafu)?;
    let agent = Agent::start(instance.clone(), table.clone(), members, &end).context(AgentSnafu)?;
    let shared = agent.state().clone();
    let owned = Arc::new(OwnedShards::default());
    let api = PeerApi {
        shared: shared.clone(),
        owned: owned.clone(),
    };
    let limits = Limits {
        body_bytes: 16 << 20,
        ..Limits::default()
    };
    let answer = move |req| api.answer(&req);
    let serving = server::serve(instance.listen, "peer", limits, &end, answer);
    let serving = serving.context(ServeSnafu)?;
    let mut keepers = Vec::new();
    for shard in instance.layout.shards() {
        if shard.zone != instance.zone {
            continue;
        }
        let keeper = Keeper {
            shard: shard.clone(),
            settings: settings.clone(),
            shared: shared.clone(),
            table: table.clone(),
            objects: objects.clone(),
            owned: owned.clone(),
            exchanges: exchanges.clone(),
            metrics: metrics.clone(),
            record_dir: record_dir.clone(),
            stop: stop.clone(),
        };
        let spawned = thread::Builder::new().name(thread_name(&shard.place.name));
        keepers.push(spawned.spawn(move || keeper.run()).context(SystemSnafu)?);
    }
    Ok(Running {
        shared,
        serving,
        keepers,
        stop: stop.clone(),
        end,
    })
}

impl Running {
    /// Releases the shards, announces the exit to peers and stops.
    pub fn stop(self) {
        self.stop.cancel();
        self.shared.start_leaving();
        for keeper in self.keepers {
            let _ = keeper.join();
        }
        self.end.cancel();
        self.serving.wait_until_idle(DRAIN_TIMEOUT);
    }
}
