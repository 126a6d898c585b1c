//! Command line tool for operators, `gorsespur-ctl`.
//!
//! Checks, applies and shows the templates of organisations and their audit trails, shows the
//! status of the platform, and explains from logs how jobs spent their time. Templates and audit
//! entries are stored in the table service; the status comes from the membership list and the
//! instances. The tool itself stores nothing.

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
