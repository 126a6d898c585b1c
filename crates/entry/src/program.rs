//! Startup and shutdown of the entry.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

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
use gorsespur_services::{HttpMembers, HttpTable, Table};
use snafu::ResultExt;

use crate::{
    args::EntryArgs,
    attempts,
    caller::CallerApi,
    claims::Claims,
    error::{
        AgentSnafu, EntryError, LogSnafu, MetricSnafu, ServeSnafu, SettingsSnafu, SystemSnafu,
    },
    forward::Forwarder,
    hints,
    ids::Ids,
    job_api::JobApi,
    owners::Owners,
    peer_api::PeerApi,
    router_thread,
    settings::{EntrySettings, check},
    targets,
};

/// Longest time for which a stopping instance waits for requests in flight.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running entry.
pub struct Running {
    /// Address for callers.
    pub callers: SocketAddr,
    shared: Arc<AgentState>,
    serving: ServerHandle,
    accept: CancelToken,
    end: CancelToken,
    drain: Duration,
}

/// Runs the entry until a signal stops it.
pub fn run(args: &EntryArgs) -> Result<(), EntryError> {
    let settings = load(&args.settings, check).context(SettingsSnafu)?;
    if args.check {
        return Ok(());
    }
    let instance = &settings.instance;
    logging::start(&instance.log, "entry", &instance.id).context(LogSnafu)?;
    let stop = CancelToken::new();
    cancel_on_signal(&stop).context(SystemSnafu)?;
    let running = start(settings)?;
    log::info!("entry: serving callers at {}", running.callers);
    while !stop.wait(Duration::from_secs(3600)) {}
    running.stop();
    log::info!("entry: stopped");
    Ok(())
}

/// Starts an entry.
pub fn start(settings: EntrySettings) -> Result<Running, EntryError> {
    let instance = settings.instance.clone();
    let metrics = Metrics::start(&instance.metrics, "entry").context(MetricSnafu)?;
    let (accept, end) = (CancelToken::new(), CancelToken::new());
    let table: Arc<dyn Table> = Arc::new(HttpTable::new(instance.table, instance.timeout));
    let members = Arc::new(HttpMembers::new(instance.members, instance.timeout));
    let agent = Agent::start(instance.clone(), table.clone(), members, &end).context(AgentSnafu)?;
    let shared = agent.state().clone();
    let router = router_thread::start(settings.route.clone(), &shared, &metrics, &end);
    let router = router.context(SystemSnafu)?;
    let owners = Arc::new(Owners::new(shared.clone(), table.clone()));
    targets::start(&shared, &owners, &router, &end).context(SystemSnafu)?;
    let api = CallerApi {
        shared: shared.clone(),
        forwarder: Forwarder {
            shared: shared.clone(),
            ids: Ids::new(&instance.id, shared.incarnation),
            router: router.clone(),
            attempts: attempts::start(settings.limits.handlers).context(SystemSnafu)?,
            claims: Claims::new(table.clone(), &instance.id, shared.clock),
            metrics: metrics.clone(),
            max_answer_bytes: settings.max_answer_bytes,
        },
        jobs: JobApi {
            shared: shared.clone(),
            table,
            hints: hints::start(&owners).context(SystemSnafu)?,
            owners,
        },
    };
    let peers = PeerApi {
        shared: shared.clone(),
        router,
    };
    let answer_peer = move |req| peers.answer(&req);
    let limits = Limits::default();
    server::serve(instance.listen, "peer", limits, &end, answer_peer).context(ServeSnafu)?;
    let answer = move |req| api.answer(req);
    let serving = server::serve(settings.callers, "caller", settings.limits, &accept, answer);
    let serving = serving.context(ServeSnafu)?;
    Ok(Running {
        callers: serving.addr,
        shared,
        serving,
        accept,
        end,
        drain: settings.drain,
    })
}

impl Running {
    /// Stops the entry: announces the exit to peers and the load balancer, takes
    /// requests for the drain time, and waits for requests in flight.
    pub fn stop(self) {
        self.shared.start_leaving();
        thread::sleep(self.drain);
        self.accept.cancel();
        if !self.serving.wait_until_idle(IN_FLIGHT_TIMEOUT) {
            log::warn!(
                "entry: {} requests were still in flight",
                self.serving.active()
            );
        }
        self.end.cancel();
    }
}
