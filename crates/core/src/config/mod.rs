//! The configuration that an instance has applied: one template per organisation.
//!
//! The version of a template never decreases, whatever the order in which poll
//! results and messages arrive.

mod configs;
mod entry;

pub use configs::Configs;
pub use entry::{ConfigEntry, ConfigVersion};
