//! The entry VMs as the load generator sees them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, PrefixAnswer};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ClientResponse};
use http::{Method, StatusCode, Uri};

/// How long the generator waits for an answer beyond the deadline of the job.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// The reply to one submission of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    /// An answer.
    Answer(Box<JobAnswer>),
    /// The job was not run, without a job answer.
    NotRun,
    /// No outcome: the submission may be repeated. Contains the reason for the report.
    Retry(Box<str>),
    /// The request was refused as invalid.
    Invalid(Box<str>),
}

/// One entry VM.
pub struct EntryClient {
    pool: ConnectionPool,
    prefix: RefCell<Option<OwnerPrefix>>,
}

impl EntryClient {
    /// A client without connections.
    pub fn new(address: SocketAddr, connections: usize) -> Self {
        let limits = PoolLimits {
            connections,
            ..PoolLimits::default()
        };
        Self {
            pool: ConnectionPool::new(address, limits),
            prefix: RefCell::default(),
        }
    }

    /// The latest prefix that the VM issued.
    pub fn prefix(&self) -> Option<OwnerPrefix> {
        self.prefix.borrow().clone()
    }

    /// Notes a fresh prefix.
    pub fn set_prefix(&self, prefix: &OwnerPrefix) {
        *self.prefix.borrow_mut() = Some(prefix.clone());
    }

    /// Requests a prefix. Failures leave the previous one in place.
    pub async fn fetch_prefix(&self) {
        let request = ClientRequest::new(Method::GET, Uri::from_static("/v1/prefix"));
        let options = RequestOptions {
            timeout: Duration::from_secs(2),
            ..RequestOptions::default()
        };
        let Ok(response) = self.pool.request(&request, &options).await else {
            return;
        };
        if let Ok(answer) = response.decode::<PrefixAnswer>(BodyFormat::Json) {
            self.set_prefix(&answer.prefix);
        }
    }

    /// Submits a job once.
    pub async fn submit(&self, job: &JobRequest) -> SubmitReply {
        let target = Uri::from_static("/v1/jobs");
        let request = match ClientRequest::post(target, BodyFormat::Json, job) {
            Ok(request) => request,
            Err(error) => return SubmitReply::Invalid(error.to_string().into()),
        };
        let options = RequestOptions {
            timeout: job.deadline + ANSWER_GRACE,
            ..RequestOptions::default()
        };
        match self.pool.request(&request, &options).await {
            Ok(response) => classify(&response),
            Err(error) => SubmitReply::Retry(error.to_string().into()),
        }
    }
}

fn classify(response: &ClientResponse) -> SubmitReply {
    let decoded = matches!(
        response.status,
        StatusCode::OK | StatusCode::TOO_MANY_REQUESTS
    )
    .then(|| response.decode(BodyFormat::Json).ok())
    .flatten();
    if let Some(answer) = decoded {
        return SubmitReply::Answer(answer);
    }
    let error = response.error_answer();
    let text = format!("{}: {}", response.status.as_u16(), error.error).into();
    match response.status {
        StatusCode::TOO_MANY_REQUESTS => SubmitReply::NotRun,
        status if status.is_server_error() => SubmitReply::Retry(text),
        _ => SubmitReply::Invalid(text),
    }
}
