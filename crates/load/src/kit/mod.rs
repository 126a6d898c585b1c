//! Callers: requests and jobs, and what they are told.

mod jobs;
mod requests;
mod times;

pub(crate) use jobs::{JobLoad, JobResult, Submitted};
pub(crate) use requests::{RequestLoad, RequestTotals, Told};
pub(crate) use times::Times;
