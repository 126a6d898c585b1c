//! Numbers of the images whose interference is learned.
//!
//! Callers may give each version of a program an image of its own. The model is bounded by the pairs
//! that run beside each other, and here by the number of images: only a limited number of them have
//! a number at a time. An image that no open job uses loses its number to a new one, the longest
//! unused first.
//!
//! Limits: while open jobs use more images than there are numbers, the others share the number of
//! steps without an image.

use std::sync::Arc;

use crate::{
    model::spec::{Spec, Step},
    scheduler::Scheduler,
    share::sample::Image,
    sorted_map::SortedMap,
};

/// Maximum number of images with a number.
pub(crate) const MAX_IMAGES: usize = 512;

/// An image with a number.
#[derive(Debug)]
struct Slot {
    name: Arc<str>,
    /// Number of steps of open jobs that run the image.
    users: u32,
    /// When a step last began or ceased to use it, in milliseconds.
    used_at: u64,
}

/// The numbers of images.
#[derive(Debug, Default)]
pub(crate) struct Images {
    numbers: SortedMap<Arc<str>, Image>,
    /// By number, less one.
    slots: Vec<Slot>,
}

/// A number that was assigned to an image.
#[derive(Debug)]
pub(crate) struct Assigned {
    pub(crate) image: Image,
    /// Whether the number belonged to another image before.
    pub(crate) is_reused: bool,
}

impl Images {
    /// Returns the number of images that may have a number at present.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the name of an image; `None` for number 0.
    pub(crate) fn name(&self, image: Image) -> Option<&Arc<str>> {
        let at = usize::from(image).checked_sub(1)?;
        self.slots.get(at).map(|s| &s.name)
    }

    /// Returns the number of an image, assigning one to a new name; 0 for the empty name, or if
    /// all numbers are in use.
    pub(crate) fn assign(&mut self, name: &Arc<str>, now: u64) -> Assigned {
        let known = self.numbers.get(name).copied();
        let known = known.or_else(|| name.is_empty().then_some(0));
        if let Some(image) = known {
            return Assigned {
                image,
                is_reused: false,
            };
        }
        let slot = Slot {
            name: name.clone(),
            users: 0,
            used_at: now,
        };
        let is_reused = self.slots.len() >= MAX_IMAGES;
        if !is_reused {
            self.slots.push(slot);
            let image = self.slots.len() as Image;
            self.numbers.insert(name.clone(), image);
            return Assigned { image, is_reused };
        }
        let Some(at) = self.longest_unused() else {
            return Assigned {
                image: 0,
                is_reused: false,
            };
        };
        let image = (at + 1) as Image;
        let earlier = std::mem::replace(&mut self.slots[at], slot);
        self.numbers.remove(&earlier.name);
        self.numbers.insert(name.clone(), image);
        Assigned { image, is_reused }
    }

    fn longest_unused(&self) -> Option<usize> {
        let unused = self.slots.iter().enumerate().filter(|(_, s)| s.users == 0);
        unused.min_by_key(|(_, s)| s.used_at).map(|(at, _)| at)
    }

    /// Records that a step of an open job begins to use an image.
    fn acquire(&mut self, image: Image, now: u64) {
        if let Some(slot) = self.slot_mut(image) {
            slot.users += 1;
            slot.used_at = now;
        }
    }

    /// Records that a step does not use an image any more.
    fn release(&mut self, image: Image, now: u64) {
        if let Some(slot) = self.slot_mut(image) {
            slot.users = slot.users.saturating_sub(1);
            slot.used_at = now;
        }
    }

    fn slot_mut(&mut self, image: Image) -> Option<&mut Slot> {
        let at = usize::from(image).checked_sub(1)?;
        self.slots.get_mut(at)
    }
}

/// Returns whether the interference of a step's tasks with others is learned.
fn is_learned(step: &Step) -> bool {
    step.best_effort || step.latency_target > 0
}

impl Scheduler {
    /// Returns the number of the image of each step of a job that becomes open; 0 for a step
    /// without one, or whose interference is not learned.
    pub(crate) fn acquire_images(&mut self, spec: &Spec) -> Vec<Image> {
        let mut out = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            let name = step.image.as_ref().filter(|_| is_learned(step));
            let image = name.map_or(0, |name| self.number_image(name));
            self.images.acquire(image, self.now);
            out.push(image);
        }
        out
    }

    /// Records that a job that ends does not use its images any more.
    pub(crate) fn release_images(&mut self, images: &[Image]) {
        for &image in images {
            self.images.release(image, self.now);
        }
    }

    /// Returns the number of an image, assigning one to a new name.
    pub(crate) fn number_image(&mut self, name: &Arc<str>) -> Image {
        let assigned = self.images.assign(name, self.now);
        if assigned.is_reused {
            self.interference.forget(assigned.image);
        }
        assigned.image
    }
}
