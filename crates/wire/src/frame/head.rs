//! Decodes message heads within a size limit and determines the length of the body.

use bytes::{Buf, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Version};
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::error::HttpError;

use super::FrameError;

pub(super) const HEAD_END: &[u8] = b"\r\n\r\n";
pub(super) const LINE_END: &[u8] = b"\r\n";

/// Checks the size and the line endings of a head before `D` parses the head.
pub(crate) struct BoundedHeadDecoder<D> {
    inner: D,
    limit: usize,
}

impl<D> BoundedHeadDecoder<D>
where
    D: Default,
{
    /// Creates a decoder that accepts heads of at most `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            inner: D::default(),
            limit,
        }
    }
}

impl<D> Decoder for BoundedHeadDecoder<D>
where
    D: Decoder<Error = HttpError>,
{
    type Item = D::Item;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<D::Item>, FrameError> {
        skip_empty_lines(source);
        let end = memchr::memmem::find(source, HEAD_END).map(|start| start + HEAD_END.len());
        if end.unwrap_or(source.len()) > self.limit {
            return Err(FrameError::HeadTooLarge);
        }
        let Some(end) = end else {
            return Ok(Decoded::Insufficient);
        };
        check_line_ends(&source[..end])?;
        Ok(self.inner.decode(source)?)
    }
}

/// Skips empty lines, which RFC 9112 section 2.2 asks servers to ignore before a request line.
pub(crate) fn skip_empty_lines(source: &mut BytesMut) {
    while source.starts_with(LINE_END) {
        source.advance(LINE_END.len());
    }
}

/// Rejects line feeds without a preceding carriage return.
///
/// httparse accepts them, so the parser could see the end of the head earlier than the decoder's
/// search for `HEAD_END`. The bytes in between would be lost or parsed as another message.
pub(super) fn check_line_ends(head: &[u8]) -> Result<(), FrameError> {
    let bare = memchr::memchr_iter(b'\n', head).any(|at| at == 0 || head[at - 1] != b'\r');
    if bare {
        return Err(FrameError::Malformed("a line does not end with CR LF"));
    }
    Ok(())
}

/// How the head of a message declares the length of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// Neither `content-length` nor `transfer-encoding` is present.
    Undeclared,
    /// A `content-length` header with this number of bytes.
    Fixed(usize),
    /// A `transfer-encoding` header with the value `chunked`.
    Chunked,
}

impl BodyLength {
    /// Reads the headers that declare the length and rejects every ambiguous combination.
    ///
    /// monoio-http uses the first of several values and prefers chunked over a length, so an
    /// intermediary could see different message boundaries than this process.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Result<Self, FrameError> {
        let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
        let codings = headers.get_all(TRANSFER_ENCODING).iter().count();
        match (lengths, codings) {
            (0, 0) => Ok(Self::Undeclared),
            (1, 0) => Self::fixed(headers),
            (0, 1) => Self::chunked(headers),
            _ => Err(FrameError::Malformed("the body length is ambiguous")),
        }
    }

    fn fixed(headers: &HeaderMap) -> Result<Self, FrameError> {
        let text = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok());
        text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
            .and_then(|text| text.parse().ok())
            .map(Self::Fixed)
            .ok_or(FrameError::Malformed("invalid content length"))
    }

    fn chunked(headers: &HeaderMap) -> Result<Self, FrameError> {
        let coding = headers.get(TRANSFER_ENCODING).map(|value| value.as_bytes());
        if coding.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked")) {
            return Ok(Self::Chunked);
        }
        Err(FrameError::Malformed(
            "unsupported transfer coding, expected chunked",
        ))
    }
}

/// Whether the sender of a head keeps the connection open after the message.
pub(crate) fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let close = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    version == Version::HTTP_11 && !close
}
