//! What one pass of placement knows and found out, and how far it goes.

use crate::{
    place::{misfit::Misfit, room::Room},
    runs::{fleet::Fleet, worker::Capacity},
};

/// Workers that one pass rates at most, some 15 ms of work: a hundred steps of 3,000
/// workers. With a third of that twice the usual load of 3,000 workers left twice as many
/// jobs waiting. The most urgent steps come first, so that those left over are the ones
/// that would wait longest anyway.
const RATINGS: usize = 300_000;

/// Steps that a pass tries at least, however many workers there are.
const STEPS: usize = 30;

/// Whether a pass of placement came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Coverage {
    /// Each step that waited was tried.
    Whole,
    /// Some are left to the next pass.
    Partial,
}

/// What one pass of placement found out.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Workers that take new runs.
    pub(crate) open: Vec<u32>,
    /// What each worker has left, by slot: with work piled up most have no room, and this
    /// tells so without a look at the worker.
    rooms: Vec<Room>,
    /// Tasks that no worker can take.
    pub(crate) misfits: Vec<Misfit>,
    /// Workers that are kept free for overdue tasks.
    pub(crate) held: Vec<u32>,
    /// Workers that were rated.
    pub(crate) ratings: usize,
    /// Workers that it may rate.
    budget: usize,
    /// Whether more than half of the room is taken, and filling tasks have more than half of the
    /// processors that are left to them.
    pub(crate) crowded: bool,
    /// Starts that may still be placed.
    pub(crate) starts: usize,
}

impl Pass {
    /// Begins a pass at `now`.
    pub(crate) fn begin(fleet: &Fleet, now: u64) -> Pass {
        let mut pass = Pass::default();
        let (mut left, mut filling) = (0, 0);
        let (mut all, mut used) = (Capacity::default(), Capacity::default());
        for (slot, worker) in (0..).zip(&fleet.workers) {
            let room = Room::of(worker);
            pass.rooms.push(room);
            if worker.is_open(now) && worker.guest.is_none() {
                pass.open.push(slot);
                left += room.fill();
                filling += worker.filling;
                all.add(worker.capacity());
                used.add(worker.used);
            }
        }
        // What fills takes up no processors: users count a job as lost of which nothing runs
        // while half of the room is free, however much fills there.
        let is_full = used.cpu * 2 > all.cpu || used.memory * 2 > all.memory;
        pass.crowded = is_full && filling > left;
        pass.budget = RATINGS.max(STEPS * pass.open.len());
        pass.starts = usize::MAX;
        pass
    }

    /// Returns what a worker has left.
    pub(crate) fn room(&self, slot: u32) -> Room {
        self.rooms[slot as usize]
    }

    /// Takes note of what a worker has left now.
    pub(crate) fn note_room(&mut self, slot: u32, fleet: &Fleet) {
        self.rooms[slot as usize] = Room::of(fleet.get(slot));
    }

    /// Has a worker take new runs again that was kept for one of this pass.
    pub(crate) fn reopen(&mut self, slot: u32) {
        if let Err(at) = self.open.binary_search(&slot) {
            self.open.insert(at, slot);
        }
    }

    /// Takes note that all workers are rated for a step.
    pub(crate) fn note_ranking(&mut self) {
        self.ratings += self.open.len();
    }

    /// Tells whether as many workers were rated as one pass may.
    pub(crate) fn is_spent(&self) -> bool {
        self.ratings >= self.budget
    }
}
