//! An echo server and helpers for raw TCP connections to it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits, StopHandle};
use http::StatusCode;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio::task::JoinHandle;
use monoio::time::timeout;

/// Longer than all timeouts of [`short_limits`] together.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Responds with the request body, or with the path if the body is empty. `/slow` takes 200 ms.
pub struct EchoHandler;

impl RequestHandler for EchoHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        if request.path() == "/slow" {
            monoio::time::sleep(Duration::from_millis(200)).await;
        }
        let mut response = ServerResponse::empty(StatusCode::OK);
        response.body = match request.body.is_empty() {
            true => Bytes::copy_from_slice(request.path().as_bytes()),
            false => request.body,
        };
        response
    }
}

pub struct TestServer {
    pub address: SocketAddr,
    pub stop: StopHandle,
    pub task: JoinHandle<()>,
}

pub fn start(limits: ServerLimits) -> TestServer {
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
    TestServer {
        address: server.local_addr().unwrap(),
        stop: server.stop_handle(),
        task: monoio::spawn(server.run(EchoHandler)),
    }
}

pub fn short_limits() -> ServerLimits {
    ServerLimits {
        head_bytes: 1024,
        body_bytes: 2048,
        head_timeout: Duration::from_millis(100),
        body_timeout: Duration::from_millis(100),
        idle_timeout: Duration::from_millis(300),
        ..ServerLimits::default()
    }
}

/// Sends the parts with a delay between them and returns everything received until the server
/// closes the connection.
///
/// The sending direction stays open, so only the server ends the connection.
pub async fn send_parts(address: SocketAddr, parts: &[&[u8]]) -> Vec<u8> {
    let mut stream = TcpStream::connect_addr(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        if stream.write_all(part.to_vec()).await.0.is_err() {
            break;
        }
    }
    timeout(RESPONSE_TIMEOUT, read_to_end(&mut stream))
        .await
        .expect("the server neither responded nor closed the connection")
}

pub async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let mut buffer = vec![0; 4096];
    loop {
        let (result, returned) = stream.read(buffer).await;
        buffer = returned;
        match result {
            Ok(0) | Err(_) => return received,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
}

/// The status codes of the responses in `received`, in order.
pub fn statuses(received: &[u8]) -> Vec<u16> {
    let text = String::from_utf8_lossy(received);
    text.match_indices("HTTP/1.1 ")
        .filter_map(|(at, mark)| text.get(at + mark.len()..at + mark.len() + 3))
        .filter_map(|status| status.parse().ok())
        .collect()
}
