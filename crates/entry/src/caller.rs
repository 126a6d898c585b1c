//! Requests of callers and of the load balancer.

use std::sync::Arc;

use gorsespur_core::route::Outcome;
use gorsespur_peer::AgentState;
use gorsespur_runtime::server::{Incoming, Reply};

use crate::{forward::Forwarder, job_api::JobApi, reply::error_reply};

/// Handles requests of callers.
pub(crate) struct CallerApi {
    pub shared: Arc<AgentState>,
    pub forwarder: Forwarder,
    pub jobs: JobApi,
}

impl CallerApi {
    /// Handles one request.
    pub fn answer(&self, req: Incoming) -> Reply {
        let path = req.path.clone();
        let segments: Vec<&str> = path.split('/').filter(|s| !s.is_empty()).collect();
        match segments.as_slice() {
            ["s", org, service, ..] => self.forwarder.serve(req, org, service),
            ["v1", "orgs", org, rest @ ..] => self.jobs.serve(&req, org, rest),
            ["healthz"] => Reply::text(200, "ok"),
            ["readyz"] => self.ready(),
            _ => error_reply(404, Outcome::NotRun, "no-path", "no such path"),
        }
    }

    /// Returns the readiness of this instance for the load balancer.
    fn ready(&self) -> Reply {
        if self.shared.is_leaving() {
            return Reply::text(503, "leaving");
        }
        if !self.shared.is_loaded() {
            return Reply::text(503, "no configuration yet");
        }
        Reply::text(200, "ok")
    }
}
