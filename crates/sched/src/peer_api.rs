//! Requests of peers and operators.

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

use crate::{input::Input, owned::OwnedShards};

/// Timeout of an answer from a shard thread.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout until a cancellation is in the journal.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Handles requests of peers and operators.
pub(crate) struct PeerApi {
    pub shared: Arc<AgentState>,
    pub owned: Arc<OwnedShards>,
}

impl PeerApi {
    /// Handles one request.
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
        let answer = ask(
            &shard.input,
            |reply| Input::Targets { reply },
            REPLY_TIMEOUT,
        );
        match answer {
            Some(targets) => reply(&targets),
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
            let found = self.shared.settings.layout.find(shard);
            return JobsAnswer::Holds(found.is_some_and(|s| self.owned.is_active(s.place.index)));
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
                let answer = ask(
                    &owned.input,
                    |reply| Input::Watch { keys, reply },
                    REPLY_TIMEOUT,
                );
                answer.map_or(JobsAnswer::Unavailable, JobsAnswer::States)
            }
            JobsRequest::Cancel { keys, .. } => {
                let answer = ask(
                    &owned.input,
                    |reply| Input::Cancel { keys, reply },
                    COMMIT_TIMEOUT,
                );
                let Some(unknown) = answer else {
                    return JobsAnswer::Unavailable;
                };
                if !unknown.is_empty() {
                    let _ = owned.wake_inbox.try_send(());
                }
                JobsAnswer::Cancelled(unknown)
            }
            JobsRequest::Holds { .. } => JobsAnswer::Holds(true),
            JobsRequest::Look { .. } => {
                let _ = owned.wake_inbox.try_send(());
                JobsAnswer::Noted
            }
        }
    }

    fn status(&self) -> InstanceStatus {
        let mut shards = Vec::new();
        for shard in self.owned.all() {
            shards.extend(ask(
                &shard.input,
                |reply| Input::Status { reply },
                REPLY_TIMEOUT,
            ));
        }
        self.shared.status(shards, None)
    }
}

fn ask<T>(
    input: &Sender<Input>,
    new_input: impl FnOnce(Sender<T>) -> Input,
    limit: Duration,
) -> Option<T> {
    let (tx, rx): (Sender<T>, Receiver<T>) = flume::bounded(1);
    input.send_timeout(new_input(tx), limit).ok()?;
    rx.recv_timeout(limit).ok()
}

fn reply<T: Serialize>(value: &T) -> Reply {
    match encode(value) {
        Ok(body) => Reply::new(200, body).header("content-type", CONTENT_TYPE),
        Err(_) => Reply::text(500, "can't encode"),
    }
}
