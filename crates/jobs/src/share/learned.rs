//! State learned by an owner, stored for the next owner of the jobs.
//!
//! Learning which images interfere and how long tasks take needs half a minute. Until then each
//! pair counts as interfering, so that hardly any best-effort task runs beside serving tasks.
//! Without the stored state, every takeover would lose that half minute.
//!
//! Limits: one row of the store holds it, whatever callers submit.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    order::estimates::EstimateModel,
    scheduler::Scheduler,
    share::{forecast::Prior, images::Images, sample::Image},
};

/// Maximum number of stored pairs, those with the most evidence first.
const MAX_PAIRS: usize = 2000;

/// Largest encoded size of a pair: two numbers of 3 bytes, two of 5, and the head of the array.
const PAIR_BYTES: usize = 17;

/// Largest encoded size of a queue's estimates without its name: five numbers of 9 bytes, and the
/// heads of two arrays.
const QUEUE_BYTES: usize = 47;

/// Largest encoded size of everything else: heads of arrays, the empty name and the prior.
const FIXED_BYTES: usize = 64;

/// Returns the largest encoded size of a text.
fn text_bytes(text: &str) -> usize {
    text.len() + 5
}

/// The space that is left in a row.
#[derive(Debug)]
struct RowSize {
    left: usize,
}

impl RowSize {
    fn new(left: usize) -> RowSize {
        RowSize { left }
    }

    /// Takes space; returns whether there was enough.
    fn take(&mut self, bytes: usize) -> bool {
        let left = self.left.checked_sub(bytes);
        self.left = left.unwrap_or(self.left);
        left.is_some()
    }
}

/// Headroom that one best-effort image takes from one serving image. Encoded as an array.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PairWeight {
    /// Index of the best-effort image's name.
    #[serde(rename = "fill")]
    pub(crate) best_effort_image: u16,
    /// Index of the serving image's name.
    #[serde(rename = "serve")]
    pub(crate) serving_image: u16,
    /// Headroom taken if the best-effort image uses all CPUs of a worker.
    pub(crate) weight: f32,
    /// Weighted sum of the squared CPU shares that were observed beside the serving image.
    pub(crate) seen: f32,
}

/// Model of the run time estimates of one queue. Encoded as an array.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct QueueEstimates {
    queue: Arc<str>,
    #[serde(rename = "guesses")]
    estimates: EstimateModel,
}

/// State learned by an owner.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    images: Vec<Arc<str>>,
    pairs: Vec<PairWeight>,
    queues: Vec<QueueEstimates>,
    /// Prior of the load curves, if curves are reliable. Rows of older versions lack it.
    #[serde(rename = "usual", default)]
    prior: Option<Prior>,
}

/// The names that a row needs, by number of the image.
#[derive(Debug)]
struct NameTable<'a> {
    images: &'a Images,
    names: Vec<Arc<str>>,
    /// Position in `names` by number of the image; 0 for images that are not in it.
    positions: Vec<u16>,
}

impl NameTable<'_> {
    fn new(images: &Images) -> NameTable<'_> {
        NameTable {
            images,
            // The first position stands for steps without an image.
            names: vec![Arc::default()],
            positions: vec![0; images.len() + 1],
        }
    }

    /// Returns the bytes that the row grows by if it names an image.
    fn bytes(&self, image: Image) -> usize {
        match self.images.name(image) {
            Some(name) if self.positions[usize::from(image)] == 0 => text_bytes(name),
            _ => 0,
        }
    }

    /// Returns the position of an image, adding its name if that is missing.
    fn position(&mut self, image: Image) -> u16 {
        let position = &mut self.positions[usize::from(image)];
        if let Some(name) = self.images.name(image).filter(|_| *position == 0) {
            *position = self.names.len() as u16;
            self.names.push(name.clone());
        }
        *position
    }
}

impl Scheduler {
    /// Returns the state learned so far, as far as it fits into a row of the store: the estimates
    /// with the most evidence, and only the names that these need.
    pub fn learned(&self) -> Learned {
        let mut size = RowSize::new(self.settings.row_bytes.saturating_sub(FIXED_BYTES));
        let mut learned = Learned {
            prior: self.seasonality.reliable_prior(),
            ..Learned::default()
        };
        let mut queues: Vec<_> = self.estimates.iter().collect();
        queues.sort_by(|a, b| b.1.count().total_cmp(&a.1.count()));
        // At most half of the row, so that neither kind leaves no room for the other.
        let mut queues_size = RowSize::new(self.settings.row_bytes / 2);
        for (queue, estimates) in queues {
            let bytes = QUEUE_BYTES + text_bytes(queue);
            if !queues_size.take(bytes) || !size.take(bytes) {
                continue;
            }
            learned.queues.push(QueueEstimates {
                queue: queue.clone(),
                estimates: estimates.clone(),
            });
        }
        let mut pairs = self.interference.known_weights();
        pairs.sort_by(|a, b| b.seen.total_cmp(&a.seen));
        pairs.truncate(MAX_PAIRS);
        let mut names = NameTable::new(&self.images);
        for pair in &pairs {
            let (best_effort, serving) = (pair.best_effort_image, pair.serving_image);
            if !size.take(PAIR_BYTES + names.bytes(best_effort) + names.bytes(serving)) {
                continue;
            }
            learned.pairs.push(PairWeight {
                best_effort_image: names.position(best_effort),
                serving_image: names.position(serving),
                ..*pair
            });
        }
        learned.images = names.names;
        learned
    }

    /// Imports the state learned by an earlier owner. Names that no pair needs are left out.
    pub fn import_learned(&mut self, learned: &Learned) {
        for pair in &learned.pairs {
            let name = |at: u16| learned.images.get(usize::from(at));
            let best_effort = name(pair.best_effort_image);
            let serving = name(pair.serving_image);
            let (Some(best_effort), Some(serving)) = (best_effort, serving) else {
                log::warn!(fill = pair.best_effort_image, serve = pair.serving_image; "learned: skipping a pair whose images have no names");
                continue;
            };
            let pair = PairWeight {
                best_effort_image: self.number_image(best_effort),
                serving_image: self.number_image(serving),
                ..*pair
            };
            self.interference.restore(&pair);
        }
        if let Some(prior) = learned.prior {
            self.seasonality.restore(prior);
        }
        for kept in &learned.queues {
            self.estimates
                .insert(kept.queue.clone(), kept.estimates.clone());
        }
    }
}
