//! Where the thread that decides waits, and what other threads tell it.

use std::{io, sync::Arc};

use flume::{Receiver, Sender};
use gorsespur_jobs::Event;
use mio::{Poll, Token, Waker};

use super::RING;

/// Token of the waker; no connection has it.
pub(super) const WAKE: Token = Token(usize::MAX);

/// What other threads tell the one that decides.
pub(super) enum Told {
    Events(Vec<Event>),
    Durable(Written),
    Deposed,
}

/// A write of the journal that is durable.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Written {
    /// When it was asked for: the lease counts from then.
    pub(crate) asked: u64,
    /// Whether it held a batch.
    pub(crate) batch: bool,
}

/// The sending end of the ring to the thread that decides.
#[derive(Clone)]
pub(crate) struct Input {
    ring: Sender<Told>,
    waker: Arc<Waker>,
}

impl Input {
    /// Passes events on.
    pub(crate) fn events(&self, events: Vec<Event>) {
        if !events.is_empty() {
            self.tell(Told::Events(events));
        }
    }

    /// A write of the journal is durable.
    pub(crate) fn durable(&self, written: Written) {
        self.tell(Told::Durable(written));
    }

    /// The lease is lost.
    pub(crate) fn deposed(&self) {
        self.tell(Told::Deposed);
    }

    fn tell(&self, told: Told) {
        // The other end is gone only when the tenure is over.
        let sent = self.ring.send(told).is_ok();
        if sent && let Err(err) = self.waker.wake() {
            log::warn!(err = err.to_string().as_str(); "owner: no wake-up");
        }
    }
}

/// Where the thread that decides waits: for connections and for the ring.
pub(crate) struct Inbox {
    pub(super) poll: Poll,
    input: Input,
    pub(super) told: Receiver<Told>,
}

impl Inbox {
    /// Makes one.
    ///
    /// Errors: the system has no descriptors left.
    pub(crate) fn new() -> io::Result<Inbox> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (ring, told) = flume::bounded(RING);
        let input = Input { ring, waker };
        Ok(Inbox { poll, input, told })
    }

    /// Returns the sending end of the ring.
    pub(crate) fn input(&self) -> Input {
        self.input.clone()
    }
}
