//! HTTP server of a simulated worker.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use gorsespur_core::shard::WorkerRequest;
use gorsespur_runtime::{
    cancel::CancelToken,
    client::find_header,
    clock::{Clock, wall_ms},
    server::{Incoming, Limits, Reply, serve},
};
use gorsespur_wire::{
    codec::{CONTENT_TYPE, decode, encode},
    fields::REPEATABLE,
    paths::EXCHANGE,
};
use snafu::ResultExt;

use crate::{
    Entry, EntryKind, Ledger, SimTarget, SimWorker, StandError, WorkerFaults,
    error::{ServeSnafu, SystemSnafu},
    target::RequestContext,
};

/// Interval at which the simulation advances between exchanges.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A worker that is being served.
pub struct WorkerServer {
    /// Address that serves exchanges.
    pub addr: SocketAddr,
    /// Address that serves requests to the worker's services.
    pub target: SocketAddr,
    sim: Arc<Mutex<SimWorker>>,
    sim_target: Arc<SimTarget>,
}

impl WorkerServer {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        lock(&self.sim).set_faults(faults);
    }

    /// Returns the number of slots in use.
    pub fn busy(&self) -> u32 {
        self.sim_target.busy()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        lock(&self.sim).running()
    }
}

fn lock(sim: &Mutex<SimWorker>) -> MutexGuard<'_, SimWorker> {
    sim.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves exchanges at `addr` and requests to services at `target` until `cancel`.
pub fn serve_worker(
    addr: SocketAddr,
    target: SocketAddr,
    sim: SimWorker,
    sim_target: SimTarget,
    ledger: Arc<Ledger>,
    name: &str,
    cancel: &CancelToken,
) -> Result<WorkerServer, StandError> {
    let clock = Clock::new();
    let sim = Arc::new(Mutex::new(sim));
    let limits = Limits {
        handlers: 4,
        body_bytes: 16 << 20,
        ..Limits::default()
    };
    let exchange_sim = sim.clone();
    let handle = move |req: Incoming| handle_exchange(&exchange_sim, &clock, &req);
    let exchanges = serve(addr, "exchange", limits, cancel, handle).context(ServeSnafu)?;
    let limits = Limits {
        handlers: 24,
        ..Limits::default()
    };
    let sim_target = Arc::new(sim_target);
    let request_target = sim_target.clone();
    let (request_sim, name) = (sim.clone(), name.to_owned());
    let handle =
        move |req: Incoming| run_request(&request_sim, &request_target, &ledger, &name, &req);
    let targets = serve(target, "target", limits, cancel, handle).context(ServeSnafu)?;
    let (tick_sim, cancel) = (sim.clone(), cancel.clone());
    thread::Builder::new()
        .name("tasks".into())
        .spawn(move || {
            while !cancel.wait(TICK_INTERVAL) {
                lock(&tick_sim).advance(clock.now());
            }
        })
        .context(SystemSnafu)?;
    Ok(WorkerServer {
        addr: exchanges.addr,
        target: targets.addr,
        sim,
        sim_target,
    })
}

fn handle_exchange(sim: &Mutex<SimWorker>, clock: &Clock, req: &Incoming) -> Reply {
    if req.path == "/faults" {
        let Ok(faults) = serde_json::from_slice(&req.body) else {
            return Reply::text(400, "faults are malformed");
        };
        lock(sim).set_faults(faults);
        return Reply::text(200, "ok");
    }
    if req.path != EXCHANGE {
        return Reply::text(404, "no such path");
    }
    let Ok(request) = decode::<WorkerRequest>(&req.body) else {
        return Reply::text(400, "request is malformed");
    };
    let mut sim = lock(sim);
    if sim.faults().cut {
        return Reply::text(503, "worker is cut off");
    }
    let answer = sim.exchange(clock.now(), &request);
    if sim.faults().lose_answers {
        return Reply::text(500, "answer lost");
    }
    match encode(&answer) {
        Ok(body) => Reply::new(200, body).header("content-type", CONTENT_TYPE),
        Err(_) => Reply::text(500, "answer can't be encoded"),
    }
}

fn run_request(
    sim: &Mutex<SimWorker>,
    sim_target: &SimTarget,
    ledger: &Ledger,
    name: &str,
    req: &Incoming,
) -> Reply {
    let segments = req.segments();
    let service = segments.get(2).copied().unwrap_or("");
    let ctx = {
        let sim = lock(sim);
        RequestContext {
            has_replica: sim.has_replica(service),
            slowdown: sim.service_slowdown(service),
            faults: sim.faults().clone(),
        }
    };
    let run_once = find_header(&req.headers, REPEATABLE) == Some("no");
    let reply = sim_target.run(req, &ctx, |id| {
        if run_once {
            ledger.append(Entry {
                ms: wall_ms(),
                worker: name.to_owned(),
                what: EntryKind::Request,
                name: id.to_owned(),
                attempt: String::new(),
                service: true,
            });
        }
    });
    if ctx.faults.drop_answers && reply.status == 200 {
        return Reply::text(500, "answer lost");
    }
    reply
}
