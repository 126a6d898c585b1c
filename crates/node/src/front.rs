//! The job API: submits jobs, returns their states and cancels them.
//!
//! Every response is based on the store and sent without delay. A job that can't be served in time
//! is refused, and so is one that the store certainly did not accept; if the result of the write is
//! unknown, the response says so and the caller resubmits the job, which is idempotent.

use std::{sync::Arc, time::Duration};

use gorsespur_http::{Handler, Limits, Method, Request, Response};
use gorsespur_jobs::{Job, JobId, Outcome, Record};
use gorsespur_runtime::clock::wall_ms;

use crate::{
    admission_control::{self, Verdict},
    config::Queue,
    follow::refresh,
    metrics::{Count, Duty},
    row_limits::LEFT_OUT,
    rows::{
        CancelRow, JOBS, JobRow, LEASE, LeaseRow, OWNER_KEY, OWNER_PART, RECORDS, cancel_key,
        decode, encode, job_part,
    },
    shared::Shared,
    store::{Commit, Expect, Row, StoreError, Tx, Write, has_row},
    write_limit::write_limit,
};

/// Value of `retry-after` in seconds. Most refusals are due to store outages that last for seconds.
const RETRY_AFTER_S: &str = "1";

/// Shortest time limit of a write, in milliseconds.
const MIN_WRITE_TIMEOUT_MS: u64 = 100;

/// Pause before the only retry of a refused write.
const REFUSED_RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Pause before a write with an unknown result is repeated.
const UNCLEAR_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Result of a write.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// The write took effect.
    Done,
    /// A condition does not hold, maybe since an earlier attempt took effect; contains the current
    /// rows of all conditions.
    Conflict(Vec<Row>),
    /// The write certainly had no effect.
    Refused(StoreError),
    /// The result is unknown.
    Unclear,
}

/// Handler of the job API.
pub(crate) struct Front {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Front {
    fn handle(&self, request: Request) -> Option<Response> {
        let start = self.shared.clock.now();
        // Every response needs the store: while the store is lost, only one request waits for it.
        let permit = self.shared.store_permit();
        let response = match permit {
            Some(_) => self.route(&request, start),
            None => self.refuse(),
        };
        log::info!(method = request.method.name(), path = request.path.as_str(), status = response.status, took_ms = self.shared.clock.now() - start; "front: answered");
        Some(response)
    }

    fn limits(&self) -> Limits {
        let config = self.shared.config();
        config.map_or_else(Limits::default, |c| Limits {
            head_bytes: c.limits.head,
            body_bytes: c.limits.body,
        })
    }
}

impl Front {
    fn route(&self, request: &Request, start: u64) -> Response {
        let host = request.header("host").unwrap_or_default();
        let path = request.path.split('?').next().unwrap_or_default();
        let queue = match self.queue(host, path) {
            Ok(Some(queue)) => queue,
            Ok(None) => return self.no_queue(),
            Err(err) => {
                log::warn!(err = err.to_string().as_str(); "config: refresh failed");
                return self.refuse();
            }
        };
        let rest = &path[queue.prefix.len()..];
        if rest.is_empty() && request.method == Method::Get {
            return self.pending(&queue);
        }
        let Ok(id) = rest.parse::<JobId>() else {
            return Response::new(400, Vec::new());
        };
        match request.method {
            Method::Post => self.submit(request, &queue, id, start),
            Method::Get => self.state(id),
            Method::Delete => self.cancel(request, id, start),
            Method::Put | Method::Other => Response::new(405, Vec::new()),
        }
    }

    /// Returns the queue of a request. The configuration is refreshed before a queue is reported as
    /// missing.
    fn queue(&self, host: &str, path: &str) -> Result<Option<Queue>, StoreError> {
        let find = || self.shared.config()?.find(host, path).cloned();
        let is_fresh = !self.shared.is_store_silent();
        if let Some(queue) = find().filter(|_| is_fresh) {
            return Ok(Some(queue));
        }
        refresh(&self.shared)?;
        Ok(find())
    }

    fn no_queue(&self) -> Response {
        self.shared.metrics.count(Count::Missing);
        Response::new(404, Vec::new())
    }

    fn refuse(&self) -> Response {
        self.shared.metrics.count(Count::Refused);
        Response::new(503, Vec::new()).with_header("retry-after", RETRY_AFTER_S)
    }

    fn unclear(&self) -> Response {
        self.shared.metrics.count(Count::Unclear);
        Response::new(504, Vec::new()).with_header("retry-after", RETRY_AFTER_S)
    }

    fn submit(&self, request: &Request, queue: &Queue, id: JobId, start: u64) -> Response {
        let spec = match self.shared.protocol.submission(&request.body) {
            Ok(spec) => spec,
            Err(err) => {
                log::info!(job = id.to_string().as_str(), err = err.to_string().as_str(); "front: malformed job");
                return Response::new(400, err.to_string().into_bytes());
            }
        };
        if let Err(err) = spec.validate() {
            log::info!(job = id.to_string().as_str(), err = err.to_string().as_str(); "front: invalid job");
            return Response::new(400, err.to_string().into_bytes());
        }
        let row = JobRow {
            job: Job {
                id,
                queue: queue.policy.queue.clone(),
                accepted: wall_ms(),
                spec: Arc::new(spec),
            },
            policy: Some(queue.policy.clone()),
        };
        let value = row.encode();
        let limit = self.shared.settings.jobs.row_bytes;
        if value.len() > limit {
            log::info!(job = id.to_string().as_str(), table = JOBS, bytes = value.len(), limit; "front: job too large to be stored");
            return Response::new(413, Vec::new());
        }
        match admission_control::check(&self.shared, &row.job) {
            Verdict::Accept => {}
            Verdict::Exists => return Response::new(200, Vec::new()),
            Verdict::Refuse { retry_after_s } => {
                return Response::new(429, Vec::new())
                    .with_header("retry-after", retry_after_s.to_string());
            }
        }
        // A job that its caller has cancelled is not accepted, however late the write is carried
        // out.
        let absent = |key| Expect {
            table: JOBS,
            key,
            version: 0,
        };
        let tx = Tx {
            part: job_part(id),
            expects: vec![absent(id.to_string()), absent(cancel_key(id))],
            writes: vec![Write {
                table: JOBS,
                key: id.to_string(),
                value,
            }],
            removes: Vec::new(),
        };
        match self.write(&tx, request, start) {
            WriteResult::Conflict(rows) if !has_row(&rows, &id.to_string()) => {
                log::info!(job = id.to_string().as_str(); "front: job not taken, it was cancelled before");
                self.shared.metrics.count(Count::Refused);
                // Without `retry-after`, as it is never taken.
                Response::new(503, Vec::new())
            }
            WriteResult::Done | WriteResult::Conflict(_) => {
                let ms = self.shared.clock.now() - start;
                self.shared.metrics.record_accepted(ms);
                Response::new(200, Vec::new())
            }
            WriteResult::Refused(StoreError::Rejected { reason }) => {
                log::warn!(job = id.to_string().as_str(), reason = reason.as_str(); "front: job can't be stored");
                Response::new(413, Vec::new())
            }
            WriteResult::Refused(err) => {
                log::warn!(job = id.to_string().as_str(), err = err.to_string().as_str(); "front: job not taken");
                self.refuse()
            }
            WriteResult::Unclear => {
                log::warn!(job = id.to_string().as_str(); "front: unknown whether the job was accepted");
                self.unclear()
            }
        }
    }

    /// Repeats an idempotent write until its result is known or the caller's time is used up.
    pub(crate) fn write(&self, tx: &Tx, request: &Request, start: u64) -> WriteResult {
        let caller_timeout = self.shared.protocol.caller_timeout(request);
        let deadline = start + write_limit(caller_timeout, self.shared.answer_ms());
        let mut unclear = false;
        let mut has_retried = false;
        loop {
            let sent = self.shared.clock.now();
            let remaining = deadline.saturating_sub(sent);
            let limit = Duration::from_millis(remaining.max(MIN_WRITE_TIMEOUT_MS));
            match self.shared.store(Duty::Callers).commit(tx, limit) {
                Ok(commit) => {
                    self.shared.record_store_answer();
                    self.shared.record_caller_answer(sent);
                    return match commit {
                        Commit::Done(_) => WriteResult::Done,
                        Commit::Conflict(rows) => WriteResult::Conflict(rows),
                    };
                }
                Err(err @ StoreError::Unknown { .. }) => {
                    log::debug!(err = err.to_string().as_str(); "front: result of a write is unknown");
                    unclear = true;
                    self.shared.record_store_failure();
                    std::thread::sleep(UNCLEAR_RETRY_PAUSE);
                }
                // Earlier attempts of the same write can't have had an effect either.
                Err(err @ StoreError::Rejected { .. }) => return WriteResult::Refused(err),
                Err(err) if !unclear && has_retried => return WriteResult::Refused(err),
                Err(_) => {
                    has_retried = true;
                    std::thread::sleep(REFUSED_RETRY_PAUSE);
                }
            }
            self.shared.metrics.count(Count::StoreErrors);
            if self.shared.clock.now() >= deadline && unclear {
                return WriteResult::Unclear;
            }
        }
    }

    /// Reads the state of a job; `None` if it was never accepted.
    fn outcome(&self, id: JobId) -> Result<Option<Outcome>, StoreError> {
        let store = self.shared.store(Duty::Callers);
        let sent = self.shared.clock.now();
        let row = store.read_one(RECORDS, OWNER_PART, &id.to_string())?;
        self.shared.record_caller_answer(sent);
        if let Some(row) = row {
            let record = Record::decode(&row.value).map_err(|err| StoreError::Malformed {
                reason: err.to_string(),
            })?;
            return Ok(Some(record.outcome));
        }
        let row = store.read_one(JOBS, &job_part(id), &id.to_string())?;
        Ok(row.map(|_| Outcome::Pending))
    }

    fn state(&self, id: JobId) -> Response {
        match self.outcome(id) {
            Ok(Some(outcome)) => Response::new(200, self.shared.protocol.outcome(outcome)),
            Ok(None) => Response::new(410, Vec::new()),
            Err(err) => self.store_failed(&err),
        }
    }

    /// Cancels a job. A job that does not exist is cancelled as well: its submission may still be
    /// carried out, seconds after its caller gave it up.
    fn cancel(&self, request: &Request, id: JobId, start: u64) -> Response {
        let exists = match self.outcome(id) {
            Ok(Some(Outcome::Cancelled)) => return Response::new(200, Vec::new()),
            Ok(Some(Outcome::Complete | Outcome::Failed)) => {
                return Response::new(410, Vec::new());
            }
            Ok(Some(Outcome::Pending | Outcome::Active)) => true,
            Ok(None) => false,
            Err(err) => return self.store_failed(&err),
        };
        let tx = Tx {
            part: job_part(id),
            expects: Vec::new(),
            writes: vec![Write {
                table: JOBS,
                key: cancel_key(id),
                value: encode(&CancelRow { at: wall_ms() }),
            }],
            removes: Vec::new(),
        };
        match self.write(&tx, request, start) {
            WriteResult::Done | WriteResult::Conflict(_) if exists => {
                self.shared.metrics.count(Count::Cancelled);
                Response::new(200, Vec::new())
            }
            WriteResult::Done | WriteResult::Conflict(_) => {
                log::info!(job = id.to_string().as_str(); "front: cancelled a job that does not exist");
                self.shared.metrics.count(Count::CancelledUnknown);
                Response::new(410, Vec::new())
            }
            WriteResult::Refused(err) => self.store_failed(&err),
            WriteResult::Unclear => self.unclear(),
        }
    }

    fn pending(&self, queue: &Queue) -> Response {
        let row = match self
            .shared
            .store(Duty::Callers)
            .read_one(LEASE, OWNER_PART, OWNER_KEY)
        {
            Ok(row) => row,
            Err(err) => return self.store_failed(&err),
        };
        let lease: LeaseRow = row
            .and_then(|r| decode("lease", &r.value))
            .unwrap_or_default();
        let find = |name: &str| lease.pending.iter().find(|(q, _)| **q == *name);
        let count = match find(&queue.policy.queue) {
            Some((_, count)) => *count,
            None if find(LEFT_OUT).is_none() => 0,
            None => {
                log::info!(queue = &*queue.policy.queue; "front: the lease has no room for the number of pending jobs");
                return self.refuse();
            }
        };
        Response::new(200, self.shared.protocol.pending(count))
    }

    fn store_failed(&self, err: &StoreError) -> Response {
        log::warn!(err = err.to_string().as_str(); "front: call to the store failed");
        self.shared.record_store_failure();
        self.shared.metrics.count(Count::StoreErrors);
        self.refuse()
    }
}
