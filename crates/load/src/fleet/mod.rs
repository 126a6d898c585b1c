//! The system's processes and stand-ins for the platform and the workers, on one host.

mod boot;
mod plan;
mod process;
mod settings;

pub(crate) use boot::Fleet;
pub(crate) use plan::FleetSize;
pub(crate) use process::ChildProcess;
