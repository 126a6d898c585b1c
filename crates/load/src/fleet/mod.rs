//! The system's processes and their stand-ins on loopback.

mod boot;
mod plan;
mod process;
mod settings;

pub(crate) use boot::Fleet;
pub(crate) use plan::FleetSize;
pub(crate) use process::ChildProcess;
