//! Owns shards: places tasks on workers, renews leases, evicts, recovers.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_runtime::exit::finish;
use gorsespur_sched::{args::SchedArgs, program::run};

fn main() -> ExitCode {
    finish("gorsespur-sched", run(&SchedArgs::parse()))
}
