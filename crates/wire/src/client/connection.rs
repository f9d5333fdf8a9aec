//! One connection of a client.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures_util::FutureExt;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue};
use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;
use monoio_codec::FramedRead;
use monoio_http::common::request::Request;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::SentState;
use crate::frame::{BodyLength, BoundedResponseDecoder, FrameError, keeps_alive, read_body};
use crate::message::{ClientRequest, ClientResponse};

/// Initial size of the read buffer, large enough for most responses.
const READ_BUFFER_BYTES: usize = 4096;

/// Records whether the operating system has accepted any byte of a request.
///
/// On epoll, a write either happens within one poll of the future or not at all, so the flag is
/// also correct when the writing future is dropped.
#[derive(Debug, Default)]
pub(super) struct SentFlag(Cell<bool>);

impl SentFlag {
    pub(super) fn state(&self) -> SentState {
        if self.0.get() {
            SentState::MaybeSent
        } else {
            SentState::NotSent
        }
    }

    fn record(&self, result: &io::Result<usize>) {
        if matches!(result, Ok(count) if *count > 0) {
            self.0.set(true);
        }
    }
}

/// The bytes of a response that have arrived so far. Clones share the count, so that it can be read while
/// the request is in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedBytes(Rc<Cell<u64>>);

impl ReceivedBytes {
    /// The number of bytes.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn record(&self, result: &io::Result<usize>) {
        if let Ok(count) = result {
            self.0.set(self.0.get().saturating_add(*count as u64));
        }
    }
}

/// Reads from a stream and counts what arrives.
struct CountingReader {
    stream: TcpStream,
    /// The count of the request in progress, if its caller observes it.
    received: Option<ReceivedBytes>,
}

impl CountingReader {
    fn record(&self, result: &io::Result<usize>) {
        if let Some(received) = &self.received {
            received.record(result);
        }
    }
}

impl AsyncReadRent for CountingReader {
    async fn read<T>(&mut self, buffer: T) -> BufResult<usize, T>
    where
        T: IoBufMut,
    {
        let (result, buffer) = self.stream.read(buffer).await;
        self.record(&result);
        (result, buffer)
    }

    async fn readv<T>(&mut self, buffers: T) -> BufResult<usize, T>
    where
        T: IoVecBufMut,
    {
        let (result, buffers) = self.stream.readv(buffers).await;
        self.record(&result);
        (result, buffers)
    }
}

/// Writes to a stream and records each successful write in a [`SentFlag`].
struct TrackingWriter<'a> {
    stream: &'a mut TcpStream,
    flag: &'a SentFlag,
}

impl AsyncWriteRent for TrackingWriter<'_> {
    async fn write<T>(&mut self, buffer: T) -> BufResult<usize, T>
    where
        T: IoBuf,
    {
        let (result, buffer) = self.stream.write(buffer).await;
        self.flag.record(&result);
        (result, buffer)
    }

    async fn writev<T>(&mut self, buffers: T) -> BufResult<usize, T>
    where
        T: IoVecBuf,
    {
        let (result, buffers) = self.stream.writev(buffers).await;
        self.flag.record(&result);
        (result, buffers)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}

/// A connection that carries one request at a time.
///
/// Dropping the connection closes the socket, so a late response is never read as the response to
/// another request.
pub(super) struct ClientConnection {
    frames: FramedRead<CountingReader, BoundedResponseDecoder>,
}

impl ClientConnection {
    pub(super) async fn connect(address: SocketAddr, head_bytes: usize) -> io::Result<Self> {
        let stream = TcpStream::connect_addr(address).await?;
        stream.set_nodelay(true)?;
        let decoder = BoundedResponseDecoder::new(head_bytes);
        let reader = CountingReader {
            stream,
            received: None,
        };
        Ok(Self {
            frames: FramedRead::with_capacity(reader, decoder, READ_BUFFER_BYTES),
        })
    }

    /// Whether an idle connection can be reused.
    ///
    /// A socket that is readable between requests has been closed by the server or holds bytes that
    /// belong to no request.
    pub(super) fn is_usable(&self) -> bool {
        let readable = pin!(self.frames.get_ref().stream.readable(false));
        readable.now_or_never().is_none()
    }

    pub(super) async fn write(
        &mut self,
        address: SocketAddr,
        request: &ClientRequest,
        flag: &SentFlag,
    ) -> Result<(), FrameError> {
        let message = encode(address, request)?;
        let stream = &mut self.frames.get_mut().stream;
        let mut encoder = GenericEncoder::new(TrackingWriter { stream, flag });
        Ok(encoder.send_and_flush(message).await?)
    }

    /// Reads a response and counts its bytes in `received`. Returns it together with whether the connection
    /// can be reused.
    pub(super) async fn read(
        &mut self,
        body_bytes: usize,
        received: Option<ReceivedBytes>,
    ) -> Result<(ClientResponse, bool), FrameError> {
        self.frames.get_mut().received = received;
        let (head, decoder) = match self.frames.next().await {
            Some(head) => head?,
            None => return Err(FrameError::Closed),
        };
        let length = response_length(&head)?;
        let body = read_body(&mut self.frames, decoder, length, body_bytes).await?;
        let reusable =
            keeps_alive(head.version, &head.headers) && self.frames.read_buffer().is_empty();
        let response = ClientResponse {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((response, reusable))
    }
}

/// Determines the body length of a response and rejects interim responses.
///
/// Also rejects a body that is delimited by the end of the connection, because its end cannot be
/// distinguished from a failed connection.
fn response_length(head: &ResponseHead) -> Result<BodyLength, FrameError> {
    let length = BodyLength::from_headers(&head.headers)?;
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if head.status.is_informational() {
        return Err(FrameError::Malformed("unexpected interim response"));
    }
    if bodiless && !matches!(length, BodyLength::Undeclared | BodyLength::Fixed(0)) {
        return Err(FrameError::Malformed("the status does not permit a body"));
    }
    if !bodiless && length == BodyLength::Undeclared {
        return Err(FrameError::Malformed("the body length is not declared"));
    }
    Ok(length)
}

fn encode(address: SocketAddr, request: &ClientRequest) -> Result<Request<Payload>, FrameError> {
    let body = if request.body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(request.body.clone()))
    };
    let host = HeaderValue::try_from(address.to_string())
        .map_err(|_| FrameError::Malformed("the address is not a valid header value"))?;
    let mut message = Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    let headers = message.headers_mut();
    headers.extend(request.headers.iter().cloned());
    headers.insert(HOST, host);
    // The encoder replaces the value by the actual length. Without this header, a request with an
    // empty body would declare no length.
    headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    if let Some(content_type) = &request.content_type {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    Ok(message)
}
