//! Clients that send requests and jobs and record the outcomes.

mod jobs;
mod latency;
mod requests;

pub(crate) use jobs::{JobLoad, JobResult};
pub(crate) use latency::LatencyHistogram;
pub(crate) use requests::{RequestLoad, RequestTotals, user_paths};
