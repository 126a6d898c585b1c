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
const REMEMBERED: usize = 16;

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
        let life = Incarnation::parse(name);
        self.find(&life.id, life.start_time)
            .unwrap_or_else(|| self.add(life))
    }

    /// Returns the slots of the lives of a name that may be there.
    pub(super) fn incarnations(&self, id: &str) -> &[u32] {
        self.incarnations.get(id).map_or(&[], |l| &l.slots)
    }

    fn find(&self, id: &str, born: Option<u64>) -> Option<u32> {
        let mut lives = self.incarnations(id).iter().copied();
        lives.find(|&slot| self.get(slot).start_time == born)
    }

    fn add(&mut self, life: Incarnation) -> u32 {
        let slot = self.workers.len() as u32;
        self.incarnations.or_default(&life.id).slots.push(slot);
        self.workers.push(Worker::new(life, self.prior_leases_end));
        slot
    }

    fn is_replaced(&self, id: &str, born: u64) -> bool {
        let lives = self.incarnations.get(id);
        lives.is_some_and(|l| l.replaced.contains(&born))
    }

    /// Returns the slot of the life that an announcement is of; nothing if it was replaced.
    pub(super) fn registering_slot(&mut self, info: &WorkerInfo) -> Option<u32> {
        if let Some(slot) = self.find(&info.id, info.start_time) {
            return Some(slot);
        }
        let Some(born) = info.start_time else {
            // One that tells its start in its lists alone.
            let mut lives = self.incarnations(&info.id).iter().copied();
            let heard = lives.find(|&slot| self.get(slot).clock.is_some());
            return Some(heard.unwrap_or_else(|| self.add(life(info))));
        };
        if self.is_replaced(&info.id, born) {
            log::info!(worker = &*info.id, born; "worker: row of an earlier life");
            return None;
        }
        let slot = self.add(life(info));
        if self.incarnations(&info.id).len() > 1 {
            self.contest(&info.id);
        }
        Some(slot)
    }

    /// Has nothing begin on any life of a name until a list says which one is there.
    fn contest(&mut self, id: &str) {
        for slot in self.incarnations(id).to_vec() {
            self.get_mut(slot).contested = true;
        }
    }

    /// Returns what a list says that was read in the place of one life, asked for at `sent`.
    pub(super) fn attribute(&mut self, slot: u32, sent: u64, born: Option<u64>) -> Attribution {
        let worker = self.get(slot);
        let born = born.or(worker.start_time);
        let same = worker.start_time == born && worker.clock.is_some();
        if same && !worker.contested && !worker.dead {
            return Attribution::Known(slot, Vec::new());
        }
        let id = worker.id.clone();
        let target = match born {
            Some(born) if self.is_replaced(&id, born) => {
                log::info!(worker = &*id, born; "worker: list of an earlier life");
                return Attribution::Earlier;
            }
            Some(_) => self.find(&id, born),
            // It is of the life in whose place it was read, unless that one is over.
            None if !self.incarnations(&id).contains(&slot) => return Attribution::Earlier,
            None => Some(slot),
        };
        let heard = target.is_some_and(|t| self.get(t).clock.is_some());
        if !heard && self.heard_after(&id, sent) {
            self.contest(&id);
            log::info!(worker = &*id, born:?; "worker: list of an unknown life");
            return Attribution::Unclear;
        }
        let target = target.unwrap_or_else(|| {
            self.add(Incarnation {
                id: id.clone(),
                start_time: born,
            })
        });
        self.introduce(target, slot);
        let (over, left) = self.others(target, sent);
        self.get_mut(target).contested = !left.is_empty();
        Attribution::Known(target, over)
    }

    /// Tells whether a list of a life of a name arrived after `sent`.
    fn heard_after(&self, id: &str, sent: u64) -> bool {
        let lives = self.incarnations(id).iter().map(|&slot| self.get(slot));
        let mut clocks = lives.filter(|w| !w.dead).filter_map(|w| w.clock);
        clocks.any(|(_, at)| at > sent)
    }

    /// Gives a life that answered in the place of another one that one's address, if it has
    /// none. Nothing new begins there before it is announced itself.
    fn introduce(&mut self, target: u32, slot: u32) {
        if self.get(target).info.is_some() {
            return;
        }
        let Some(mut info) = self.get(slot).info.clone() else {
            return;
        };
        let worker = self.get_mut(target);
        info.start_time = worker.start_time;
        worker.info = Some(info);
        let evacuated = self.is_evacuated(target);
        self.get_mut(target).evacuated = evacuated;
    }

    /// Returns the other lives of a life's name: those that are over if it is there in a list
    /// that was asked for at `sent`, and those that may be later ones.
    fn others(&self, target: u32, sent: u64) -> (Vec<u32>, Vec<u32>) {
        let lives = self.incarnations(&self.get(target).id).iter().copied();
        let others = lives.filter(|&slot| slot != target);
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
        let (id, born) = (worker.id.clone(), worker.start_time);
        let lives = self.incarnations.or_default(&id);
        lives.slots.retain(|&s| s != slot);
        let Some(born) = born else {
            return;
        };
        if lives.replaced.len() >= REMEMBERED {
            lives.replaced.pop_front();
        }
        lives.replaced.push_back(born);
    }
}

fn life(info: &WorkerInfo) -> Incarnation {
    Incarnation {
        id: info.id.clone(),
        start_time: info.start_time,
    }
}
