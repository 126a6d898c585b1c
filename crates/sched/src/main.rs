//! The scheduler program. It owns shards: places tasks on workers, renews leases,
//! evicts and recovers.

use std::process::ExitCode;

use clap::Parser;
use gorsespur_runtime::exit::report_result;
use gorsespur_sched::{args::SchedArgs, program::run};

fn main() -> ExitCode {
    report_result("gorsespur-sched", run(&SchedArgs::parse()))
}
