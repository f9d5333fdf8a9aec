//! Why a message could not be read.

use std::io;

use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::DecodeError;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum FrameError {
    /// The bytes are not a valid message.
    Malformed(&'static str),
    /// The head exceeds its limit.
    HeadTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The connection ended or failed before the message was complete.
    Closed,
}

impl From<io::Error> for FrameError {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

impl From<DecodeError> for FrameError {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Io(_) | DecodeError::UnexpectedEof | DecodeError::TimedOut => Self::Closed,
            DecodeError::Header => Self::Malformed("a header is invalid"),
            DecodeError::Chunked => Self::Malformed("the chunked body is invalid"),
            _ => Self::Malformed("the message head is invalid"),
        }
    }
}

impl From<HttpError> for FrameError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::H1DecodeError(error) => error.into(),
            HttpError::IOError(_) => Self::Closed,
            _ => Self::Malformed("the message is invalid"),
        }
    }
}
