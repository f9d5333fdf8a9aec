//! HTTP/1.1 server and client for one-threaded processes.
//!
//! monoio-http parses and writes messages but enforces no limits. This crate limits message sizes,
//! durations and connection counts. Its client errors say whether a request may have been sent;
//! the dispatcher's at-most-once guarantee depends on that.

pub mod client;
pub mod codec;
mod frame;
pub mod message;
pub mod runtime;
pub mod server;
pub mod target;
