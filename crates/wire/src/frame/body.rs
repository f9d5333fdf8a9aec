//! Reads message bodies within a size limit.

use bytes::{Bytes, BytesMut};
use monoio::io::AsyncReadRent;
use monoio_codec::{Decoded, Decoder, FramedRead};
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, PayloadDecoder};

use super::{BodyDecoder, BodyLength, FrameError};

/// The maximum number of hexadecimal digits in a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 16;

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

/// Checks each chunk size against the body limit before the inner decoder waits for that many
/// bytes.
struct BoundedChunkDecoder {
    inner: ChunkedBodyDecoder,
    /// The number of bytes that further chunks may contain in total.
    remaining_bytes: usize,
    /// Whether the size of the current chunk has been checked and deducted.
    size_checked: bool,
}

impl BoundedChunkDecoder {
    fn new(inner: ChunkedBodyDecoder, limit: usize) -> Self {
        Self {
            inner,
            remaining_bytes: limit,
            size_checked: false,
        }
    }
}

impl Decoder for BoundedChunkDecoder {
    type Item = Option<Bytes>;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<Self::Item>, FrameError> {
        if !self.size_checked {
            let Some(size) = chunk_size(source)? else {
                return Ok(Decoded::Insufficient);
            };
            self.remaining_bytes = self
                .remaining_bytes
                .checked_sub(size)
                .ok_or(FrameError::BodyTooLarge)?;
            self.size_checked = true;
        }
        let decoded = self.inner.decode(source)?;
        if matches!(decoded, Decoded::Some(_)) {
            self.size_checked = false;
        }
        Ok(decoded)
    }
}

/// Parses a chunk size without consuming it. Returns `None` if the size line is incomplete.
///
/// The size is checked here because the inner decoder treats a line without digits as the last
/// chunk and searches for the end of the line without a limit.
fn chunk_size(source: &[u8]) -> Result<Option<usize>, FrameError> {
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
            let size = usize::from_str_radix(text, 16).map_err(|_| INVALID)?;
            Ok(Some(size))
        }
        _ => Err(INVALID),
    }
}
