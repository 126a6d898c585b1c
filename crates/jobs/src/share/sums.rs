//! Sparse symmetric sums over pairs of images.
//!
//! Callers choose the number of images. Only pairs that were observed beside each other have an
//! entry, so that the memory grows with what runs at the same time and not with the square of the
//! number of images.

use crate::share::sample::Image;

/// One entry of a row.
#[derive(Debug, Clone, Copy)]
struct Entry {
    image: Image,
    sum: f64,
}

/// The sums of one image with others, sorted by the other image.
#[derive(Debug, Clone, Default)]
pub(crate) struct Row {
    entries: Vec<Entry>,
}

impl Row {
    /// Returns the sum with an image.
    pub(crate) fn get(&self, image: Image) -> f64 {
        self.find(image).map_or(0.0, |at| self.entries[at].sum)
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the images and sums, in the order of the images.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Image, f64)> {
        self.entries.iter().map(|e| (e.image, e.sum))
    }

    /// Sets the sum with an image.
    pub(crate) fn set(&mut self, image: Image, sum: f64) {
        match self.find(image) {
            Ok(at) => self.entries[at].sum = sum,
            Err(at) => self.entries.insert(at, Entry { image, sum }),
        }
    }

    /// Adds to the sum with an image. A new entry takes from `room`, the number of entries that may
    /// still be added; without room, nothing is added.
    pub(crate) fn add(&mut self, image: Image, value: f64, room: &mut usize) {
        match self.find(image) {
            Ok(at) => self.entries[at].sum += value,
            Err(at) if *room > 0 => {
                *room -= 1;
                self.entries.insert(at, Entry { image, sum: value });
            }
            Err(_) => {}
        }
    }

    /// Removes the sum with an image.
    pub(crate) fn remove(&mut self, image: Image) {
        if let Ok(at) = self.find(image) {
            self.entries.remove(at);
        }
    }

    /// Multiplies all sums.
    pub(crate) fn scale(&mut self, factor: f64) {
        for entry in &mut self.entries {
            entry.sum *= factor;
        }
    }

    fn find(&self, image: Image) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&image, |e| e.image)
    }
}
