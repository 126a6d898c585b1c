//! Takes callers' requests and jobs.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_entry::{args::EntryArgs, program::run};
use gorsespur_runtime::exit::finish;

fn main() -> ExitCode {
    finish("gorsespur-entry", run(&EntryArgs::parse()))
}
