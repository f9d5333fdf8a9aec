//! Typed bodies: JSON for callers, targets, platform and operators, MessagePack between VMs.

use std::fmt;

use bytes::Bytes;
use filbertpitch_types::caller::ErrorAnswer;
use http::header::HeaderValue;
use http::{StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::{ClientRequest, ClientResponse, ServerRequest, ServerResponse};

const TRAILING_BYTES: &str = "there are bytes after the message";

/// The format of a typed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFormat {
    /// JSON.
    Json,
    /// MessagePack with named fields, because messages use flattened and omitted fields.
    MessagePack,
    /// MessagePack with fields by position, for frequent messages that have all of their fields.
    PackedMessagePack,
}

impl BodyFormat {
    /// The media type.
    pub fn media_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::MessagePack | Self::PackedMessagePack => "application/msgpack",
        }
    }

    /// The media type as a header value.
    pub fn content_type(self) -> HeaderValue {
        HeaderValue::from_static(self.media_type())
    }

    /// Encodes a message.
    ///
    /// # Errors
    /// When the message cannot be represented, for example a map with keys that are not text.
    pub fn encode<T>(self, message: &T) -> Result<Bytes, CodecError>
    where
        T: Serialize,
    {
        let bytes = match self {
            Self::Json => serde_json::to_vec(message).map_err(|error| error.to_string()),
            Self::MessagePack => {
                rmp_serde::to_vec_named(message).map_err(|error| error.to_string())
            }
            Self::PackedMessagePack => {
                rmp_serde::to_vec(message).map_err(|error| error.to_string())
            }
        };
        bytes.map(Bytes::from).map_err(|message| CodecError {
            format: self,
            field: "".into(),
            message: message.into(),
        })
    }

    /// Decodes a message. The whole body must be the message.
    ///
    /// # Errors
    /// When the body is not a valid message; the error names the field.
    pub fn decode<T>(self, body: &[u8]) -> Result<T, CodecError>
    where
        T: DeserializeOwned,
    {
        match self {
            Self::Json => serde_json::from_slice(body).map_err(|_| json_error::<T>(body)),
            Self::MessagePack | Self::PackedMessagePack => {
                decode_message_pack(body).map_err(|message| CodecError {
                    format: self,
                    field: "".into(),
                    message,
                })
            }
        }
    }
}

/// `rmp_serde::from_slice` ignores bytes after the message, which hides a framing error.
fn decode_message_pack<T>(body: &[u8]) -> Result<T, Box<str>>
where
    T: DeserializeOwned,
{
    let mut deserializer = rmp_serde::Deserializer::new(body);
    let message = T::deserialize(&mut deserializer).map_err(|error| error.to_string())?;
    if !deserializer.get_ref().is_empty() {
        return Err(TRAILING_BYTES.into());
    }
    Ok(message)
}

/// Decodes again while tracking the path, which is too slow for bodies that are valid.
fn json_error<T>(body: &[u8]) -> CodecError
where
    T: DeserializeOwned,
{
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let (field, message) = match serde_path_to_error::deserialize::<_, T>(&mut deserializer) {
        Err(error) => {
            let field = match error.path().to_string() {
                path if path == "." => String::new(),
                path => path,
            };
            (field, error.into_inner().to_string())
        }
        Ok(_) => (String::new(), TRAILING_BYTES.to_string()),
    };
    CodecError {
        format: BodyFormat::Json,
        field: field.into(),
        message: message.into(),
    }
}

/// A body that does not encode or decode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodecError {
    /// The format.
    pub format: BodyFormat,
    /// The path of the offending field, empty if it is not known.
    pub field: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            write!(f, "invalid {}: {}", self.format.media_type(), self.message)
        } else {
            let media_type = self.format.media_type();
            write!(f, "invalid {media_type}: {}: {}", self.field, self.message)
        }
    }
}

impl std::error::Error for CodecError {}

impl ServerRequest {
    /// Decodes the body.
    ///
    /// # Errors
    /// When the body is not a valid message.
    pub fn decode<T>(&self, format: BodyFormat) -> Result<T, CodecError>
    where
        T: DeserializeOwned,
    {
        format.decode(&self.body)
    }
}

impl ServerResponse {
    /// A response with a typed body; a message that does not encode becomes a status of 500.
    pub fn encoded<T>(status: StatusCode, format: BodyFormat, message: &T) -> Self
    where
        T: Serialize,
    {
        match format.encode(message) {
            Ok(body) => Self {
                status,
                content_type: Some(format.content_type()),
                headers: Vec::new(),
                body,
            },
            Err(_) => Self::empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// A response with a JSON body.
    pub fn json<T>(status: StatusCode, message: &T) -> Self
    where
        T: Serialize,
    {
        Self::encoded(status, BodyFormat::Json, message)
    }

    /// A response with an [`ErrorAnswer`]. `error` is a stable word for scripts.
    pub fn error(status: StatusCode, error: &str, message: &str) -> Self {
        let answer = ErrorAnswer {
            error: error.into(),
            message: message.into(),
        };
        Self::json(status, &answer)
    }
}

impl ClientRequest {
    /// A `POST` request with a typed body.
    ///
    /// # Errors
    /// When the message cannot be represented in the format.
    pub fn post<T>(target: http::Uri, format: BodyFormat, message: &T) -> Result<Self, CodecError>
    where
        T: Serialize,
    {
        let body = format.encode(message)?;
        Ok(Self::new(http::Method::POST, target).with_body(format.content_type(), body))
    }
}

impl ClientResponse {
    /// Decodes the body.
    ///
    /// # Errors
    /// When the body is not a valid message.
    pub fn decode<T>(&self, format: BodyFormat) -> Result<T, CodecError>
    where
        T: DeserializeOwned,
    {
        format.decode(&self.body)
    }

    /// The error of a failed response, or its status if the body is not an [`ErrorAnswer`].
    pub fn error_answer(&self) -> ErrorAnswer {
        let json = self
            .header(header::CONTENT_TYPE.as_str())
            .is_some_and(|value| value.starts_with(BodyFormat::Json.media_type()));
        let answer = json.then(|| self.decode(BodyFormat::Json).ok()).flatten();
        answer.unwrap_or_else(|| ErrorAnswer {
            error: "http_status".into(),
            message: self.status.to_string().into(),
        })
    }
}
