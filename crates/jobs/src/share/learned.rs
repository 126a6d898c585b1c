//! State learned by an owner, stored for the next owner of the jobs.
//!
//! Learning which images interfere and how long tasks take needs half a minute. Until then each
//! pair counts as interfering, so that hardly any best-effort task runs beside serving tasks.
//! Without the stored state, every takeover would lose that half minute.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    order::estimates::EstimateModel,
    scheduler::Scheduler,
    share::{forecast::Prior, sample::Image},
};

/// Maximum number of stored pairs, those with the most evidence first. At 20 bytes each they fit
/// into one row.
const MAX_PAIRS: usize = 2000;

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

impl Scheduler {
    /// Returns the state learned so far.
    pub fn learned(&self) -> Learned {
        let mut images: Vec<Arc<str>> = vec![Arc::default(); self.image_numbers.len() + 1];
        for (name, &image) in self.image_numbers.iter() {
            images[image as usize] = name.clone();
        }
        let mut pairs = self.interference.known_weights();
        pairs.sort_by(|a, b| b.seen.total_cmp(&a.seen));
        pairs.truncate(MAX_PAIRS);
        let queues = self
            .estimates
            .iter()
            .map(|(queue, estimates)| QueueEstimates {
                queue: queue.clone(),
                estimates: estimates.clone(),
            });
        Learned {
            images,
            pairs,
            queues: queues.collect(),
            prior: self.seasonality.reliable_prior(),
        }
    }

    /// Imports the state learned by an earlier owner.
    pub fn import_learned(&mut self, learned: &Learned) {
        let names = learned.images.iter();
        let numbers: Vec<Image> = names.map(|name| self.number_image(name)).collect();
        for pair in &learned.pairs {
            let best_effort = numbers.get(pair.best_effort_image as usize);
            let serving = numbers.get(pair.serving_image as usize);
            let (Some(&best_effort), Some(&serving)) = (best_effort, serving) else {
                log::warn!(fill = pair.best_effort_image, serve = pair.serving_image; "learned: skipping a pair whose images have no names");
                continue;
            };
            self.interference.restore(&PairWeight {
                best_effort_image: best_effort,
                serving_image: serving,
                ..*pair
            });
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
