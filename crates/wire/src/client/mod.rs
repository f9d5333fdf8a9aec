//! An HTTP/1.1 client with a connection pool for one remote address.

mod connection;
mod error;
mod pool;

pub use connection::ReceivedBytes;
pub use error::{ClientError, ClientErrorKind, SentState};
pub use pool::{ConnectionPool, PoolLimits, RequestOptions};
