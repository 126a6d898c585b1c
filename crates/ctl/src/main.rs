//! Checks, applies and shows organisation templates.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_ctl::{args::CtlArgs, program::run};
use gorsespur_runtime::exit::report_result;

fn main() -> ExitCode {
    report_result("gorsespur-ctl", run(&CtlArgs::parse()))
}
