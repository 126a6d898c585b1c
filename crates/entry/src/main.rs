//! The entry program, which takes requests and jobs of callers.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_entry::{args::EntryArgs, program::run};
use gorsespur_runtime::exit::report_result;

fn main() -> ExitCode {
    report_result("gorsespur-entry", run(&EntryArgs::parse()))
}
