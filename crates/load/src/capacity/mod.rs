//! Capacity of the design at its target scale, extrapolated from measured slopes.

mod rows;
mod scale;

use std::path::Path;

use rows::rows;

use crate::{error::LoadError, slopes::read_fits};

/// Reads the output of `slopes` and prints the table.
pub(crate) fn run(from: &Path) -> Result<(), LoadError> {
    let fits = read_fits(from)?;
    println!("| quantity | sum | result | budget |");
    println!("|---|---|---|---|");
    for row in rows(&fits)? {
        println!(
            "| {} | {} | {} | {} |",
            row.quantity, row.formula, row.result, row.budget
        );
    }
    Ok(())
}
