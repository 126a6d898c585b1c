//! Simulated services on a worker.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::Duration,
};

use gorsespur_core::hashing::stable_hash;
use gorsespur_runtime::server::{Incoming, Reply};
use gorsespur_wire::fields::{BUSY, LEAVING, OUTCOME, REQUEST_ID};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::WorkerFaults;

/// Upper bound of the exponential variate with mean 1 in the duration of a request.
const MAX_EXPONENTIAL: f64 = 6.0;

/// Services of a worker, which share a number of slots.
#[derive(Debug)]
pub struct SimTarget {
    slots: u32,
    mean_ms: f64,
    busy: AtomicU32,
}

/// State of the worker that a request depends on.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    pub has_replica: bool,
    pub slowdown: f64,
    pub faults: WorkerFaults,
}

impl SimTarget {
    /// Returns a target with `slots` slots whose requests take `mean_ms` on average without
    /// interference.
    pub fn new(slots: u32, mean_ms: f64) -> SimTarget {
        SimTarget {
            slots,
            mean_ms,
            busy: AtomicU32::new(0),
        }
    }

    /// Returns the number of slots in use.
    pub fn busy(&self) -> u32 {
        self.busy.load(Ordering::Acquire)
    }

    /// Runs a request, or declines it without a replica or a free slot.
    ///
    /// `on_start` is called with the id of the request just before the request runs.
    pub(crate) fn run(
        &self,
        req: &Incoming,
        ctx: &RequestContext,
        on_start: impl FnOnce(&str),
    ) -> Reply {
        let id = req.header(REQUEST_ID).unwrap_or("").to_owned();
        if !ctx.has_replica {
            return self.decline(&id, ctx, "no replica here");
        }
        let busy = self.busy.fetch_add(1, Ordering::AcqRel) + 1;
        if busy > self.slots {
            self.busy.fetch_sub(1, Ordering::AcqRel);
            return self
                .decline(&id, ctx, "no slot is free")
                .header(BUSY, self.slots.to_string());
        }
        on_start(&id);
        thread::sleep(self.service_time(&id, ctx));
        self.busy.fetch_sub(1, Ordering::AcqRel);
        let body = answer_body(&id, &req.path, &req.body);
        let id = if ctx.faults.swap_answers {
            "other".to_owned()
        } else {
            id
        };
        Reply::new(200, body)
            .header(REQUEST_ID, id)
            .header(BUSY, busy.to_string())
            .header(LEAVING, if ctx.faults.leaving { "yes" } else { "no" })
    }

    fn service_time(&self, id: &str, ctx: &RequestContext) -> Duration {
        let mut rng = SmallRng::seed_from_u64(stable_hash(&[id]));
        let uniform: f64 = rng.random_range(1e-9..1.0);
        let exponential = (-uniform.ln()).min(MAX_EXPONENTIAL);
        let ms = self.mean_ms * (0.5 + 0.5 * exponential) * ctx.slowdown;
        Duration::from_micros((ms * 1000.0) as u64) + Duration::from_millis(ctx.faults.slow_ms)
    }

    fn decline(&self, id: &str, ctx: &RequestContext, reason: &str) -> Reply {
        Reply::text(503, reason)
            .header(REQUEST_ID, id)
            .header(OUTCOME, "not-run")
            .header(LEAVING, if ctx.faults.leaving { "yes" } else { "no" })
    }
}

/// Returns the body of the answer to a request, from which callers verify the answer.
pub fn answer_body(id: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(body);
    let sum = stable_hash(&[path, &text]);
    format!("id={id} sum={sum:016x} len={}", body.len()).into_bytes()
}
