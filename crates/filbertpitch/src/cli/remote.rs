//! Requests to entry VMs.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::caller::ErrorAnswer;
use filbertpitch_wire::client::{ClientError, ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::{BodyFormat, CodecError};
use filbertpitch_wire::message::{ClientRequest, ClientResponse};
use http::{Method, StatusCode, Uri};
use serde::de::DeserializeOwned;

use super::ExitStatus;

/// The largest response; a job answer contains the outputs of up to 1024 tasks.
const RESPONSE_LIMIT: usize = 64 << 20;

/// Why a VM gave no usable response.
#[derive(Clone, Debug)]
pub enum RemoteError {
    /// There was no response.
    NoResponse(SocketAddr, ClientError),
    /// The VM responded with an error.
    Refused(SocketAddr, StatusCode, ErrorAnswer),
    /// The response is not a valid message.
    Invalid(SocketAddr, CodecError),
}

impl RemoteError {
    /// Whether another VM may be able to respond.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::NoResponse(..) => true,
            Self::Refused(_, status, _) => matches!(
                *status,
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            ),
            Self::Invalid(..) => false,
        }
    }

    /// The exit status of a command that ends with this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Refused(_, StatusCode::BAD_REQUEST, _) => ExitStatus::BadInput,
            error if error.is_transient() => ExitStatus::Unreachable,
            _ => ExitStatus::Failed,
        }
    }
}

impl fmt::Display for RemoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoResponse(address, error) => write!(f, "{address}: {error}"),
            Self::Refused(address, status, answer) => {
                let (error, message) = (&answer.error, &answer.message);
                write!(
                    f,
                    "{address}: {error}: {message} (status {})",
                    status.as_u16()
                )
            }
            Self::Invalid(address, error) => write!(f, "{address}: {error}"),
        }
    }
}

impl std::error::Error for RemoteError {}

/// Sends requests to one entry VM.
pub struct VmClient {
    pool: ConnectionPool,
}

impl VmClient {
    /// A client of the VM at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pool: ConnectionPool::new(address, PoolLimits::default()),
        }
    }

    /// The address of the VM.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Sends a request and returns the response, whatever its status is.
    ///
    /// # Errors
    /// When there is no response.
    pub async fn send(
        &self,
        request: &ClientRequest,
        timeout: Duration,
    ) -> Result<ClientResponse, RemoteError> {
        let options = RequestOptions {
            timeout,
            max_response_body: RESPONSE_LIMIT,
            ..RequestOptions::default()
        };
        let response = self.pool.request(request, &options).await;
        response.map_err(|error| RemoteError::NoResponse(self.address(), error))
    }

    /// Reads a JSON resource.
    ///
    /// # Errors
    /// When the VM does not respond with the resource.
    pub async fn get<T>(&self, target: Uri, timeout: Duration) -> Result<T, RemoteError>
    where
        T: DeserializeOwned,
    {
        let request = ClientRequest::new(Method::GET, target);
        let response = self.send(&request, timeout).await?;
        if response.status != StatusCode::OK {
            return Err(self.refused(&response));
        }
        let message = response.decode(BodyFormat::Json);
        message.map_err(|error| RemoteError::Invalid(self.address(), error))
    }

    /// The error that a response stands for.
    pub fn refused(&self, response: &ClientResponse) -> RemoteError {
        RemoteError::Refused(self.address(), response.status, response.error_answer())
    }
}
