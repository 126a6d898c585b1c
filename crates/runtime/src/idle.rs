//! Closes idle and excess connections.
//!
//! The server library gives no access to its connections, so a client could hold
//! one for ever by sending a byte of a head or of a short body within every read
//! timeout. This module finds the connections among the descriptors of the
//! process, each second, and shuts down those without a whole request for too
//! long, and the longest idle ones above the limit on their number. No connection
//! is closed if the system refuses to duplicate descriptors.

use std::{
    fs,
    net::{Shutdown, SocketAddr},
    os::fd::OwnedFd,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::SockRef;

/// State of a client's connection.
#[derive(Debug, Clone)]
struct ConnState {
    peer: SocketAddr,
    /// When the connection was first seen, or when its last request started or ended.
    idle_since: Instant,
    active_requests: u32,
    /// Whether the last sweep found the connection open.
    is_open: bool,
}

/// The connections of one server, sorted by the clients' addresses.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionTracker {
    states: Arc<Mutex<Vec<ConnState>>>,
}

impl ConnectionTracker {
    pub fn new() -> ConnectionTracker {
        ConnectionTracker {
            states: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ConnState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start or the end of a request.
    pub fn record_request(&self, peer: Option<SocketAddr>, started: bool) {
        let Some(peer) = peer else { return };
        let mut states = self.lock();
        let state = find_or_insert(&mut states, peer);
        state.idle_since = Instant::now();
        state.active_requests = match started {
            true => state.active_requests + 1,
            false => state.active_requests.saturating_sub(1),
        };
    }

    /// Closes the connections to `local` that have been idle for `timeout`, and
    /// the longest idle ones above `max_connections`; returns their number.
    pub fn close_idle(
        &self,
        local: SocketAddr,
        timeout: Duration,
        max_connections: usize,
    ) -> usize {
        let mut open = open_connections(local);
        let mut states = self.lock();
        for c in states.iter_mut() {
            c.is_open = false;
        }
        for (peer, _) in &open {
            find_or_insert(&mut states, *peer).is_open = true;
        }
        states.retain(|c| c.is_open || c.active_requests > 0);
        let idle = |peer: &SocketAddr| {
            let i = states.binary_search_by_key(peer, |c| c.peer).ok()?;
            (states[i].active_requests == 0).then(|| states[i].idle_since.elapsed())
        };
        open.sort_by_key(|(peer, _)| std::cmp::Reverse(idle(peer)));
        let mut excess = open.len().saturating_sub(max_connections);
        let mut closed = 0;
        for (peer, fd) in &open {
            let Some(age) = idle(peer) else { continue };
            if age < timeout && excess == 0 {
                continue;
            }
            excess = excess.saturating_sub(1);
            closed += usize::from(SockRef::from(fd).shutdown(Shutdown::Both).is_ok());
        }
        closed
    }
}

fn find_or_insert(states: &mut Vec<ConnState>, peer: SocketAddr) -> &mut ConnState {
    let i = match states.binary_search_by_key(&peer, |c| c.peer) {
        Ok(i) => i,
        Err(i) => {
            let new = ConnState {
                peer,
                idle_since: Instant::now(),
                active_requests: 0,
                is_open: true,
            };
            states.insert(i, new);
            i
        }
    };
    &mut states[i]
}

/// Returns the clients connected to `local`, each with a duplicate descriptor.
fn open_connections(local: SocketAddr) -> Vec<(SocketAddr, OwnedFd)> {
    let mut out = Vec::new();
    let (Ok(pidfd), Ok(dir)) = (
        pidfd_open(getpid(), PidfdFlags::empty()),
        fs::read_dir("/proc/self/fd"),
    ) else {
        return out;
    };
    for item in dir.flatten() {
        let link = fs::read_link(item.path()).unwrap_or_default();
        if !link.as_os_str().to_string_lossy().starts_with("socket:") {
            continue;
        }
        let number = item.file_name().to_string_lossy().parse();
        let Ok(number) = number else { continue };
        let Ok(fd) = pidfd_getfd(&pidfd, number, PidfdGetfdFlags::empty()) else {
            continue;
        };
        let sock = SockRef::from(&fd);
        let address = |a: std::io::Result<socket2::SockAddr>| a.ok().and_then(|a| a.as_socket());
        if address(sock.local_addr()) != Some(local) {
            continue;
        }
        if let Some(peer) = address(sock.peer_addr()) {
            out.push((peer, fd));
        }
    }
    out.sort_by_key(|c| c.0);
    out.dedup_by_key(|c| c.0);
    out
}
