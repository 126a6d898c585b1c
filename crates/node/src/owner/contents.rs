//! Reads the contents of the store after a takeover.
//!
//! A slow store takes a quarter of a second for an answer. Until everything is read, no worker
//! lease is renewed, and runs lapse. So tables and parts are read concurrently.
//!
//! Limits: the pages of one part are read one after another; a page has at most 500 rows.

use std::thread::{self, Scope, ScopedJoinHandle};

use super::STACK_BYTES;
use crate::{
    metrics::Duty,
    rows::{JOBS, LOG, OWNER_PART, POLICIES, RECORDS, job_parts},
    shared::Shared,
    store::{Page, Row, StoreError},
};

/// Number of threads that read parts of the jobs.
const JOB_READERS: usize = 8;

/// Contents of the store.
pub(super) struct StoreContents {
    /// Rows of accepted jobs and of cancellations.
    pub(super) jobs: Vec<Row>,
    /// Version of the store after which changes of the jobs have to be followed.
    pub(super) version: u64,
    pub(super) records: Vec<Row>,
    /// Rows of the log, oldest first.
    pub(super) log: Vec<Row>,
    /// Rows of the policies of queues.
    pub(super) policies: Vec<Row>,
    pub(super) workers: WorkerListing,
}

/// A listing of the workers' announcements.
pub(super) struct WorkerListing {
    pub(super) page: Page,
    /// When the listing was requested, in milliseconds.
    pub(super) asked_at: u64,
}

/// Rows of several parts, and a version from before the first one was read.
struct JobRows {
    rows: Vec<Row>,
    version: u64,
}

/// Reads everything that the owner needs.
pub(super) fn read_contents(shared: &Shared) -> Result<StoreContents, StoreError> {
    thread::scope(|scope| {
        let workers = spawn(scope, || list_workers(shared))?;
        let records = spawn(scope, || read(shared, RECORDS, OWNER_PART))?;
        let log = spawn(scope, || read(shared, LOG, OWNER_PART))?;
        let policies = spawn(scope, || read(shared, POLICIES, OWNER_PART))?;
        let jobs = read_jobs(shared)?;
        Ok(StoreContents {
            jobs: jobs.0,
            version: jobs.1,
            records: join(records)?.rows,
            log: join(log)?.rows,
            policies: join(policies)?.rows,
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

/// Reads the rows of all accepted jobs; also returns a version from before the first read.
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
        reason: format!("can't start a reader thread: {err}"),
    })
}

fn join<T>(reader: ScopedJoinHandle<'_, Result<T, StoreError>>) -> Result<T, StoreError> {
    let failed = |_| StoreError::Unavailable {
        reason: "a reader thread panicked".into(),
    };
    reader.join().map_err(failed)?
}
