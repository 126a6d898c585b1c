//! What one pass of placement need not try again.

use std::sync::Arc;

use crate::{place::request::Request, runs::worker::Capacity, share::sample::Image};

/// A task that no worker can take in this pass, nor any larger one of its kind.
#[derive(Debug, PartialEq)]
pub(crate) struct Misfit {
    image: Image,
    fill: bool,
    service: Arc<str>,
    /// What it asks for, also if it fills.
    asked: Capacity,
}

impl Misfit {
    /// Returns what a request stands for.
    pub(crate) fn new(request: &Request<'_>) -> Misfit {
        let step = request.step;
        Misfit {
            image: request.image,
            fill: step.fill,
            service: request.service.clone(),
            asked: Capacity {
                cpu: step.cpu,
                memory: step.memory,
                gpu: step.gpu,
            },
        }
    }

    /// Tells whether `other` can't be placed either.
    pub(crate) fn covers(&self, other: &Misfit) -> bool {
        self.image == other.image
            && self.fill == other.fill
            && Arc::ptr_eq(&self.service, &other.service)
            && self.asked.cpu <= other.asked.cpu
            && self.asked.memory <= other.asked.memory
            && self.asked.gpu <= other.asked.gpu
    }
}
