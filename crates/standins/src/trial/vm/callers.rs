//! The callers' interface; follows `serve/callers.rs`.

use filbertpitch_dispatch::claim::ClaimStatus;
use filbertpitch_dispatch::engine::CallerReply;
use filbertpitch_dispatch::job::unknown_answer;
use filbertpitch_dispatch::membership::OwnerStatus;
use filbertpitch_dispatch::route::{RouteDecision, route_submission};
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::{ForwardAnswer, ForwardCommand};
use filbertpitch_types::prelude::*;

use super::super::message::{CallerAnswer, ExchangeId, submission_of};
use super::{EntryVm, ReplyTo};

impl EntryVm {
    pub(super) fn answer_caller(&mut self, caller: ExchangeId, command: ForwardCommand) {
        if matches!(command, ForwardCommand::Submit(_)) && !self.has_configuration() {
            return self.answer(caller, CallerAnswer::NotReady);
        }
        let submission = submission_of(&command);
        let status = self.owner_status(submission);
        match route_submission(submission, self.incarnation, &status) {
            RouteDecision::Local => self.call_engine(ReplyTo::Caller(caller), command),
            RouteDecision::OwnerGone => self.answer_gone(caller, submission.clone()),
            RouteDecision::Forward { address, owner } => {
                self.forward(caller, address, owner, command);
            }
            RouteDecision::Claim => self.answer_bare(caller, command),
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
        let submission = submission_of(&command).clone();
        match status {
            Some(ClaimStatus::Mine) => self.call_engine(ReplyTo::Caller(caller), command),
            Some(ClaimStatus::Theirs(owner)) => {
                if self.prefix_status(&owner) == OwnerStatus::Gone {
                    return self.answer_gone(caller, submission);
                }
                self.forward(caller, owner.address, owner.incarnation, command);
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

    fn answer_gone(&mut self, caller: ExchangeId, submission: SubmissionId) {
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
        let answer = match outcome {
            Some(ForwardAnswer::Job(answer)) => self.job_answer(answer),
            Some(ForwardAnswer::NotFound) => CallerAnswer::NotFound,
            Some(ForwardAnswer::Pending) => CallerAnswer::Pending,
            Some(ForwardAnswer::Conflict) => CallerAnswer::Conflict,
            Some(ForwardAnswer::OwnerGone { .. } | ForwardAnswer::HandedOver(_)) => {
                if let Some(owner) = submission.prefix() {
                    self.peers.note_superseded(self.clock.time, owner);
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
