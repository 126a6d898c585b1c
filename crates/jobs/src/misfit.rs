//! What one pass of placement need not try again.

use std::sync::Arc;

use crate::{request::Request, sample::Image};

/// A task that no worker can take in this pass, nor any larger one of its kind.
#[derive(Debug, PartialEq)]
pub(crate) struct Misfit {
    image: Image,
    fill: bool,
    service: Arc<str>,
    size: (u64, u64, u64),
}

impl Misfit {
    /// Returns what a request stands for; `image` is its step's.
    pub(crate) fn new(request: &Request<'_>, image: Image) -> Misfit {
        let step = request.step;
        Misfit {
            image,
            fill: step.fill,
            service: request.service.clone(),
            size: (step.cpu, step.memory, step.gpu),
        }
    }

    /// Tells whether `other` can't be placed either.
    pub(crate) fn covers(&self, other: &Misfit) -> bool {
        self.image == other.image
            && self.fill == other.fill
            && self.service == other.service
            && self.size.0 <= other.size.0
            && self.size.1 <= other.size.1
            && self.size.2 <= other.size.2
    }
}
