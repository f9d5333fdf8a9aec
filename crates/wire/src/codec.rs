//! Encoding of typed message bodies: JSON for callers, targets, the platform and operators,
//! MessagePack between VMs.

use std::fmt;

use bytes::Bytes;
use filbertpitch_types::caller::ErrorAnswer;
use http::header::HeaderValue;
use http::{StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::{ClientRequest, ClientResponse, ServerRequest, ServerResponse};

const TRAILING_BYTES: &str = "there are bytes after the message";

/// The encoding of a typed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFormat {
    /// JSON.
    Json,
    /// MessagePack with named fields, for messages that have flattened or omitted fields.
    MessagePack,
    /// MessagePack with fields by position. For frequent messages that always
    /// carry all of their fields.
    PackedMessagePack,
}

impl BodyFormat {
    /// The media type, such as `application/json`.
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
    /// When the format cannot represent the message, for example a JSON map whose keys are not
    /// strings.
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

    /// Decodes a message that must occupy the whole body.
    ///
    /// # Errors
    /// When the body is not a valid message or has trailing bytes. For JSON, the error names the
    /// invalid field.
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

/// Decodes MessagePack and rejects trailing bytes.
///
/// `rmp_serde::from_slice` ignores bytes after the message, which would hide a framing error.
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

/// Decodes an invalid body a second time to find the path of the invalid field.
///
/// Tracking the path is too slow for the first attempt, which every valid body goes through.
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

/// A message could not be encoded or a body could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodecError {
    /// The format of the body.
    pub format: BodyFormat,
    /// The path of the invalid field, empty if unknown.
    pub field: Box<str>,
    /// The reason, as reported by the serializer or deserializer.
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
    /// Creates a response with a typed body, or an empty response with status 500 if the message
    /// cannot be encoded.
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

    /// Creates a response with a JSON body.
    pub fn json<T>(status: StatusCode, message: &T) -> Self
    where
        T: Serialize,
    {
        Self::encoded(status, BodyFormat::Json, message)
    }

    /// Creates a response with an [`ErrorAnswer`]. `error` is a stable error code for scripts.
    pub fn error(status: StatusCode, error: &str, message: &str) -> Self {
        let answer = ErrorAnswer {
            error: error.into(),
            message: message.into(),
        };
        Self::json(status, &answer)
    }
}

impl ClientRequest {
    /// Creates a `POST` request with a typed body.
    ///
    /// # Errors
    /// When the format cannot represent the message.
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

    /// Returns the [`ErrorAnswer`] in the body of a failed response. If the body is not one,
    /// returns the error code `http_status` with the status as the message.
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
