//! Checks, applies and shows organisation templates.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_ctl::{args::CtlArgs, program::run};
use gorsespur_runtime::exit::finish;

fn main() -> ExitCode {
    finish("gorsespur-ctl", run(&CtlArgs::parse()))
}
