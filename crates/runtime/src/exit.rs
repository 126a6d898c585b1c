//! One error on standard error, and an exit code.

use std::{error::Error, process::ExitCode};

/// Exit code after a failure while running.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for unusable arguments, settings or templates.
pub const EXIT_USAGE: u8 = 2;

/// Tells whether an error comes from what the user gave.
pub trait HasExitCode {
    /// Returns the exit code that this error ends the program with.
    fn exit_code(&self) -> u8;
}

/// Turns the result of a program into one line on stderr and an exit code.
///
/// The line joins the error with its causes.
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
