//! The I/O driver of the runtime.

use std::fs;

use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::message::{ClientRequest, ServerRequest, ServerResponse};
use filbertpitch_wire::runtime::run;
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits};
use http::{Method, StatusCode, Uri};

struct EmptyHandler;

impl RequestHandler for EmptyHandler {
    async fn handle(&self, _: ServerRequest) -> ServerResponse {
        ServerResponse::empty(StatusCode::OK)
    }
}

/// The link targets of this process's open file descriptors.
fn descriptors() -> Vec<String> {
    fs::read_dir("/proc/self/fd")
        .unwrap()
        .filter_map(|entry| fs::read_link(entry.unwrap().path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect()
}

/// Guards against a runtime that uses io_uring, which the environments where filbertpitch runs do
/// not permit. This is the only test of its binary, so no other runtime in the process can hide or
/// add a file descriptor.
#[test]
fn client_and_server_use_epoll_only() {
    run(async {
        let address = "127.0.0.1:0".parse().unwrap();
        let server = HttpServer::bind(address, ServerLimits::default()).unwrap();
        let pool = ConnectionPool::new(server.local_addr().unwrap(), PoolLimits::default());
        monoio::spawn(server.run(EmptyHandler));
        let request = ClientRequest::new(Method::GET, Uri::from_static("/a"));
        let response = pool.request(&request, &RequestOptions::default()).await;
        assert_eq!(response.unwrap().status, StatusCode::OK);
        let descriptors = descriptors();
        assert!(
            descriptors
                .iter()
                .any(|target| target.contains("[eventpoll]"))
        );
        assert!(
            !descriptors.iter().any(|target| target.contains("io_uring")),
            "{descriptors:?}"
        );
    })
    .unwrap();
    let maps = fs::read_to_string("/proc/self/maps").unwrap();
    assert!(!maps.contains("io_uring"), "io_uring rings are mapped");
}
