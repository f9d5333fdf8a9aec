//! An HTTP/1.1 server with one task per connection.

mod connection;
mod limits;
mod stop;

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

/// Length of the queue of connections that the kernel has accepted for this process.
const ACCEPT_BACKLOG: i32 = 1024;
/// Pause after a failed accept, so that a lack of descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections above the limit that are told so; the rest are closed without a response.
const MAX_REJECTED_CONNECTIONS: usize = 64;

/// Answers the requests of a server.
pub trait RequestHandler {
    /// Answers one request. The response is written when the future completes.
    ///
    /// The future is not dropped when the client closes its connection: closing the sending
    /// direction after a request is legal, and an accepted job continues without its caller.
    fn handle(&self, request: ServerRequest) -> impl Future<Output = ServerResponse>;

    /// Whether the future is dropped after all when the client closes its connection, because
    /// nobody needs what it does.
    fn cancels_on_disconnect(&self) -> bool {
        false
    }
}

/// What all connections of a server share.
struct ServerState<H> {
    handler: H,
    limits: ServerLimits,
    stop: StopSignal,
    keep_alive_disabled: Rc<Cell<bool>>,
    open_connections: Cell<usize>,
}

/// An HTTP server that is bound to an address.
pub struct HttpServer {
    listener: TcpListener,
    limits: ServerLimits,
    handle: StopHandle,
    signal: StopSignal,
    keep_alive_disabled: Rc<Cell<bool>>,
}

/// Makes a server close each connection after its next response, while it goes on to accept
/// connections. Clients move elsewhere without a request that is cut short.
#[derive(Clone, Debug)]
pub struct KeepAliveHandle(Rc<Cell<bool>>);

impl KeepAliveHandle {
    /// Closes each connection after its next response from now on.
    pub fn disable(&self) {
        self.0.set(true);
    }
}

impl HttpServer {
    /// Binds to `address`. Must be called inside a runtime.
    ///
    /// # Errors
    /// When the address is in use or not available.
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
        })
    }

    /// The bound address, with the port that the system chose if none was given.
    ///
    /// # Errors
    /// When the system does not report it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Stops the server from outside of [`HttpServer::run`].
    pub fn stop_handle(&self) -> StopHandle {
        self.handle.clone()
    }

    /// Prepares the server for its end from outside of [`HttpServer::run`].
    pub fn keep_alive_handle(&self) -> KeepAliveHandle {
        KeepAliveHandle(Rc::clone(&self.keep_alive_disabled))
    }

    /// Serves until stopped, then until the requests in progress have been answered.
    ///
    /// The wait for requests in progress has no limit of its own: dropping the future ends it.
    pub async fn run<H>(self, handler: H)
    where
        H: RequestHandler + 'static,
    {
        let state = Rc::new(ServerState {
            handler,
            limits: self.limits,
            stop: self.signal,
            keep_alive_disabled: self.keep_alive_disabled,
            open_connections: Cell::new(0),
        });
        let (guard, mut guards) = mpsc::channel::<()>(0);
        accept_until_stopped(&self.listener, &state, &guard).await;
        drop(self.listener);
        drop(guard);
        // Every connection holds a sender; the channel ends with the last one.
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
