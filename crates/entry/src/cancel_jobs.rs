//! Cancelling jobs, one or many at a time.

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
    job_api::{JobApi, json},
    job_json::{CancelJson, CancelledJson},
    reply::{bad, later},
};

/// Most ids of one cancellation.
const MAX_IDS: usize = 10_000;

/// Rows of one read.
const READ: usize = 500;

/// Ids of one message to an owner.
const CHUNK: usize = 2_000;

/// Time limit of a message to an owner, who answers once it is in the journal.
const ASK: Duration = Duration::from_millis(4_000);

/// Tries to reach an owner, or one that took the job from its inbox.
const TRIES: u32 = 8;

/// Delay between them.
const DELAY: Duration = Duration::from_millis(250);

/// When a caller may come again, in milliseconds.
const COME_AGAIN: u64 = 1_000;

/// Jobs of one shard.
struct Group {
    shard: Name,
    keys: Vec<JobKey>,
}

/// What became of a cancellation.
#[derive(Default)]
struct Cancelled {
    done: usize,
    unknown: Vec<Name>,
    unreached: Vec<Name>,
}

impl JobApi {
    pub(crate) fn cancel_one(&self, key: &JobKey) -> Reply {
        let Some(c) = self.cancel(std::slice::from_ref(key)) else {
            return later(503, Outcome::NotRun, "store-unavailable", COME_AGAIN);
        };
        if !c.unknown.is_empty() {
            return bad(404, "id", "no such job");
        }
        if !c.unreached.is_empty() {
            return later(503, Outcome::Unknown, "owner-unreached", COME_AGAIN);
        }
        json(200, &answer(c))
    }

    pub(crate) fn cancel_many(&self, req: &Incoming, org: &Name) -> Reply {
        let body: CancelJson = match serde_json::from_slice(&req.body) {
            Ok(body) => body,
            Err(err) => return bad(400, "body", &err.to_string()),
        };
        if body.ids.len() > MAX_IDS {
            return bad(413, "ids", &format!("more than {MAX_IDS}"));
        }
        let mut keys = Vec::with_capacity(body.ids.len());
        for (i, id) in body.ids.iter().enumerate() {
            if let Err(err) = check_name(id) {
                return bad(400, &format!("ids[{i}]"), &err.to_string());
            }
            keys.push(JobKey {
                org: org.clone(),
                id: Name::from(&**id),
            });
        }
        keys.sort();
        keys.dedup();
        match self.cancel(&keys) {
            Some(c) => json(200, &answer(c)),
            None => later(503, Outcome::NotRun, "store-unavailable", COME_AGAIN),
        }
    }

    /// Cancels jobs; nothing if their rows can't be read.
    fn cancel(&self, keys: &[JobKey]) -> Option<Cancelled> {
        let mut out = Cancelled::default();
        let mut groups: Vec<Group> = Vec::new();
        for chunk in keys.chunks(READ) {
            let rows: Vec<Name> = chunk.iter().map(keys::job).collect();
            let rows = self.table.get(&rows).ok()?;
            for (key, row) in chunk.iter().zip(rows) {
                let row = row.and_then(|r| decode::<JobRow>(&r.value).ok());
                let Some(row) = row else {
                    out.unknown.push(key.id.clone());
                    continue;
                };
                if row.ended.is_some() {
                    out.done += 1;
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
            for chunk in group.keys.chunks(CHUNK) {
                self.cancel_chunk(&group.shard, chunk.to_vec(), &mut out);
            }
        }
        Some(out)
    }

    /// Cancels jobs of one shard; those that its owner does not know yet are
    /// asked for again, since it first has to take them from its inbox.
    fn cancel_chunk(&self, shard: &Name, mut keys: Vec<JobKey>, out: &mut Cancelled) {
        for _ in 0..TRIES {
            let left = self.cancel_once(shard, &keys);
            out.done += keys.len() - left.len();
            keys = left;
            if keys.is_empty() {
                return;
            }
            thread::sleep(DELAY);
            keys.retain(|k| match self.read(k) {
                Ok(Some(row)) if row.ended.is_some() => {
                    out.done += 1;
                    false
                }
                _ => true,
            });
        }
        out.unreached.extend(keys.into_iter().map(|k| k.id));
    }

    /// Asks the owner once and returns the jobs that are not cancelled.
    fn cancel_once(&self, shard: &Name, keys: &[JobKey]) -> Vec<JobKey> {
        let Some(addr) = self.owners.find(shard) else {
            return keys.to_vec();
        };
        let request = JobsRequest::Cancel {
            shard: shard.clone(),
            keys: keys.to_vec(),
        };
        match post(addr, PEER_JOBS, &request, ASK) {
            Ok(JobsAnswer::Cancelled(unknown)) => unknown,
            _ => keys.to_vec(),
        }
    }
}

fn answer(c: Cancelled) -> CancelledJson {
    let text = |names: Vec<Name>| names.iter().map(|n| n.to_string()).collect();
    CancelledJson {
        cancelled: c.done,
        unknown: text(c.unknown),
        unreached: text(c.unreached),
    }
}
