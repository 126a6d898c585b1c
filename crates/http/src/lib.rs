//! HTTP/1.1 over connections that are kept.
//!
//! Instances have a tenth of a processor, so a connection a call and a thread a
//! connection cost more than the call. This crate has one codec and three users
//! of it: [`Client`] blocks and keeps a few connections to one address,
//! [`Connection`] never blocks and belongs to an event loop, [`Server`] has one thread
//! a connection and limits on time, size and number.
//!
//! Limits: bodies are held in memory whole, and have a `Content-Length`;
//! chunked bodies are refused with an error, never passed on half.

mod client;
#[cfg(test)]
mod client_tests;
mod connection;
mod error;
mod message;
mod parse;
mod server;
mod socket;
mod traffic;

pub use client::Client;
pub use connection::{Connection, Readiness};
pub use error::HttpError;
pub use message::{Method, Request, Response};
pub use parse::{Limits, parse_request, parse_response};
pub use server::{Handler, Server, ServerSettings};
pub use traffic::{Traffic, Usage};
