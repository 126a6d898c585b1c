//! Costs of one more worker, task, organisation or message.
//!
//! Each cost is the slope of a line that is fitted to measurements at four or more sizes.

mod linear_fit;
mod memory;
mod messages;
mod processes;

pub(crate) use linear_fit::{LinearFit, read_fits};
pub(crate) use memory::heartbeat;

use crate::{args::TrialArgs, error::LoadError};

/// Measures all slopes and prints a line for each.
pub(crate) fn run(args: &TrialArgs) -> Result<(), LoadError> {
    for fit in memory::measure(args.seed) {
        fit.print();
    }
    for fit in messages::measure(args.seed) {
        fit.print();
    }
    for fit in processes::measure(args)? {
        fit.print();
    }
    Ok(())
}
