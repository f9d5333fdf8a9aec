//! Clients that disconnect before the response, and servers that disable keep-alive.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use crate::common::{RESPONSE_TIMEOUT, read_to_end, short_limits, start, statuses};
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::runtime::run;
use filbertpitch_wire::server::{HttpServer, RequestHandler};
use http::StatusCode;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use socket2::SockRef;
use test_case::test_case;

/// How long [`CountingHandler`] takes for a request.
const HANDLER_TIME: Duration = Duration::from_millis(150);

/// Counts the requests whose handling started and completed.
struct CountingHandler {
    cancels_on_disconnect: bool,
    started: Rc<Cell<u32>>,
    completed: Rc<Cell<u32>>,
}

impl RequestHandler for CountingHandler {
    async fn handle(&self, _: ServerRequest) -> ServerResponse {
        self.started.set(self.started.get() + 1);
        sleep(HANDLER_TIME).await;
        self.completed.set(self.completed.get() + 1);
        ServerResponse::empty(StatusCode::OK)
    }

    fn cancels_on_disconnect(&self) -> bool {
        self.cancels_on_disconnect
    }
}

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against work that continues for a disconnected client although the handler is cancelled
/// on disconnect, and against accepted jobs that stop when their caller disconnects.
#[test_case(true, 0; "cancelled")]
#[test_case(false, 1; "completed")]
fn handling_after_a_client_disconnects(cancels_on_disconnect: bool, expected: u32) {
    run(async {
        let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), short_limits()).unwrap();
        let address = server.local_addr().unwrap();
        let (started, completed) = (Rc::default(), Rc::default());
        let handler = CountingHandler {
            cancels_on_disconnect,
            started: Rc::clone(&started),
            completed: Rc::clone(&completed),
        };
        monoio::spawn(server.run(handler));
        let mut stream = TcpStream::connect_addr(address).await.unwrap();
        stream.write_all(REQUEST.to_vec()).await.0.unwrap();
        sleep(HANDLER_TIME / 3).await;
        drop(stream);
        sleep(HANDLER_TIME * 3).await;
        assert_eq!((started.get(), completed.get()), (1, expected));
    })
    .unwrap();
}

/// How a client ends its connection while the server's process does not run.
#[derive(Clone, Copy)]
enum ConnectionEnd {
    Close,
    Reset,
    /// Only the sending direction ends. The server cannot tell this from a close.
    HalfClose,
}

/// Counts the requests that the handler gets, and answers them at once.
struct ImmediateHandler {
    cancels_on_disconnect: bool,
    handled: Rc<Cell<u32>>,
}

impl RequestHandler for ImmediateHandler {
    async fn handle(&self, _: ServerRequest) -> ServerResponse {
        self.handled.set(self.handled.get() + 1);
        ServerResponse::empty(StatusCode::OK)
    }

    fn cancels_on_disconnect(&self) -> bool {
        self.cancels_on_disconnect
    }
}

/// Sends a request and ends the connection without letting the server run in between.
fn send_and_end(
    mut stream: std::net::TcpStream,
    end: ConnectionEnd,
) -> Option<std::net::TcpStream> {
    stream.write_all(REQUEST).unwrap();
    match end {
        ConnectionEnd::Close => None,
        ConnectionEnd::Reset => {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
        ConnectionEnd::HalfClose => {
            stream.shutdown(Shutdown::Write).unwrap();
            Some(stream)
        }
    }
}

async fn connect(address: SocketAddr, reused: bool) -> std::net::TcpStream {
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    if reused {
        stream.write_all(REQUEST).unwrap();
        sleep(HANDLER_TIME).await;
        let mut response = [0; 1024];
        assert!(stream.read(&mut response).unwrap() > 0, "no response");
    }
    stream
}

/// Guards against a process that has been paused and hands on the requests of clients that have
/// closed their connections meanwhile and sent their jobs to another VM, and against a handler that
/// is not called although its work does not depend on the client.
#[test_case(ConnectionEnd::Close, false, true, 0; "new connection closed")]
#[test_case(ConnectionEnd::Close, true, true, 0; "reused connection closed")]
#[test_case(ConnectionEnd::Reset, false, true, 0; "new connection reset")]
#[test_case(ConnectionEnd::Reset, true, true, 0; "reused connection reset")]
#[test_case(ConnectionEnd::HalfClose, false, true, 0; "new connection half closed")]
#[test_case(ConnectionEnd::HalfClose, true, true, 0; "reused connection half closed")]
#[test_case(ConnectionEnd::Close, false, false, 1; "work that does not depend on the client")]
#[test_case(ConnectionEnd::HalfClose, true, false, 1; "half closed, and work that does not depend on the client")]
fn request_of_an_ended_connection(
    end: ConnectionEnd,
    reused: bool,
    cancels_on_disconnect: bool,
    expected: u32,
) {
    run(async {
        let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), short_limits()).unwrap();
        let address = server.local_addr().unwrap();
        let handled = Rc::<Cell<u32>>::default();
        let handler = ImmediateHandler {
            cancels_on_disconnect,
            handled: Rc::clone(&handled),
        };
        monoio::spawn(server.run(handler));
        let stream = connect(address, reused).await;
        handled.set(0);
        // The server shares this thread, so it does not run before the next await.
        let half_closed = send_and_end(stream, end);
        sleep(HANDLER_TIME).await;
        assert_eq!(handled.get(), expected);
        drop(half_closed);
    })
    .unwrap();
}

/// Guards against treating the bytes of a pipelined request as the end of the connection.
#[test]
fn pipelined_request_does_not_cancel_the_first() {
    run(async {
        let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), short_limits()).unwrap();
        let address = server.local_addr().unwrap();
        let completed = Rc::<Cell<u32>>::default();
        let handler = CountingHandler {
            cancels_on_disconnect: true,
            started: Rc::default(),
            completed: Rc::clone(&completed),
        };
        monoio::spawn(server.run(handler));
        let mut stream = TcpStream::connect_addr(address).await.unwrap();
        stream.write_all(REQUEST.to_vec()).await.0.unwrap();
        sleep(HANDLER_TIME / 3).await;
        stream.write_all(REQUEST.to_vec()).await.0.unwrap();
        let received = timeout(RESPONSE_TIMEOUT, read_to_end(&mut stream))
            .await
            .unwrap();
        assert_eq!(statuses(&received), [200, 200]);
        assert_eq!(completed.get(), 2);
    })
    .unwrap();
}

/// Guards against a planned stop that cuts connections whose clients do not know another VM yet.
#[test]
fn server_without_keep_alive_responds_and_closes() {
    run(async {
        let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), short_limits()).unwrap();
        let address = server.local_addr().unwrap();
        let keep_alive = server.keep_alive_handle();
        let handler = CountingHandler {
            cancels_on_disconnect: true,
            started: Rc::default(),
            completed: Rc::default(),
        };
        monoio::spawn(server.run(handler));
        let mut open = TcpStream::connect_addr(address).await.unwrap();
        open.write_all(REQUEST.to_vec()).await.0.unwrap();
        sleep(HANDLER_TIME / 3).await;
        keep_alive.disable();
        let received = timeout(RESPONSE_TIMEOUT, read_to_end(&mut open))
            .await
            .unwrap();
        assert_eq!(statuses(&received), [200]);
        assert!(String::from_utf8_lossy(&received).contains("connection: close"));
        let mut late = TcpStream::connect_addr(address).await.unwrap();
        late.write_all(REQUEST.to_vec()).await.0.unwrap();
        let received = timeout(RESPONSE_TIMEOUT, read_to_end(&mut late))
            .await
            .unwrap();
        assert_eq!(
            statuses(&received),
            [200],
            "new connections are still served"
        );
    })
    .unwrap();
}

/// Guards against closing connections although keep-alive has not been disabled.
#[test]
fn connections_are_kept_alive_by_default() {
    run(async {
        let server = start(short_limits());
        let mut stream = TcpStream::connect_addr(server.address).await.unwrap();
        for _ in 0..2 {
            stream.write_all(REQUEST.to_vec()).await.0.unwrap();
            sleep(Duration::from_millis(20)).await;
        }
        let received = timeout(RESPONSE_TIMEOUT, read_to_end(&mut stream))
            .await
            .unwrap();
        assert_eq!(statuses(&received), [200, 200]);
    })
    .unwrap();
}
