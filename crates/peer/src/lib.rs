//! The agent of an instance: heartbeats, configuration and the membership list.
//!
//! Heartbeats are datagrams, sent at a constant rate; the next one makes up for a
//! lost one. Configuration is polled from the table service by one instance per
//! zone and distributed from there: a heartbeat contains the number of the last
//! change that is in force on its sender, and instances that are behind request
//! the missing templates.

mod agent;
mod config;
mod error;
mod heartbeats;
mod layout;
mod member_list;
mod settings;
mod state;

pub use agent::Agent;
pub use error::PeerError;
pub use layout::{Layout, Zone, ZoneShard};
pub use settings::{AgentSettings, RawCommon, RawPlatform, RawZone};
pub use state::AgentState;
