//! One connection of a server: reads requests, writes responses and closes without losing a
//! response.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, RawFd};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::future::{Either, select};
use http::header::{CONNECTION, CONTENT_TYPE, EXPECT, HOST, HeaderValue};
use http::{HeaderMap, Method, StatusCode, Version};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf};
use monoio::io::{OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use monoio_codec::FramedRead;
use monoio_http::common::request::RequestHead;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::watch::WatchedConnection;
use super::{RequestHandler, ServerState};
use crate::frame::{
    BodyDecoder, BodyLength, BoundedRequestDecoder, FrameError, keeps_alive, read_body,
    skip_empty_lines,
};
use crate::message::{ConnectionId, ServerRequest, ServerResponse};

/// Initial size of the read buffer, large enough for most requests.
const READ_BUFFER_BYTES: usize = 4096;
/// How long input is read and discarded after an error response. Closing a socket with unread data
/// makes the kernel discard the response too.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of bytes that are discarded after an error response.
const MAX_LINGER_BYTES: usize = 8 << 20;
/// Size of the reads while a request is handled. Few clients send anything before the response.
const READ_AHEAD_BYTES: usize = 1024;
/// While a request is handled, reading stops when this many bytes of later requests have been read,
/// so that a client cannot make the server buffer any more.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Interval at which the end of a connection is looked for once reading has stopped. It is short
/// compared to the second or more after which clients send a request again.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// An error response to a request that is not passed to the handler.
struct RequestRejection {
    status: StatusCode,
    error: &'static str,
    message: &'static str,
}

/// Why no request was read.
enum ReadError {
    /// The request is rejected: the client gets an error response, then the connection is closed.
    Rejected(RequestRejection),
    /// The connection ended or failed, so no response is possible.
    Closed,
}

impl From<FrameError> for ReadError {
    fn from(error: FrameError) -> Self {
        let (status, error, message) = match error {
            FrameError::Closed => return Self::Closed,
            FrameError::Malformed(message) => (StatusCode::BAD_REQUEST, "bad_request", message),
            FrameError::HeadTooLarge => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "head_too_large",
                "the request head exceeds the limit",
            ),
            FrameError::BodyTooLarge => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                "the request body exceeds the limit",
            ),
        };
        Self::Rejected(RequestRejection {
            status,
            error,
            message,
        })
    }
}

const REQUEST_TIMED_OUT: ReadError = ReadError::Rejected(RequestRejection {
    status: StatusCode::REQUEST_TIMEOUT,
    error: "request_timeout",
    message: "the request was not received in time",
});

type RequestFrames = FramedRead<OwnedReadHalf<TcpStream>, BoundedRequestDecoder>;

pub(super) struct ServerConnection<'a, H> {
    frames: RequestFrames,
    writer: OwnedWriteHalf<TcpStream>,
    /// The descriptor of the socket, which the halves keep open.
    socket: RawFd,
    peer: SocketAddr,
    id: ConnectionId,
    /// Present from the first request whose handler is cancelled on disconnect.
    watched: Option<WatchedConnection>,
    state: &'a ServerState<H>,
}

impl<'a, H> ServerConnection<'a, H>
where
    H: RequestHandler,
{
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, state: &'a ServerState<H>) -> Self {
        // With Nagle's algorithm, the kernel may delay the end of a response by 40 ms.
        let _ = stream.set_nodelay(true);
        let socket = stream.as_raw_fd();
        let (reader, writer) = stream.into_split();
        let decoder = BoundedRequestDecoder::new(state.limits.head_bytes);
        Self {
            frames: FramedRead::with_capacity(reader, decoder, READ_BUFFER_BYTES),
            writer,
            socket,
            peer,
            id: ConnectionId::next(),
            watched: None,
            state,
        }
    }

    /// Serves requests until either side closes the connection.
    pub(super) async fn serve(&mut self) {
        while self.wait_for_request().await {
            match self.read_request().await {
                Ok((request, keep_alive)) => {
                    if !self.respond(request, keep_alive).await {
                        return;
                    }
                }
                Err(ReadError::Rejected(rejection)) => return self.reject(rejection).await,
                Err(ReadError::Closed) => return,
            }
        }
    }

    /// Responds with status 503, because the server has too many connections.
    pub(super) async fn reject_excess_connection(&mut self) {
        self.reject(RequestRejection {
            status: StatusCode::SERVICE_UNAVAILABLE,
            error: "too_many_connections",
            message: "the server has too many connections",
        })
        .await;
    }

    /// Waits for the first byte of a request. Returns false if the connection is to be closed.
    async fn wait_for_request(&mut self) -> bool {
        // The request may have been read during the previous one. The event loop may not have
        // reported the end of the connection since.
        if !self.frames.read_buffer().is_empty()
            && let Some(watched) = &self.watched
            && watched.has_ended()
        {
            return false;
        }
        let stop = self.state.stop.clone();
        let start = pin!(timeout(
            self.state.limits.idle_timeout,
            wait_for_start(&mut self.frames)
        ));
        matches!(select(start, stop).await, Either::Left((Ok(true), _)))
    }

    /// Reads a request, and whether the client keeps the connection open after it.
    async fn read_request(&mut self) -> Result<(ServerRequest, bool), ReadError> {
        let head = timeout(self.state.limits.head_timeout, self.frames.next()).await;
        let (head, decoder) = match head {
            Err(_) => return Err(REQUEST_TIMED_OUT),
            Ok(None) => return Err(ReadError::Closed),
            Ok(Some(head)) => head?,
        };
        let length = BodyLength::from_headers(&head.headers)?;
        check_host(&head)?;
        let keep_alive = keeps_alive(head.version, &head.headers);
        let body_timeout = self.state.limits.body_timeout;
        let body = match length {
            BodyLength::Undeclared | BodyLength::Fixed(0) => bytes::Bytes::new(),
            _ => {
                match timeout(body_timeout, self.read_request_body(&head, decoder, length)).await {
                    Err(_) => return Err(REQUEST_TIMED_OUT),
                    Ok(body) => body?,
                }
            }
        };
        let request = ServerRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            peer: self.peer,
            connection: self.id,
        };
        Ok((request, keep_alive))
    }

    async fn read_request_body(
        &mut self,
        head: &RequestHead,
        decoder: BodyDecoder,
        length: BodyLength,
    ) -> Result<bytes::Bytes, FrameError> {
        let limit = self.state.limits.body_bytes;
        let fits = !matches!(length, BodyLength::Fixed(size) if size > limit);
        if fits && expects_continue(&head.headers) && self.frames.read_buffer().is_empty() {
            let (result, _) = self.writer.write_all(CONTINUE_RESPONSE).await;
            result?;
        }
        read_body(&mut self.frames, decoder, length, limit).await
    }

    /// Handles a request and writes the response. Returns false if the connection is to be closed.
    async fn respond(&mut self, request: ServerRequest, keep_alive: bool) -> bool {
        let bodiless = request.method == Method::HEAD;
        let Some(mut response) = self.handle(request).await else {
            return false;
        };
        // An interim (1xx) status cannot complete a request. Handlers that simulate a crash return
        // one to close the connection.
        if response.status.is_informational() {
            return false;
        }
        if bodiless {
            response.body = bytes::Bytes::new();
        }
        let ending = self.state.stop.peek().is_some() || self.state.keep_alive_disabled.get();
        let keep_alive = keep_alive && !ending;
        self.write(response, keep_alive).await && keep_alive
    }

    /// Runs the handler. Returns `None` if the handler is cancelled on disconnect and the client
    /// disconnects first, whatever else it has sent before. A client that closes its sending
    /// direction counts as disconnected, because the server cannot tell it from one that has closed
    /// the connection.
    async fn handle(&mut self, request: ServerRequest) -> Option<ServerResponse> {
        let handler = &self.state.handler;
        if !handler.cancels_on_disconnect() {
            return Some(handler.handle(request).await);
        }
        if self.watched.is_none() {
            let watch = &self.state.connection_watch;
            // Without the watch, the request could outlive its client, so the connection is closed.
            self.watched = Some(watch.register(self.socket, self.id).ok()?);
        }
        let watched = self.watched.as_ref()?;
        let _handled = watched.begin_request();
        let mut end = pin!(wait_for_end(&mut self.frames, watched));
        // The client may have closed the connection before the request was read, for example while this
        // process was paused, and may have sent the request to another server. The socket is still
        // marked as readable after the request was read, so this poll always reads from it, except
        // for a request that was read during an earlier one, which `wait_for_request` checks.
        if poll_fn(|context| Poll::Ready(end.as_mut().poll(context).is_ready())).await {
            return None;
        }
        match select(pin!(handler.handle(request)), end).await {
            Either::Left((response, _)) => Some(response),
            Either::Right(_) => None,
        }
    }

    async fn reject(&mut self, rejection: RequestRejection) {
        let response = ServerResponse::error(rejection.status, rejection.error, rejection.message);
        if self.write(response, false).await {
            let _ = self.writer.shutdown().await;
            let _ = timeout(LINGER_TIMEOUT, self.discard_input()).await;
        }
    }

    async fn discard_input(&mut self) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            let (result, returned) = self.frames.get_mut().read(buffer).await;
            buffer = returned;
            match result {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    }

    /// Writes a response. Returns false if the write fails or exceeds the write timeout.
    async fn write(&mut self, response: ServerResponse, keep_alive: bool) -> bool {
        let response = encode(response, keep_alive);
        let mut encoder = GenericEncoder::new(&mut self.writer);
        let write = encoder.send_and_flush(response);
        matches!(
            timeout(self.state.limits.write_timeout, write).await,
            Ok(Ok(()))
        )
    }
}

/// Waits for the first byte of a request. Returns false if the connection ends first.
///
/// Empty lines before a request do not start one: some clients send one after a body and nothing
/// until their next request, for which the time limit of a head is too short.
async fn wait_for_start(frames: &mut RequestFrames) -> bool {
    loop {
        skip_empty_lines(frames.read_buffer_mut());
        if !frames.read_buffer().is_empty() {
            return true;
        }
        if !matches!(frames.peek_data().await, Ok(data) if !data.is_empty()) {
            return false;
        }
    }
}

/// Waits for the end of a connection whose request is being handled. What the client sends meanwhile
/// is kept for the next request, within a limit.
async fn wait_for_end(frames: &mut RequestFrames, watched: &WatchedConnection) {
    let (reader, buffer) = frames.read_state_mut();
    if buffer.is_empty() {
        // Releases the memory of the request's body as soon as the handler has dropped the body.
        *buffer = BytesMut::new();
    }
    let mut chunk = Vec::with_capacity(READ_AHEAD_BYTES);
    while buffer.len() < MAX_READ_AHEAD_BYTES {
        let (result, returned) = reader.read(chunk).await;
        chunk = returned;
        match result {
            Ok(0) | Err(_) => return,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    while !watched.has_ended() {
        sleep(END_CHECK_INTERVAL).await;
    }
}

fn encode(response: ServerResponse, keep_alive: bool) -> Response<Payload> {
    let body = if response.body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(response.body))
    };
    let mut message = Response::new(body);
    *message.status_mut() = response.status;
    let headers = message.headers_mut();
    headers.extend(response.headers);
    if let Some(content_type) = response.content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if !keep_alive {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    message
}

/// Rejects a request without exactly one `host` header, as RFC 9112 section 3.2 requires for
/// HTTP/1.1. An HTTP/1.0 request may have none.
fn check_host(head: &RequestHead) -> Result<(), FrameError> {
    let hosts = head.headers.get_all(HOST).iter().count();
    if hosts > 1 || (hosts == 0 && head.version == Version::HTTP_11) {
        return Err(FrameError::Malformed("expected exactly one host header"));
    }
    Ok(())
}

fn expects_continue(headers: &HeaderMap) -> bool {
    headers
        .get(EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
