//! Tests of the decisions about jobs, in virtual time.

mod common;
mod promises;
mod regression;
