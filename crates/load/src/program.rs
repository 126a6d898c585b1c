//! Runs one command.

use crate::{
    args::{LoadArgs, LoadCommand, Measure},
    error::LoadError,
    measure::{faults, overhead},
    trial,
};

/// Runs the command.
pub fn run(args: &LoadArgs) -> Result<(), LoadError> {
    match &args.command {
        LoadCommand::Trial(args) => trial::run(args),
        LoadCommand::Measure { what } => match what {
            Measure::Overhead(args) => overhead::run(args),
            Measure::Faults(args) => faults::run(args),
        },
    }
}
