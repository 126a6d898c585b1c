//! Where the thread that decides waits, and what other threads tell it.

use std::{io, sync::Arc};

use flume::{Receiver, Sender};
use gorsespur_jobs::Event;
use mio::{Poll, Token, Waker};

use super::MAX_QUEUED_INPUTS;

/// Token of the waker; no connection has it.
pub(super) const WAKER_TOKEN: Token = Token(usize::MAX);

/// What other threads tell the one that decides.
pub(super) enum Message {
    Events(Vec<Event>),
    Durable(DurableWrite),
    LeaseLost,
}

/// A write of the journal that is durable.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DurableWrite {
    /// When it was asked for: the lease counts from then.
    pub(crate) asked_at: u64,
    /// Whether it held a batch.
    pub(crate) has_batch: bool,
}

/// The sending end of the ring to the thread that decides.
#[derive(Clone)]
pub(crate) struct InboxSender {
    queue: Sender<Message>,
    waker: Arc<Waker>,
}

impl InboxSender {
    /// Passes events on.
    pub(crate) fn events(&self, events: Vec<Event>) {
        if !events.is_empty() {
            self.send(Message::Events(events));
        }
    }

    /// A write of the journal is durable.
    pub(crate) fn durable(&self, written: DurableWrite) {
        self.send(Message::Durable(written));
    }

    /// The lease is lost.
    pub(crate) fn lease_lost(&self) {
        self.send(Message::LeaseLost);
    }

    fn send(&self, message: Message) {
        // The other end is gone only when the tenure is over.
        let sent = self.queue.send(message).is_ok();
        if sent && let Err(err) = self.waker.wake() {
            log::warn!(err = err.to_string().as_str(); "owner: no wake-up");
        }
    }
}

/// Where the thread that decides waits: for connections and for the ring.
pub(crate) struct Inbox {
    pub(super) poll: Poll,
    sender: InboxSender,
    pub(super) messages: Receiver<Message>,
}

impl Inbox {
    /// Makes one.
    ///
    /// Errors: the system has no descriptors left.
    pub(crate) fn new() -> io::Result<Inbox> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        let (queue, messages) = flume::bounded(MAX_QUEUED_INPUTS);
        let sender = InboxSender { queue, waker };
        Ok(Inbox {
            poll,
            sender,
            messages,
        })
    }

    /// Returns the sending end of the ring.
    pub(crate) fn sender(&self) -> InboxSender {
        self.sender.clone()
    }
}
