//! Limits on the memory, time and connections that clients can take up.

use std::time::Duration;

/// Limits that a server enforces on its clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// The maximum size of the request line and headers together, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// The maximum time from the end of a request head to the end of the body.
    pub body_timeout: Duration,
    /// The maximum time to write a response to the client's connection.
    pub write_timeout: Duration,
    /// The maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
    /// The maximum number of open connections.
    pub connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            connections: 4096,
        }
    }
}
