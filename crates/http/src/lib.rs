//! HTTP/1.1 over persistent connections.
//!
//! Instances have a tenth of a processor, so opening a connection for each call
//! and using a thread for each outgoing connection would cost more than the call
//! itself.
//!
//! Limits: bodies are held in memory as a whole and need a `Content-Length`;
//! chunked bodies are rejected with an error, never passed on in part.
//!
//! One codec has three users: [`Client`] blocks and pools a few connections to
//! one address, [`Connection`] never blocks and belongs to an event loop, and
//! [`Server`] runs one thread per connection, with limits on time, size and the
//! number of connections.

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
