//! Exit codes, and errors on standard error.

use std::{error::Error, process::ExitCode};

/// Exit code after a failure at run time.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for invalid arguments, settings or templates.
pub const EXIT_USAGE: u8 = 2;

/// An error with an exit code, which shows whether the user's input caused the error.
pub trait HasExitCode {
    /// Returns the exit code of a program that fails with this error.
    fn exit_code(&self) -> u8;
}

/// Writes an error to standard error and returns the program's exit code.
///
/// The error and its causes are joined on one line.
pub fn report_result<E: Error + HasExitCode>(program: &str, result: Result<(), E>) -> ExitCode {
    let Err(err) = result else {
        return ExitCode::SUCCESS;
    };
    let mut line = err.to_string();
    let mut cause = err.source();
    while let Some(c) = cause {
        line.push_str(": ");
        line.push_str(&c.to_string());
        cause = c.source();
    }
    eprintln!("{program}: {}", line.replace('\n', " "));
    ExitCode::from(err.exit_code())
}
