//! The services on a worker.

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

/// Longest time of a request as a multiple of the mean.
const TAIL: f64 = 6.0;

/// Slots of the services on a worker.
#[derive(Debug)]
pub struct TargetLoad {
    slots: u32,
    mean_ms: f64,
    busy: AtomicU32,
}

/// What a target knows when it runs a request.
#[derive(Debug, Clone)]
pub(crate) struct TargetView {
    pub serves: bool,
    pub slowdown: f64,
    pub faults: WorkerFaults,
}

impl TargetLoad {
    /// Returns a target with `slots` slots whose requests take `mean_ms` on average.
    pub fn new(slots: u32, mean_ms: f64) -> TargetLoad {
        TargetLoad {
            slots,
            mean_ms,
            busy: AtomicU32::new(0),
        }
    }

    /// Returns the slots in use.
    pub fn busy(&self) -> u32 {
        self.busy.load(Ordering::Acquire)
    }

    /// Runs a request; `ran` is called once if it runs.
    pub(crate) fn run(&self, req: &Incoming, view: &TargetView, ran: impl FnOnce(&str)) -> Reply {
        let id = req.header(REQUEST_ID).unwrap_or("").to_owned();
        if !view.serves {
            return self.decline(&id, view, "no replica here");
        }
        let busy = self.busy.fetch_add(1, Ordering::AcqRel) + 1;
        if busy > self.slots {
            self.busy.fetch_sub(1, Ordering::AcqRel);
            return self
                .decline(&id, view, "no slot is free")
                .header(BUSY, self.slots.to_string());
        }
        ran(&id);
        thread::sleep(self.time(&id, view));
        self.busy.fetch_sub(1, Ordering::AcqRel);
        let body = answer_body(&id, &req.path, &req.body);
        let id = if view.faults.swap_answers {
            "other".to_owned()
        } else {
            id
        };
        Reply::new(200, body)
            .header(REQUEST_ID, id)
            .header(BUSY, busy.to_string())
            .header(LEAVING, if view.faults.leaving { "yes" } else { "no" })
    }

    fn time(&self, id: &str, view: &TargetView) -> Duration {
        let mut rng = SmallRng::seed_from_u64(stable_hash(&[id]));
        let unit: f64 = rng.random_range(1e-9..1.0);
        let times = (-unit.ln()).min(TAIL);
        let ms = self.mean_ms * (0.5 + 0.5 * times) * view.slowdown;
        Duration::from_micros((ms * 1000.0) as u64) + Duration::from_millis(view.faults.slow_ms)
    }

    fn decline(&self, id: &str, view: &TargetView, why: &str) -> Reply {
        Reply::text(503, why)
            .header(REQUEST_ID, id)
            .header(OUTCOME, "not-run")
            .header(LEAVING, if view.faults.leaving { "yes" } else { "no" })
    }
}

/// Returns the body of the answer to a request; callers can check it.
pub fn answer_body(id: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(body);
    let sum = stable_hash(&[path, &text]);
    format!("id={id} sum={sum:016x} len={}", body.len()).into_bytes()
}
