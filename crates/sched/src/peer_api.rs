//! What the scheduler answers its peers and operators.

use std::{sync::Arc, time::Duration};

use flume::{Receiver, Sender};
use gorsespur_peer::AgentState;
use gorsespur_runtime::server::{Incoming, Reply};
use gorsespur_wire::{
    codec::{CONTENT_TYPE, decode, encode},
    paths::{PEER_JOBS, PEER_STATUS, PEER_TARGETS},
    peer::{InstanceStatus, JobsAnswer, JobsRequest, TargetsRequest},
};
use serde::Serialize;

use crate::{input::Input, owned::Owned};

/// Time limit of an answer from a machine thread.
const ASK: Duration = Duration::from_millis(500);

/// Time limit of a cancellation's way into the journal.
const COMMIT: Duration = Duration::from_millis(3_000);

/// Answers peers.
pub(crate) struct PeerApi {
    pub shared: Arc<AgentState>,
    pub owned: Arc<Owned>,
}

impl PeerApi {
    /// Answers one request.
    pub fn answer(&self, req: &Incoming) -> Reply {
        if let Some(reply) = self.shared.handle_request(req) {
            return reply;
        }
        match &*req.path {
            PEER_TARGETS => self.targets(req),
            PEER_JOBS => self.jobs(req),
            PEER_STATUS => reply(&self.status()),
            _ => Reply::text(404, "no such path"),
        }
    }

    fn targets(&self, req: &Incoming) -> Reply {
        let Ok(request) = decode::<TargetsRequest>(&req.body) else {
            return Reply::text(400, "request is malformed");
        };
        let Some(shard) = self.owned.get(request.shard) else {
            return Reply::text(404, "not the owner");
        };
        let asked = ask(&shard.input, |reply| Input::Targets { reply }, ASK);
        match asked {
            Some(answer) => reply(&answer),
            None => Reply::text(503, "shard is busy"),
        }
    }

    fn jobs(&self, req: &Incoming) -> Reply {
        let Ok(request) = decode::<JobsRequest>(&req.body) else {
            return Reply::text(400, "request is malformed");
        };
        reply(&self.run_jobs(request))
    }

    fn run_jobs(&self, request: JobsRequest) -> JobsAnswer {
        if let JobsRequest::Holds { shard } = &request {
            let at = self.shared.settings.layout.find(shard);
            return JobsAnswer::Holds(at.is_some_and(|a| self.owned.holds(a.place.index)));
        }
        let (JobsRequest::Watch { shard, .. }
        | JobsRequest::Cancel { shard, .. }
        | JobsRequest::Holds { shard }
        | JobsRequest::Look { shard }) = &request;
        let Some(owned) = self.owned.find(shard) else {
            return JobsAnswer::NotOwner;
        };
        match request {
            JobsRequest::Watch { keys, .. } => {
                let asked = ask(&owned.input, |reply| Input::Watch { keys, reply }, ASK);
                asked.map_or(JobsAnswer::Unavailable, JobsAnswer::States)
            }
            JobsRequest::Cancel { keys, .. } => {
                let asked = ask(&owned.input, |reply| Input::Cancel { keys, reply }, COMMIT);
                let Some(unknown) = asked else {
                    return JobsAnswer::Unavailable;
                };
                if !unknown.is_empty() {
                    let _ = owned.look.try_send(());
                }
                JobsAnswer::Cancelled(unknown)
            }
            JobsRequest::Holds { .. } => JobsAnswer::Holds(true),
            JobsRequest::Look { .. } => {
                let _ = owned.look.try_send(());
                JobsAnswer::Noted
            }
        }
    }

    fn status(&self) -> InstanceStatus {
        let mut shards = Vec::new();
        for shard in self.owned.all() {
            shards.extend(ask(&shard.input, |reply| Input::Status { reply }, ASK));
        }
        self.shared.status(shards, None)
    }
}

fn ask<T>(
    input: &Sender<Input>,
    make: impl FnOnce(Sender<T>) -> Input,
    limit: Duration,
) -> Option<T> {
    let (tx, rx): (Sender<T>, Receiver<T>) = flume::bounded(1);
    input.send_timeout(make(tx), limit).ok()?;
    rx.recv_timeout(limit).ok()
}

fn reply<T: Serialize>(value: &T) -> Reply {
    match encode(value) {
        Ok(body) => Reply::new(200, body).header("content-type", CONTENT_TYPE),
        Err(_) => Reply::text(500, "can't encode"),
    }
}
