//! Cancels of jobs, wherever their coordinators are.

use std::collections::BTreeSet;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::fleet::{FleetMessage, JobReply};
use filbertpitch_types::prelude::*;

use super::{FleetAction, FleetEngine, TimerTopic};
use crate::cancellation::{CANCEL_MEMORY, CANCEL_TIMEOUT, CancelOutcome, CancelToken};
use crate::link::{LinkPhase, PeerLink};

/// Whether a VM can be asked for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerReach {
    /// It gets messages.
    Reached,
    /// It may have the job and gets no messages.
    Missing,
    /// Its process has ended, or was lost so long ago that no client waits for a job there.
    Gone,
}

impl FleetEngine {
    /// Cancels a job for a client. If this VM does not coordinate it, all others are asked.
    pub(super) fn request_cancel(&mut self, token: CancelToken, job: JobId) {
        let now = self.now();
        self.cancels.remember(now, job);
        if self.cancel_job(job) {
            return self.answer_cancel(token, CancelOutcome::Cancelled);
        }
        let mut awaited = BTreeSet::new();
        let mut otherwise = CancelOutcome::UnknownJob;
        for (vm, link) in self.links.iter_enumerated() {
            match link.as_ref().map(|link| reach_of(now, link)) {
                Some(PeerReach::Reached) => {
                    awaited.insert(vm);
                }
                Some(PeerReach::Missing) => otherwise = CancelOutcome::Unconfirmed,
                Some(PeerReach::Gone) | None => {}
            }
        }
        if awaited.is_empty() {
            return self.answer_cancel(token, otherwise);
        }
        for vm in &awaited {
            self.send(*vm, FleetMessage::Cancel(job));
        }
        self.cancels.open(token, job, awaited, otherwise);
        self.timers
            .subscribe(now + CANCEL_TIMEOUT, TimerTopic::CancelLate(token));
    }

    /// Cancels a job that this VM coordinates. Returns whether it does.
    pub(super) fn cancel_job(&mut self, job: JobId) -> bool {
        let key = self.jobs.find(job);
        if let Some(key) = key {
            self.answer_job(key, JobReply::Cancelled);
        }
        key.is_some()
    }

    /// Cancels a job at the request of a VM that does not have it.
    pub(super) fn receive_cancel(&mut self, from: VmIndex, job: JobId) {
        self.cancels.remember(self.now(), job);
        let found = self.cancel_job(job);
        self.send(from, FleetMessage::CancelDone { job, found });
    }

    pub(super) fn receive_cancel_answer(&mut self, from: VmIndex, job: JobId, found: bool) {
        let answered = self.cancels.record_answer(from, job, found);
        self.answer_cancels(answered);
    }

    /// Ends the wait for the answers of a lost VM.
    pub(super) fn drop_cancels_with(&mut self, peer: VmIndex) {
        let answered = self.cancels.drop_vm(peer);
        self.answer_cancels(answered);
    }

    pub(super) fn give_up_cancel(&mut self, token: CancelToken) {
        if self.cancels.give_up(token) {
            self.answer_cancel(token, CancelOutcome::Unconfirmed);
        }
    }

    fn answer_cancels(&mut self, answered: Vec<(CancelToken, CancelOutcome)>) {
        for (token, outcome) in answered {
            self.answer_cancel(token, outcome);
        }
    }

    fn answer_cancel(&mut self, token: CancelToken, outcome: CancelOutcome) {
        self.actions
            .push(FleetAction::AnswerCancel { token, outcome });
    }
}

fn reach_of(now: TimePoint, link: &PeerLink) -> PeerReach {
    match link.phase() {
        LinkPhase::Live | LinkPhase::Silent => PeerReach::Reached,
        LinkPhase::NeverHeard { since } | LinkPhase::Lost { since, dead: false }
            if now.since(since) < CANCEL_MEMORY =>
        {
            PeerReach::Missing
        }
        LinkPhase::NeverHeard { .. } | LinkPhase::Lost { .. } => PeerReach::Gone,
    }
}
