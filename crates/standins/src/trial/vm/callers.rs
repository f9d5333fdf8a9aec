//! The callers' interface; follows `serve/callers.rs`.

use filbertpitch_dispatch::claim::ClaimStatus;
use filbertpitch_dispatch::engine::CallerReply;
use filbertpitch_dispatch::job::unknown_answer;
use filbertpitch_dispatch::route::{RouteDecision, route_submission, successor_command};
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::{ForwardAnswer, ForwardCommand};
use filbertpitch_types::prelude::*;

use super::super::message::{CallerAnswer, ExchangeId};
use super::{EntryVm, ReplyTo};

impl EntryVm {
    pub(super) fn answer_caller(&mut self, caller: ExchangeId, command: ForwardCommand) {
        if matches!(command, ForwardCommand::Submit(_)) && !self.has_configuration() {
            return self.answer(caller, CallerAnswer::NotReady);
        }
        match command.submission().prefix().cloned() {
            Some(owner) => self.answer_owned(caller, &owner, command),
            None => self.answer_bare(caller, command),
        }
    }

    /// Answers about a submission that `owner` may start.
    fn answer_owned(&mut self, caller: ExchangeId, owner: &OwnerPrefix, command: ForwardCommand) {
        let status = self.prefix_status(owner);
        let submission = command.submission().clone();
        match route_submission(owner, self.incarnation, &status) {
            RouteDecision::Local if owner.incarnation == self.incarnation => {
                self.call_engine(ReplyTo::Caller(caller), command);
            }
            RouteDecision::Local => {
                let to = ReplyTo::AdoptedCaller(caller, submission);
                self.call_engine(to, successor_command(&command));
            }
            RouteDecision::Forward { address, owner: to } => {
                self.forward(caller, address, to, owner.incarnation, command);
            }
            RouteDecision::OwnerGone => {
                self.answer_gone(caller, submission);
            }
        }
    }

    /// Acts on what is known about the owner of a bare key; `None` while the log cannot be
    /// reached.
    pub(super) fn answer_claimed(
        &mut self,
        caller: ExchangeId,
        command: ForwardCommand,
        status: Option<ClaimStatus>,
    ) {
        let may_claim = matches!(command, ForwardCommand::Submit(_));
        let submission = command.submission().clone();
        match status {
            Some(ClaimStatus::Own) => self.call_engine(ReplyTo::Caller(caller), command),
            Some(ClaimStatus::Foreign(owner)) => {
                self.answer_owned(caller, &owner, command);
            }
            Some(ClaimStatus::Expired) => {
                let answer = unknown_answer(submission, UnknownReason::Expired);
                let answer = self.job_answer(JobAnswer::clone(&answer));
                self.answer(caller, answer);
            }
            Some(ClaimStatus::Unclaimed) if !may_claim => {
                self.answer(caller, CallerAnswer::NotFound);
            }
            Some(ClaimStatus::Unclaimed) | None => {
                self.answer(caller, CallerAnswer::LogUnavailable);
            }
        }
    }

    pub(super) fn answer_gone(&mut self, caller: ExchangeId, submission: SubmissionId) {
        let answer = unknown_answer(submission, UnknownReason::OwnerGone);
        let answer = self.job_answer(JobAnswer::clone(&answer));
        self.answer(caller, answer);
    }

    pub(super) fn answer_forwarded(
        &mut self,
        caller: ExchangeId,
        submission: SubmissionId,
        outcome: Option<ForwardAnswer>,
    ) {
        self.forwards.remove(&caller);
        let answer = match outcome {
            Some(ForwardAnswer::Job(answer)) => self.job_answer(answer),
            Some(ForwardAnswer::NotFound) => CallerAnswer::NotFound,
            Some(ForwardAnswer::Pending) => CallerAnswer::Pending,
            Some(ForwardAnswer::Conflict) => CallerAnswer::Conflict,
            Some(ForwardAnswer::OwnerGone { .. } | ForwardAnswer::HandedOver(_)) => {
                if let Some(owner) = submission.prefix() {
                    self.peers.record_superseded(self.clock.time, owner);
                }
                return self.answer_gone(caller, submission);
            }
            None => CallerAnswer::Unreachable,
        };
        self.answer(caller, answer);
    }

    pub(super) fn caller_answer(&self, reply: CallerReply) -> CallerAnswer {
        match reply {
            CallerReply::Job(answer) => self.job_answer(JobAnswer::clone(&answer)),
            CallerReply::Pending => CallerAnswer::Pending,
            CallerReply::NotFound => CallerAnswer::NotFound,
            CallerReply::Conflict => CallerAnswer::Conflict,
        }
    }

    /// A job's answer with a fresh prefix.
    fn job_answer(&self, mut answer: JobAnswer) -> CallerAnswer {
        answer.prefix = Some(self.own_prefix());
        CallerAnswer::Job(Box::new(answer))
    }
}
