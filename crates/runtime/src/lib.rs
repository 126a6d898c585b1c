//! What every gorsespur program needs around its decisions.
//!
//! Settings, logs, metrics, cancellation, and HTTP on both sides. The HTTP
//! modules exist because the libraries beneath them accept cut bodies as whole
//! and have no limit on time: every promise of that kind is checked here, once,
//! and nowhere else. The price is one copy of each body into memory, so bodies
//! are bounded.

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
