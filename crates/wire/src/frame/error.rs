//! Errors from reading a message.

use std::io;

use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::DecodeError;

/// The reason why a message could not be read.
#[derive(Debug)]
pub(crate) enum FrameError {
    /// The bytes are not a valid message.
    Malformed(&'static str),
    /// The head or the trailer exceeds its size limit.
    HeadTooLarge,
    /// The body exceeds its size limit.
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
            DecodeError::Header => Self::Malformed("invalid header"),
            DecodeError::Chunked => Self::Malformed("invalid chunked body"),
            _ => Self::Malformed("invalid message head"),
        }
    }
}

impl From<HttpError> for FrameError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::H1DecodeError(error) => error.into(),
            HttpError::IOError(_) => Self::Closed,
            _ => Self::Malformed("invalid message"),
        }
    }
}
