//! Infrastructure that all gorsespur programs share.
//!
//! It covers settings, logs, metrics, cancellation, and an HTTP client and server.
//! The HTTP modules exist because the libraries that they wrap accept truncated
//! bodies as whole and don't limit the duration of a call; both are checked here
//! and nowhere else. For that each body is copied into memory, so the size of
//! bodies is bounded.

pub mod cancel;
pub mod client;
pub mod clock;
pub mod exit;
mod idle;
pub mod logging;
pub mod metrics;

pub mod server;
pub mod settings;
pub mod signals;
