//! The simulated targets behind the network.

use std::collections::BTreeMap;

use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;

use super::message::{ExchangeId, Party, Request, Response};
use super::sim::{SimEvent, Simulation};
use super::world_setup::takes;
use crate::target_model::{Reachability, StartReply, TargetFault, TargetModel, TargetProfile};

/// The slots of every target, which real runs must not exceed.
const SLOTS: u16 = 8;
/// The connections of every target, which must not be exceeded.
const CONNECTIONS: usize = 64;

/// One target.
pub struct TargetHost {
    /// The model.
    pub model: TargetModel,
    /// The difference of its wall clock, in milliseconds.
    pub skew: i64,
    /// When it was frozen and continued.
    pub pauses: Vec<(TimePoint, TimePoint)>,
    frozen_since: Option<TimePoint>,
    waiting: BTreeMap<AttemptId, Vec<ExchangeId>>,
    held: Vec<(ExchangeId, Request)>,
    armed: Option<TimePoint>,
}

impl TargetHost {
    /// The target with this number.
    pub fn new(number: usize, skew: i64) -> Self {
        let profile = TargetProfile {
            takes: takes(number),
            slots: SLOTS,
            ..TargetProfile::default()
        };
        Self {
            model: TargetModel::new(profile),
            skew,
            pauses: Vec::new(),
            frozen_since: None,
            waiting: BTreeMap::new(),
            held: Vec::new(),
            armed: None,
        }
    }
}

impl Simulation {
    fn target_clock(&self, target: usize) -> ClockReading {
        self.clock_with_skew(self.targets[target].skew)
    }

    /// Handles a request to a target.
    pub fn serve_target(&mut self, target: usize, exchange: ExchangeId, request: Request) {
        let clock = self.target_clock(target);
        let host = &mut self.targets[target];
        if host.model.reachability() == Reachability::Frozen {
            host.held.push((exchange, request));
            return;
        }
        let before = host.model.ledger().entries().len();
        let response = match request {
            Request::Start(request) => match host.model.start(clock, &request) {
                StartReply::Now(answer) => Some(Response::Start(Box::new(answer))),
                StartReply::WhenEnded => {
                    let waiting = host.waiting.entry(request.attempt).or_default();
                    waiting.push(exchange);
                    None
                }
            },
            Request::Check(request) => Some(states(host.model.check(clock, &request))),
            Request::Stop(request) => Some(states(host.model.stop(clock, &request))),
            Request::Throttle(request) => Some(states(host.model.throttle(clock, &request))),
            _ => unreachable!("not a request to a target"),
        };
        if host.model.ledger().entries().len() > before {
            let attempt = host.model.ledger().entries()[before].attempt;
            self.note(format_args!("target-{target} starts {attempt}"));
        }
        if let Some(response) = response {
            self.respond(exchange, response);
        }
        self.settle_target(target);
        self.check_target_limits(target);
    }

    /// Answers the starts that wait for ended attempts, and arms the target's timer.
    pub fn settle_target(&mut self, target: usize) {
        let host = &mut self.targets[target];
        let mut answers = Vec::new();
        for ended in host.model.take_ended() {
            let waiting = host.waiting.remove(&ended.attempt).unwrap_or_default();
            for exchange in waiting {
                let answer = host.model.answer(ended.attempt, ended.verdict.clone());
                answers.push((exchange, answer));
            }
        }
        let due = host.model.next_due();
        if let Some(due) = due
            && host.armed.is_none_or(|armed| due < armed)
        {
            host.armed = Some(due);
            self.queue.push(due, SimEvent::TargetDue(target));
        }
        for (exchange, answer) in answers {
            self.respond(exchange, Response::Start(Box::new(answer)));
        }
    }

    /// Ends the runs that are due.
    pub fn advance_target(&mut self, target: usize) {
        let clock = self.target_clock(target);
        let host = &mut self.targets[target];
        host.armed = None;
        host.model.advance(clock);
        self.settle_target(target);
    }

    /// Changes a target's condition.
    pub fn inject(&mut self, target: usize, fault: TargetFault) {
        let now = self.now;
        let clock = self.target_clock(target);
        let host = &mut self.targets[target];
        let was_frozen = host.model.reachability() == Reachability::Frozen;
        host.model.inject(clock, fault);
        let is_frozen = host.model.reachability() == Reachability::Frozen;
        match (was_frozen, is_frozen) {
            (false, true) => host.frozen_since = Some(now),
            (true, false) => {
                let since = host.frozen_since.take().unwrap_or(now);
                host.pauses.push((since, now));
            }
            _ => {}
        }
        if matches!(fault, TargetFault::Die | TargetFault::Restart) {
            host.waiting.clear();
            host.held.clear();
        }
        if fault == TargetFault::Die {
            self.reset_connections(Party::Target(target));
        }
        if was_frozen && !is_frozen {
            let held = std::mem::take(&mut self.targets[target].held);
            for (exchange, request) in held {
                self.serve_target(target, exchange, request);
            }
        }
        self.settle_target(target);
    }

    fn check_target_limits(&mut self, target: usize) {
        let running = self.targets[target].model.load().running;
        if running > SLOTS {
            self.violate(format!(
                "target-{target} runs {running} tasks in {SLOTS} slots"
            ));
        }
        let connections = self.network.accepted(Party::Target(target));
        if connections > CONNECTIONS {
            self.violate(format!("target-{target} has {connections} connections"));
        }
    }
}

fn states(answer: filbertpitch_types::target::StateAnswer) -> Response {
    Response::States(Box::new(answer))
}
