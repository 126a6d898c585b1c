//! Backoff and circuit breakers for calls to the platform.

mod backoff;
mod breaker;

pub use backoff::Backoff;
pub use breaker::CircuitBreaker;
