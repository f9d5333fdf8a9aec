//! An HTTP/1.1 client that keeps connections to one remote address.

mod connection;
mod error;
mod pool;

pub use error::{ClientError, ClientErrorKind, SentState};
pub use pool::{ConnectionPool, PoolLimits, RequestOptions};
