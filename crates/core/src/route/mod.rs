//! Routing of requests: admission, target selection, retries, hedging and ejection.
//!
//! All entry instances share the slots of a target without coordination. An
//! entry may always use its fair share of the slots; beyond that it may use
//! only the slots that the last report of the target showed as free, while
//! that report is fresh.
//!
//! A request that can't be answered before its deadline is refused as not run
//! as soon as this is certain, so that its caller can go elsewhere; it is not kept
//! until the deadline.

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
