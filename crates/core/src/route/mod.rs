//! Routing of requests: admission, choice of target, retries, ejection.
//!
//! Slots of a target are shared by all entries without coordination. An entry
//! may always use its fair share of a target's slots; beyond that only what
//! the target's last answer showed to be free, while that report is fresh.
//!
//! A request that can't be met in time is refused at once as not run, so that
//! its caller can go elsewhere; nothing is held back until its deadline.

mod action;
mod admit;
mod budget;
mod choose;
mod event;
mod outcome;
mod request;
mod router;
mod settings;
mod target;

pub use action::{Refusal, RouteAction};
pub use budget::Budget;
pub use event::{Arrival, RouteEvent, Share, TargetList};
pub use outcome::{AttemptOutcome, Outcome};
pub use router::{RouteCounts, Router};
pub use settings::{RoutePolicy, RouteSettings};
pub use target::Target;
