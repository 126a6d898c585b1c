//! Asks an earlier owner whether it may still renew leases.
//!
//! A worker that a new owner can't reach may still be renewed by the old one,
//! for its hold. An answer from the old owner's address ends that wait: its
//! process has stopped commanding the shard's workers, or is another process.

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

/// Time between two questions.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time limit of a question.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// An inquiry about one shard.
pub(crate) struct Inquiry {
    pub shard: Name,
    /// Address of the only owner that may still renew; none if there may be
    /// others, whose hold has to pass.
    pub old_owner: Option<SocketAddr>,
    /// This instance's address; an earlier process there has ended, or this one
    /// has stopped its earlier ownership.
    pub own_addr: SocketAddr,
    pub hold: Duration,
    pub input: Sender<Input>,
    pub settled: Arc<AtomicBool>,
    pub cancel: CancelToken,
}

impl Inquiry {
    /// Runs until the matter is settled or the shard is given up.
    pub fn run(self) {
        let started = Instant::now();
        while started.elapsed() <= self.hold && !self.has_old_owner_stopped() {
            if self.cancel.wait(POLL_INTERVAL) {
                return;
            }
        }
        self.settled.store(true, Ordering::Release);
        let _ = self.input.send(Input::Event(Event::Settled));
        log::info!("shard {}: no earlier owner renews leases", self.shard);
    }

    /// Tells whether the old owner said that it has stopped.
    fn has_old_owner_stopped(&self) -> bool {
        let Some(addr) = self.old_owner else {
            return false;
        };
        if addr == self.own_addr {
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
