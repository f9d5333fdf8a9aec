//! Measures round trips per second over loopback, with client and server on one thread.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ServerRequest, ServerResponse};
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits};
use http::{Method, StatusCode, Uri};

const ROUND_TRIPS: usize = 40_000;
const BODY: &[u8] = &[b'x'; 200];

struct EchoHandler;

impl RequestHandler for EchoHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let mut response = ServerResponse::empty(StatusCode::OK);
        response.content_type = Some(BodyFormat::Json.content_type());
        response.body = request.body;
        response
    }
}

async fn send(pool: Rc<ConnectionPool>, count: usize) {
    let options = RequestOptions::default();
    for _ in 0..count {
        let request = ClientRequest::new(Method::POST, Uri::from_static("/v1/tasks"))
            .with_body(BodyFormat::Json.content_type(), Bytes::from_static(BODY));
        let response = pool.request(&request, &options).await;
        let response = response.expect("the echo server responds");
        assert_eq!(response.body, BODY);
    }
}

async fn measure(concurrency: usize) {
    let address = "127.0.0.1:0".parse().expect("a valid address");
    let server = HttpServer::bind(address, ServerLimits::default()).expect("a free port");
    let address = server.local_addr().expect("a bound socket");
    let stop = server.stop_handle();
    let serving = monoio::spawn(server.run(EchoHandler));
    let pool = Rc::new(ConnectionPool::new(address, PoolLimits::default()));
    let start = Instant::now();
    let senders = (0..concurrency)
        .map(|_| monoio::spawn(send(pool.clone(), ROUND_TRIPS / concurrency)))
        .collect::<Vec<_>>();
    for sender in senders {
        sender.await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let rate = ROUND_TRIPS as f64 / seconds;
    println!("{concurrency:>3} at once: {ROUND_TRIPS} round trips in {seconds:.3} s, {rate:.0}/s");
    stop.stop();
    serving.await;
}

fn main() {
    for concurrency in [1, 64] {
        filbertpitch_wire::runtime::run(measure(concurrency)).expect("an event queue");
    }
}
