//! Reads message bodies within a size limit.

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderName, HeaderValue};
use monoio::io::AsyncReadRent;
use monoio_codec::{Decoded, Decoder, FramedRead};
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, PayloadDecoder};

use super::head::{HEAD_END, LINE_END, check_line_ends};
use super::{BodyDecoder, BodyLength, FrameError};

/// The maximum number of hexadecimal digits in a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 16;
/// The maximum size of the trailer fields together, in bytes. They are discarded, so a head's size
/// is more than enough.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// Reads the body that follows a message head and fails if the body exceeds `limit` bytes.
///
/// `length` must come from the same head as `decoder`.
pub(crate) async fn read_body<IO, C>(
    frames: &mut FramedRead<IO, C>,
    decoder: BodyDecoder,
    length: BodyLength,
    limit: usize,
) -> Result<Bytes, FrameError>
where
    IO: AsyncReadRent,
{
    if matches!(length, BodyLength::Fixed(size) if size > limit) {
        return Err(FrameError::BodyTooLarge);
    }
    match decoder {
        PayloadDecoder::None => Ok(Bytes::new()),
        PayloadDecoder::Fixed(mut decoder) => match frames.next_with(&mut decoder).await {
            Some(body) => Ok(body?),
            None => Err(FrameError::Closed),
        },
        PayloadDecoder::Streamed(decoder) => {
            let decoder = BoundedChunkDecoder::new(decoder, limit);
            read_chunks(frames, decoder).await
        }
    }
}

async fn read_chunks<IO, C>(
    frames: &mut FramedRead<IO, C>,
    mut decoder: BoundedChunkDecoder,
) -> Result<Bytes, FrameError>
where
    IO: AsyncReadRent,
{
    let mut body = BytesMut::new();
    loop {
        match frames.next_with(&mut decoder).await {
            Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Some(Ok(None)) => return Ok(body.freeze()),
            Some(Err(error)) => return Err(error),
            None => return Err(FrameError::Closed),
        }
    }
}

/// The part of a chunked body that is decoded next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkPart {
    /// The size of a chunk, which is checked and deducted but not consumed.
    Size,
    /// A chunk with its size.
    Chunk,
    /// The trailer fields and the empty line after the last chunk.
    Trailer,
}

/// Checks each chunk size against the body limit before the inner decoder waits for that many
/// bytes. Reads and discards the trailer, which the inner decoder does not accept.
struct BoundedChunkDecoder {
    inner: ChunkedBodyDecoder,
    /// The number of bytes that further chunks may contain in total.
    remaining_bytes: usize,
    part: ChunkPart,
}

impl BoundedChunkDecoder {
    fn new(inner: ChunkedBodyDecoder, limit: usize) -> Self {
        Self {
            inner,
            remaining_bytes: limit,
            part: ChunkPart::Size,
        }
    }
}

impl Decoder for BoundedChunkDecoder {
    type Item = Option<Bytes>;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<Self::Item>, FrameError> {
        if self.part == ChunkPart::Size {
            let Some(size) = chunk_size(source)? else {
                return Ok(Decoded::Insufficient);
            };
            self.remaining_bytes = self
                .remaining_bytes
                .checked_sub(size.bytes)
                .ok_or(FrameError::BodyTooLarge)?;
            self.part = ChunkPart::Chunk;
            if size.bytes == 0 {
                source.advance(size.line_length);
                self.part = ChunkPart::Trailer;
            }
        }
        if self.part == ChunkPart::Trailer {
            return decode_trailer(source);
        }
        let decoded = self.inner.decode(source)?;
        if matches!(decoded, Decoded::Some(_)) {
            self.part = ChunkPart::Size;
        }
        Ok(decoded)
    }
}

/// Consumes the trailer section and the empty line that ends the body.
///
/// RFC 9112 section 7.1.2 allows a recipient to discard the fields. They are checked like those of
/// a head, so that bytes that are not a trailer do not pass for one.
fn decode_trailer(source: &mut BytesMut) -> Result<Decoded<Option<Bytes>>, FrameError> {
    if source.starts_with(LINE_END) {
        source.advance(LINE_END.len());
        return Ok(Decoded::Some(None));
    }
    let end = memchr::memmem::find(source, HEAD_END).map(|start| start + HEAD_END.len());
    if end.unwrap_or(source.len()) > MAX_TRAILER_BYTES {
        return Err(FrameError::HeadTooLarge);
    }
    let Some(end) = end else {
        return Ok(Decoded::Insufficient);
    };
    check_line_ends(&source[..end])?;
    let fields = &source[..end - HEAD_END.len()];
    // Lines end with CR LF, and a CR elsewhere makes a value invalid.
    if !fields.split(|byte| *byte == b'\n').all(is_field) {
        return Err(FrameError::Malformed("invalid trailer"));
    }
    source.advance(end);
    Ok(Decoded::Some(None))
}

fn is_field(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let Some(colon) = memchr::memchr(b':', line) else {
        return false;
    };
    HeaderName::from_bytes(&line[..colon]).is_ok()
        && HeaderValue::from_bytes(&line[colon + 1..]).is_ok()
}

/// The size of a chunk as its size line states it.
struct ChunkSize {
    bytes: usize,
    /// The length of the size line with its end.
    line_length: usize,
}

/// Parses a chunk size without consuming it. Returns `None` if the size line is incomplete.
///
/// The size is checked here because the inner decoder treats a line without digits as the last
/// chunk and searches for the end of the line without a limit.
fn chunk_size(source: &[u8]) -> Result<Option<ChunkSize>, FrameError> {
    const INVALID: FrameError = FrameError::Malformed("invalid chunk size");
    let digits = source
        .iter()
        .take_while(|byte| byte.is_ascii_hexdigit())
        .count();
    if digits > MAX_CHUNK_SIZE_DIGITS {
        return Err(INVALID);
    }
    match source[digits..] {
        [] => Ok(None),
        [b'\r'] if digits > 0 => Ok(None),
        [b'\r', b'\n', ..] if digits > 0 => {
            let text = std::str::from_utf8(&source[..digits]).map_err(|_| INVALID)?;
            let bytes = usize::from_str_radix(text, 16).map_err(|_| INVALID)?;
            let line_length = digits + LINE_END.len();
            Ok(Some(ChunkSize { bytes, line_length }))
        }
        _ => Err(INVALID),
    }
}
