//! Feeds the engine with events and carries out its actions.
//!
//! Everything runs on one thread. The engine is borrowed only while it handles an event, never
//! across an await.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::cancellation::{CancelOutcome, CancelToken};
use filbertpitch_fleet::engine::{
    EndedClients, FleetAction, FleetEngine, FleetEvent, ForwardOrigin, JobRoute,
};
use filbertpitch_types::fleet::{EnvelopeAck, JobReply, PeerEnvelope};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use filbertpitch_wire::message::ConnectionId;
use filbertpitch_wire::server::ConnectionWatch;
use futures_channel::oneshot;
use monoio::time::Instant;

use super::clients::WaitingClients;
use super::clock::FleetClock;
use super::forwarding::JobForwarder;
use super::metrics::FleetMetrics;
use super::notices::record_notice;
use super::peers::PeerPools;
use super::targets::TargetPools;
use crate::engine_timer::{EngineTimer, TimerEvents};
use crate::events::EventLog;

/// Runs the engine of this process.
pub(super) struct FleetDriver {
    clock: FleetClock,
    engine: RefCell<FleetEngine>,
    targets: TargetPools,
    peers: PeerPools,
    forwarder: JobForwarder,
    clients: WaitingClients,
    replies: RefCell<HashMap<CallerToken, oneshot::Sender<JobReply>>>,
    next_caller: Cell<u64>,
    /// The clients that wait for the answers to their cancels.
    cancels: RefCell<HashMap<CancelToken, oneshot::Sender<CancelOutcome>>>,
    next_cancel: Cell<u64>,
    timer: EngineTimer,
    /// When the timer fires if nothing delays it.
    expected_expiry: Cell<Option<TimePoint>>,
    log: EventLog,
    metrics: Rc<FleetMetrics>,
}

/// Tells the engine that a client has left unless its reply was taken.
struct CallerGuard {
    driver: Rc<FleetDriver>,
    connection: ConnectionId,
    caller: CallerToken,
    answered: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.driver.clients.remove(self.connection);
        if !self.answered {
            self.driver.replies.borrow_mut().remove(&self.caller);
            self.driver
                .feed(FleetEvent::CallerDisconnected(self.caller));
        }
    }
}

impl FleetDriver {
    /// A driver for `engine`, and the receiver for [`Self::run_timer`]. `watch` must be that of the
    /// servers on which clients and other VMs wait.
    pub(super) fn new(
        clock: FleetClock,
        engine: FleetEngine,
        watch: Rc<ConnectionWatch>,
        log: EventLog,
        metrics: Rc<FleetMetrics>,
    ) -> (Rc<Self>, TimerEvents) {
        let (timer, timer_events) = EngineTimer::new();
        let driver = Self {
            clock,
            engine: RefCell::new(engine),
            targets: TargetPools::default(),
            peers: PeerPools::default(),
            forwarder: JobForwarder::default(),
            clients: WaitingClients::new(watch),
            replies: RefCell::default(),
            next_caller: Cell::new(0),
            cancels: RefCell::default(),
            next_cancel: Cell::new(0),
            timer,
            expected_expiry: Cell::new(None),
            log,
            metrics,
        };
        (Rc::new(driver), timer_events)
    }

    /// Reads both clocks.
    pub(super) fn now(&self) -> ClockReading {
        self.clock.read()
    }

    /// Lets the engine react to an event and carries out what follows.
    pub(super) fn feed(self: &Rc<Self>, event: FleetEvent) {
        let now = self.clock.read();
        self.engine.borrow_mut().handle(now, event);
        self.perform_actions(now.time);
    }

    /// Takes over an envelope of a peer.
    pub(super) fn receive(self: &Rc<Self>, envelope: PeerEnvelope) -> EnvelopeAck {
        let now = self.clock.read();
        let receipt = self.engine.borrow_mut().receive_envelope(now, envelope);
        self.perform_actions(now.time);
        receipt
    }

    /// Decides whether a new job of a client is forwarded. The client must be among those that wait for a
    /// forwarded job.
    pub(super) fn route(self: &Rc<Self>, job: JobId) -> Option<JobRoute> {
        let now = self.clock.read();
        let request = self.engine.borrow_mut().request_routing(now, job)?;
        let examination = request.complete(self.take_ended_clients());
        let route = self.engine.borrow_mut().route_job(job, examination);
        self.perform_actions(now.time);
        route
    }

    /// The clients that wait for answers.
    pub(super) fn clients(&self) -> &WaitingClients {
        &self.clients
    }

    /// Returns the VM that has forwarded a job if this VM may coordinate the job.
    pub(super) fn admit(self: &Rc<Self>, origin: &ForwardOrigin) -> Option<VmIndex> {
        let now = self.clock.read();
        let admitted = self.engine.borrow_mut().admit_origin(now, origin);
        self.perform_actions(now.time);
        admitted
    }

    /// The exchanges in which jobs of this VM's clients are forwarded.
    pub(super) fn forwarder(&self) -> &JobForwarder {
        &self.forwarder
    }

    /// Looks at the engine between events.
    pub(super) fn inspect<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&FleetEngine) -> T,
    {
        look(&self.engine.borrow())
    }

    /// Submits a job that came on `connection` and waits for the reply. Dropping the future abandons the
    /// job. Returns `None` if the client has left.
    pub(super) async fn submit<F>(
        self: &Rc<Self>,
        connection: ConnectionId,
        event: F,
    ) -> Option<JobReply>
    where
        F: FnOnce(CallerToken) -> FleetEvent,
    {
        let caller = CallerToken(self.next_caller.get());
        self.next_caller.set(caller.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().insert(caller, sender);
        self.clients.add_caller(connection, caller);
        let mut guard = CallerGuard {
            driver: Rc::clone(self),
            connection,
            caller,
            answered: false,
        };
        self.feed(event(caller));
        let reply = receiver.await.ok();
        guard.answered = true;
        reply
    }

    /// Cancels a job, whichever VM has it, and waits for the answer.
    pub(super) async fn cancel(self: &Rc<Self>, job: JobId) -> CancelOutcome {
        let token = CancelToken(self.next_cancel.get());
        self.next_cancel.set(token.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.cancels.borrow_mut().insert(token, sender);
        self.feed(FleetEvent::CancelRequested { token, job });
        // The engine answers each cancel, after a time-out if need be.
        receiver.await.unwrap_or(CancelOutcome::Unconfirmed)
    }

    /// Carries out the engine's actions and sets its timer. `now` is the time of the event.
    fn perform_actions(self: &Rc<Self>, now: TimePoint) {
        let (actions, due) = {
            let mut engine = self.engine.borrow_mut();
            let request = engine.request_examination();
            let examination = request.map(|request| request.complete(self.take_ended_clients()));
            (engine.take_actions(examination), engine.next_due())
        };
        for action in actions {
            self.perform(action);
        }
        self.timer.arm(due);
        if let Some(due) = due.map(|due| due.max(now)) {
            let expected = self.expected_expiry.get();
            let earliest = expected.map_or(due, |expected| expected.min(due));
            self.expected_expiry.set(Some(earliest));
        }
    }

    /// Takes the clients whose connections have ended. The server may not have noticed it yet.
    fn take_ended_clients(&self) -> EndedClients {
        let ended = self.clients.take_ended();
        let mut replies = self.replies.borrow_mut();
        ended.callers.iter().for_each(|caller| {
            replies.remove(caller);
        });
        ended
    }

    fn perform(self: &Rc<Self>, action: FleetAction) {
        match action {
            FleetAction::Reply { caller, reply } => {
                if let Some(sender) = self.replies.borrow_mut().remove(&caller) {
                    // The client may have closed its connection.
                    let _ = sender.send(reply);
                }
            }
            FleetAction::AnswerCancel { token, outcome } => {
                if let Some(sender) = self.cancels.borrow_mut().remove(&token) {
                    // The client may have closed its connection.
                    let _ = sender.send(outcome);
                }
            }
            FleetAction::SendEnvelope {
                peer,
                address,
                envelope,
            } => self.peers.send(self, peer, address, *envelope),
            FleetAction::EndForwarding(job) => self.forwarder.end(job),
            FleetAction::Disconnect(address) => self.targets.disconnect(address),
            FleetAction::Notice(notice) => {
                self.metrics.see_notice(&notice);
                record_notice(&self.log, &notice);
            }
            FleetAction::Start { .. }
            | FleetAction::Stop { .. }
            | FleetAction::Probe { .. }
            | FleetAction::Poll { .. } => self.targets.send(self, action),
        }
    }

    /// Feeds [`FleetEvent::TimeAdvanced`] when the engine's timers are due. Runs forever.
    pub(super) async fn run_timer(self: Rc<Self>, mut events: TimerEvents) {
        let instant = |due: TimePoint| Instant::now() + due.since(self.clock.read().time);
        while self.timer.expired(&mut events, instant).await {
            self.measure_lateness();
            self.feed(FleetEvent::TimeAdvanced);
        }
    }

    /// Tells the engine how late its timer has fired.
    fn measure_lateness(&self) {
        let now = self.clock.read();
        if let Some(expected) = self.expected_expiry.take() {
            let lateness = now.time.since(expected);
            self.engine.borrow_mut().record_lateness(now, lateness);
        }
    }
}
