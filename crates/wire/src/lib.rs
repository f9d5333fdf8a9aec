//! HTTP/1.1 server and client for one-threaded processes.
//!
//! monoio-http parses and writes the messages; it sets no bounds. This crate adds them: sizes,
//! times, connection counts, and an error type that says whether a request may have been sent.
//! The at-most-once rules of the dispatcher depend on that last statement.

pub mod client;
pub mod codec;
mod frame;
pub mod message;
pub mod runtime;
pub mod server;
