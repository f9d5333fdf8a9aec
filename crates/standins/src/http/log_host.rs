//! The log service as an HTTP server.

use std::cell::RefCell;
use std::time::Duration;

use filbertpitch_types::platform::{AppendAnswer, AppendRequest};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use filbertpitch_types::units::DurationText;
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::clock::HostClock;
use super::reply::{bad_query, bad_request, close_connection, not_found, ok, unavailable};
use super::ticker::PreciseTicker;
use crate::log_model::{AppendResult, LogModel, READ_LIMIT, ReadResult};

/// The interval in which a waiting read looks for new records.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);
/// The longest wait of a read.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A change of the log's behaviour; absent fields keep their value.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogControl {
    /// Whether the log refuses everything.
    pub outage: Option<bool>,
    /// Whether the log is slow.
    pub slow: Option<bool>,
    /// How many of the next answers to appends are lost.
    pub lose_answers: Option<u32>,
    /// The probability that the answer to an append is lost.
    pub lost_answer_probability: Option<f64>,
    /// How long records are kept.
    #[serde_as(as = "Option<DurationText>")]
    pub retention: Option<Duration>,
}

/// The log service.
pub struct LogHost {
    model: RefCell<LogModel>,
    clock: HostClock,
    ticker: PreciseTicker,
}

impl LogHost {
    /// Serves `model`.
    pub fn new(model: LogModel) -> Self {
        Self {
            model: RefCell::new(model),
            clock: HostClock::start(),
            ticker: PreciseTicker::start(),
        }
    }

    fn control(&self, request: &ServerRequest) -> ServerResponse {
        let control = match request.decode::<LogControl>(BodyFormat::Json) {
            Ok(control) => control,
            Err(error) => return bad_request(&error),
        };
        let mut model = self.model.borrow_mut();
        if let Some(outage) = control.outage {
            model.set_outage(outage);
        }
        if let Some(slow) = control.slow {
            model.set_slow(slow);
        }
        if let Some(count) = control.lose_answers {
            model.lose_answers(count);
        }
        if let Some(probability) = control.lost_answer_probability {
            model.set_lost_answer_probability(probability);
        }
        if let Some(retention) = control.retention {
            model.set_retention(retention);
        }
        ok(&control)
    }

    async fn sleep_until(&self, at: TimePoint) {
        self.ticker.sleep_until(self.clock.instant(at)).await;
    }

    async fn append(&self, stream: &str, request: &ServerRequest) -> ServerResponse {
        let body = match request.decode::<AppendRequest>(BodyFormat::Json) {
            Ok(append) => append.body,
            Err(error) => return bad_request(&error),
        };
        let clock = self.clock.now();
        let result = self.model.borrow_mut().append(clock, stream, body);
        match result {
            AppendResult::Stored { offset, at } => {
                self.sleep_until(at).await;
                ok(&AppendAnswer { offset })
            }
            AppendResult::AnswerLost { at, .. } => {
                self.sleep_until(at).await;
                close_connection()
            }
            AppendResult::Throttled => {
                let message = "the append rate is exceeded";
                ServerResponse::error(StatusCode::TOO_MANY_REQUESTS, "throttled", message)
            }
            AppendResult::Unavailable => unavailable(),
        }
    }

    async fn read(&self, stream: &str, request: &ServerRequest) -> ServerResponse {
        let number = |name, default| match request.query_value(name) {
            None => Some(default),
            Some(text) => text.parse::<u64>().ok(),
        };
        let numbers = (
            number("from", 0),
            number("limit", 100),
            number("wait_ms", 0),
        );
        let (Some(from), Some(limit), Some(wait)) = numbers else {
            return bad_query("from, limit, wait_ms: not a whole number");
        };
        let clock = self.clock.now();
        let latency = self.model.borrow().read_latency();
        self.sleep_until(clock.time + latency).await;
        let until = clock.time + Duration::from_millis(wait).min(WAIT_LIMIT);
        let limit = usize::try_from(limit).unwrap_or(READ_LIMIT);
        self.read_until(until, stream, LogOffset(from), limit).await
    }

    async fn read_until(
        &self,
        until: TimePoint,
        stream: &str,
        from: LogOffset,
        limit: usize,
    ) -> ServerResponse {
        loop {
            let clock: ClockReading = self.clock.now();
            let result = self.model.borrow_mut().read(clock, stream, from, limit);
            match result {
                ReadResult::Records(answer) if answer.records.is_empty() && clock.time < until => {}
                ReadResult::Records(answer) => return ok(&answer),
                ReadResult::Gone(answer) => {
                    return ServerResponse::json(StatusCode::GONE, &answer);
                }
                ReadResult::Unavailable => return unavailable(),
            }
            let next = (clock.time + WAIT_INTERVAL).min(until);
            self.sleep_until(next).await;
        }
    }
}

fn stream_of(path: &str) -> Option<&str> {
    let stream = path
        .strip_prefix("/v1/streams/")?
        .strip_suffix("/records")?;
    (!stream.is_empty() && !stream.contains('/')).then_some(stream)
}

impl RequestHandler for LogHost {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        match (&request.method, stream_of(request.path())) {
            (&Method::POST, Some(stream)) => self.append(stream, &request).await,
            (&Method::GET, Some(stream)) => self.read(stream, &request).await,
            (&Method::POST, None) if request.path() == "/control" => self.control(&request),
            _ => not_found(),
        }
    }
}
