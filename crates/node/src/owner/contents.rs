//! Reads what the store holds, after a takeover.
//!
//! The load pattern that this answers: a store that takes a quarter of a second for an answer.
//! Until all is read nothing is renewed at the workers, and what runs there lapses. So tables and
//! parts are read side by side.
//!
//! Limits: the pages of one part follow each other; a page holds 500 rows.

use std::thread::{self, Scope, ScopedJoinHandle};

use super::STACK_BYTES;
use crate::{
    metrics::Duty,
    rows::{JOBS, LOG, OWNER_PART, RECORDS, job_parts},
    shared::Shared,
    store::{Page, Row, StoreError},
};

/// Parts of the jobs that are read at a time.
const JOB_READERS: usize = 8;

/// What the store holds.
pub(super) struct StoreContents {
    /// Rows of accepted jobs and of cancellations.
    pub(super) jobs: Vec<Row>,
    /// The store's version from which changes of these are to be followed.
    pub(super) version: u64,
    pub(super) records: Vec<Row>,
    /// The log's rows, the oldest one first.
    pub(super) log: Vec<Row>,
    pub(super) workers: WorkerListing,
}

/// The workers' announcements.
pub(super) struct WorkerListing {
    pub(super) page: Page,
    /// When they were asked for, in milliseconds.
    pub(super) asked_at: u64,
}

/// Rows of several parts, and the version before the first of them was read.
struct JobRows {
    rows: Vec<Row>,
    version: u64,
}

/// Reads all that an owner has to know.
pub(super) fn read_contents(shared: &Shared) -> Result<StoreContents, StoreError> {
    thread::scope(|scope| {
        let workers = spawn(scope, || list_workers(shared))?;
        let records = spawn(scope, || read(shared, RECORDS, OWNER_PART))?;
        let log = spawn(scope, || read(shared, LOG, OWNER_PART))?;
        let jobs = read_jobs(shared)?;
        Ok(StoreContents {
            jobs: jobs.0,
            version: jobs.1,
            records: join(records)?.rows,
            log: join(log)?.rows,
            workers: join(workers)?,
        })
    })
}

/// Reads all announcements of workers.
pub(super) fn list_workers(shared: &Shared) -> Result<WorkerListing, StoreError> {
    let asked_at = shared.clock.now();
    let table = shared.protocol.workers_table();
    let page = shared.store(Duty::Workers).read_all(table, "")?;
    Ok(WorkerListing { page, asked_at })
}

/// Reads the rows of all accepted jobs, and the version before the first read.
pub(super) fn read_jobs(shared: &Shared) -> Result<(Vec<Row>, u64), StoreError> {
    let parts: Vec<String> = job_parts().collect();
    thread::scope(|scope| {
        let chunks = parts.chunks(parts.len().div_ceil(JOB_READERS));
        let readers = chunks.map(|chunk| spawn(scope, || read_parts(shared, chunk)));
        let readers: Vec<_> = readers.collect::<Result<_, _>>()?;
        let (mut rows, mut version) = (Vec::new(), u64::MAX);
        for reader in readers {
            let parts = join(reader)?;
            rows.extend(parts.rows);
            version = version.min(parts.version);
        }
        Ok((rows, version))
    })
}

fn read_parts(shared: &Shared, parts: &[String]) -> Result<JobRows, StoreError> {
    let mut all = JobRows {
        rows: Vec::new(),
        version: u64::MAX,
    };
    for part in parts {
        let page = read(shared, JOBS, part)?;
        all.rows.extend(page.rows);
        all.version = all.version.min(page.version);
    }
    Ok(all)
}

fn read(shared: &Shared, table: &str, part: &str) -> Result<Page, StoreError> {
    shared.store(Duty::Takeover).read_all(table, part)
}

fn spawn<'scope, T: Send + 'scope>(
    scope: &'scope Scope<'scope, '_>,
    reader: impl FnOnce() -> Result<T, StoreError> + Send + 'scope,
) -> Result<ScopedJoinHandle<'scope, Result<T, StoreError>>, StoreError> {
    let builder = thread::Builder::new().name("reader".into());
    let spawned = builder.stack_size(STACK_BYTES).spawn_scoped(scope, reader);
    spawned.map_err(|err| StoreError::Unavailable {
        reason: format!("no thread to read it: {err}"),
    })
}

fn join<T>(reader: ScopedJoinHandle<'_, Result<T, StoreError>>) -> Result<T, StoreError> {
    let failed = |_| StoreError::Unavailable {
        reason: "the thread that reads it has failed".into(),
    };
    reader.join().map_err(failed)?
}
