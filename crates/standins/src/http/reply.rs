//! Common responses.

use filbertpitch_wire::codec::CodecError;
use filbertpitch_wire::message::ServerResponse;
use http::StatusCode;
use serde::Serialize;

/// Makes the server close the connection without a response.
pub fn close_connection() -> ServerResponse {
    ServerResponse::empty(StatusCode::CONTINUE)
}

/// A successful response.
pub fn ok<Message>(message: &Message) -> ServerResponse
where
    Message: Serialize,
{
    ServerResponse::json(StatusCode::OK, message)
}

/// The response to a request whose body is invalid.
pub fn bad_request(error: &CodecError) -> ServerResponse {
    ServerResponse::error(StatusCode::BAD_REQUEST, "bad_request", &error.to_string())
}

/// The response to a request with an invalid path or query.
pub fn bad_query(message: &str) -> ServerResponse {
    ServerResponse::error(StatusCode::BAD_REQUEST, "bad_request", message)
}

/// The response to a request for an unknown path.
pub fn not_found() -> ServerResponse {
    ServerResponse::error(StatusCode::NOT_FOUND, "not_found", "there is no such path")
}

/// The response during a simulated outage.
pub fn unavailable() -> ServerResponse {
    let message = "the service is unavailable";
    ServerResponse::error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
}
