//! Keeps the rows that grow with the number of queues below the store's limit on a row.
//!
//! A row that is too long is rejected together with its whole transaction, also with what must
//! last. The number of queues is not limited, so the rows hold as many of them as fit.

use std::sync::Arc;

use gorsespur_jobs::QueueFigures;

/// Largest encoded size of the lease without its list of queues and the name of the owner.
const LEASE_BYTES: usize = 128;

/// Largest encoded size of a queue's number of pending jobs without the queue's name: heads of an
/// array and a text, and a number.
const PENDING_BYTES: usize = 15;

/// Largest encoded size of a queue's figures without its name: eight numbers, two flags, and heads
/// of three arrays and a text.
const FIGURES_BYTES: usize = 86;

/// Head of a list.
const LIST_BYTES: usize = 8;

/// Name of the entry that counts the pending jobs of all queues that were left out. No queue has
/// an empty name.
pub(crate) const LEFT_OUT: &str = "";

/// A list that was shortened to fit into a row.
#[derive(Debug)]
pub(crate) struct Fitted<T> {
    pub(crate) list: Vec<T>,
    /// Number of queues that were left out.
    pub(crate) left_out: usize,
}

/// Shortens the numbers of pending jobs to a lease of at most `limit` bytes with an owner of this
/// name. Keeps the queues with most pending jobs, and adds up the others under [`LEFT_OUT`].
pub(crate) fn fit_pending(
    mut pending: Vec<(Arc<str>, u64)>,
    owner: &str,
    limit: usize,
) -> Fitted<(Arc<str>, u64)> {
    let bytes = |queue: &str| queue.len() + PENDING_BYTES;
    let mut left = limit.saturating_sub(LEASE_BYTES + owner.len() + LIST_BYTES);
    let total: usize = pending.iter().map(|(queue, _)| bytes(queue)).sum();
    if total <= left {
        return Fitted {
            list: pending,
            left_out: 0,
        };
    }
    left -= bytes(LEFT_OUT);
    pending.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let (mut list, mut left_out, mut rest) = (Vec::new(), 0, 0);
    for (queue, count) in pending {
        match left.checked_sub(bytes(&queue)) {
            Some(remaining) if &*queue != LEFT_OUT => {
                left = remaining;
                list.push((queue, count));
            }
            _ => {
                left_out += 1;
                rest += count;
            }
        }
    }
    list.push((LEFT_OUT.into(), rest));
    Fitted { list, left_out }
}

/// Shortens the figures to a row of at most `limit` bytes. Jobs of a queue without figures are
/// accepted.
pub(crate) fn fit_figures(mut figures: Vec<QueueFigures>, limit: usize) -> Fitted<QueueFigures> {
    let mut left = limit.saturating_sub(LIST_BYTES);
    let all = figures.len();
    figures.retain(|f| {
        let remaining = left.checked_sub(f.queue.len() + FIGURES_BYTES);
        left = remaining.unwrap_or(left);
        remaining.is_some()
    });
    Fitted {
        left_out: all - figures.len(),
        list: figures,
    }
}
