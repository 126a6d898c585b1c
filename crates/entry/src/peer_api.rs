//! What the entry answers its peers and operators.

use std::{sync::Arc, time::Duration};

use flume::Sender;
use gorsespur_peer::AgentState;
use gorsespur_runtime::server::{Incoming, Reply};
use gorsespur_wire::{
    codec::{CONTENT_TYPE, encode},
    paths::PEER_STATUS,
    peer::InstanceStatus,
};

use crate::router_thread::ToRouter;

/// Time limit of an answer from the router thread.
const ASK: Duration = Duration::from_millis(300);

/// Answers peers.
pub(crate) struct PeerApi {
    pub shared: Arc<AgentState>,
    pub router: Sender<ToRouter>,
}

impl PeerApi {
    /// Answers one request.
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
        let asked = self.router.send_timeout(ToRouter::Counts(tx), ASK);
        let routed = asked.ok().and_then(|()| rx.recv_timeout(ASK).ok());
        self.shared.status(Vec::new(), routed)
    }
}
