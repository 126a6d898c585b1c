//! The agent's threads, and its requests from peers.

use std::{net::UdpSocket, sync::Arc, thread, time::Duration};

use gorsespur_core::{name::Name, route::RouteCounts, shard::ShardStatus};
use gorsespur_runtime::{
    cancel::CancelToken,
    server::{Incoming, Reply},
};
use gorsespur_services::{Members, Table};
use gorsespur_wire::{
    codec::{CONTENT_TYPE, decode, encode},
    paths::PEER_CONFIG,
    peer::{ConfigAnswer, ConfigRequest, InstanceStatus},
};
use snafu::ResultExt;

use crate::{
    AgentSettings, AgentState, PeerError, config,
    error::{BindSnafu, SpawnSnafu},
    heartbeats, member_list,
};

/// Longest wait for a heartbeat between two checks for cancellation.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Exchanges heartbeats and configuration with the peers of an instance.
#[derive(Debug)]
pub struct Agent {
    state: Arc<AgentState>,
}

impl Agent {
    /// Starts the threads, which run until `cancel` is cancelled.
    ///
    /// Fails if the address can't be bound or a thread can't be started.
    pub fn start(
        settings: AgentSettings,
        table: Arc<dyn Table>,
        members: Arc<dyn Members>,
        cancel: &CancelToken,
    ) -> Result<Agent, PeerError> {
        let addr = settings.listen;
        let socket = UdpSocket::bind(addr).context(BindSnafu { addr })?;
        socket
            .set_read_timeout(Some(POLL_INTERVAL))
            .context(BindSnafu { addr })?;
        let sender = socket.try_clone().context(BindSnafu { addr })?;
        let state = Arc::new(AgentState::new(settings));
        let (s, c) = (state.clone(), cancel.clone());
        spawn("beats-in", move || heartbeats::receive_all(&s, &socket, &c))?;
        let (s, c) = (state.clone(), cancel.clone());
        spawn("beats-out", move || heartbeats::send_all(&s, &sender, &c))?;
        let (s, c) = (state.clone(), cancel.clone());
        spawn("config", move || config::follow(&s, table.as_ref(), &c))?;
        let (s, c) = (state.clone(), cancel.clone());
        spawn("members", move || {
            member_list::follow(&s, members.as_ref(), &c)
        })?;
        Ok(Agent { state })
    }

    /// Returns the state that the threads share.
    pub fn state(&self) -> &Arc<AgentState> {
        &self.state
    }
}

fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> Result<(), PeerError> {
    let spawned = thread::Builder::new().name(name.into()).spawn(f);
    spawned.context(SpawnSnafu)?;
    Ok(())
}

impl AgentState {
    /// Returns the status of this instance for operators.
    pub fn status(&self, shards: Vec<ShardStatus>, routed: Option<RouteCounts>) -> InstanceStatus {
        let s = &self.settings;
        let now = self.clock.now();
        let live = self
            .peers()
            .live(now)
            .iter()
            .map(|p| p.heartbeat.id.clone())
            .collect();
        let configs = self.configs();
        InstanceStatus {
            id: s.id.clone(),
            role: s.role,
            zone: s.zone.clone(),
            addr: s.listen,
            release: Name::from(env!("CARGO_PKG_VERSION")),
            config: configs.head(),
            versions: configs.versions(),
            live,
            shards,
            routed,
        }
    }

    /// Handles a peer's request for configuration; returns `None` for other paths.
    pub fn handle_request(&self, req: &Incoming) -> Option<Reply> {
        if req.path != PEER_CONFIG {
            return None;
        }
        let Ok(request) = decode::<ConfigRequest>(&req.body) else {
            return Some(Reply::text(400, "request is malformed"));
        };
        let configs = self.configs();
        let response = ConfigAnswer {
            head: configs.head(),
            entries: configs.newer_than(&request.known),
        };
        let reply = match encode(&response) {
            Ok(body) => Reply::new(200, body).header("content-type", CONTENT_TYPE),
            Err(_) => Reply::text(500, "can't encode"),
        };
        Some(reply)
    }
}
