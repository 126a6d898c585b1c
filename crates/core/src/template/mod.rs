//! Organisation templates: what operators write, and its checked form.
//!
//! The written form keeps units that people like; the checked form keeps
//! integers in milli-cores, bytes and milliseconds. Checking reports every
//! problem at once, each with its path.

mod check;
mod job;
mod limits;
mod organisation;
mod priority;
mod raw;
mod service;
mod team;
mod weights;

pub use check::check;
pub use job::JobTemplate;
pub use limits::OrgLimits;
pub use organisation::Organisation;
pub use priority::Priority;
pub use raw::{RawJob, RawLimits, RawService, RawSize, RawTeam, RawTemplate, RawWeights};
pub use service::Service;
pub use team::Team;
pub use weights::Weights;
