//! Message framing with size limits, shared by server and client.
//!
//! The decoders of monoio-http buffer heads and chunks of any size and accept messages whose length
//! is ambiguous. The decoders in this module check the bytes before monoio-http parses them.

mod body;
mod error;
mod head;

pub(crate) use body::read_body;
pub(crate) use error::FrameError;
pub(crate) use head::{BodyLength, BoundedHeadDecoder, keeps_alive, skip_empty_lines};

use monoio_http::common::request::Request;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DirectWrapper, FixedBodyDecoder, GenericHeadDecoder, PayloadDecoder,
    RequestHeadDecoder, ResponseHeadDecoder,
};

/// Decodes request heads within a size limit.
pub(crate) type BoundedRequestDecoder =
    BoundedHeadDecoder<GenericHeadDecoder<Request, RequestHeadDecoder, DirectWrapper>>;
/// Decodes response heads within a size limit.
pub(crate) type BoundedResponseDecoder =
    BoundedHeadDecoder<GenericHeadDecoder<Response, ResponseHeadDecoder, DirectWrapper>>;
/// Decodes the body that follows a head.
pub(crate) type BodyDecoder = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;
