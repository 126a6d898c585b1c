//! Slopes: what one more worker, task, organisation or message costs.
//!
//! Each is measured at four or more sizes, and a line is fitted.

mod linear_fit;
mod memory;
mod messages;
mod processes;

pub(crate) use linear_fit::{LinearFit, read_fits};
pub(crate) use memory::heartbeat;

use crate::{args::TrialArgs, error::LoadError};

/// Measures every slope and prints a line for each.
pub(crate) fn run(args: &TrialArgs) -> Result<(), LoadError> {
    for figure in memory::measure(args.seed) {
        figure.print();
    }
    for figure in messages::measure(args.seed) {
        figure.print();
    }
    for figure in processes::measure(args)? {
        figure.print();
    }
    Ok(())
}
