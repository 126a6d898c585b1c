//! Load, trial runs and measurements.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_load::{args::LoadArgs, program::run};
use gorsespur_runtime::exit::finish;

fn main() -> ExitCode {
    finish("gorsespur-load", run(&LoadArgs::parse()))
}
