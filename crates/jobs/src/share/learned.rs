//! What an owner has learned, kept for the one after it.
//!
//! Which images disturb which and how long tasks take takes half a minute to learn. Until
//! then each pair counts as one that disturbs, so that hardly a task fills beside one that
//! serves: the first half minute after a takeover went to that.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    machine::Machine,
    order::estimates::EstimateModel,
    share::{forecast::Prior, sample::Image},
};

/// Pairs that are kept at most, the best known first: with 20 bytes each they fit a row.
const MAX_PAIRS: usize = 2000;

/// What one filling image takes from one serving image. Written as an array.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PairWeight {
    /// Index of the filling image's name.
    #[serde(rename = "fill")]
    pub(crate) best_effort_image: u16,
    /// Index of the serving image's name.
    #[serde(rename = "serve")]
    pub(crate) serving_image: u16,
    /// Headroom that a whole worker of the one takes from the other.
    pub(crate) weight: f32,
    /// How much was seen of it, as the fit weighs it.
    pub(crate) seen: f32,
}

/// What is learned of the guesses of one queue. Written as an array.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct QueueEstimates {
    queue: Arc<str>,
    #[serde(rename = "guesses")]
    estimates: EstimateModel,
}

/// What an owner has learned.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    images: Vec<Arc<str>>,
    pairs: Vec<PairWeight>,
    queues: Vec<QueueEstimates>,
    /// What is usual of loads, if curves foresee them; an older program wrote nothing of it.
    #[serde(rename = "usual", default)]
    prior: Option<Prior>,
}

impl Machine {
    /// Returns what was learned so far.
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

    /// Takes over what an earlier owner learned.
    pub fn import_learned(&mut self, learned: &Learned) {
        let names = learned.images.iter();
        let numbers: Vec<Image> = names.map(|name| self.number_image(name)).collect();
        for pair in &learned.pairs {
            let best_effort = numbers.get(pair.best_effort_image as usize);
            let serving = numbers.get(pair.serving_image as usize);
            let (Some(&best_effort), Some(&serving)) = (best_effort, serving) else {
                log::warn!(fill = pair.best_effort_image, serve = pair.serving_image; "learned: a pair without names");
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
