//! Decides which incarnation of a worker is current, of those that share its name.
//!
//! Workers crash and start again under their names. A later incarnation has no runs of an earlier
//! one, and starts its clock and the numbers of its ends anew.
//!
//! A report shows which incarnation is current. An announcement shows only that an incarnation
//! exists, and may be older than the report. Only one incarnation exists at a time, so all state of
//! another one from before the poll was sent belongs to an earlier one. The start time
//! identifies incarnations but does not order them, since clocks step.
//!
//! All state of a worker belongs to one incarnation, including what its runs show about the
//! machine, since the machine may be of another kind after the next start.
//!
//! Limits: only the last replaced incarnations of a name are kept.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    model::incarnation::Incarnation,
    runs::{fleet::Fleet, worker::Worker, worker_info::WorkerInfo},
};

/// Replaced incarnations that are kept for each name. An answer arrives within three seconds,
/// in which a worker does not start so often.
const MAX_REPLACED: usize = 16;

/// The incarnations of one name.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    /// Slots of the incarnations that may be current.
    slots: Vec<u32>,
    /// Start times of the last replaced incarnations, the oldest first.
    replaced: VecDeque<u64>,
    /// No poll lets ends go until this time.
    pub(super) ends_kept_until: u64,
}

/// Which incarnation a report is from.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Attribution {
    /// The current incarnation, and the earlier ones that have ended.
    Known(u32, Vec<u32>),
    /// An incarnation that was replaced.
    Earlier,
    /// Undecided: the report may be older than the last one of another incarnation.
    Unclear,
}

impl Worker {
    /// Returns whether it is unknown which incarnation of its name this is.
    pub(super) fn is_unidentified(&self) -> bool {
        self.start_time.is_none() && self.clock.is_none()
    }
}

impl Fleet {
    /// Returns the slot of an incarnation by its full name, and adds the incarnation if it is new.
    pub(crate) fn slot(&mut self, name: &Arc<str>) -> u32 {
        let incarnation = Incarnation::parse(name);
        self.find(&incarnation.id, incarnation.start_time)
            .unwrap_or_else(|| self.add(incarnation))
    }

    /// Returns the slots of the incarnations of a name that may be current.
    pub(super) fn incarnations(&self, id: &str) -> &[u32] {
        self.incarnations.get(id).map_or(&[], |l| &l.slots)
    }

    fn find(&self, id: &str, start_time: Option<u64>) -> Option<u32> {
        let mut incarnations = self.incarnations(id).iter().copied();
        incarnations.find(|&slot| self.get(slot).start_time == start_time)
    }

    fn add(&mut self, incarnation: Incarnation) -> u32 {
        let slot = self.workers.len() as u32;
        let id = incarnation.id.clone();
        let generation = self.next_generation(&id);
        self.incarnations.or_default(&id).slots.push(slot);
        self.workers
            .push(Worker::new(incarnation, self.prior_leases_end));
        self.set_generation(&id, generation);
        slot
    }

    fn is_replaced(&self, id: &str, start_time: u64) -> bool {
        let incarnations = self.incarnations.get(id);
        incarnations.is_some_and(|l| l.replaced.contains(&start_time))
    }

    /// Returns the slot of the incarnation that an announcement is from, or `None` if it was
    /// replaced.
    pub(super) fn announced_slot(&mut self, info: &WorkerInfo) -> Option<u32> {
        if let Some(slot) = self.find(&info.id, info.start_time) {
            return Some(slot);
        }
        let Some(start_time) = info.start_time else {
            // The worker gives its start time in reports only.
            let mut incarnations = self.incarnations(&info.id).iter().copied();
            let polled = incarnations.find(|&slot| self.get(slot).clock.is_some());
            return Some(polled.unwrap_or_else(|| self.add(incarnation_of(info))));
        };
        if self.is_replaced(&info.id, start_time) {
            log::info!(worker = &*info.id, born = start_time; "worker: row of an earlier life");
            return None;
        }
        let slot = self.add(incarnation_of(info));
        if self.incarnations(&info.id).len() > 1 {
            self.mark_contested(&info.id);
        }
        Some(slot)
    }

    /// Prevents starts on all incarnations of a name until a report shows which one is current.
    fn mark_contested(&mut self, id: &str) {
        for slot in self.incarnations(id).to_vec() {
            self.get_mut(slot).contested = true;
        }
    }

    /// Returns which incarnation a report is from that answers a poll of `slot` sent at `sent`.
    pub(super) fn attribute(
        &mut self,
        slot: u32,
        sent: u64,
        start_time: Option<u64>,
    ) -> Attribution {
        let worker = self.get(slot);
        let start_time = start_time.or(worker.start_time);
        let same = worker.start_time == start_time && worker.clock.is_some();
        if same && !worker.contested && !worker.dead {
            return Attribution::Known(slot, Vec::new());
        }
        let id = worker.id.clone();
        let current = match start_time {
            Some(start_time) if self.is_replaced(&id, start_time) => {
                log::info!(worker = &*id, born = start_time; "worker: list of an earlier life");
                return Attribution::Earlier;
            }
            Some(_) => self.find(&id, start_time),
            // Without a start time, the report is from the polled incarnation unless that has
            // ended.
            None if !self.incarnations(&id).contains(&slot) => return Attribution::Earlier,
            None => Some(slot),
        };
        let has_reported = current.is_some_and(|t| self.get(t).clock.is_some());
        if !has_reported && self.has_report_since(&id, sent) {
            self.mark_contested(&id);
            log::info!(worker = &*id, born:? = start_time; "worker: list of an unknown life");
            return Attribution::Unclear;
        }
        let current = current.unwrap_or_else(|| {
            self.add(Incarnation {
                id: id.clone(),
                start_time,
            })
        });
        self.inherit_info(current, slot);
        let (ended, undecided) = self.partition_others(current, sent);
        self.get_mut(current).contested = !undecided.is_empty();
        Attribution::Known(current, ended)
    }

    /// Returns whether a report of an incarnation of a name arrived after `sent`.
    fn has_report_since(&self, id: &str, sent: u64) -> bool {
        let incarnations = self.incarnations(id).iter().map(|&slot| self.get(slot));
        let mut clocks = incarnations.filter(|w| !w.dead).filter_map(|w| w.clock);
        clocks.any(|(_, at)| at > sent)
    }

    /// Copies the address of the polled incarnation to the one that answered, if that has none.
    /// Nothing new starts there before its own announcement arrives.
    fn inherit_info(&mut self, current: u32, slot: u32) {
        if self.get(current).info.is_some() {
            return;
        }
        let Some(mut info) = self.get(slot).info.clone() else {
            return;
        };
        let worker = self.get_mut(current);
        info.start_time = worker.start_time;
        worker.info = Some(info);
        let evacuated = self.is_evacuated(current);
        self.get_mut(current).evacuated = evacuated;
    }

    /// Splits the other incarnations of the name into those that have ended, given that `current`
    /// answered a poll sent at `sent`, and those that may be later ones.
    fn partition_others(&self, current: u32, sent: u64) -> (Vec<u32>, Vec<u32>) {
        let incarnations = self.incarnations(&self.get(current).id).iter().copied();
        let others = incarnations.filter(|&slot| slot != current);
        others.partition(|&slot| {
            let worker = self.get(slot);
            worker.clock.is_some() || worker.announced_at <= sent
        })
    }

    /// Marks an incarnation as ended and replaced by another one.
    pub(super) fn retire(&mut self, slot: u32) {
        let worker = self.get_mut(slot);
        worker.dead = true;
        worker.announced = false;
        worker.end_poll();
        let (id, start_time) = (worker.id.clone(), worker.start_time);
        let incarnations = self.incarnations.or_default(&id);
        incarnations.slots.retain(|&s| s != slot);
        let Some(start_time) = start_time else {
            return;
        };
        if incarnations.replaced.len() >= MAX_REPLACED {
            incarnations.replaced.pop_front();
        }
        incarnations.replaced.push_back(start_time);
    }
}

fn incarnation_of(info: &WorkerInfo) -> Incarnation {
    Incarnation {
        id: info.id.clone(),
        start_time: info.start_time,
    }
}
