//! Event loop of the deciding thread, and messages to it from other threads.

use std::{io, sync::Arc};

use flume::{Receiver, Sender};
use gorsespur_jobs::Event;
use mio::{Poll, Token, Waker};

use super::MAX_QUEUED_INPUTS;

/// Token of the waker; connections have smaller ones.
pub(super) const WAKER_TOKEN: Token = Token(usize::MAX);

/// A message to the deciding thread.
pub(super) enum Message {
    Events(Vec<Event>),
    Durable(DurableWrite),
    LeaseLost,
}

/// A durable write of the journal.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DurableWrite {
    /// When the write was requested, from which the lease counts, in milliseconds.
    pub(crate) asked_at: u64,
    /// Whether the write contained a batch.
    pub(crate) has_batch: bool,
}

/// Sending half of the queue to the deciding thread.
#[derive(Clone)]
pub(crate) struct InboxSender {
    queue: Sender<Message>,
    waker: Arc<Waker>,
}

impl InboxSender {
    /// Sends events.
    pub(crate) fn events(&self, events: Vec<Event>) {
        if !events.is_empty() {
            self.send(Message::Events(events));
        }
    }

    /// Reports that a write of the journal is durable.
    pub(crate) fn durable(&self, written: DurableWrite) {
        self.send(Message::Durable(written));
    }

    /// Reports that the lease is lost.
    pub(crate) fn lease_lost(&self) {
        self.send(Message::LeaseLost);
    }

    fn send(&self, message: Message) {
        // The receiver is dropped only after the owner has stopped.
        let sent = self.queue.send(message).is_ok();
        if sent && let Err(err) = self.waker.wake() {
            log::warn!(err = err.to_string().as_str(); "owner: can't wake the deciding thread");
        }
    }
}

/// The event loop, which waits for connections and for messages.
pub(crate) struct Inbox {
    pub(super) poll: Poll,
    sender: InboxSender,
    pub(super) messages: Receiver<Message>,
}

impl Inbox {
    /// Creates the event loop.
    ///
    /// Errors: no file descriptors are left.
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

    /// Returns a sending half of the queue.
    pub(crate) fn sender(&self) -> InboxSender {
        self.sender.clone()
    }
}
