//! Bounds on what clients can make a server hold.

use std::time::Duration;

/// Bounds of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// The largest request line and headers, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// The time from the end of a head to the end of its body.
    pub body_timeout: Duration,
    /// The time in which a client must take a response.
    pub write_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// The most open connections.
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
