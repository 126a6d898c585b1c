//! Placement policies and the learned interference model.

mod band;
mod history;
mod interference;
mod policy;

pub use band::{BAND_COUNT, Band};
pub use history::{CoRunner, History};
pub use interference::{Estimate, InterferenceModel};
pub use policy::PlacementPolicy;
