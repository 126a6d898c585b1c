//! Peaks of demand over the last seconds.
//!
//! The load pattern is jobs that come in groups. With the present demand alone, capacity would be
//! given away between two groups, and the second one would find it taken by long-running tasks.
//!
//! Limits: nothing is known of the time before this owner, and a group that is larger than all
//! of the last seconds is known once it has arrived.

use std::sync::Arc;

use crate::{
    entitlement::{WorkKind, demand::QueueDemand},
    runs::worker::Capacity,
};

/// Time over which peaks are taken, in milliseconds. Callers that are told to come later return
/// within seconds, and the capacity that they need has to be there still.
const WINDOW_MS: u64 = 10_000;

/// Length of a time slot of which only the peak is kept, in milliseconds.
const SLOT_MS: u64 = 1000;

/// Number of slots. The first and the last one are partial.
const SLOTS: usize = (WINDOW_MS / SLOT_MS) as usize + 1;

/// What a queue holds and asks for, as capacity and as a number of tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) size: Capacity,
    pub(crate) tasks: u64,
}

impl Load {
    /// Returns the mean CPU and memory of the tasks; zero without any.
    pub(super) fn typical_task(self) -> Capacity {
        Capacity {
            cpu: self.size.cpu / self.tasks.max(1),
            memory: self.size.memory / self.tasks.max(1),
            gpu: 0,
        }
    }

    fn max(self, other: Load) -> Load {
        Load {
            size: self.size.max(other.size),
            tasks: self.tasks.max(other.tasks),
        }
    }
}

/// Peaks of all queues.
#[derive(Debug, Default)]
pub(crate) struct Peaks {
    /// Sorted by queue and kind.
    rows: Vec<PeakRow>,
}

/// Peaks of one queue and kind of work.
#[derive(Debug)]
struct PeakRow {
    queue: Arc<str>,
    kind: WorkKind,
    /// A ring by the slots' numbers.
    slots: [Slot; SLOTS],
}

/// The peak within one time slot.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    peak: Load,
}

impl PeakRow {
    fn new(queue: Arc<str>, kind: WorkKind) -> PeakRow {
        PeakRow {
            queue,
            kind,
            slots: [Slot::default(); SLOTS],
        }
    }

    fn record(&mut self, number: u64, load: Load) {
        let slot = &mut self.slots[number as usize % SLOTS];
        if slot.number != number {
            *slot = Slot {
                number,
                peak: Load::default(),
            };
        }
        slot.peak = slot.peak.max(load);
    }

    /// Returns the peak of the slots up to the `last` one.
    fn highest(&self, last: u64) -> Load {
        let recent = self.slots.iter().filter(|s| s.number + SLOTS as u64 > last);
        recent.fold(Load::default(), |peak, slot| peak.max(slot.peak))
    }
}

impl Peaks {
    /// Records the present demands, sorted by queue and kind, and sets their peaks. Peaks of
    /// other queues are dropped.
    pub(crate) fn record(&mut self, now: u64, demands: &mut [QueueDemand]) {
        let number = now / SLOT_MS;
        let mut earlier = std::mem::take(&mut self.rows).into_iter().peekable();
        for row in demands {
            let key = (&row.queue, row.kind);
            while earlier.next_if(|p| (&p.queue, p.kind) < key).is_some() {}
            let known = earlier.next_if(|p| (&p.queue, p.kind) == key);
            let mut own = known.unwrap_or_else(|| PeakRow::new(row.queue.clone(), row.kind));
            own.record(number, row.present());
            let peak = own.highest(number);
            (row.demand.peak, row.peak_tasks) = (peak.size, peak.tasks);
            self.rows.push(own);
        }
    }
}
