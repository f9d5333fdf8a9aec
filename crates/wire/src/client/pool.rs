//! A connection pool for one remote address.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::timeout;

use super::connection::{ClientConnection, ReceivedBytes, SentFlag};
use super::{ClientError, ClientErrorKind, SentState};
use crate::frame::FrameError;
use crate::message::{ClientRequest, ClientResponse};

/// Limits of a connection pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// The maximum number of open connections, in use or idle.
    pub connections: usize,
    /// How long an idle connection is kept. Must be shorter than the server's idle timeout, so that
    /// requests are rarely sent on a connection that the server is closing.
    pub idle_timeout: Duration,
    /// The maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// The maximum size of a response head, in bytes.
    pub head_bytes: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connections: 64,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            head_bytes: 16 << 10,
        }
    }
}

/// Options of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// The maximum time for connecting, sending and receiving together.
    pub timeout: Duration,
    /// Whether to use a new connection, because established ones may no longer respond.
    pub fresh_connection: bool,
    /// The maximum size of a response body, in bytes.
    pub max_response_body: usize,
    /// Where to count the bytes of the response while they arrive.
    pub received: Option<ReceivedBytes>,
}

impl Default for RequestOptions {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(10),
            fresh_connection: false,
            max_response_body: 4 << 20,
            received: None,
        }
    }
}

struct IdleConnection {
    connection: ClientConnection,
    slot: ConnectionSlot,
    since: Instant,
}

#[derive(Default)]
struct PoolState {
    open_connections: Cell<usize>,
    /// Idle connections, most recently used last.
    idle: RefCell<VecDeque<IdleConnection>>,
}

/// A reservation for one open connection, released on drop.
struct ConnectionSlot(Rc<PoolState>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
    }
}

/// A pool of connections to one remote address.
pub struct ConnectionPool {
    address: SocketAddr,
    limits: PoolLimits,
    state: Rc<PoolState>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Self {
            address,
            limits,
            state: Rc::default(),
        }
    }

    /// The remote address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.get()
    }

    /// The number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.state.idle.borrow().len()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        drop(self.state.idle.take());
    }

    /// Closes the connection that has been idle for the longest time. Calling this method before a
    /// request on a new connection keeps the pool from holding more connections than there were
    /// concurrent requests.
    pub fn close_oldest_idle(&self) {
        let oldest = self.state.idle.borrow_mut().pop_front();
        // Dropping the connection changes the pool state, so the state must not be borrowed here.
        drop(oldest);
    }

    /// Closes connections that have exceeded the idle timeout or that the server has closed.
    pub fn prune(&self) {
        let expired = |idle: &IdleConnection| idle.since.elapsed() >= self.limits.idle_timeout;
        let keep = |idle: &IdleConnection| !expired(idle) && idle.connection.is_usable();
        let (kept, dropped) = self.state.idle.take().into_iter().partition(keep);
        *self.state.idle.borrow_mut() = kept;
        // Dropping the connections changes the pool state, so the state must not be borrowed here.
        drop::<VecDeque<_>>(dropped);
    }

    /// Sends a request and reads its response. Dropping the future closes the connection.
    ///
    /// # Errors
    /// When the request gets no valid response in time. [`ClientError::sent`] says whether the
    /// request may have been received.
    pub async fn request(
        &self,
        request: &ClientRequest,
        options: &RequestOptions,
    ) -> Result<ClientResponse, ClientError> {
        let flag = SentFlag::default();
        let exchange = self.exchange(request, options, &flag);
        let result = match timeout(options.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(ClientErrorKind::TimedOut),
        };
        result.map_err(|kind| ClientError {
            sent: flag.state(),
            kind,
        })
    }

    async fn exchange(
        &self,
        request: &ClientRequest,
        options: &RequestOptions,
        flag: &SentFlag,
    ) -> Result<ClientResponse, ClientErrorKind> {
        loop {
            let reused = (!options.fresh_connection).then(|| self.take_idle());
            let reused = reused.flatten();
            let was_reused = reused.is_some();
            let (mut connection, slot) = match reused {
                Some(idle) => (idle.connection, idle.slot),
                None => self.connect().await?,
            };
            let written = connection.write(self.address, request, flag).await;
            if let Err(error) = &written
                && flag.state() == SentState::NotSent
            {
                if was_reused {
                    continue;
                }
                return Err(error_kind(error));
            }
            // A server may respond and close before it has read the whole request, so a response
            // may have arrived even though the write failed.
            let read = connection.read(options.max_response_body, options.received.clone());
            let read = read.await;
            let (response, reusable) = read.map_err(|error| error_kind(&error))?;
            if reusable && written.is_ok() {
                self.put_idle(connection, slot);
            }
            return Ok(response);
        }
    }

    async fn connect(&self) -> Result<(ClientConnection, ConnectionSlot), ClientErrorKind> {
        let slot = self.reserve_slot()?;
        let open = ClientConnection::connect(self.address, self.limits.head_bytes);
        match timeout(self.limits.connect_timeout, open).await {
            Ok(Ok(connection)) => Ok((connection, slot)),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(ClientErrorKind::Refused)
            }
            Ok(Err(_)) => Err(ClientErrorKind::Unreachable),
            Err(_) => Err(ClientErrorKind::TimedOut),
        }
    }

    /// Reserves a connection slot. If the pool is full, closes the oldest idle connection first.
    fn reserve_slot(&self) -> Result<ConnectionSlot, ClientErrorKind> {
        if self.state.open_connections.get() >= self.limits.connections {
            let oldest = self.state.idle.borrow_mut().pop_front();
            drop(oldest.ok_or(ClientErrorKind::PoolFull)?);
        }
        self.state
            .open_connections
            .set(self.state.open_connections.get() + 1);
        Ok(ConnectionSlot(self.state.clone()))
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        loop {
            let idle = self.state.idle.borrow_mut().pop_back()?;
            let fresh = idle.since.elapsed() < self.limits.idle_timeout;
            if fresh && idle.connection.is_usable() {
                return Some(idle);
            }
        }
    }

    fn put_idle(&self, connection: ClientConnection, slot: ConnectionSlot) {
        let since = Instant::now();
        self.state.idle.borrow_mut().push_back(IdleConnection {
            connection,
            slot,
            since,
        });
    }
}

fn error_kind(error: &FrameError) -> ClientErrorKind {
    match error {
        FrameError::Malformed(_) => ClientErrorKind::Malformed,
        FrameError::HeadTooLarge | FrameError::BodyTooLarge => ClientErrorKind::TooLarge,
        FrameError::Closed => ClientErrorKind::Closed,
    }
}
