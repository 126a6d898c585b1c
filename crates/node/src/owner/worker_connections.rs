//! The connections to one worker, and the calls on them.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use gorsespur_http::Connection;
use gorsespur_jobs::Answer;

use crate::protocol::Order;

/// Connections to one worker: the first one for polls, the others for orders.
pub(super) const SLOTS: usize = 5;

/// An order that waits for a connection.
#[derive(Debug)]
pub(super) struct QueuedOrder {
    pub(super) order: Order,
    pub(super) generation: u32,
    pub(super) queued_at: u64,
}

/// The result of an order.
#[derive(Debug)]
pub(crate) struct OrderResult {
    pub(crate) worker: u32,
    pub(crate) generation: u32,
    pub(crate) sent_at: u64,
    pub(crate) answer: Answer,
}

/// An order under way.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) order: Order,
    pub(super) generation: u32,
    pub(super) sent_at: u64,
    pub(super) deadline: u64,
    /// Whether the deadline was extended after a late wake-up.
    pub(super) is_extended: bool,
}

/// The deadline of a call; obsolete once the call is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallDeadline {
    pub(super) deadline: u64,
    pub(super) worker: u32,
    pub(super) slot: usize,
}

/// One connection, if open, and the call under way on it.
#[derive(Debug, Default)]
pub(super) struct Slot {
    pub(super) connection: Option<Connection>,
    pub(super) call: Option<Call>,
}

/// The connections to one worker.
#[derive(Debug)]
pub(super) struct WorkerConnections {
    pub(super) addr: SocketAddr,
    pub(super) id: Arc<str>,
    pub(super) slots: [Slot; SLOTS],
    pub(super) waiting: VecDeque<QueuedOrder>,
}

impl WorkerConnections {
    /// Returns a free connection for orders, preferably an open one.
    pub(super) fn free_slot(&self) -> Option<usize> {
        let free = |s: &usize| self.slots[*s].call.is_none();
        let open = |s: &usize| self.slots[*s].connection.is_some();
        let open_slot = (1..SLOTS).filter(free).find(open);
        // Another connection is worth its cost only if the others are held up.
        let busy = (1..SLOTS).filter(|s| !free(s)).count();
        open_slot.or_else(|| {
            (busy == 0 || self.waiting.len() >= busy * 3).then(|| (1..SLOTS).find(free))?
        })
    }
}
