//! One entry VM process, composed as in the product's serve loop, without I/O.
//!
//! Requests, answers and timers go in; [`VmOutput`]s come out. The order of checks follows the
//! modules of the same names in the product, where each await becomes a continuation.

mod callers;
mod claims;
mod drain;
mod forward;
mod peers;
mod platform;
mod targets;
mod tickets;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_config::follower::{FollowerSettings, LogFollower};
use filbertpitch_dispatch::claim::{ClaimSettings, ClaimTable};
use filbertpitch_dispatch::engine::{
    CallerReply, DispatchEngine, EngineAction, EngineEvent, EngineSettings, FleetView,
};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_dispatch::membership::{MembershipSettings, OwnerStatus, PeerTable};
use filbertpitch_types::peer::{ForwardAnswer, ForwardCommand, PeerHeartbeat};
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::LifecycleState;
use filbertpitch_types::time::ClockReading;

use super::message::{
    CallerAnswer, ExchangeId, Failure, PoolKind, Request, Response, SendOptions, VmCall,
};
use claims::{BATCH_DELAY, ClaimDesk};
use drain::DrainStage;

/// The time for a heartbeat or another short request.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// The most connections to one peer or platform service.
const PEER_CONNECTIONS: usize = 256;

/// Something for the simulation to do.
#[derive(Debug)]
pub enum VmOutput {
    /// Send a request.
    Send {
        /// Where to.
        address: SocketAddr,
        /// The request.
        request: Request,
        /// How.
        options: SendOptions,
        /// What to do with the answer.
        call: VmCall,
    },
    /// Answer a request.
    Reply(ExchangeId, Response),
    /// Wake the VM at a point of its own time.
    Wake(TimePoint, VmTimer),
    /// Close the connection of a start.
    CloseStart(AttemptId),
    /// Accept no more connections.
    StopListening,
    /// The process ends.
    Exit,
}

/// Why a VM is woken.
#[derive(Clone, Debug)]
pub enum VmTimer {
    /// The engine's timers are due.
    Engine(TimePoint),
    /// Heartbeats may be due.
    Heartbeats,
    /// The ticket stream is to be read.
    FollowTickets,
    /// The VM may have become ready.
    Life,
    /// The VM list is to be read.
    VmList,
    /// The handover stream is to be read.
    FollowHandovers,
    /// The claim stream is to be read.
    FollowClaims,
    /// Wanted keys were collected for long enough.
    AppendClaims,
    /// A caller has waited long enough for its key to be claimed.
    ClaimTimeout(ExchangeId),
    /// A step of a planned stop.
    Drain,
}

/// Who waits for a reply of the engine.
#[derive(Clone, Debug)]
enum ReplyTo {
    Caller(ExchangeId),
    /// A caller who asked about an outcome that another process handed over.
    AdoptedCaller(ExchangeId, SubmissionId),
    Peer(ExchangeId),
}

/// Settings of a VM.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Peers known from the start.
    pub seeds: Vec<SocketAddr>,
    /// The log.
    pub log: SocketAddr,
    /// The VM list.
    pub list: SocketAddr,
    /// The engine.
    pub engine: EngineSettings,
    /// Heartbeats.
    pub membership: MembershipSettings,
    /// Bare keys.
    pub claims: ClaimSettings,
    /// How long a planned stop waits for work in progress.
    pub drain_timeout: Duration,
}

/// One process.
pub struct EntryVm {
    settings: VmSettings,
    incarnation: IncarnationId,
    clock: ClockReading,
    engine: DispatchEngine,
    timer_due: Option<TimePoint>,
    peers: PeerTable,
    claims: ClaimDesk,
    follower: LogFollower,
    fleet: Option<FleetView>,
    life: LifecycleState,
    drain: DrainStage,
    drain_end: TimePoint,
    forwards: BTreeMap<ExchangeId, SubmissionId>,
    next_handover: LogOffset,
    next_caller: u64,
    replies: BTreeMap<CallerToken, ReplyTo>,
    open_calls: BTreeSet<ExchangeId>,
    wakes: u64,
    out: Vec<VmOutput>,
}

impl EntryVm {
    /// A process that starts.
    pub fn new(settings: VmSettings, incarnation: IncarnationId, clock: ClockReading) -> Self {
        let engine = DispatchEngine::new(
            settings.engine.clone(),
            incarnation,
            settings.zone.clone(),
            clock,
            incarnation.0,
        );
        let own = PeerHeartbeat {
            incarnation,
            address: settings.address,
            zone: settings.zone.clone(),
            ready: false,
            leaving: false,
            config_next: LogOffset(0),
            handovers: Vec::new(),
        };
        let membership = settings.membership.clone();
        let peers = PeerTable::new(clock.time, membership, own, &settings.seeds);
        let claims = ClaimTable::new(incarnation, settings.claims.clone());
        let mut vm = Self {
            settings,
            incarnation,
            clock,
            engine,
            timer_due: None,
            peers,
            claims: ClaimDesk::new(claims),
            follower: LogFollower::new(FollowerSettings::default()),
            fleet: None,
            life: LifecycleState::Starting,
            drain: DrainStage::Serving,
            drain_end: TimePoint::default(),
            forwards: BTreeMap::new(),
            next_handover: LogOffset(0),
            next_caller: 0,
            replies: BTreeMap::new(),
            open_calls: BTreeSet::new(),
            wakes: 0,
            out: Vec::new(),
        };
        for timer in [
            VmTimer::FollowTickets,
            VmTimer::VmList,
            VmTimer::Heartbeats,
            VmTimer::FollowHandovers,
            VmTimer::FollowClaims,
            VmTimer::Life,
        ] {
            vm.wake_after(Duration::ZERO, timer);
        }
        vm
    }

    /// Where it is in its life.
    pub fn life(&self) -> LifecycleState {
        self.life
    }

    /// The engine.
    pub fn engine(&self) -> &DispatchEngine {
        &self.engine
    }

    /// Callers' and peers' requests that have no answer yet.
    pub fn open_calls(&self) -> &BTreeSet<ExchangeId> {
        &self.open_calls
    }

    /// How often the engine's timers woke the process.
    pub fn engine_wakes(&self) -> u64 {
        self.wakes
    }

    /// Takes the outputs so far.
    pub fn take_outputs(&mut self) -> Vec<VmOutput> {
        std::mem::take(&mut self.out)
    }

    /// Sets the time of what follows.
    pub fn set_clock(&mut self, clock: ClockReading) {
        self.clock = clock;
    }

    /// Handles a request.
    pub fn on_request(&mut self, exchange: ExchangeId, request: Request) {
        match request {
            Request::Prefix => {
                let prefix = self.own_prefix();
                self.reply(exchange, Response::Prefix(prefix));
            }
            Request::Caller(command) => {
                self.open_calls.insert(exchange);
                self.answer_caller(exchange, *command);
            }
            Request::Forward(request) => {
                self.open_calls.insert(exchange);
                self.answer_forward(exchange, *request);
            }
            Request::Hello(hello) => self.answer_hello(exchange, &hello),
            Request::State => self.answer_state(exchange),
            Request::Records(from) => self.answer_records(exchange, from),
            Request::Handover(handover) => self.answer_handover(exchange, handover),
            _ => unreachable!("not a request to an entry VM"),
        }
    }

    /// Handles the answer to a request of this VM.
    pub fn on_answer(&mut self, call: VmCall, result: Result<Response, Failure>) {
        match call {
            VmCall::Start { target, attempt } => self.end_start(target, attempt, result),
            VmCall::States { target, command } => self.end_states(target, command, result),
            VmCall::Heartbeat(address) => self.end_heartbeat(address, result),
            VmCall::Records(address) => self.end_records(address, result),
            VmCall::State => self.end_state(result),
            VmCall::FollowTickets => self.end_ticket_read(result),
            VmCall::VmList => self.end_vm_list(result),
            VmCall::FollowHandovers => self.end_handover_read(result),
            VmCall::FollowClaims => self.end_claim_read(result),
            VmCall::AppendClaims => self.wake_after(BATCH_DELAY, VmTimer::AppendClaims),
            VmCall::Forward(call) => self.end_forward(*call, result),
            VmCall::Handover => self.end_handover_part(result.is_ok()),
            VmCall::Announce => self.begin_closing(),
        }
    }

    /// Handles a timer.
    pub fn on_timer(&mut self, timer: VmTimer) {
        match timer {
            VmTimer::Engine(due) => {
                // An earlier timer has replaced this one.
                if self.timer_due == Some(due) {
                    self.timer_due = None;
                    self.wakes += 1;
                    self.feed(EngineEvent::TimeAdvanced);
                }
            }
            VmTimer::Heartbeats => self.send_heartbeats(),
            VmTimer::FollowTickets => self.read_tickets(),
            VmTimer::Life => self.await_configuration(),
            VmTimer::VmList => self.read_vm_list(),
            VmTimer::FollowHandovers => self.read_handovers(),
            VmTimer::FollowClaims => self.read_claims(),
            VmTimer::AppendClaims => self.append_next_claims(),
            VmTimer::ClaimTimeout(caller) => self.give_up_claim(caller),
            VmTimer::Drain => self.step_drain(),
        }
    }

    fn set_life(&mut self, life: LifecycleState) {
        self.life = life;
        let ready = life == LifecycleState::Ready;
        let leaving = life == LifecycleState::Draining;
        let config_next = self.follower.next_offset();
        self.peers.set_own_state(ready, leaving, config_next);
        self.refresh_fleet();
    }

    /// Lets the engine react to an event and carries out what follows.
    fn feed(&mut self, event: EngineEvent) {
        self.engine.handle(self.clock, event);
        for action in self.engine.take_actions() {
            self.perform(action);
        }
        let Some(due) = self.engine.next_due() else {
            return;
        };
        if self.timer_due.is_none_or(|armed| due < armed) {
            self.timer_due = Some(due);
            self.out.push(VmOutput::Wake(due, VmTimer::Engine(due)));
        }
    }

    fn perform(&mut self, action: EngineAction) {
        match action {
            EngineAction::Reply { caller, reply } => self.deliver_reply(caller, reply),
            EngineAction::CloseConnection { attempt } => {
                self.out.push(VmOutput::CloseStart(attempt));
            }
            EngineAction::Trace(_) | EngineAction::Notice(_) => {}
            EngineAction::Start { .. }
            | EngineAction::Check { .. }
            | EngineAction::Control { .. } => self.send_to_target(action),
        }
    }

    /// Submits an event that the engine replies to.
    fn call_engine(&mut self, to: ReplyTo, command: ForwardCommand) {
        let caller = CallerToken(self.next_caller);
        self.next_caller += 1;
        self.replies.insert(caller, to);
        self.feed(match command {
            ForwardCommand::Submit(request) => EngineEvent::JobSubmitted {
                caller,
                request,
                traceparent: None,
            },
            ForwardCommand::Lookup(submission) => EngineEvent::JobLookedUp { caller, submission },
            ForwardCommand::Cancel(submission) => EngineEvent::JobCancelled { caller, submission },
        });
    }

    fn deliver_reply(&mut self, caller: CallerToken, reply: CallerReply) {
        match self.replies.remove(&caller) {
            Some(ReplyTo::Caller(exchange)) => {
                let answer = self.caller_answer(reply);
                self.answer(exchange, answer);
            }
            Some(ReplyTo::AdoptedCaller(exchange, submission)) => match reply {
                CallerReply::NotFound => self.answer_gone(exchange, submission),
                reply => {
                    let answer = self.caller_answer(reply);
                    self.answer(exchange, answer);
                }
            },
            Some(ReplyTo::Peer(exchange)) => {
                let answer = forward_answer(reply);
                self.answer_peer(exchange, answer);
            }
            None => {}
        }
    }

    /// Answers a caller.
    fn answer(&mut self, exchange: ExchangeId, answer: CallerAnswer) {
        self.open_calls.remove(&exchange);
        self.reply(exchange, Response::Caller(answer));
    }

    fn reply(&mut self, exchange: ExchangeId, response: Response) {
        self.out.push(VmOutput::Reply(exchange, response));
    }

    fn wake_after(&mut self, delay: Duration, timer: VmTimer) {
        let due = self.clock.time + delay;
        self.out.push(VmOutput::Wake(due, timer));
    }

    /// Sends a request that is not for a target.
    fn send(&mut self, address: SocketAddr, request: Request, timeout: Duration, call: VmCall) {
        let options = SendOptions {
            timeout,
            fresh: false,
            pool: PoolKind::Plain,
            limit: PEER_CONNECTIONS,
        };
        self.out.push(VmOutput::Send {
            address,
            request,
            options,
            call,
        });
    }

    fn own_prefix(&self) -> OwnerPrefix {
        OwnerPrefix {
            zone: self.settings.zone.clone(),
            address: self.settings.address,
            incarnation: self.incarnation,
            epoch: self.engine.current_epoch(),
        }
    }

    fn has_configuration(&self) -> bool {
        self.follower.has_state()
    }

    fn prefix_status(&self, prefix: &OwnerPrefix) -> OwnerStatus {
        self.peers.owner(self.clock.time, prefix)
    }

    fn refresh_fleet(&mut self) {
        let now = self.clock.time;
        let shares = (self.peers.zone_share(now), self.peers.fleet_share(now));
        let (Some(zone), Some(fleet)) = shares else {
            return;
        };
        let view = FleetView {
            zone,
            fleet,
            live_vms: self.peers.live_vms(now),
            populated: self.peers.populated_zones(now),
        };
        if self.fleet.as_ref() != Some(&view) {
            self.fleet = Some(view.clone());
            self.feed(EngineEvent::FleetChanged(view));
        }
    }
}

fn forward_answer(reply: CallerReply) -> ForwardAnswer {
    match reply {
        CallerReply::Job(answer) => ForwardAnswer::Job((*answer).clone()),
        CallerReply::Pending => ForwardAnswer::Pending,
        CallerReply::NotFound => ForwardAnswer::NotFound,
        CallerReply::Conflict => ForwardAnswer::Conflict,
    }
}
