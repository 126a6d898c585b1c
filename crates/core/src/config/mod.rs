//! Templates in force on an instance.
//!
//! A version never goes back, whatever order polls and messages come in.

mod configs;
mod entry;

pub use configs::Configs;
pub use entry::{ConfigEntry, ConfigVersion};
