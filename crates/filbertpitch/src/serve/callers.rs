//! The callers' interface.

use std::rc::Rc;

use filbertpitch_dispatch::claim::ClaimStatus;
use filbertpitch_dispatch::engine::{CallerReply, EngineEvent};
use filbertpitch_dispatch::job::unknown_answer;
use filbertpitch_dispatch::route::{RouteDecision, route_submission, successor_command};
use filbertpitch_types::caller::{JobAnswer, JobRequest, PrefixAnswer};
use filbertpitch_types::peer::{ForwardAnswer, ForwardCommand};
use filbertpitch_types::prelude::*;
use filbertpitch_types::trace::{TraceAnswer, TraceNumber};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use http::{HeaderName, HeaderValue, StatusCode, header};
use opentelemetry::KeyValue;

use super::forward::ForwardOutcome;
use super::node::EntryNode;
use super::request::check_request;
use crate::traces::{OpenSpan, TRACE_HEADER};

/// The header that carries a fresh prefix on every job answer.
const PREFIX_HEADER: HeaderName = HeaderName::from_static("x-filbertpitch-prefix");

/// What a request about a submission asks for.
struct SubmissionCall {
    submission: SubmissionId,
    command: ForwardCommand,
    traceparent: Option<Box<str>>,
}

impl EntryNode {
    /// Answers `GET /v1/prefix`.
    pub(super) fn answer_prefix(&self) -> ServerResponse {
        let prefix = self.own_prefix();
        ServerResponse::json(StatusCode::OK, &PrefixAnswer { prefix })
    }

    /// Answers `POST /v1/jobs`.
    pub(super) async fn answer_submit(self: &Rc<Self>, request: ServerRequest) -> ServerResponse {
        if !self.has_configuration() {
            return not_ready();
        }
        let job = match request.decode::<JobRequest>(BodyFormat::Json) {
            Ok(job) => job,
            Err(error) => return bad_request(&error.to_string()),
        };
        let limits = self.limits();
        if let Err(problem) = check_request(&job, &limits) {
            return bad_request(&problem.to_string());
        }
        let traces = &self.observer().traces;
        let span = traces.admit("entry", request.header(TRACE_HEADER));
        let call = SubmissionCall {
            submission: job.submission.clone(),
            traceparent: span.as_ref().map(OpenSpan::traceparent),
            command: ForwardCommand::Submit(job),
        };
        let submission = span.is_some().then(|| call.submission.to_string());
        let response = self.answer_call(call).await;
        if let (Some(span), Some(submission)) = (span, submission) {
            let status = i64::from(response.status.as_u16());
            let attributes = vec![
                KeyValue::new("submission", submission),
                KeyValue::new("status", status),
            ];
            traces.finish(span, attributes);
        }
        response
    }

    /// Answers `GET /v1/traces/TRACE_ID`.
    pub(super) fn answer_trace(&self, text: &str) -> ServerResponse {
        match text.parse::<TraceNumber>() {
            Ok(trace) => {
                let answer = TraceAnswer {
                    trace,
                    address: self.settings().advertise,
                    spans: self.observer().traces.spans(trace),
                };
                ServerResponse::json(StatusCode::OK, &answer)
            }
            Err(error) => bad_request(&error.to_string()),
        }
    }

    /// Answers `GET` and `DELETE /v1/jobs/SUBMISSION`.
    pub(super) async fn answer_job<F>(self: &Rc<Self>, text: &str, command: F) -> ServerResponse
    where
        F: FnOnce(SubmissionId) -> ForwardCommand,
    {
        let submission = match text.parse::<SubmissionId>() {
            Ok(submission) => submission,
            Err(error) => return bad_request(&error.to_string()),
        };
        let call = SubmissionCall {
            submission: submission.clone(),
            command: command(submission),
            traceparent: None,
        };
        self.answer_call(call).await
    }

    async fn answer_call(self: &Rc<Self>, call: SubmissionCall) -> ServerResponse {
        let Some(owner) = call.submission.prefix().cloned() else {
            return self.answer_bare(call).await;
        };
        self.answer_owned(&owner, call).await
    }

    /// Answers about a submission that `owner` may start.
    async fn answer_owned(
        self: &Rc<Self>,
        owner: &OwnerPrefix,
        call: SubmissionCall,
    ) -> ServerResponse {
        let status = self.prefix_status(owner);
        match route_submission(owner, self.incarnation(), &status) {
            RouteDecision::Local if owner.incarnation == self.incarnation() => {
                self.decide_locally(call).await
            }
            RouteDecision::Local => self.answer_adopted(call).await,
            RouteDecision::Forward { address, owner: to } => {
                let origin = owner.incarnation;
                let outcome = self
                    .forward(address, to, origin, call.command, call.traceparent)
                    .await;
                self.answer_forwarded(call.submission, outcome)
            }
            RouteDecision::OwnerGone => self.answer_gone(call.submission),
        }
    }

    /// Answers from the outcomes that another process handed over to this one.
    async fn answer_adopted(self: &Rc<Self>, call: SubmissionCall) -> ServerResponse {
        let command = successor_command(&call.command);
        match self.decide(command, call.traceparent).await {
            Some(CallerReply::NotFound) | None => self.answer_gone(call.submission),
            Some(reply) => self.reply_response(reply),
        }
    }

    async fn decide_locally(self: &Rc<Self>, call: SubmissionCall) -> ServerResponse {
        match self.decide(call.command, call.traceparent).await {
            Some(reply) => self.reply_response(reply),
            None => ServerResponse::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "stopping",
                "the process is stopping; the outcome is not known",
            ),
        }
    }

    /// Lets the engine of this process decide.
    pub(super) async fn decide(
        self: &Rc<Self>,
        command: ForwardCommand,
        traceparent: Option<Box<str>>,
    ) -> Option<CallerReply> {
        let event = |caller, command| match command {
            ForwardCommand::Submit(request) => EngineEvent::JobSubmitted {
                caller,
                request,
                traceparent,
            },
            ForwardCommand::Lookup(submission) => EngineEvent::JobLookedUp { caller, submission },
            ForwardCommand::Cancel(submission) => EngineEvent::JobCancelled { caller, submission },
        };
        let submit = matches!(command, ForwardCommand::Submit(_));
        let started = self.now().time;
        let reply = self.driver().call(|caller| event(caller, command)).await;
        if submit {
            self.observer().see_response(self.now().time.since(started));
        }
        reply
    }

    /// A bare key belongs to whoever claimed it first in the log.
    async fn answer_bare(self: &Rc<Self>, call: SubmissionCall) -> ServerResponse {
        let may_claim = matches!(call.command, ForwardCommand::Submit(_));
        match self.claim_owner(&call.submission, may_claim).await {
            Some(ClaimStatus::Own) => self.decide_locally(call).await,
            Some(ClaimStatus::Foreign(owner)) => self.answer_owned(&owner, call).await,
            Some(ClaimStatus::Expired) => {
                let answer = unknown_answer(call.submission, UnknownReason::Expired);
                self.job_response(JobAnswer::clone(&answer))
            }
            Some(ClaimStatus::Unclaimed) if !may_claim => not_found(),
            Some(ClaimStatus::Unclaimed) | None => ServerResponse::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "log_unavailable",
                "the log cannot be reached to claim the key; this request started nothing",
            ),
        }
    }

    fn answer_gone(&self, submission: SubmissionId) -> ServerResponse {
        let answer = unknown_answer(submission, UnknownReason::OwnerGone);
        self.job_response(JobAnswer::clone(&answer))
    }

    fn answer_forwarded(
        &self,
        submission: SubmissionId,
        outcome: ForwardOutcome,
    ) -> ServerResponse {
        match outcome {
            ForwardOutcome::Answered(ForwardAnswer::Job(answer)) => self.job_response(answer),
            ForwardOutcome::Answered(ForwardAnswer::NotFound) => not_found(),
            ForwardOutcome::Answered(ForwardAnswer::Pending) => pending(),
            ForwardOutcome::Answered(ForwardAnswer::Conflict) => conflict(),
            ForwardOutcome::Answered(
                ForwardAnswer::OwnerGone { .. } | ForwardAnswer::HandedOver(_),
            ) => {
                if let Some(owner) = submission.prefix() {
                    let now = self.now().time;
                    self.peers.borrow_mut().record_superseded(now, owner);
                }
                self.answer_gone(submission)
            }
            ForwardOutcome::Unreachable => ServerResponse::error(
                StatusCode::GATEWAY_TIMEOUT,
                "unreachable",
                "the process that owns the submission cannot be reached at present; nothing was \
                 decided, ask again with the same submission",
            ),
        }
    }

    fn reply_response(&self, reply: CallerReply) -> ServerResponse {
        match reply {
            CallerReply::Job(answer) => self.job_response(JobAnswer::clone(&answer)),
            CallerReply::Pending => pending(),
            CallerReply::NotFound => not_found(),
            CallerReply::Conflict => conflict(),
        }
    }

    /// The response for a job's answer, with a fresh prefix.
    fn job_response(&self, mut answer: JobAnswer) -> ServerResponse {
        self.observer().see_answer(&answer);
        let prefix = self.own_prefix();
        let prefix_text = prefix.to_string();
        answer.prefix = Some(prefix);
        let not_run = answer.outcome == JobOutcome::NotRun;
        let status = if not_run {
            StatusCode::TOO_MANY_REQUESTS
        } else {
            StatusCode::OK
        };
        let mut response = ServerResponse::json(status, &answer);
        if let Some(retry_after) = answer.retry_after {
            let seconds = retry_after.as_secs_f64().ceil() as u64;
            response = response.with_header(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        match HeaderValue::from_str(&prefix_text) {
            Ok(value) => response.with_header(PREFIX_HEADER, value),
            Err(_) => response,
        }
    }
}

fn bad_request(message: &str) -> ServerResponse {
    ServerResponse::error(StatusCode::BAD_REQUEST, "bad_request", message)
}

fn not_ready() -> ServerResponse {
    ServerResponse::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        "this VM has no configuration yet; the request started nothing",
    )
}

fn not_found() -> ServerResponse {
    let message = "the submission is not known and was not started";
    ServerResponse::error(StatusCode::NOT_FOUND, "not_found", message)
}

fn pending() -> ServerResponse {
    let message = "the job is running";
    ServerResponse::error(StatusCode::ACCEPTED, "pending", message)
}

fn conflict() -> ServerResponse {
    let message = "the submission was used before for a different job";
    ServerResponse::error(StatusCode::CONFLICT, "conflict", message)
}
