//! Cancellation of one or many jobs.

use std::{thread, time::Duration};

use gorsespur_core::{
    name::{Name, check_name},
    route::Outcome,
    shard::JobKey,
};
use gorsespur_runtime::server::{Incoming, Reply};
use gorsespur_services::post;
use gorsespur_wire::{
    codec::decode,
    keys,
    paths::PEER_JOBS,
    peer::{JobsAnswer, JobsRequest},
    stored::JobRow,
};

use crate::{
    job_api::{JobApi, json_reply},
    job_json::{CancelJson, CancelledJson},
    reply::{bad_request, retry_later},
};

/// Maximum number of ids in one cancellation.
const MAX_IDS: usize = 10_000;

/// Rows per read.
const ROWS_PER_READ: usize = 500;

/// Maximum number of jobs in one request to an owner.
const KEYS_PER_REQUEST: usize = 2_000;

/// Timeout of a request to an owner, which answers once the cancellation is in
/// its journal.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Maximum number of requests to an owner. The owner may be unreachable, or may
/// not have read the jobs from its inbox yet.
const MAX_ATTEMPTS: u32 = 8;

/// Delay between two requests to an owner.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Delay after which a caller may retry.
const RETRY_AFTER_MS: u64 = 1_000;

/// Jobs of one shard.
struct Group {
    shard: Name,
    keys: Vec<JobKey>,
}

/// Result of a cancellation.
#[derive(Default)]
struct CancelResult {
    done: usize,
    unknown: Vec<Name>,
    unreached: Vec<Name>,
}

impl JobApi {
    pub(crate) fn cancel_one(&self, key: &JobKey) -> Reply {
        let Some(result) = self.cancel(std::slice::from_ref(key)) else {
            return retry_later(503, Outcome::NotRun, "store-unavailable", RETRY_AFTER_MS);
        };
        if !result.unknown.is_empty() {
            return bad_request(404, "id", "no such job");
        }
        if !result.unreached.is_empty() {
            return retry_later(503, Outcome::Unknown, "owner-unreached", RETRY_AFTER_MS);
        }
        json_reply(200, &to_json(result))
    }

    pub(crate) fn cancel_many(&self, req: &Incoming, org: &Name) -> Reply {
        let body: CancelJson = match serde_json::from_slice(&req.body) {
            Ok(body) => body,
            Err(err) => return bad_request(400, "body", &err.to_string()),
        };
        if body.ids.len() > MAX_IDS {
            return bad_request(413, "ids", &format!("more than {MAX_IDS}"));
        }
        let mut keys = Vec::with_capacity(body.ids.len());
        for (i, id) in body.ids.iter().enumerate() {
            if let Err(err) = check_name(id) {
                return bad_request(400, &format!("ids[{i}]"), &err.to_string());
            }
            keys.push(JobKey {
                org: org.clone(),
                id: Name::from(&**id),
            });
        }
        keys.sort();
        keys.dedup();
        match self.cancel(&keys) {
            Some(result) => json_reply(200, &to_json(result)),
            None => retry_later(503, Outcome::NotRun, "store-unavailable", RETRY_AFTER_MS),
        }
    }

    /// Cancels jobs; returns `None` if their rows can't be read.
    fn cancel(&self, keys: &[JobKey]) -> Option<CancelResult> {
        let mut result = CancelResult::default();
        let mut groups: Vec<Group> = Vec::new();
        for chunk in keys.chunks(ROWS_PER_READ) {
            let rows: Vec<Name> = chunk.iter().map(keys::job).collect();
            let rows = self.table.get(&rows).ok()?;
            for (key, row) in chunk.iter().zip(rows) {
                let row = row.and_then(|r| decode::<JobRow>(&r.value).ok());
                let Some(row) = row else {
                    result.unknown.push(key.id.clone());
                    continue;
                };
                if row.ended.is_some() {
                    result.done += 1;
                    continue;
                }
                match groups.iter_mut().find(|g| g.shard == row.shard) {
                    Some(group) => group.keys.push(key.clone()),
                    None => groups.push(Group {
                        shard: row.shard,
                        keys: vec![key.clone()],
                    }),
                }
            }
        }
        for group in groups {
            for chunk in group.keys.chunks(KEYS_PER_REQUEST) {
                self.cancel_chunk(&group.shard, chunk.to_vec(), &mut result);
            }
        }
        Some(result)
    }

    /// Cancels jobs of one shard. Jobs that the owner does not have yet are
    /// retried, since the owner first has to read them from its inbox.
    fn cancel_chunk(&self, shard: &Name, mut keys: Vec<JobKey>, result: &mut CancelResult) {
        for _ in 0..MAX_ATTEMPTS {
            let remaining = self.request_cancel(shard, &keys);
            result.done += keys.len() - remaining.len();
            keys = remaining;
            if keys.is_empty() {
                return;
            }
            thread::sleep(RETRY_DELAY);
            keys.retain(|k| match self.read_row(k) {
                Ok(Some(row)) if row.ended.is_some() => {
                    result.done += 1;
                    false
                }
                _ => true,
            });
        }
        result.unreached.extend(keys.into_iter().map(|k| k.id));
    }

    /// Sends one request to the owner and returns the jobs that were not
    /// cancelled.
    fn request_cancel(&self, shard: &Name, keys: &[JobKey]) -> Vec<JobKey> {
        let Some(addr) = self.owners.find(shard) else {
            return keys.to_vec();
        };
        let request = JobsRequest::Cancel {
            shard: shard.clone(),
            keys: keys.to_vec(),
        };
        match post(addr, PEER_JOBS, &request, REQUEST_TIMEOUT) {
            Ok(JobsAnswer::Cancelled(unknown)) => unknown,
            _ => keys.to_vec(),
        }
    }
}

fn to_json(result: CancelResult) -> CancelledJson {
    let strings = |names: Vec<Name>| names.iter().map(|n| n.to_string()).collect();
    CancelledJson {
        cancelled: result.done,
        unknown: strings(result.unknown),
        unreached: strings(result.unreached),
    }
}
