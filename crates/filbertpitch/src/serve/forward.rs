//! Requests for submissions that another process owns.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::claim::ClaimStatus;
use filbertpitch_dispatch::engine::CallerReply;
use filbertpitch_dispatch::job::unknown_answer;
use filbertpitch_dispatch::route::successor_command;
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::{ForwardAnswer, ForwardCommand, ForwardRequest};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::RequestOptions;
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ServerRequest, ServerResponse};
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{Either, Shared, select};
use http::{StatusCode, Uri};
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

use super::node::EntryNode;
use crate::traces::OpenSpan;

/// The time beyond a job's deadline in which its owner still answers.
const DEADLINE_MARGIN: Duration = Duration::from_secs(4);
/// The time for a forwarded lookup or cancellation.
const SHORT_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a forwarded request follows a handover.
const HANDOVER_HOPS: usize = 4;

/// Ends the waits for other owners when a stopping VM can wait no longer.
pub struct ForwardGate {
    open: RefCell<Option<oneshot::Sender<()>>>,
    closed: Shared<oneshot::Receiver<()>>,
}

impl ForwardGate {
    /// An open gate.
    pub fn new() -> Self {
        let (open, closed) = oneshot::channel();
        Self {
            open: RefCell::new(Some(open)),
            closed: closed.shared(),
        }
    }

    /// Ends the present and all later waits; their callers get "unreachable".
    pub fn close(&self) {
        // Dropping the sender completes the receivers.
        drop(self.open.borrow_mut().take());
    }
}

/// What became of a forwarded request.
#[derive(Clone, Debug)]
pub enum ForwardOutcome {
    /// The process at the address answered.
    Answered(ForwardAnswer),
    /// Nothing is known; the owner may act on the request.
    Unreachable,
}

impl EntryNode {
    /// Passes a request on to `owner`, which is `origin`, the only process that may start the
    /// submission, or the one that took over its outcomes.
    pub(super) async fn forward(
        self: &Rc<Self>,
        address: SocketAddr,
        owner: IncarnationId,
        origin: IncarnationId,
        command: ForwardCommand,
        traceparent: Option<Box<str>>,
    ) -> ForwardOutcome {
        let (mut address, mut owner) = (address, owner);
        for _ in 0..HANDOVER_HOPS {
            let traces = &self.observer().traces;
            let parent = traceparent.as_deref();
            let span = parent.and_then(|parent| traces.child("forward", SpanKind::Client, parent));
            let request = ForwardRequest {
                owner,
                traceparent: span.as_ref().map(OpenSpan::traceparent),
                command: match owner == origin {
                    true => command.clone(),
                    false => successor_command(&command),
                },
            };
            let answer = self.exchange(address, &request).await;
            if let Some(span) = span {
                let attributes = vec![
                    KeyValue::new("to", address.to_string()),
                    KeyValue::new("answered", answer.is_some()),
                ];
                traces.finish(span, attributes);
            }
            let Some(answer) = answer else {
                return ForwardOutcome::Unreachable;
            };
            match answer {
                ForwardAnswer::HandedOver(notice) => {
                    (address, owner) = (notice.address, notice.to);
                }
                ForwardAnswer::NotFound if owner != origin => {
                    let gone = ForwardAnswer::OwnerGone { incarnation: owner };
                    return ForwardOutcome::Answered(gone);
                }
                answer => return ForwardOutcome::Answered(answer),
            }
        }
        ForwardOutcome::Unreachable
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &ForwardRequest,
    ) -> Option<ForwardAnswer> {
        let options = RequestOptions {
            timeout: forward_timeout(&request.command),
            ..RequestOptions::default()
        };
        let target = Uri::from_static("/peer/forward");
        let request = ClientRequest::post(target, BodyFormat::MessagePack, request).ok()?;
        let pool = self.pool(address);
        let response = pin!(pool.request(&request, &options));
        let response = match select(response, self.forwards.closed.clone()).await {
            Either::Left((response, _)) => response.ok()?,
            Either::Right(_) => return None,
        };
        if response.status != StatusCode::OK {
            return None;
        }
        response.decode(BodyFormat::MessagePack).ok()
    }

    /// Answers `POST /peer/forward`.
    pub(super) async fn answer_forward(self: &Rc<Self>, request: ServerRequest) -> ServerResponse {
        let request = match request.decode::<ForwardRequest>(BodyFormat::MessagePack) {
            Ok(request) => request,
            Err(error) => {
                let message = error.to_string();
                return ServerResponse::error(StatusCode::BAD_REQUEST, "bad_request", &message);
            }
        };
        match self.decide_forwarded(request).await {
            Some(answer) => {
                ServerResponse::encoded(StatusCode::OK, BodyFormat::MessagePack, &answer)
            }
            None => ServerResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn decide_forwarded(self: &Rc<Self>, request: ForwardRequest) -> Option<ForwardAnswer> {
        if request.owner != self.incarnation() {
            return Some(self.disown(request.owner));
        }
        let submission = request.command.submission();
        // The age was checked before the request was forwarded, but it may have waited for long,
        // for example while this process was paused. The engine may have forgotten the key.
        if submission.prefix().is_none() && self.claim_status(submission) == ClaimStatus::Expired {
            let answer = unknown_answer(submission.clone(), UnknownReason::Expired);
            return Some(ForwardAnswer::Job(JobAnswer::clone(&answer)));
        }
        // A request that its entry VM does not sample is not sampled here either.
        let traces = &self.observer().traces;
        let parent = request.traceparent.as_deref();
        let span = parent.and_then(|parent| traces.child("owner", SpanKind::Server, parent));
        let traceparent = span.as_ref().map(OpenSpan::traceparent);
        let reply = self.decide(request.command, traceparent).await;
        if let Some(span) = span {
            traces.finish(span, Vec::new());
        }
        let reply = reply?;
        Some(match reply {
            CallerReply::Job(answer) => ForwardAnswer::Job(JobAnswer::clone(&answer)),
            CallerReply::Pending => ForwardAnswer::Pending,
            CallerReply::NotFound => ForwardAnswer::NotFound,
            CallerReply::Conflict => ForwardAnswer::Conflict,
        })
    }

    /// This address no longer belongs to `owner`.
    fn disown(&self, owner: IncarnationId) -> ForwardAnswer {
        let now = self.now().time;
        match self.peers.borrow().handover_of(now, owner) {
            Some(notice) => ForwardAnswer::HandedOver(notice),
            None => ForwardAnswer::OwnerGone {
                incarnation: self.incarnation(),
            },
        }
    }
}

fn forward_timeout(command: &ForwardCommand) -> Duration {
    match command {
        ForwardCommand::Submit(request) => request.deadline + DEADLINE_MARGIN,
        ForwardCommand::Lookup(_) | ForwardCommand::Cancel(_) => SHORT_TIMEOUT,
    }
}
