//! Requests for submissions that another process owns; follows `serve/forward.rs`.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::claim::ClaimStatus;
use filbertpitch_dispatch::job::unknown_answer;
use filbertpitch_dispatch::route::successor_command;
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::{ForwardAnswer, ForwardCommand, ForwardRequest};
use filbertpitch_types::prelude::*;

use super::super::message::{ExchangeId, Failure, ForwardCall, Request, Response, VmCall};
use super::{EntryVm, ReplyTo};

/// The time beyond a job's deadline in which its owner still answers.
const DEADLINE_MARGIN: Duration = Duration::from_secs(4);
/// The time for a forwarded lookup or cancellation.
const SHORT_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a forwarded request follows a handover.
const HANDOVER_HOPS: usize = 4;

impl EntryVm {
    pub(super) fn forward(
        &mut self,
        caller: ExchangeId,
        address: SocketAddr,
        owner: IncarnationId,
        origin: IncarnationId,
        command: ForwardCommand,
    ) {
        self.forwards.insert(caller, command.submission().clone());
        let call = ForwardCall {
            caller,
            origin,
            asked: owner,
            command,
            hops: HANDOVER_HOPS,
        };
        self.ask_owner(address, owner, call);
    }

    /// Ends the waits for other owners; their callers get "unreachable".
    pub(super) fn end_forwards(&mut self) {
        for (caller, submission) in std::mem::take(&mut self.forwards) {
            self.answer_forwarded(caller, submission, None);
        }
    }

    fn ask_owner(&mut self, address: SocketAddr, owner: IncarnationId, mut call: ForwardCall) {
        if call.hops == 0 {
            let submission = call.command.submission().clone();
            return self.answer_forwarded(call.caller, submission, None);
        }
        call.hops -= 1;
        call.asked = owner;
        let command = match owner == call.origin {
            true => call.command.clone(),
            false => successor_command(&call.command),
        };
        let timeout = match &command {
            ForwardCommand::Submit(request) => request.deadline + DEADLINE_MARGIN,
            ForwardCommand::Lookup(_) | ForwardCommand::Cancel(_) => SHORT_TIMEOUT,
        };
        let request = Request::Forward(Box::new(ForwardRequest {
            owner,
            traceparent: None,
            command,
        }));
        self.send(address, request, timeout, VmCall::Forward(Box::new(call)));
    }

    pub(super) fn end_forward(&mut self, call: ForwardCall, result: Result<Response, Failure>) {
        // A stopping VM may have answered before.
        if !self.forwards.contains_key(&call.caller) {
            return;
        }
        let submission = call.command.submission().clone();
        match result {
            Ok(Response::Forward(answer)) => match *answer {
                ForwardAnswer::HandedOver(notice) => {
                    self.ask_owner(notice.address, notice.to, call);
                }
                ForwardAnswer::NotFound if call.asked != call.origin => {
                    let incarnation = call.asked;
                    let gone = ForwardAnswer::OwnerGone { incarnation };
                    self.answer_forwarded(call.caller, submission, Some(gone));
                }
                answer => self.answer_forwarded(call.caller, submission, Some(answer)),
            },
            _ => self.answer_forwarded(call.caller, submission, None),
        }
    }

    fn decide_forwarded(&mut self, exchange: ExchangeId, command: ForwardCommand) {
        let submission = command.submission();
        if submission.prefix().is_none() && self.claim_status(submission) == ClaimStatus::Expired {
            let answer = unknown_answer(submission.clone(), UnknownReason::Expired);
            let answer = ForwardAnswer::Job(JobAnswer::clone(&answer));
            return self.answer_peer(exchange, answer);
        }
        self.call_engine(ReplyTo::Peer(exchange), command);
    }

    pub(super) fn answer_peer(&mut self, exchange: ExchangeId, answer: ForwardAnswer) {
        self.open_calls.remove(&exchange);
        self.reply(exchange, Response::Forward(Box::new(answer)));
    }

    pub(super) fn answer_forward(&mut self, exchange: ExchangeId, request: ForwardRequest) {
        if request.owner == self.incarnation {
            return self.decide_forwarded(exchange, request.command);
        }
        let successor = self.peers.handover_of(self.clock.time, request.owner);
        let answer = match successor {
            Some(notice) => ForwardAnswer::HandedOver(notice),
            None => ForwardAnswer::OwnerGone {
                incarnation: self.incarnation,
            },
        };
        self.answer_peer(exchange, answer);
    }
}
