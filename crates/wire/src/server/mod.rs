//! An HTTP/1.1 server that runs one task per connection.

mod connection;
mod limits;
mod stop;
mod watch;

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, Socket, Type};

use crate::message::{ServerRequest, ServerResponse};
use connection::ServerConnection;
pub use limits::ServerLimits;
pub use stop::StopHandle;
use stop::StopSignal;
pub use watch::ConnectionWatch;

/// Length of the kernel's queue of established connections that are not yet accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections above the limit that get an error response; any further ones are closed without a
/// response.
const MAX_REJECTED_CONNECTIONS: usize = 64;

/// Handles the requests that a server receives.
pub trait RequestHandler {
    /// Handles one request. The server writes the response when the future completes.
    ///
    /// By default, the future is not dropped when the client closes its connection: a client may
    /// legally close its sending direction after a request, and an accepted job continues without
    /// its caller.
    fn handle(&self, request: ServerRequest) -> impl Future<Output = ServerResponse>;

    /// Whether the future is dropped when the client closes its connection, because its work is of
    /// use only to that client. If the client has closed it before the request is handled,
    /// [`Self::handle`] is not called.
    fn cancels_on_disconnect(&self) -> bool {
        false
    }
}

/// State shared by all connections of a server.
struct ServerState<H> {
    handler: H,
    limits: ServerLimits,
    stop: StopSignal,
    keep_alive_disabled: Rc<Cell<bool>>,
    connection_watch: Rc<ConnectionWatch>,
    open_connections: Cell<usize>,
}

/// An HTTP server that is bound to an address.
pub struct HttpServer {
    listener: TcpListener,
    limits: ServerLimits,
    handle: StopHandle,
    signal: StopSignal,
    keep_alive_disabled: Rc<Cell<bool>>,
    connection_watch: Rc<ConnectionWatch>,
}

/// Disables keep-alive: the server closes each connection after its next response but still accepts
/// new connections. Clients can move to another server without an interrupted request.
#[derive(Clone, Debug)]
pub struct KeepAliveHandle(Rc<Cell<bool>>);

impl KeepAliveHandle {
    /// From now on, the server closes each connection after its next response.
    pub fn disable(&self) {
        self.0.set(true);
    }
}

impl HttpServer {
    /// Binds a listening socket to `address`. Must be called inside a runtime.
    ///
    /// # Errors
    /// When the socket cannot be created or bound, for example because the address is in use, or
    /// when the operating system cannot create an event queue.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        // A restarted process must be able to bind while old connections are in TIME_WAIT.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        let (handle, signal) = stop::stop_channel();
        Ok(Self {
            listener: TcpListener::from_std(socket.into())?,
            limits,
            handle,
            signal,
            keep_alive_disabled: Rc::default(),
            connection_watch: ConnectionWatch::new()?,
        })
    }

    /// Watches the connections with `watch` instead of a watch of the server's own, so that the
    /// caller learns which of them have ended.
    pub fn with_connection_watch(mut self, watch: Rc<ConnectionWatch>) -> Self {
        self.connection_watch = watch;
        self
    }

    /// The bound address, with the port that the operating system chose if port 0 was requested.
    ///
    /// # Errors
    /// When the operating system does not report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle that stops the server while [`HttpServer::run`] is running.
    pub fn stop_handle(&self) -> StopHandle {
        self.handle.clone()
    }

    /// Returns a handle that disables keep-alive while [`HttpServer::run`] is running.
    pub fn keep_alive_handle(&self) -> KeepAliveHandle {
        KeepAliveHandle(Rc::clone(&self.keep_alive_disabled))
    }

    /// Serves until the server is stopped and the requests in progress have been answered.
    ///
    /// The wait for requests in progress has no time limit; the caller ends it by dropping the
    /// future.
    pub async fn run<H>(self, handler: H)
    where
        H: RequestHandler + 'static,
    {
        let state = Rc::new(ServerState {
            handler,
            limits: self.limits,
            stop: self.signal,
            keep_alive_disabled: self.keep_alive_disabled,
            connection_watch: self.connection_watch,
            open_connections: Cell::new(0),
        });
        let (guard, mut guards) = mpsc::channel::<()>(0);
        accept_until_stopped(&self.listener, &state, &guard).await;
        drop(self.listener);
        drop(guard);
        // Every connection holds a sender, so the channel closes when the last connection ends.
        while guards.next().await.is_some() {}
    }
}

async fn accept_until_stopped<H>(
    listener: &TcpListener,
    state: &Rc<ServerState<H>>,
    guard: &mpsc::Sender<()>,
) where
    H: RequestHandler + 'static,
{
    loop {
        let accept = std::pin::pin!(listener.accept());
        match select(state.stop.clone(), accept).await {
            Either::Left(_) => return,
            Either::Right((Ok((stream, peer)), _)) => spawn_connection(state, guard, stream, peer),
            Either::Right((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn spawn_connection<H>(
    state: &Rc<ServerState<H>>,
    guard: &mpsc::Sender<()>,
    stream: TcpStream,
    peer: SocketAddr,
) where
    H: RequestHandler + 'static,
{
    let open = state.open_connections.get();
    if open >= state.limits.connections + MAX_REJECTED_CONNECTIONS {
        return;
    }
    state.open_connections.set(open + 1);
    let state = state.clone();
    let guard = guard.clone();
    monoio::spawn(async move {
        let mut connection = ServerConnection::new(stream, peer, &state);
        if open >= state.limits.connections {
            connection.reject_excess_connection().await;
        } else {
            connection.serve().await;
        }
        state.open_connections.set(state.open_connections.get() - 1);
        drop(guard);
    });
}
