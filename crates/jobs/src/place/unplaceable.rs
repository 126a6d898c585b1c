//! Requests that one pass of placement need not try again.

use std::sync::Arc;

use crate::{
    place::request::{LoanAccess, Request},
    runs::worker::Capacity,
    share::sample::Image,
};

/// A request that no worker can take in this pass, nor any larger request of its kind.
#[derive(Debug, PartialEq)]
pub(crate) struct Unplaceable {
    image: Image,
    best_effort: bool,
    /// Which lent capacity the request may take.
    access: LoanAccess,
    /// Estimate in whole seconds: a longer task may be refused lent capacity that is due soon.
    seconds: u64,
    /// Whether the request was allowed to exceed the CPU share of best-effort tasks.
    starved: bool,
    /// Whether the request was allowed to take workers that are reserved.
    nearly_lost: bool,
    service: Arc<str>,
    /// The label that the worker must have.
    label: Option<Arc<str>>,
    /// The requested capacity, including the CPU of best-effort tasks.
    requested: Capacity,
}

impl Unplaceable {
    /// Returns the entry for a request.
    pub(crate) fn new(request: &Request<'_>) -> Unplaceable {
        let step = request.step;
        Unplaceable {
            image: request.image,
            best_effort: step.best_effort,
            access: request.access,
            seconds: step.estimate / 1000,
            starved: request.starved,
            nearly_lost: request.nearly_lost,
            service: request.service.clone(),
            label: step.label.clone(),
            requested: Capacity {
                cpu: step.cpu,
                memory: step.memory,
                gpu: step.gpu,
            },
        }
    }

    /// Returns whether `other` can't be placed either.
    pub(crate) fn implies(&self, other: &Unplaceable) -> bool {
        self.image == other.image
            && self.best_effort == other.best_effort
            && (self.starved || !other.starved)
            && self.access >= other.access
            && self.seconds <= other.seconds
            && (self.nearly_lost || !other.nearly_lost)
            && Arc::ptr_eq(&self.service, &other.service)
            && (self.label.is_none() || self.label == other.label)
            && self.requested.cpu <= other.requested.cpu
            && self.requested.memory <= other.requested.memory
            && self.requested.gpu <= other.requested.gpu
    }
}
