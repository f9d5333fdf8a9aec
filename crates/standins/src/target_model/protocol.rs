//! The requests of the target protocol.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{
    AttemptOutcome, AttemptReport, AttemptState, AttemptsRequest, CheckRequest, RefusalReason,
    StartAnswer, StartRequest, StateAnswer,
};
use filbertpitch_types::time::ClockReading;

use super::run::LiveRun;
use super::{StartReply, TargetModel};
use crate::ledger::RunEnd;
use crate::plan::{ProgressToken, RunPlan};

/// How long a run takes on a target that fails everything.
const FAIL_FAST_TIME: Duration = Duration::from_millis(1);

impl TargetModel {
    /// Starts an attempt, joins it if it is running, or repeats its result.
    pub fn start(&mut self, clock: ClockReading, request: &StartRequest) -> StartReply {
        self.advance(clock);
        self.counters.messages += 1;
        let attempt = request.attempt;
        if self.runs.contains_key(&attempt) {
            self.counters.joins += 1;
            return StartReply::WhenEnded;
        }
        if let Some(verdict) = self.memory.verdict(attempt).cloned() {
            self.counters.joins += 1;
            return StartReply::Now(self.answer(attempt, verdict));
        }
        if let Some(reason) = self.refusal(clock, request) {
            self.counters.refusals += 1;
            let verdict = AttemptOutcome::Refused { reason };
            // A refused attempt must not start later, so its refusal is remembered.
            self.memory.remember(clock.time, attempt, verdict.clone());
            return StartReply::Now(self.answer(attempt, verdict));
        }
        self.begin_run(clock, request);
        StartReply::WhenEnded
    }

    /// The answer to a start request with this verdict.
    pub fn answer(&self, attempt: AttemptId, verdict: AttemptOutcome) -> StartAnswer {
        StartAnswer {
            attempt,
            verdict,
            load: self.load(),
        }
    }

    fn refusal(&self, clock: ClockReading, request: &StartRequest) -> Option<RefusalReason> {
        let kinds = self.profile.takes.get(&request.service);
        let takes_kind = kinds.is_some_and(|kinds| kinds.contains(&request.kind));
        let full = self.slots_in_use() >= self.profile.slots
            || self.memory.len() >= self.profile.memory_limit;
        if clock.wall >= request.lease_until {
            Some(RefusalReason::Expired)
        } else if self.faults.leaving {
            Some(RefusalReason::Leaving)
        } else if !takes_kind {
            Some(RefusalReason::UnknownKind)
        } else if full {
            Some(RefusalReason::Busy)
        } else {
            None
        }
    }

    fn begin_run(&mut self, clock: ClockReading, request: &StartRequest) {
        let attempt = request.attempt;
        let mut plan = RunPlan::parse(&request.input);
        if self.faults.fail_fast {
            plan.run_time = FAIL_FAST_TIME;
            plan.failure = Some("injected failure".into());
        }
        let token = request
            .resume_from
            .as_deref()
            .and_then(ProgressToken::parse);
        let progress = token.map_or(Duration::ZERO, |ProgressToken(progress)| progress);
        let ledger_index = self.ledger.record_start(clock.time, attempt, &plan);
        let mut run = LiveRun::start(clock, plan, request.lease_until, progress, ledger_index);
        run.settle(clock.time, self.faults.straggle);
        self.runs.insert(attempt, run);
        self.counters.starts += 1;
        self.schedule(attempt);
    }

    /// Reports the state of attempts and renews the leases of the holder's running ones.
    pub fn check(&mut self, clock: ClockReading, request: &CheckRequest) -> StateAnswer {
        self.advance(clock);
        self.counters.messages += 1;
        self.counters.checks += 1;
        let held = request.attempts.iter().copied();
        for attempt in held.filter(|attempt| attempt.incarnation == request.holder) {
            self.renew_lease(clock, attempt, request.lease_until);
        }
        self.report(&request.attempts)
    }

    fn renew_lease(&mut self, clock: ClockReading, attempt: AttemptId, lease_until: WallTime) {
        // A check that was delayed on the network must not shorten the lease.
        let run = self.runs.get_mut(&attempt);
        let Some(run) = run.filter(|run| run.lease_until < lease_until) else {
            return;
        };
        run.renew(clock, lease_until);
        self.schedule(attempt);
    }

    /// Stops running attempts and fences those that the target has not seen.
    pub fn stop(&mut self, clock: ClockReading, request: &AttemptsRequest) -> StateAnswer {
        self.advance(clock);
        self.counters.messages += 1;
        self.counters.stops += 1;
        for &attempt in &request.attempts {
            if self.runs.contains_key(&attempt) {
                self.end_run(
                    clock.time,
                    attempt,
                    AttemptOutcome::Stopped,
                    RunEnd::Stopped,
                );
            } else {
                let reason = RefusalReason::Fenced;
                let verdict = AttemptOutcome::Refused { reason };
                self.memory.remember(clock.time, attempt, verdict);
            }
        }
        self.report(&request.attempts)
    }

    /// Continues running attempts in the background and frees their slots.
    pub fn throttle(&mut self, clock: ClockReading, request: &AttemptsRequest) -> StateAnswer {
        self.advance(clock);
        self.counters.messages += 1;
        self.counters.throttles += 1;
        for &attempt in &request.attempts {
            let run = self.runs.get_mut(&attempt);
            let Some(run) = run.filter(|run| !run.parked) else {
                continue;
            };
            run.parked = true;
            run.settle(clock.time, self.faults.straggle);
            self.parked += 1;
            self.schedule(attempt);
        }
        self.report(&request.attempts)
    }

    /// Ends running attempts with a token from which another target may resume.
    pub fn checkpoint(&mut self, clock: ClockReading, request: &AttemptsRequest) -> StateAnswer {
        self.advance(clock);
        self.counters.messages += 1;
        self.counters.checkpoints += 1;
        for &attempt in &request.attempts {
            let Some(run) = self.runs.get_mut(&attempt) else {
                continue;
            };
            let token = run.checkpoint(clock.time).to_string().into();
            let verdict = AttemptOutcome::Checkpointed { token };
            self.end_run(clock.time, attempt, verdict, RunEnd::Checkpointed);
        }
        self.report(&request.attempts)
    }

    fn report(&self, attempts: &[AttemptId]) -> StateAnswer {
        let report = |&attempt: &AttemptId| AttemptReport {
            attempt,
            state: self.state(attempt),
        };
        StateAnswer {
            reports: attempts.iter().map(report).collect(),
            load: self.load(),
        }
    }

    fn state(&self, attempt: AttemptId) -> AttemptState {
        if self.runs.contains_key(&attempt) {
            return AttemptState::Running;
        }
        match self.memory.verdict(attempt) {
            Some(verdict) => AttemptState::Ended(verdict.clone()),
            None => AttemptState::Unknown,
        }
    }
}
