//! Submission and status of jobs.

use std::{sync::Arc, time::Duration};

use flume::Sender;
use gorsespur_core::{
    name::{Name, check_name},
    route::Outcome,
    shard::{JobKey, JobSpec, JobStatus},
    template::Organisation,
};
use gorsespur_peer::{AgentState, ZoneShard};
use gorsespur_runtime::server::{Incoming, Reply};
use gorsespur_services::{Table, TableError, post};
use gorsespur_wire::{
    codec::{decode, encode},
    keys,
    paths::PEER_JOBS,
    peer::{JobsAnswer, JobsRequest},
    stored::JobRow,
    table::{Expect, Tx},
};
use serde::Serialize;

use crate::{
    job_json::{JobJson, SubmitJson, state_name},
    owners::Owners,
    reply::{bad_request, error_reply, retry_later},
};

/// Timeout of a status request to an owner.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after which a caller may retry.
const RETRY_AFTER_MS: u64 = 1_000;

/// Maximum number of reads to find out whether a submission whose answer was
/// lost took effect.
const READ_BACK_ATTEMPTS: u32 = 3;

/// Handles callers' requests about jobs.
pub(crate) struct JobApi {
    pub shared: Arc<AgentState>,
    pub table: Arc<dyn Table>,
    pub owners: Arc<Owners>,
    pub hints: Sender<Name>,
}

impl JobApi {
    /// Handles a request to `/v1/orgs/ORGANISATION/...`.
    pub fn serve(&self, req: &Incoming, org: &str, rest: &[&str]) -> Reply {
        let Some(entry) = self.shared.configs().get(org).cloned() else {
            return error_reply(
                404,
                Outcome::NotRun,
                "no-organisation",
                "no such organisation",
            );
        };
        match (&*req.method, rest) {
            ("POST", ["cancel"]) => self.cancel_many(req, &entry.template.name),
            (method, ["jobs", id]) => {
                if let Err(err) = check_name(id) {
                    return bad_request(400, "id", &err.to_string());
                }
                let key = JobKey {
                    org: entry.template.name.clone(),
                    id: Name::from(*id),
                };
                match method {
                    "PUT" => self.submit(req, &entry.template, key),
                    "GET" => self.get_status(&key),
                    "DELETE" => self.cancel_one(&key),
                    _ => bad_request(405, "method", "must be PUT, GET or DELETE"),
                }
            }
            _ => bad_request(404, "path", "no such path"),
        }
    }

    fn submit(&self, req: &Incoming, org: &Organisation, key: JobKey) -> Reply {
        let submission: SubmitJson = match serde_json::from_slice(&req.body) {
            Ok(submission) => submission,
            Err(err) => return bad_request(400, "body", &err.to_string()),
        };
        let Some(kind) = org.job(&submission.kind) else {
            return bad_request(422, "kind", "the template has no such kind of job");
        };
        if submission.tasks == 0 || submission.tasks > kind.max_tasks {
            return bad_request(
                422,
                "tasks",
                &format!("must be from 1 to {}", kind.max_tasks),
            );
        }
        let Some(shard) = self
            .shared
            .settings
            .layout
            .shard_for_job(&self.shared.settings.zone, &key)
        else {
            return retry_later(503, Outcome::NotRun, "no-shard", RETRY_AFTER_MS);
        };
        let spec = JobSpec {
            key,
            kind: kind.name.clone(),
            team: kind.team.clone(),
            tasks: submission.tasks,
            size: kind.size,
            run_time: kind.run_time,
            priority: kind.priority,
            checkpoint: kind.checkpoint,
            attempts: kind.attempts,
            service: false,
        };
        if let Some(largest) = self.owners.largest_worker(shard.place.index)
            && !spec.size.fits_in(&largest)
        {
            let text = format!("{} is larger than the largest worker, {largest}", spec.size);
            return bad_request(422, "size", &text);
        }
        self.record(shard, spec)
    }

    /// Records a submission: writes the job's row and its row in the inbox.
    fn record(&self, shard: &ZoneShard, spec: JobSpec) -> Reply {
        let row = JobRow {
            shard: shard.place.name.clone(),
            spec,
            ended: None,
        };
        let spec = &row.spec;
        let (Ok(value), Ok(inbox_value)) = (encode(&row), encode(spec)) else {
            return error_reply(500, Outcome::NotRun, "encode", "can't encode the job");
        };
        let job = keys::job(&spec.key);
        let tx = Tx::new()
            .check(job.clone(), Expect::Absent)
            .put(job, value)
            .put(keys::inbox(&shard.place.name, &spec.key), inbox_value);
        match self.table.tx(&tx) {
            Ok(_) => self.accepted(201, &row),
            Err(TableError::Unavailable) => {
                retry_later(503, Outcome::NotRun, "store-unavailable", RETRY_AFTER_MS)
            }
            Err(TableError::Conflict { .. }) => self.answer_existing(&row),
            Err(TableError::Unknown) => {
                for _ in 0..READ_BACK_ATTEMPTS {
                    if let Ok(Some(_)) = self.read_row(&spec.key) {
                        return self.answer_existing(&row);
                    }
                }
                retry_later(502, Outcome::Unknown, "store-unknown", RETRY_AFTER_MS)
            }
        }
    }

    /// Replies to a submission whose id already exists.
    fn answer_existing(&self, row: &JobRow) -> Reply {
        match self.read_row(&row.spec.key) {
            Ok(Some(found)) if is_same_job(&found.spec, &row.spec) => self.accepted(200, &found),
            Ok(Some(_)) => bad_request(409, "id", "another job has this id"),
            Ok(None) | Err(_) => {
                retry_later(502, Outcome::Unknown, "store-unknown", RETRY_AFTER_MS)
            }
        }
    }

    fn accepted(&self, status: u16, row: &JobRow) -> Reply {
        let _ = self.hints.try_send(row.shard.clone());
        let state = row.ended.as_ref().map_or("queued", |s| state_name(s.state));
        job_reply(status, row, state, row.ended.as_ref())
    }

    /// Returns a job's row, or `None` if there is none.
    pub fn read_row(&self, key: &JobKey) -> Result<Option<JobRow>, TableError> {
        let rows = self.table.get(&[keys::job(key)])?;
        let Some(row) = rows.into_iter().next().flatten() else {
            return Ok(None);
        };
        decode(&row.value)
            .map(Some)
            .map_err(|_| TableError::Unavailable)
    }

    fn get_status(&self, key: &JobKey) -> Reply {
        let row = match self.read_row(key) {
            Ok(Some(row)) => row,
            Ok(None) => return bad_request(404, "id", "no such job"),
            Err(_) => {
                return retry_later(503, Outcome::NotRun, "store-unavailable", RETRY_AFTER_MS);
            }
        };
        if let Some(status) = &row.ended {
            return job_reply(200, &row, state_name(status.state), Some(status));
        }
        match self.ask_owner(&row, key) {
            Some(status) => job_reply(200, &row, state_name(status.state), Some(&status)),
            None => job_reply(200, &row, "recorded", None),
        }
    }

    fn ask_owner(&self, row: &JobRow, key: &JobKey) -> Option<JobStatus> {
        let addr = self.owners.find(&row.shard)?;
        let request = JobsRequest::Watch {
            shard: row.shard.clone(),
            keys: vec![key.clone()],
        };
        match post(addr, PEER_JOBS, &request, REQUEST_TIMEOUT) {
            Ok(JobsAnswer::States(states)) => states.into_iter().next().flatten(),
            _ => None,
        }
    }
}

/// Returns whether two submissions ask for the same job.
fn is_same_job(a: &JobSpec, b: &JobSpec) -> bool {
    a.key == b.key && a.kind == b.kind && a.tasks == b.tasks
}

fn job_reply(status: u16, row: &JobRow, state: &str, job_status: Option<&JobStatus>) -> Reply {
    json_reply(
        status,
        &JobJson {
            id: &row.spec.key.id,
            kind: &row.spec.kind,
            shard: &row.shard,
            state,
            status: job_status,
        },
    )
}

/// Returns a reply in JSON.
pub(crate) fn json_reply<T: Serialize>(status: u16, value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Reply::new(status, body)
        .header("content-type", "application/json")
        .header(gorsespur_wire::fields::OUTCOME, Outcome::Ran.as_str())
}
