//! Requests and responses of the server and the client.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode, Uri};

/// Identifies a connection of a server. It is unique in the process and not reused.
///
/// The default value, 0, identifies no connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Returns an identifier that no other connection of the process has.
    pub(crate) fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A request that the server has received in full.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The request method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// All headers, as received.
    pub headers: HeaderMap,
    /// The body, empty if the request had none.
    pub body: Bytes,
    /// The address of the client.
    pub peer: SocketAddr,
    /// The connection that the request came on.
    pub connection: ConnectionId,
}

impl ServerRequest {
    /// The path of the request target.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// The query of the request target, without the question mark.
    pub fn query(&self) -> Option<&str> {
        self.uri.query()
    }

    /// The first value of a query parameter, without percent-decoding.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let parameters = self.query()?.split('&');
        parameters
            .filter_map(|parameter| parameter.split_once('='))
            .find_map(|(found, value)| (found == name).then_some(value))
    }

    /// The first value of a header, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A response for the server to send.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// The status code.
    pub status: StatusCode,
    /// The content type, absent for an empty body.
    pub content_type: Option<HeaderValue>,
    /// Additional headers. The server sets `content-length` and `connection`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
}

impl ServerResponse {
    /// Creates a response without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            content_type: None,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// A request for the client to send.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request method. `HEAD` and `CONNECT` are not supported.
    pub method: Method,
    /// The request target: path and query.
    pub target: Uri,
    /// The content type of the body, if set.
    pub content_type: Option<HeaderValue>,
    /// Additional headers. The client sets `host`, `content-length` and `connection`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
}

impl ClientRequest {
    /// Creates a request without a body.
    pub fn new(method: Method, target: Uri) -> Self {
        Self {
            method,
            target,
            content_type: None,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets the body and its content type.
    pub fn with_body(mut self, content_type: HeaderValue, body: Bytes) -> Self {
        self.content_type = Some(content_type);
        self.body = body;
        self
    }
}

/// A response that the client has received in full.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status code.
    pub status: StatusCode,
    /// All headers, as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl ClientResponse {
    /// The first value of a header, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
