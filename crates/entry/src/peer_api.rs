//! Requests of peers and operators.

use std::{sync::Arc, time::Duration};

use flume::Sender;
use gorsespur_peer::AgentState;
use gorsespur_runtime::server::{Incoming, Reply};
use gorsespur_wire::{
    codec::{CONTENT_TYPE, encode},
    paths::PEER_STATUS,
    peer::InstanceStatus,
};

use crate::router_thread::RouterMessage;

/// Timeout of an answer from the router thread.
const ROUTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Handles requests of peers and operators.
pub(crate) struct PeerApi {
    pub shared: Arc<AgentState>,
    pub router: Sender<RouterMessage>,
}

impl PeerApi {
    /// Handles one request.
    pub fn answer(&self, req: &Incoming) -> Reply {
        if let Some(reply) = self.shared.handle_request(req) {
            return reply;
        }
        if req.path != PEER_STATUS {
            return Reply::text(404, "no such path");
        }
        match encode(&self.status()) {
            Ok(body) => Reply::new(200, body).header("content-type", CONTENT_TYPE),
            Err(_) => Reply::text(500, "can't encode"),
        }
    }

    fn status(&self) -> InstanceStatus {
        let (tx, rx) = flume::bounded(1);
        let sent = self
            .router
            .send_timeout(RouterMessage::Counts(tx), ROUTER_TIMEOUT);
        let counts = sent
            .ok()
            .and_then(|()| rx.recv_timeout(ROUTER_TIMEOUT).ok());
        self.shared.status(Vec::new(), counts)
    }
}
