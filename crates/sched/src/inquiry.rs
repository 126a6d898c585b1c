//! Finds out when an earlier owner of a shard can no longer renew leases.
//!
//! The old owner may keep renewing the leases of a worker that the new owner
//! can't reach, until the old owner's hold expires. An answer from the old
//! owner's address ends that wait early: the process there has stopped
//! commanding the shard's workers, or is a different process.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use flume::Sender;
use gorsespur_core::{name::Name, shard::Event};
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_services::post;
use gorsespur_wire::{
    paths::PEER_JOBS,
    peer::{JobsAnswer, JobsRequest},
};

use crate::input::Input;

/// Time between two requests to the old owner.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of a request to the old owner.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The inquiry for one shard.
pub(crate) struct Inquiry {
    pub shard: Name,
    /// Address of the old owner, if it is the only one that may still renew
    /// leases. Otherwise the hold has to expire.
    pub old_owner: Option<SocketAddr>,
    /// Address of this instance. If the old owner has the same address, its
    /// process has ended, or this process has stopped its earlier ownership.
    pub unique_addr: SocketAddr,
    pub hold: Duration,
    pub input: Sender<Input>,
    pub settled: Arc<AtomicBool>,
    pub cancel: CancelToken,
}

impl Inquiry {
    /// Runs until no earlier owner can renew leases or `cancel` is set.
    pub fn run(self) {
        let started = Instant::now();
        while started.elapsed() <= self.hold && !self.has_old_owner_stopped() {
            if self.cancel.wait(POLL_INTERVAL) {
                return;
            }
        }
        self.settled.store(true, Ordering::Release);
        let _ = self.input.send(Input::Event(Event::Settled));
        log::info!("shard {}: no earlier owner can renew leases", self.shard);
    }

    /// Returns whether the old owner has confirmed that it stopped.
    fn has_old_owner_stopped(&self) -> bool {
        let Some(addr) = self.old_owner else {
            return false;
        };
        if addr == self.unique_addr {
            return true;
        }
        let shard = self.shard.clone();
        let answer = post(
            addr,
            PEER_JOBS,
            &JobsRequest::Holds { shard },
            REQUEST_TIMEOUT,
        );
        matches!(answer, Ok(JobsAnswer::Holds(false)))
    }
}
