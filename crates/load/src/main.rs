//! Command line program for load generation, trial runs and measurements.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_load::{args::LoadArgs, program::run};
use gorsespur_runtime::exit::report_result;

fn main() -> ExitCode {
    report_result("gorsespur-load", run(&LoadArgs::parse()))
}
