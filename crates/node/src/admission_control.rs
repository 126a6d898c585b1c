//! Reads the figures by which new jobs are accepted, and refuses jobs.
//!
//! The owner writes the figures with each renewal of the lease. They are read when a job arrives and the last copy is old,
//! once for all jobs that arrive meanwhile, so that a burst costs the store no more than a few
//! calls a second for each instance.
//!
//! A refusal has to be true and prompt: a job that an earlier attempt of its caller submitted is
//! never refused, and a read that takes long counts as unknown. Whatever is unknown, the job is
//! accepted.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use gorsespur_jobs::{Job, order_share};

use crate::{
    admission::{Admission, Decision, Needs, Reason, Refusal},
    metrics::{Count, Duty},
    returns::ReturnSchedule,
    rows::{FIGURES, FiguresRow, JOBS, OWNER_KEY, OWNER_PART, decode, job_part},
    shared::Shared,
    store::StoreError,
};

/// Time limit of a read. A refusal takes two of them and is to be sent within 50 ms.
const READ_LIMIT: Duration = Duration::from_millis(25);

/// What becomes of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is to be written.
    Accept,
    /// It can't be served now, but an earlier attempt was accepted.
    Exists,
    /// It can't be served now.
    Refuse {
        /// Seconds after which the caller should come back.
        retry_after_s: u64,
    },
}

/// What an instance knows of the jobs that can be served.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControl {
    admission: Mutex<Admission>,
    returns: Mutex<ReturnSchedule>,
}

/// Decides about a submitted job.
pub(crate) fn check(shared: &Shared, job: &Job) -> Verdict {
    // The caller of a repeated job does not wait for it, and can't say later when it is due.
    if !shared.settings.admission || job.spec.schedule.repetitions > 0 {
        return Verdict::Accept;
    }
    let needs = Needs {
        order: order_share(job.id),
        ..Needs::of(&job.spec)
    };
    let refusal = match decide(shared, &job.queue, &needs) {
        Decision::Accept => return Verdict::Accept,
        Decision::Unknown => {
            shared.metrics.count(Count::FiguresUnknown);
            log::info!(job = job.id.to_string().as_str(), queue = &*job.queue; "admission: accepted, nothing recent is known");
            return Verdict::Accept;
        }
        Decision::Refuse(refusal) => refusal,
    };
    match exists(shared, job) {
        Ok(false) => refuse(shared, job, &refusal),
        Ok(true) => Verdict::Exists,
        Err(err) => {
            log::info!(job = job.id.to_string().as_str(), err = err.to_string().as_str(); "admission: accepted, since it may exist");
            shared.metrics.count(Count::FiguresUnknown);
            Verdict::Accept
        }
    }
}

fn decide(shared: &Shared, queue: &Arc<str>, needs: &Needs) -> Decision {
    // A lost store has no recent figures, and the only call that is left is for the write.
    if shared.is_store_lost() {
        return Decision::Unknown;
    }
    // Others that arrive during the read wait here for its result.
    let admission = shared.admission.admission.lock();
    let mut admission = admission.unwrap_or_else(PoisonError::into_inner);
    let now = shared.clock.now();
    if admission.is_read_due(now, queue, needs) {
        let figures = read(shared);
        admission.record_read(now, figures.is_ok());
        match figures {
            Ok(Some(figures)) => admission.update(now, figures.version, figures.row.queues),
            Ok(None) => {}
            Err(err) => {
                log::debug!(err = err.to_string().as_str(); "admission: figures can't be read");
            }
        }
    }
    admission.decide(shared.clock.now(), queue, needs)
}

/// The figures as read from the store.
struct Figures {
    version: u64,
    row: FiguresRow,
}

fn read(shared: &Shared) -> Result<Option<Figures>, StoreError> {
    let store = shared.store(Duty::Callers);
    let row = store.read_one_within(FIGURES, OWNER_PART, OWNER_KEY, READ_LIMIT)?;
    Ok(row.map(|row| Figures {
        version: row.version,
        row: decode("figures", &row.value).unwrap_or_default(),
    }))
}

fn exists(shared: &Shared, job: &Job) -> Result<bool, StoreError> {
    let store = shared.store(Duty::Callers);
    let key = job.id.to_string();
    let row = store.read_one_within(JOBS, &job_part(job.id), &key, READ_LIMIT)?;
    Ok(row.is_some())
}

fn refuse(shared: &Shared, job: &Job, refusal: &Refusal) -> Verdict {
    let returns = shared.admission.returns.lock();
    let mut returns = returns.unwrap_or_else(PoisonError::into_inner);
    let retry_after_s = returns.retry_after_s(shared.clock.now(), &job.queue, refusal.earliest);
    drop(returns);
    shared.metrics.count(match refusal.reason {
        Reason::Short => Count::RefusedShort,
        Reason::BestEffort => Count::RefusedBestEffort,
        Reason::LongRunning => Count::RefusedLongRunning,
    });
    log::info!(job = job.id.to_string().as_str(), queue = &*job.queue, kind = refusal.reason.kind(), wait_ms = refusal.wait, cpu = refusal.cpu, memory = refusal.memory, age_ms = refusal.age, retry_after_s; "admission: refused");
    Verdict::Refuse { retry_after_s }
}
