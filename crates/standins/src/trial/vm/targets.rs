//! Requests to targets; follows `serve/targets.rs`.

use std::time::Duration;

use filbertpitch_dispatch::engine::{EngineAction, EngineEvent, StateCommand};
use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::prelude::*;

use super::super::message::{Failure, PoolKind, Request, Response, SendOptions, VmCall};
use super::{EntryVm, VmOutput};

/// The longest time that a start waits for its answer.
const START_TIMEOUT: Duration = Duration::from_secs(3600);
/// The time for a check, stop or throttle.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// The most connections to one target for starts.
const START_CONNECTIONS: usize = 64;
/// The most connections to one target for state requests.
const STATE_CONNECTIONS: usize = 2;

impl EntryVm {
    pub(super) fn send_to_target(&mut self, action: EngineAction) {
        let state_options = |command| SendOptions {
            timeout: STATE_TIMEOUT,
            fresh: command == StateCommand::Check,
            pool: PoolKind::State,
            limit: STATE_CONNECTIONS,
        };
        let output = match action {
            EngineAction::Start {
                target,
                address,
                request,
                ..
            } => VmOutput::Send {
                address,
                options: SendOptions {
                    timeout: START_TIMEOUT,
                    fresh: request.attempt.attempt > AttemptNumber(0),
                    pool: PoolKind::Start,
                    limit: START_CONNECTIONS,
                },
                call: VmCall::Start {
                    target,
                    attempt: request.attempt,
                },
                request: Request::Start(Box::new(request)),
            },
            EngineAction::Check {
                target,
                address,
                request,
            } => VmOutput::Send {
                address,
                request: Request::Check(request),
                options: state_options(StateCommand::Check),
                call: VmCall::States {
                    target,
                    command: StateCommand::Check,
                },
            },
            EngineAction::Control {
                target,
                address,
                command,
                request,
            } => VmOutput::Send {
                address,
                request: match command {
                    StateCommand::Throttle => Request::Throttle(request),
                    StateCommand::Stop | StateCommand::Check => Request::Stop(request),
                },
                options: state_options(command),
                call: VmCall::States { target, command },
            },
            _ => unreachable!("not a request to a target"),
        };
        self.out.push(output);
    }

    pub(super) fn end_start(
        &mut self,
        target: TargetIndex,
        attempt: AttemptId,
        result: Result<Response, Failure>,
    ) {
        self.feed(match result {
            Ok(Response::Start(answer)) => EngineEvent::StartAnswered {
                target,
                answer: *answer,
            },
            // An answer that cannot be read proves nothing, so it counts as lost.
            Ok(_) => EngineEvent::StartFailed {
                attempt,
                written: true,
            },
            Err(failure) => EngineEvent::StartFailed {
                attempt,
                written: failure.maybe_sent,
            },
        });
    }

    pub(super) fn end_states(
        &mut self,
        target: TargetIndex,
        command: StateCommand,
        result: Result<Response, Failure>,
    ) {
        self.feed(match result {
            Ok(Response::States(answer)) => EngineEvent::StatesAnswered {
                target,
                command,
                answer: *answer,
            },
            _ => EngineEvent::StatesFailed { target, command },
        });
    }
}
