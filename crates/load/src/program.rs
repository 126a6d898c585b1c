//! Dispatch of the commands.

use crate::{
    args::{LoadArgs, LoadCommand, Measure},
    capacity,
    error::LoadError,
    measure::{faults, interference, membership, overhead, overload, starts},
    slopes, trial,
};

/// Runs the command that the arguments select.
pub fn run(args: &LoadArgs) -> Result<(), LoadError> {
    match &args.command {
        LoadCommand::Trial(args) => trial::run(args),
        LoadCommand::Slopes(args) => slopes::run(args),
        LoadCommand::Capacity { from } => capacity::run(from),
        LoadCommand::Measure { what } => match what {
            Measure::Overhead(args) => overhead::run(args),
            Measure::Faults(args) => faults::run(args),
            Measure::Interference(args) => interference::run(args),
            Measure::Overload(args) => overload::run(args),
            Measure::Starts(args) => starts::run(args),
            Measure::Membership(args) => membership::run(args),
        },
    }
}
