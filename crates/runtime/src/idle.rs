//! Closes connections that send no whole request.
//!
//! The server library gives no access to its connections. This looks for them
//! among the process's own descriptors, each second, and shuts down those that
//! have had no request for long: callers that send a byte of a head or of a
//! short body within every read timeout, or more connections than allowed.
//! Where the system refuses to duplicate descriptors nothing is closed.

use std::{
    fs,
    net::{Shutdown, SocketAddr},
    os::fd::OwnedFd,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::SockRef;

/// What is known of a caller's connection.
#[derive(Debug, Clone)]
struct Caller {
    peer: SocketAddr,
    /// When it was first seen, or its last request ended.
    since: Instant,
    /// Requests that are being handled.
    busy: u32,
    /// Whether the last look found it.
    found: bool,
}

/// The connections of one server, sorted by the callers' addresses.
#[derive(Debug, Clone)]
pub(crate) struct Callers {
    inner: Arc<Mutex<Vec<Caller>>>,
}

impl Callers {
    pub fn new() -> Callers {
        Callers {
            inner: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Caller>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request of a caller is being handled, or has ended.
    pub fn note(&self, peer: Option<SocketAddr>, begins: bool) {
        let Some(peer) = peer else { return };
        let mut callers = self.lock();
        let caller = entry(&mut callers, peer);
        caller.since = Instant::now();
        caller.busy = match begins {
            true => caller.busy + 1,
            false => caller.busy.saturating_sub(1),
        };
    }

    /// Closes the connections at `local` that had no request for `limit`, and
    /// the oldest idle ones above `most`; returns how many.
    pub fn sweep(&self, local: SocketAddr, limit: Duration, most: usize) -> usize {
        let mut open = connections(local);
        let mut callers = self.lock();
        for c in callers.iter_mut() {
            c.found = false;
        }
        for (peer, _) in &open {
            entry(&mut callers, *peer).found = true;
        }
        callers.retain(|c| c.found || c.busy > 0);
        let idle = |peer: &SocketAddr| {
            let i = callers.binary_search_by_key(peer, |c| c.peer).ok()?;
            (callers[i].busy == 0).then(|| callers[i].since.elapsed())
        };
        open.sort_by_key(|(peer, _)| std::cmp::Reverse(idle(peer)));
        let mut over = open.len().saturating_sub(most);
        let mut closed = 0;
        for (peer, fd) in &open {
            let Some(age) = idle(peer) else { continue };
            if age < limit && over == 0 {
                continue;
            }
            over = over.saturating_sub(1);
            closed += usize::from(SockRef::from(fd).shutdown(Shutdown::Both).is_ok());
        }
        closed
    }
}

fn entry(callers: &mut Vec<Caller>, peer: SocketAddr) -> &mut Caller {
    let i = match callers.binary_search_by_key(&peer, |c| c.peer) {
        Ok(i) => i,
        Err(i) => {
            let new = Caller {
                peer,
                since: Instant::now(),
                busy: 0,
                found: true,
            };
            callers.insert(i, new);
            i
        }
    };
    &mut callers[i]
}

/// Returns the callers connected to `local`, each with a duplicate descriptor.
fn connections(local: SocketAddr) -> Vec<(SocketAddr, OwnedFd)> {
    let mut out = Vec::new();
    let (Ok(me), Ok(dir)) = (
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
        let Ok(fd) = pidfd_getfd(&me, number, PidfdGetfdFlags::empty()) else {
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
