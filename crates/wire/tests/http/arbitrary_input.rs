//! Property tests: the server and the client receive arbitrary bytes, split at arbitrary places.

use std::time::Duration;

use crate::common::{send_parts, short_limits, start, statuses};
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::message::ClientRequest;
use filbertpitch_wire::runtime::run;
use filbertpitch_wire::server::ServerLimits;
use http::{Method, Uri};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use proptest::collection::vec;
use proptest::prelude::*;

/// Fragments of valid messages, so that many inputs pass the first check.
const FRAGMENTS: &[&[u8]] = &[
    b"GET / HTTP/1.1\r\n",
    b"POST /x?y=z HTTP/1.1\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 204 No Content\r\n",
    b"host: a\r\n",
    b"content-length: 3\r\n",
    b"content-length: 18446744073709551615\r\n",
    b"transfer-encoding: chunked\r\n",
    b"expect: 100-continue\r\n",
    b"connection: close\r\n",
    b"\r\n",
    b"\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"fffffffffffffffe\r\n",
    b"\x00",
    b": \r\n",
];

fn input() -> impl Strategy<Value = Vec<u8>> {
    let fragment = prop_oneof![
        4 => proptest::sample::select(FRAGMENTS).prop_map(<[u8]>::to_vec),
        1 => vec(any::<u8>(), 0..40),
    ];
    vec(fragment, 0..12).prop_map(|fragments| fragments.concat())
}

fn split_at_cuts<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut cuts = cuts
        .iter()
        .map(|cut| cut.index(bytes.len() + 1))
        .collect::<Vec<_>>();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

fn minimal_timeouts() -> ServerLimits {
    ServerLimits {
        head_timeout: Duration::from_millis(20),
        body_timeout: Duration::from_millis(20),
        idle_timeout: Duration::from_millis(20),
        ..short_limits()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a panic, a connection that is never closed, and a server that stops serving
    /// other clients.
    #[test]
    fn server_survives_any_input(bytes in input(), cuts in vec(any::<prop::sample::Index>(), 0..4)) {
        run(async {
            let server = start(minimal_timeouts());
            // Panics if the server neither responds nor closes the connection in time.
            send_parts(server.address, &split_at_cuts(&bytes, &cuts)).await;
            let next = b"GET /next HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
            let received = send_parts(server.address, &[next]).await;
            assert_eq!(statuses(&received), [200]);
        }).unwrap();
    }

    /// Guards against a panic in the client and against a request that outlasts its time limit.
    #[test]
    fn client_survives_any_response(bytes in input(), cuts in vec(any::<prop::sample::Index>(), 0..4)) {
        run(async {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let pool = ConnectionPool::new(listener.local_addr().unwrap(), PoolLimits::default());
            let parts = split_at_cuts(&bytes, &cuts).into_iter().map(<[u8]>::to_vec).collect::<Vec<_>>();
            monoio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(vec![0; 4096]).await;
                for part in parts {
                    let _ = stream.write_all(part).await;
                    monoio::time::sleep(Duration::from_millis(1)).await;
                }
                monoio::time::sleep(Duration::from_secs(1)).await;
            });
            let options = RequestOptions {
                timeout: Duration::from_millis(30),
                max_response_body: 1024,
                ..RequestOptions::default()
            };
            let request = ClientRequest::new(Method::GET, Uri::from_static("/"));
            let limit = Duration::from_secs(2);
            let result = monoio::time::timeout(limit, pool.request(&request, &options)).await;
            assert!(result.is_ok(), "the time limit of the request had no effect");
        }).unwrap();
    }
}
