//! The operators' command: templates, audit trail, status.
//!
//! It talks to the platform's table service, where templates are kept, and to
//! instances for their status; out of their logs it explains what became of a job. It
//! keeps nothing itself.

pub mod apply;
pub mod args;
mod check;
pub mod diff;
pub mod document;
pub mod error;
pub mod explain;
mod history;
pub mod program;
mod show;
mod status;
pub mod store;
mod text_table;
