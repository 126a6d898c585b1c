//! Organisation templates, in their raw and their validated form.
//!
//! The raw form, which operators write, has convenient units such as cores and
//! MiB; the validated form has integers in thousandths of a core, bytes and
//! milliseconds. Validation reports all problems at once, each with its path.

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
