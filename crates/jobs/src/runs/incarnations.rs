//! Which life of a worker is there, of those that share its name.
//!
//! The load pattern that this answers: workers that crash and start again under their names.
//! A later life holds nothing of an earlier one and counts its ends and its time anew.
//!
//! A list says which life is there. An announcement says that there is such a life, and may be
//! older than the list. One life is there at a time, so that whatever was known of another one
//! before the list was asked for is of an earlier life. When a life began tells lives apart and
//! does not order them, since clocks step.
//!
//! All that is kept of a worker is its life's: also what its runs tell of the machine, since
//! that may be of another kind at the next start.
//!
//! Limits: of the lives of a name that were replaced, the last ones are remembered.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    model::incarnation::Incarnation,
    runs::{
        fleet::Fleet,
        worker::{Worker, WorkerInfo},
    },
};

/// Lives of a name that were replaced and are remembered. An answer comes within three
/// seconds, in which a worker does not start so often.
const MAX_REPLACED: usize = 16;

/// The lives of one name.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    /// Slots of those that may be there.
    slots: Vec<u32>,
    /// When those began that were replaced, the last ones.
    replaced: VecDeque<u64>,
}

/// What a list says of the lives of its worker's name.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Attribution {
    /// The life that is there, and the earlier ones that are over.
    Known(u32, Vec<u32>),
    /// It is of a life that was replaced.
    Earlier,
    /// It may be older than the last one of another life.
    Unclear,
}

impl Worker {
    /// Tells whether it can't be known which life of its name this is.
    pub(super) fn is_unidentified(&self) -> bool {
        self.start_time.is_none() && self.clock.is_none()
    }
}

impl Fleet {
    /// Returns the slot of a life, by its own name, a new one if need be.
    pub(crate) fn slot(&mut self, name: &Arc<str>) -> u32 {
        let incarnation = Incarnation::parse(name);
        self.find(&incarnation.id, incarnation.start_time)
            .unwrap_or_else(|| self.add(incarnation))
    }

    /// Returns the slots of the lives of a name that may be there.
    pub(super) fn incarnations(&self, id: &str) -> &[u32] {
        self.incarnations.get(id).map_or(&[], |l| &l.slots)
    }

    fn find(&self, id: &str, start_time: Option<u64>) -> Option<u32> {
        let mut incarnations = self.incarnations(id).iter().copied();
        incarnations.find(|&slot| self.get(slot).start_time == start_time)
    }

    fn add(&mut self, incarnation: Incarnation) -> u32 {
        let slot = self.workers.len() as u32;
        self.incarnations
            .or_default(&incarnation.id)
            .slots
            .push(slot);
        self.workers
            .push(Worker::new(incarnation, self.prior_leases_end));
        slot
    }

    fn is_replaced(&self, id: &str, start_time: u64) -> bool {
        let incarnations = self.incarnations.get(id);
        incarnations.is_some_and(|l| l.replaced.contains(&start_time))
    }

    /// Returns the slot of the life that an announcement is of; nothing if it was replaced.
    pub(super) fn registering_slot(&mut self, info: &WorkerInfo) -> Option<u32> {
        if let Some(slot) = self.find(&info.id, info.start_time) {
            return Some(slot);
        }
        let Some(start_time) = info.start_time else {
            // One that tells its start in its lists alone.
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

    /// Has nothing begin on any life of a name until a list says which one is there.
    fn mark_contested(&mut self, id: &str) {
        for slot in self.incarnations(id).to_vec() {
            self.get_mut(slot).contested = true;
        }
    }

    /// Returns what a list says that was read in the place of one life, asked for at `sent`.
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
            // It is of the life in whose place it was read, unless that one is over.
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

    /// Tells whether a list of a life of a name arrived after `sent`.
    fn has_report_since(&self, id: &str, sent: u64) -> bool {
        let incarnations = self.incarnations(id).iter().map(|&slot| self.get(slot));
        let mut clocks = incarnations.filter(|w| !w.dead).filter_map(|w| w.clock);
        clocks.any(|(_, at)| at > sent)
    }

    /// Gives a life that answered in the place of another one that one's address, if it has
    /// none. Nothing new begins there before it is announced itself.
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

    /// Returns the other lives of a life's name: those that are over if it is there in a list
    /// that was asked for at `sent`, and those that may be later ones.
    fn partition_others(&self, current: u32, sent: u64) -> (Vec<u32>, Vec<u32>) {
        let incarnations = self.incarnations(&self.get(current).id).iter().copied();
        let others = incarnations.filter(|&slot| slot != current);
        others.partition(|&slot| {
            let worker = self.get(slot);
            worker.clock.is_some() || worker.registered_at <= sent
        })
    }

    /// Takes note that a life is over and another one is there.
    pub(super) fn retire(&mut self, slot: u32) {
        let worker = self.get_mut(slot);
        worker.dead = true;
        worker.registered = false;
        worker.poll_in_flight = false;
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
