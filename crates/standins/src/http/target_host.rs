//! One target as an HTTP server.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, AttemptsRequest, StateAnswer};
use filbertpitch_types::time::ClockReading;
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::{RequestHandler, StopHandle};
use futures_channel::oneshot;
use http::Method;
use serde::de::DeserializeOwned;

use super::reply::{bad_query, bad_request, close_connection, not_found, ok};
use super::target_control::{
    CONTROL_PATH, COUNTERS_PATH, CounterAnswer, LEDGER_PAGE, LEDGER_PATH, LedgerPage, TargetControl,
};
use super::timers::{HostIndex, TimerTable};
use crate::target_model::{Reachability, StartReply, TargetFault, TargetModel, TargetProfile};

/// The target died while a request was in progress.
struct TargetDied;

/// One target. Cloning gives another handle of it.
#[derive(Clone)]
pub struct TargetHost {
    state: Rc<HostState>,
}

struct HostState {
    model: RefCell<TargetModel>,
    waiters: RefCell<HashMap<AttemptId, Vec<oneshot::Sender<AttemptOutcome>>>>,
    thaw_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    death_waiter: RefCell<Option<oneshot::Sender<()>>>,
    restart_waiter: RefCell<Option<oneshot::Sender<()>>>,
    peers: RefCell<HashSet<SocketAddr>>,
    silent_peers: RefCell<HashSet<SocketAddr>>,
    /// Keeps the tasks of silenced connections alive: the runtime drops a task that nothing can
    /// wake, which would close its connection.
    silenced: RefCell<Vec<oneshot::Sender<()>>>,
    stop: RefCell<Option<StopHandle>>,
    timers: Rc<TimerTable>,
    index: HostIndex,
    armed: Cell<Option<TimePoint>>,
}

impl TargetHost {
    /// An idle target whose timers fire under `index`.
    pub fn new(profile: TargetProfile, timers: Rc<TimerTable>, index: HostIndex) -> Self {
        let state = HostState {
            model: RefCell::new(TargetModel::new(profile)),
            waiters: RefCell::default(),
            thaw_waiters: RefCell::default(),
            death_waiter: RefCell::default(),
            restart_waiter: RefCell::default(),
            peers: RefCell::default(),
            silent_peers: RefCell::default(),
            silenced: RefCell::default(),
            stop: RefCell::default(),
            timers,
            index,
            armed: Cell::new(None),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Sets the server that is stopped when the target dies.
    pub fn set_server(&self, stop: StopHandle) {
        *self.state.stop.borrow_mut() = Some(stop);
    }

    /// Waits until the target dies.
    pub async fn await_death(&self) {
        let (sender, receiver) = oneshot::channel();
        *self.state.death_waiter.borrow_mut() = Some(sender);
        if self.state.model.borrow().reachability() != Reachability::Dead {
            let _ = receiver.await;
        }
    }

    /// Waits until the dead target is to start again.
    pub async fn await_restart(&self) {
        let (sender, receiver) = oneshot::channel();
        *self.state.restart_waiter.borrow_mut() = Some(sender);
        if self.state.model.borrow().reachability() == Reachability::Dead {
            let _ = receiver.await;
        }
    }

    /// Ends the runs that are due.
    pub fn advance(&self) {
        self.state.armed.set(None);
        self.with_model(|model, clock| model.advance(clock));
    }

    /// Calls the model, then answers the attempts that ended and arms the timer.
    fn with_model<Output, Call>(&self, call: Call) -> Output
    where
        Call: FnOnce(&mut TargetModel, ClockReading) -> Output,
    {
        let state = &self.state;
        let mut model = state.model.borrow_mut();
        let clock = state.timers.clock().now();
        let output = call(&mut model, clock);
        model.advance(clock);
        for ended in model.take_ended() {
            let waiters = state.waiters.borrow_mut().remove(&ended.attempt);
            for waiter in waiters.into_iter().flatten() {
                // The request that waited may have been dropped.
                let _ = waiter.send(ended.verdict.clone());
            }
        }
        if let Some(due) = model.next_due()
            && state.armed.get().is_none_or(|armed| due < armed)
        {
            state.armed.set(Some(due));
            state.timers.arm(due, state.index);
        }
        output
    }

    async fn await_open(&self) -> Result<(), TargetDied> {
        loop {
            let reachability = self.state.model.borrow().reachability();
            match reachability {
                Reachability::Open => return Ok(()),
                Reachability::Dead => return Err(TargetDied),
                Reachability::Frozen => {
                    let (sender, receiver) = oneshot::channel();
                    self.state.thaw_waiters.borrow_mut().push(sender);
                    let _ = receiver.await;
                }
            }
        }
    }

    async fn start(&self, request: &ServerRequest) -> Result<ServerResponse, TargetDied> {
        let start = match request.decode(BodyFormat::Json) {
            Ok(start) => start,
            Err(error) => return Ok(bad_request(&error)),
        };
        let (sender, receiver) = oneshot::channel();
        let reply = self.with_model(|model, clock| {
            let reply = model.start(clock, &start);
            if reply == StartReply::WhenEnded {
                // Before the model ends a run of zero length.
                let mut waiters = self.state.waiters.borrow_mut();
                waiters.entry(start.attempt).or_default().push(sender);
            }
            reply
        });
        if let StartReply::Now(answer) = reply {
            return Ok(ok(&answer));
        }
        let verdict = receiver.await.map_err(|_| TargetDied)?;
        self.await_open().await?;
        let model = self.state.model.borrow();
        Ok(ok(&model.answer(start.attempt, verdict)))
    }

    fn query<Request, Call>(&self, request: &ServerRequest, call: Call) -> ServerResponse
    where
        Request: DeserializeOwned,
        Call: FnOnce(&mut TargetModel, ClockReading, &Request) -> StateAnswer,
    {
        match request.decode::<Request>(BodyFormat::Json) {
            Ok(request) => ok(&self.with_model(|model, clock| call(model, clock, &request))),
            Err(error) => bad_request(&error),
        }
    }

    async fn serve(&self, request: &ServerRequest) -> Result<ServerResponse, TargetDied> {
        self.await_open().await?;
        if request.method != Method::POST {
            return Ok(not_found());
        }
        Ok(match request.path() {
            "/v1/tasks" => self.start(request).await?,
            "/v1/check" => self.query(request, TargetModel::check),
            "/v1/stop" => self.query::<AttemptsRequest, _>(request, TargetModel::stop),
            "/v1/throttle" => self.query(request, TargetModel::throttle),
            "/v1/checkpoint" => self.query(request, TargetModel::checkpoint),
            _ => not_found(),
        })
    }

    fn counters(&self) -> CounterAnswer {
        let model = self.state.model.borrow();
        CounterAnswer {
            counters: model.counters(),
            load: model.load(),
            ledger: model.ledger().entries().len(),
        }
    }

    fn ledger_page(&self, request: &ServerRequest) -> ServerResponse {
        let Ok(from) = request.query_value("from").unwrap_or("0").parse::<usize>() else {
            return bad_query("from: it is not a whole number");
        };
        let model = self.state.model.borrow();
        let entries = model.ledger().entries();
        ok(&LedgerPage {
            total: entries.len(),
            entries: entries
                .iter()
                .skip(from)
                .take(LEDGER_PAGE)
                .copied()
                .collect(),
        })
    }

    fn control(&self, request: &ServerRequest) -> ServerResponse {
        match request.decode(BodyFormat::Json) {
            Ok(control) => self.apply(control),
            Err(error) => return bad_request(&error),
        }
        ok(&self.counters())
    }

    fn apply(&self, control: TargetControl) {
        match control {
            TargetControl::FailFast { enabled } => self.inject(TargetFault::FailFast { enabled }),
            TargetControl::Straggle { factor } => self.inject(TargetFault::Straggle { factor }),
            TargetControl::Freeze { length } => {
                self.inject(TargetFault::Freeze);
                if let Some(length) = length {
                    self.inject_after(length, TargetFault::Thaw);
                }
            }
            TargetControl::Thaw {} => self.inject(TargetFault::Thaw),
            TargetControl::Die { down } => {
                self.inject(TargetFault::Die);
                if let Some(down) = down {
                    self.inject_after(down, TargetFault::Restart);
                }
            }
            TargetControl::Restart {} => self.inject(TargetFault::Restart),
            TargetControl::Leave {} => self.inject(TargetFault::Leave),
            TargetControl::Stay {} => self.inject(TargetFault::Stay),
            TargetControl::SilenceOpenConnections {} => {
                let open = self.state.peers.borrow_mut().drain().collect::<Vec<_>>();
                self.state.silent_peers.borrow_mut().extend(open);
            }
        }
    }

    fn inject_after(&self, delay: std::time::Duration, fault: TargetFault) {
        let host = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(delay).await;
            host.inject(fault);
        });
    }

    fn inject(&self, fault: TargetFault) {
        self.with_model(|model, clock| model.inject(clock, fault));
        match self.state.model.borrow().reachability() {
            Reachability::Open => {
                self.state.thaw_waiters.take();
                self.state.restart_waiter.take();
            }
            Reachability::Frozen => {}
            Reachability::Dead => {
                // Dropping the waiters closes their connections.
                self.state.waiters.take();
                self.state.thaw_waiters.take();
                self.state.peers.take();
                self.state.silent_peers.take();
                self.state.silenced.take();
                self.state.death_waiter.take();
                if let Some(stop) = self.state.stop.take() {
                    stop.stop();
                }
            }
        }
    }

    /// Fails if the connection was silenced, but not before the target dies.
    async fn pass_silence(&self, peer: SocketAddr) -> Result<(), TargetDied> {
        if !self.state.silent_peers.borrow().contains(&peer) {
            return Ok(());
        }
        let (sender, receiver) = oneshot::channel();
        self.state.silenced.borrow_mut().push(sender);
        let _ = receiver.await;
        Err(TargetDied)
    }

    async fn respond(&self, request: &ServerRequest) -> Result<ServerResponse, TargetDied> {
        self.pass_silence(request.peer).await?;
        self.state.peers.borrow_mut().insert(request.peer);
        let response = self.serve(request).await;
        self.pass_silence(request.peer).await?;
        response
    }
}

impl RequestHandler for TargetHost {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let response = self.respond(&request).await;
        response.unwrap_or_else(|TargetDied| close_connection())
    }
}

/// The control endpoint of a target.
pub struct TargetControlHost(pub TargetHost);

impl RequestHandler for TargetControlHost {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let Self(host) = self;
        match (&request.method, request.path()) {
            (&Method::POST, CONTROL_PATH) => host.control(&request),
            (&Method::GET, LEDGER_PATH) => host.ledger_page(&request),
            (&Method::GET, COUNTERS_PATH) => ok(&host.counters()),
            _ => not_found(),
        }
    }
}
