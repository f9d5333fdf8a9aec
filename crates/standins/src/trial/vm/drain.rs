//! A planned stop; follows `serve/lifecycle.rs`.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_dispatch::handover::split_answers;
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::{HandoverRequest, PeerHeartbeat};
use filbertpitch_types::platform::HANDOVER_STREAM;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::LifecycleState;

use super::super::message::{Request, VmCall, handover_notice};
use super::platform::APPEND_TIMEOUT;
use super::{EntryVm, PEER_TIMEOUT, VmOutput, VmTimer};

/// How long a stopping VM keeps serving after its peers and the balancer could learn of it.
const DRAIN_NOTICE: Duration = Duration::from_secs(1);
/// How often a waiting state looks at the node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long stopped work is awaited after the time for draining.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(3);

/// How far a planned stop is.
#[derive(Debug)]
pub enum DrainStage {
    /// None was requested.
    Serving,
    /// New work is still accepted.
    Notice,
    /// Work in progress ends.
    Draining(TimePoint),
    /// Work that did not end in time is stopped.
    Expiring(TimePoint),
    /// Outcomes go to another VM.
    HandingOver(Box<HandoverPlan>),
    /// Requests in progress are answered.
    Closing(TimePoint),
    /// Requests that were forwarded to other owners are given up.
    EndingForwards(TimePoint),
    /// The process has ended.
    Ended,
}

/// What is left of a handover.
#[derive(Debug)]
pub struct HandoverPlan {
    candidates: VecDeque<PeerHeartbeat>,
    parts: Vec<Vec<JobAnswer>>,
    sent: usize,
}

impl EntryVm {
    /// Begins a planned stop.
    pub fn begin_drain(&mut self) {
        self.set_life(LifecycleState::Draining);
        self.drain = DrainStage::Notice;
        self.wake_after(DRAIN_NOTICE, VmTimer::Drain);
    }

    pub(super) fn step_drain(&mut self) {
        let now = self.clock.time;
        match self.drain {
            DrainStage::Notice => {
                self.feed(EngineEvent::DrainStarted);
                self.drain_end = now + self.settings.drain_timeout;
                self.drain = DrainStage::Draining(self.drain_end);
                self.step_drain();
            }
            DrainStage::Draining(_) | DrainStage::Expiring(_) if self.engine.is_idle() => {
                self.begin_handover();
            }
            DrainStage::Draining(end) if now >= end => {
                self.feed(EngineEvent::DrainExpired);
                self.drain = DrainStage::Expiring(now + EXPIRY_TIMEOUT);
                self.step_drain();
            }
            DrainStage::Expiring(end) if now >= end => self.begin_handover(),
            DrainStage::Closing(end) if now >= end && !self.open_calls.is_empty() => {
                self.drain = DrainStage::EndingForwards(now + PEER_TIMEOUT);
                self.end_forwards();
                self.step_drain();
            }
            DrainStage::Closing(end) | DrainStage::EndingForwards(end)
                if now >= end || self.open_calls.is_empty() =>
            {
                self.drain = DrainStage::Ended;
                self.life = LifecycleState::Stopped;
                self.out.push(VmOutput::Exit);
            }
            DrainStage::Draining(_)
            | DrainStage::Expiring(_)
            | DrainStage::Closing(_)
            | DrainStage::EndingForwards(_) => {
                self.wake_after(POLL_INTERVAL, VmTimer::Drain);
            }
            DrainStage::Serving | DrainStage::HandingOver(_) | DrainStage::Ended => {}
        }
    }

    fn begin_handover(&mut self) {
        let finished = self.engine.submissions().answers();
        let mut answers = finished
            .map(|answer| JobAnswer::clone(answer))
            .collect::<Vec<_>>();
        if answers.is_empty() {
            return self.begin_closing();
        }
        // The table has no order of its own; a run must not depend on it.
        answers.sort_by_cached_key(|answer| answer.submission.to_string());
        let live = self.peers.live_peers(self.clock.time).cloned();
        let mut candidates = live.collect::<Vec<_>>();
        candidates.retain(|peer| peer.ready && !peer.leaving);
        let home = &self.settings.zone;
        candidates.sort_by_key(|peer| (peer.zone != *home, peer.address));
        self.drain = DrainStage::HandingOver(Box::new(HandoverPlan {
            candidates: candidates.into(),
            parts: split_answers(answers),
            sent: 0,
        }));
        self.send_handover_part();
    }

    fn send_handover_part(&mut self) {
        let DrainStage::HandingOver(plan) = &self.drain else {
            return;
        };
        let Some(peer) = plan.candidates.front() else {
            return self.begin_closing();
        };
        let address = peer.address;
        let request = Request::Handover(HandoverRequest {
            from: self.incarnation,
            answers: plan.parts[plan.sent].clone(),
            last: plan.sent + 1 == plan.parts.len(),
        });
        self.send(address, request, PEER_TIMEOUT, VmCall::Handover);
    }

    pub(super) fn end_handover_part(&mut self, taken: bool) {
        let DrainStage::HandingOver(plan) = &mut self.drain else {
            return;
        };
        if !taken {
            plan.candidates.pop_front();
            plan.sent = 0;
            return self.send_handover_part();
        }
        plan.sent += 1;
        if plan.sent < plan.parts.len() {
            return self.send_handover_part();
        }
        let Some(peer) = plan.candidates.pop_front() else {
            return self.begin_closing();
        };
        let notice = handover_notice(self.incarnation, peer.incarnation, peer.address);
        self.note_handover(&notice, Duration::ZERO);
        let body = serde_json::to_string(&notice).expect("a notice encodes as JSON");
        let request = Request::Append {
            stream: HANDOVER_STREAM,
            body: body.into(),
        };
        let log = self.settings.log;
        self.send(log, request, APPEND_TIMEOUT, VmCall::Announce);
    }

    pub(super) fn begin_closing(&mut self) {
        let end = self.drain_end.max(self.clock.time + PEER_TIMEOUT);
        self.drain = DrainStage::Closing(end);
        self.out.push(VmOutput::StopListening);
        self.wake_after(Duration::ZERO, VmTimer::Drain);
    }
}
