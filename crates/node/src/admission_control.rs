//! Reads the figures by which new jobs are accepted, and refuses jobs.
//!
//! The owner writes the figures with each renewal of the lease. They are read when a job arrives
//! and the last copy is old, once for all jobs that arrive meanwhile, so that a burst costs the
//! store no more than a few calls a second for each instance.
//!
//! A refusal has to be true and prompt: a job that an earlier attempt of its caller submitted is
//! never refused, and what can't be read in time is unknown. Whatever is unknown, the job is
//! accepted.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use gorsespur_jobs::Job;

use crate::{
    admission::{Admission, Decision, Needs, Reason, Refusal},
    metrics::{Count, Duty},
    returns::ReturnSchedule,
    rows::{FIGURES, FiguresRow, JOBS, OWNER_KEY, OWNER_PART, decode, job_part},
    shared::Shared,
    store::{Row, StoreError},
};

/// Time limit of all reads for one job. A refusal is to be sent within 50 ms.
const READ_BUDGET: Duration = Duration::from_millis(40);

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
    /// Held while a job reads the figures.
    reading: Mutex<()>,
    returns: Mutex<ReturnSchedule>,
}

/// Decides about a submitted job.
pub(crate) fn check(shared: &Shared, job: &Job) -> Verdict {
    let arrival = Arrival {
        now: shared.clock.now(),
        deadline: Instant::now() + READ_BUDGET,
    };
    check_arrived(shared, job, arrival)
}

/// When a job arrived, and until when it may wait for reads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// In milliseconds of the instance's clock.
    pub(crate) now: u64,
    pub(crate) deadline: Instant,
}

pub(crate) fn check_arrived(shared: &Shared, job: &Job, arrival: Arrival) -> Verdict {
    // The caller of a repeated job does not wait for it, and can't say later when it is due.
    if !shared.settings.admission || job.spec.schedule.repetitions > 0 {
        return Verdict::Accept;
    }
    let needs = Needs::of(&job.spec);
    let refusal = match decide(shared, &job.queue, &needs, arrival) {
        Decision::Accept => return Verdict::Accept,
        Decision::Unknown => {
            shared.metrics.count(Count::FiguresUnknown);
            log::info!(job = job.id.to_string().as_str(), queue = &*job.queue; "admission: accepted, nothing recent is known");
            return Verdict::Accept;
        }
        Decision::Refuse(refusal) => refusal,
    };
    match exists(shared, job, arrival.deadline) {
        Ok(false) => refuse(shared, job, &refusal),
        Ok(true) => Verdict::Exists,
        Err(err) => {
            log::info!(job = job.id.to_string().as_str(), err = err.to_string().as_str(); "admission: accepted, since it may exist");
            shared.metrics.count(Count::FiguresUnknown);
            Verdict::Accept
        }
    }
}

fn decide(shared: &Shared, queue: &Arc<str>, needs: &Needs, arrival: Arrival) -> Decision {
    // A lost store has no recent figures, and the only call that is left is for the write.
    if shared.is_store_lost() {
        return Decision::Unknown;
    }
    let admission = &shared.admission.admission;
    if lock(admission).is_read_due(arrival.now, queue, needs) {
        refresh(shared, queue, needs, arrival);
    }
    lock(admission).decide(arrival.now, queue, needs)
}

/// Reads the figures, unless another job has just done so.
fn refresh(shared: &Shared, queue: &Arc<str>, needs: &Needs, arrival: Arrival) {
    // Jobs that need the figures as well wait here for the result; others are decided meanwhile.
    let _turn = lock(&shared.admission.reading);
    let admission = &shared.admission.admission;
    if !lock(admission).is_read_due(arrival.now, queue, needs) {
        return;
    }
    let figures = read_figures(shared, arrival.deadline);
    let mut admission = lock(admission);
    admission.record_read(arrival.now, figures.is_ok());
    match figures {
        Ok(Some(figures)) => admission.update(arrival.now, figures.version, figures.row.queues),
        Ok(None) => {}
        Err(err) => {
            log::debug!(err = err.to_string().as_str(); "admission: figures can't be read");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The figures as read from the store.
struct Figures {
    version: u64,
    row: FiguresRow,
}

fn read_figures(shared: &Shared, deadline: Instant) -> Result<Option<Figures>, StoreError> {
    let row = read_until(shared, FIGURES, OWNER_PART, OWNER_KEY, deadline)?;
    Ok(row.map(|row| Figures {
        version: row.version,
        row: decode("figures", &row.value).unwrap_or_default(),
    }))
}

fn exists(shared: &Shared, job: &Job, deadline: Instant) -> Result<bool, StoreError> {
    let key = job.id.to_string();
    let row = read_until(shared, JOBS, &job_part(job.id), &key, deadline)?;
    Ok(row.is_some())
}

fn read_until(
    shared: &Shared,
    table: &str,
    part: &str,
    key: &str,
    deadline: Instant,
) -> Result<Option<Row>, StoreError> {
    let limit = deadline.saturating_duration_since(Instant::now());
    if limit.is_zero() {
        return Err(StoreError::Unavailable {
            reason: "no time is left".to_owned(),
        });
    }
    let store = shared.store(Duty::Callers);
    store.read_one_within(table, part, key, limit)
}

fn refuse(shared: &Shared, job: &Job, refusal: &Refusal) -> Verdict {
    let now = shared.clock.now();
    let mut returns = lock(&shared.admission.returns);
    let retry_after_s = returns.retry_after_s(now, &job.queue, refusal.earliest);
    drop(returns);
    shared.metrics.count(match refusal.reason {
        Reason::Short => Count::RefusedShort,
        Reason::BestEffort => Count::RefusedBestEffort,
        Reason::LongRunning => Count::RefusedLongRunning,
    });
    log::info!(job = job.id.to_string().as_str(), queue = &*job.queue, kind = refusal.reason.kind(), wait_ms = refusal.wait, cpu = refusal.cpu, memory = refusal.memory, age_ms = refusal.age, retry_after_s; "admission: refused");
    Verdict::Refuse { retry_after_s }
}
