//! Requests of a submission to one VM after another.

use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, PrefixAnswer};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::codec::{BodyFormat, CodecError};
use filbertpitch_wire::message::{ClientRequest, ClientResponse};
use http::{HeaderName, HeaderValue, StatusCode, Uri};

use crate::cli::{RemoteError, VmClient};
use crate::traces::TRACE_HEADER;

/// A VM issues a prefix from memory, so a longer wait does not help.
const PREFIX_TIMEOUT: Duration = Duration::from_secs(5);
/// The time for the response beyond the deadline of the job: the VM decides the outcome at the
/// deadline and may forward the request to another VM before.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);

/// Fetches a prefix from the first VM that issues one. A prefix has no effect by itself, so it is
/// safe to ask several VMs.
pub(super) async fn fetch_prefix(clients: &[VmClient]) -> Result<OwnerPrefix, RemoteError> {
    let target = Uri::from_static("/v1/prefix");
    let ask = async |client: &VmClient| client.get(target.clone(), PREFIX_TIMEOUT).await;
    let answer: PrefixAnswer = first_answer(clients, ask).await?;
    Ok(answer.prefix)
}

/// Sends a job to the first VM that has an answer.
///
/// Every VM gets the same submission identifier. It names the only process that may start the
/// tasks, so a second request joins the first one even if that was received.
pub(super) async fn send_job(
    clients: &[VmClient],
    request: &JobRequest,
    traceparent: Option<&str>,
) -> Result<JobAnswer, RemoteError> {
    let send = async |client: &VmClient| send_to(client, request, traceparent).await;
    first_answer(clients, send).await
}

/// Asks one VM after another until one gives an answer or an error that another VM would repeat.
async fn first_answer<T, F>(clients: &[VmClient], ask: F) -> Result<T, RemoteError>
where
    F: AsyncFn(&VmClient) -> Result<T, RemoteError>,
{
    let mut clients = clients.iter().peekable();
    loop {
        let client = clients.next().expect("there is at least one VM");
        match ask(client).await {
            Ok(answer) => return Ok(answer),
            Err(error) if clients.peek().is_none() || !error.is_transient() => return Err(error),
            Err(error) => eprintln!("{error}; trying the next VM"),
        }
    }
}

async fn send_to(
    client: &VmClient,
    request: &JobRequest,
    traceparent: Option<&str>,
) -> Result<JobAnswer, RemoteError> {
    let target = Uri::from_static("/v1/jobs");
    let mut message = ClientRequest::post(target, BodyFormat::Json, request)
        .map_err(|error| RemoteError::Invalid(client.address(), error))?;
    if let Some(value) = traceparent.and_then(|text| HeaderValue::try_from(text).ok()) {
        message = message.with_header(HeaderName::from_static(TRACE_HEADER), value);
    }
    let timeout = request.deadline + ANSWER_MARGIN;
    let response = client.send(&message, timeout).await?;
    read_answer(client, request, &response)
}

/// Reads a job answer. A refusal as "not run" has a status of 429 and a job answer as well.
fn read_answer(
    client: &VmClient,
    request: &JobRequest,
    response: &ClientResponse,
) -> Result<JobAnswer, RemoteError> {
    match response.decode::<JobAnswer>(BodyFormat::Json) {
        Ok(answer) if answer.submission == request.submission => Ok(answer),
        Ok(_) => Err(RemoteError::Invalid(client.address(), other_submission())),
        Err(error) if response.status == StatusCode::OK => {
            Err(RemoteError::Invalid(client.address(), error))
        }
        _ => Err(client.refused(response)),
    }
}

fn other_submission() -> CodecError {
    CodecError {
        format: BodyFormat::Json,
        field: "submission".into(),
        message: "the response belongs to another submission".into(),
    }
}
