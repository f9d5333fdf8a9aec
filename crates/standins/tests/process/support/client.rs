//! Requests to entry VMs as callers send them, and to the controls of the stand-ins.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpitch_types::caller::{ErrorAnswer, JobAnswer, JobRequest, PrefixAnswer};
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::VmStatus;
use filbertpitch_wire::client::{ClientError, ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ClientResponse};
use http::{HeaderValue, Method, StatusCode};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The time for requests that need no run of a task.
const SHORT_TIMEOUT: Duration = Duration::from_secs(10);
/// The time beyond a job's deadline for its answer, also through another VM.
const ANSWER_MARGIN: Duration = Duration::from_secs(15);

/// What a caller got for a request about a job.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A job answer.
    Job(StatusCode, Box<JobAnswer>),
    /// Any other complete response.
    Other(StatusCode, ErrorAnswer),
    /// No complete response.
    Lost(ClientError),
}

impl Reply {
    /// The job answer.
    ///
    /// # Panics
    /// When there is none.
    pub fn answer(&self) -> &JobAnswer {
        match self {
            Self::Job(_, answer) => answer,
            other => panic!("no job answer: {other:?}"),
        }
    }

    /// Whether it is an error with this status and word.
    pub fn is_error(&self, status: u16, word: &str) -> bool {
        matches!(self, Self::Other(code, error)
            if code.as_u16() == status && &*error.error == word)
    }

    /// Whether it says that the whole job was owned by a process that no longer exists.
    pub fn is_owner_gone(&self) -> bool {
        matches!(self, Self::Job(StatusCode::OK, answer)
            if answer.outcome == JobOutcome::Unknown
                && answer.unknown == Some(UnknownReason::OwnerGone)
                && answer.tasks.is_empty())
    }

    /// The answer without the prefix, which differs from response to response.
    pub fn decided(&self) -> Option<JobAnswer> {
        let Self::Job(_, answer) = self else {
            return None;
        };
        let mut answer = JobAnswer::clone(answer);
        answer.prefix = None;
        Some(answer)
    }
}

/// A client of one entry VM.
#[derive(Clone)]
pub struct EntryClient {
    pool: Rc<ConnectionPool>,
}

impl EntryClient {
    /// A client of the VM at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let limits = PoolLimits {
            connections: 512,
            ..PoolLimits::default()
        };
        Self {
            pool: Rc::new(ConnectionPool::new(address, limits)),
        }
    }

    /// The VM's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Sends any request.
    pub async fn send(
        &self,
        request: &ClientRequest,
        timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let options = RequestOptions {
            timeout,
            ..RequestOptions::default()
        };
        self.pool.request(request, &options).await
    }

    async fn get<T>(&self, path: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let request = ClientRequest::new(Method::GET, path.parse().unwrap());
        let response = self.send(&request, SHORT_TIMEOUT).await.ok()?;
        response.decode(BodyFormat::Json).ok()
    }

    /// The VM's prefix for new submissions, if it responds.
    pub async fn prefix(&self) -> Option<OwnerPrefix> {
        let answer = self.get::<PrefixAnswer>("/v1/prefix").await;
        answer.map(|answer| answer.prefix)
    }

    /// The VM's state, if it responds.
    pub async fn status(&self) -> Option<VmStatus> {
        self.get("/v1/status").await
    }

    /// The status of the readiness check, if the VM responds.
    pub async fn readiness(&self) -> Option<StatusCode> {
        let request = ClientRequest::new(Method::GET, "/health/ready".parse().unwrap());
        let response = self.send(&request, Duration::from_secs(1)).await.ok()?;
        Some(response.status)
    }

    /// Submits a job and waits for its answer.
    pub async fn submit(&self, job: &JobRequest) -> Reply {
        let target = "/v1/jobs".parse().unwrap();
        let request = ClientRequest::post(target, BodyFormat::Json, job).unwrap();
        let timeout = job.deadline + ANSWER_MARGIN;
        reply(self.send(&request, timeout).await)
    }

    /// Asks for a submission without starting it.
    pub async fn look_up(&self, submission: &SubmissionId) -> Reply {
        self.look_up_text(&submission.to_string()).await
    }

    /// Asks for a submission that may be no valid one.
    pub async fn look_up_text(&self, submission: &str) -> Reply {
        let path = format!("/v1/jobs/{submission}");
        let request = ClientRequest::new(Method::GET, path.parse().unwrap());
        reply(self.send(&request, SHORT_TIMEOUT).await)
    }

    /// Posts any bytes as JSON.
    pub async fn post_bytes(&self, path: &str, body: Bytes) -> Result<ClientResponse, ClientError> {
        let json = HeaderValue::from_static("application/json");
        let request = ClientRequest::new(Method::POST, path.parse().unwrap());
        let request = request.with_body(json, body);
        self.send(&request, SHORT_TIMEOUT).await
    }

    /// Posts any bytes as a job.
    pub async fn submit_bytes(&self, body: Bytes) -> Reply {
        reply(self.post_bytes("/v1/jobs", body).await)
    }

    /// Sends any bytes on a connection of its own and reads until the VM closes it.
    ///
    /// # Panics
    /// When the connection fails or stays open.
    pub async fn raw_exchange(&self, bytes: &[u8]) -> String {
        let exchange = async {
            let mut stream = TcpStream::connect(self.address()).await.unwrap();
            // The VM may refuse the request before it has read all of it.
            let _ = stream.write_all(bytes.to_vec()).await;
            let mut received = Vec::new();
            loop {
                let (result, buffer) = stream.read(vec![0; 4096]).await;
                match result {
                    Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
                    _ => return String::from_utf8_lossy(&received).into_owned(),
                }
            }
        };
        let response = monoio::time::timeout(SHORT_TIMEOUT, exchange).await;
        response.expect("the VM closes the connection")
    }
}

fn reply(result: Result<ClientResponse, ClientError>) -> Reply {
    let response = match result {
        Ok(response) => response,
        Err(error) => return Reply::Lost(error),
    };
    match response.decode::<JobAnswer>(BodyFormat::Json) {
        Ok(answer) => Reply::Job(response.status, Box::new(answer)),
        Err(_) => Reply::Other(response.status, response.error_answer()),
    }
}

/// Posts a message to a control endpoint of a stand-in.
///
/// # Panics
/// When the stand-in does not accept it.
pub async fn control<Message>(address: SocketAddr, path: &str, message: &Message)
where
    Message: Serialize,
{
    let pool = ConnectionPool::new(address, PoolLimits::default());
    let request = ClientRequest::post(path.parse().unwrap(), BodyFormat::Json, message).unwrap();
    let options = RequestOptions::default();
    let response = pool.request(&request, &options).await;
    let response = response.expect("the stand-in responds");
    assert_eq!(response.status, StatusCode::OK, "{path}");
}

/// Reads a resource of a stand-in.
///
/// # Panics
/// When the stand-in does not have it.
pub async fn read<T>(address: SocketAddr, path: &str) -> T
where
    T: DeserializeOwned,
{
    let pool = ConnectionPool::new(address, PoolLimits::default());
    let request = ClientRequest::new(Method::GET, path.parse().unwrap());
    let options = RequestOptions::default();
    let response = pool.request(&request, &options).await;
    let response = response.expect("the stand-in responds");
    response.decode(BodyFormat::Json).expect("the resource")
}
