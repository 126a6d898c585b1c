//! Replays recorded traces and compares them with expected outcomes.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_replay::{args::ReplayArgs, program::run};
use gorsespur_runtime::exit::report_result;

fn main() -> ExitCode {
    report_result("gorsespur-replay", run(&ReplayArgs::parse()))
}
