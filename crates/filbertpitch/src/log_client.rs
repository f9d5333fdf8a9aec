//! Reads and appends of the platform's log, for the entry VM and for the command line.

use std::time::Duration;

use filbertpitch_config::read::LogRead;
use filbertpitch_types::platform::{AppendAnswer, AppendRequest, ReadAnswer};
use filbertpitch_wire::client::{ConnectionPool, RequestOptions, SentState};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::ClientRequest;
use filbertpitch_wire::target::RequestTarget;
use http::{Method, StatusCode};

use crate::serve::{ControlTraffic, TrafficClass};

/// The time beyond a read's own wait in which the log must answer.
const READ_MARGIN: Duration = Duration::from_secs(2);
/// The time for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest answer to a read.
const READ_LIMIT_BYTES: usize = 64 << 20;

/// The answer to a read of the log.
pub enum ReadOutcome {
    /// Records, possibly none.
    Read(ReadAnswer),
    /// The requested offset is no longer kept.
    Expired(ReadAnswer),
    /// The log did not answer.
    Outage,
}

fn records_target(stream: &str) -> RequestTarget {
    RequestTarget::new("/v1/streams")
        .with_segment(stream)
        .with_segment("records")
}

/// Reads a stream of the log.
pub async fn read_stream(
    traffic: &ControlTraffic,
    pool: &ConnectionPool,
    stream: &str,
    read: &LogRead,
) -> ReadOutcome {
    let target = records_target(stream)
        .with_parameter("from", read.from)
        .with_parameter("limit", read.limit)
        .with_parameter("wait_ms", read.wait.as_millis());
    let Ok(target) = target.build() else {
        return ReadOutcome::Outage;
    };
    let options = RequestOptions {
        timeout: read.wait + READ_MARGIN,
        max_response_body: READ_LIMIT_BYTES,
        ..RequestOptions::default()
    };
    let request = ClientRequest::new(Method::GET, target);
    let exchange = traffic.request(TrafficClass::Log, pool, &request, &options);
    let Ok(response) = exchange.await else {
        return ReadOutcome::Outage;
    };
    let Ok(answer) = response.decode::<ReadAnswer>(BodyFormat::Json) else {
        return ReadOutcome::Outage;
    };
    match response.status {
        StatusCode::OK => ReadOutcome::Read(answer),
        StatusCode::GONE => ReadOutcome::Expired(answer),
        _ => ReadOutcome::Outage,
    }
}

/// Appends a record to a stream of the log.
///
/// # Errors
/// Whether the append may have taken effect all the same.
pub async fn append_record(
    traffic: &ControlTraffic,
    pool: &ConnectionPool,
    stream: &str,
    append: &AppendRequest,
) -> Result<AppendAnswer, SentState> {
    let target = records_target(stream)
        .build()
        .map_err(|_| SentState::NotSent)?;
    let request =
        ClientRequest::post(target, BodyFormat::Json, append).map_err(|_| SentState::NotSent)?;
    let options = RequestOptions {
        timeout: APPEND_TIMEOUT,
        ..RequestOptions::default()
    };
    let exchange = traffic.request(TrafficClass::Log, pool, &request, &options);
    let response = exchange.await.map_err(|error| error.sent)?;
    if response.status != StatusCode::OK {
        // An error answer does not say whether the record was stored before the error.
        return Err(SentState::MaybeSent);
    }
    response
        .decode::<AppendAnswer>(BodyFormat::Json)
        .map_err(|_| SentState::MaybeSent)
}
