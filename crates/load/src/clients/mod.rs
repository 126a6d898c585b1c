//! Callers: requests and jobs, and what they are told.

mod jobs;
mod latency;
mod requests;

pub(crate) use jobs::{JobLoad, JobResult};
pub(crate) use latency::LatencyHistogram;
pub(crate) use requests::{RequestLoad, RequestTotals, user_paths};
