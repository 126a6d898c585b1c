//! Callers: requests and jobs, and what they are told.

mod jobs;
mod requests;
mod times;

pub(crate) use jobs::{JobLoad, JobResult};
pub(crate) use requests::{RequestLoad, RequestTotals, user_paths};
pub(crate) use times::Times;
