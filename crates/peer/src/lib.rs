//! What every instance shares with its peers: heartbeats, configuration and
//! the membership list.
//!
//! Heartbeats are datagrams, sent at a constant rate; a lost one is made good
//! by the next. Configuration is polled from the table service by one instance
//! a zone and handed on from there: a heartbeat names the last change that is
//! in force on its sender, and whoever is behind asks for what it lacks.

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
