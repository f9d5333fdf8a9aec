//! Requests to targets.
//!
//! Starts and state requests use separate pools: a start holds its connection while the task
//! runs, and a check must reach a target whose start connections no longer respond.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::engine::{EngineAction, EngineEvent, StateCommand};
use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{StartAnswer, StartRequest, StateAnswer};
use filbertpitch_wire::client::{
    ClientError, ConnectionPool, PoolLimits, RequestOptions, SentState,
};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ClientResponse};
use futures_channel::oneshot;
use http::{HeaderName, HeaderValue, StatusCode, Uri};
use serde::Serialize;

use super::driver::EngineDriver;
use crate::traces::{TRACE_HEADER, TraceParent, attempt_context};

/// Bounds on requests to targets.
#[derive(Clone, Debug)]
pub struct TargetClientSettings {
    /// The longest time that a start waits for its answer. Checks end silent attempts earlier;
    /// this only bounds a connection whose task is forgotten.
    pub start_timeout: Duration,
    /// The time for a check, stop or throttle request.
    pub state_timeout: Duration,
    /// The most connections to one target for starts. Placement enforces the VM's share.
    pub start_connections: usize,
    /// The most connections to one target for state requests.
    pub state_connections: usize,
    /// The time in which a connection must be established.
    pub connect_timeout: Duration,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
}

impl Default for TargetClientSettings {
    fn default() -> Self {
        Self {
            start_timeout: Duration::from_secs(3600),
            state_timeout: Duration::from_secs(1),
            start_connections: 64,
            state_connections: 2,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Sends the engine's requests to targets.
pub struct TargetClient {
    settings: TargetClientSettings,
    start_pools: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
    state_pools: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
    open_starts: Rc<RefCell<HashMap<AttemptId, OpenStart>>>,
}

/// A start that waits for its answer. Dropping it ends the wait.
struct OpenStart {
    pool: Rc<ConnectionPool>,
    _close: oneshot::Sender<()>,
}

impl TargetClient {
    /// A client without connections.
    pub fn new(settings: TargetClientSettings) -> Self {
        Self {
            settings,
            start_pools: RefCell::default(),
            state_pools: RefCell::default(),
            open_starts: Rc::default(),
        }
    }

    /// Sends a start or state request in the background; the result goes to `driver`.
    pub fn send(&self, driver: &Rc<EngineDriver>, action: EngineAction) {
        let driver = Rc::clone(driver);
        match action {
            EngineAction::Start {
                target,
                address,
                request,
                traceparent,
                ..
            } => {
                let exchange = self.start_exchange(address, &request, traceparent);
                let (close, closed) = oneshot::channel();
                let id = request.attempt;
                let open = OpenStart {
                    pool: Rc::clone(&exchange.pool),
                    _close: close,
                };
                self.open_starts.borrow_mut().insert(id, open);
                let open_starts = Rc::clone(&self.open_starts);
                monoio::spawn(async move {
                    let event = monoio::select! {
                        event = exchange.run(target, id) => Some(event),
                        // The engine asked to close the connection and expects no event.
                        _ = closed => None,
                    };
                    open_starts.borrow_mut().remove(&id);
                    if let Some(event) = event {
                        driver.feed(event);
                    }
                });
            }
            EngineAction::Check {
                target,
                address,
                request,
            } => {
                let exchange = self.state_exchange(address, StateCommand::Check, &request);
                monoio::spawn(async move { driver.feed(exchange.run(target).await) });
            }
            EngineAction::Control {
                target,
                address,
                command,
                request,
            } => {
                let exchange = self.state_exchange(address, command, &request);
                monoio::spawn(async move { driver.feed(exchange.run(target).await) });
            }
            EngineAction::Reply { .. }
            | EngineAction::CloseConnection { .. }
            | EngineAction::Trace(_)
            | EngineAction::Notice(_) => unreachable!("not a request to a target"),
        }
    }

    /// Closes the connection that waits for the answer to `attempt`.
    ///
    /// Idle connections to the same target are closed as well: when one connection no longer
    /// responds, the others have often failed with it, and each would delay a task by a check.
    pub fn close(&self, attempt: AttemptId) {
        let open = self.open_starts.borrow_mut().remove(&attempt);
        if let Some(open) = open {
            open.pool.close_idle();
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        for pools in [&self.start_pools, &self.state_pools] {
            for pool in pools.borrow().values() {
                pool.prune();
            }
        }
    }

    fn start_exchange(
        &self,
        address: SocketAddr,
        request: &StartRequest,
        traceparent: Option<Box<str>>,
    ) -> StartExchange {
        let pool = self.pool(&self.start_pools, address, self.settings.start_connections);
        let id = request.attempt;
        let mut request = encode("/v1/tasks", request);
        if let Some(value) = traceparent.and_then(|job| attempt_header(&job, id)) {
            let name = HeaderName::from_static(TRACE_HEADER);
            request = request.with_header(name, value);
        }
        StartExchange {
            pool,
            request,
            options: RequestOptions {
                timeout: self.settings.start_timeout,
                // A task that was delayed by a connection that no longer responds must not meet
                // another one at its next target.
                fresh_connection: id.attempt > AttemptNumber(0),
                ..RequestOptions::default()
            },
        }
    }

    fn state_exchange<M>(
        &self,
        address: SocketAddr,
        command: StateCommand,
        message: &M,
    ) -> StateExchange
    where
        M: Serialize,
    {
        let pool = self.pool(&self.state_pools, address, self.settings.state_connections);
        let path = match command {
            StateCommand::Check => "/v1/check",
            StateCommand::Stop => "/v1/stop",
            StateCommand::Throttle => "/v1/throttle",
        };
        StateExchange {
            pool,
            command,
            request: encode(path, message),
            options: RequestOptions {
                timeout: self.settings.state_timeout,
                fresh_connection: command == StateCommand::Check,
                ..RequestOptions::default()
            },
        }
    }

    fn pool(
        &self,
        pools: &RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
        address: SocketAddr,
        connections: usize,
    ) -> Rc<ConnectionPool> {
        let mut pools = pools.borrow_mut();
        let pool = pools.entry(address).or_insert_with(|| {
            let limits = PoolLimits {
                connections,
                idle_timeout: self.settings.idle_timeout,
                connect_timeout: self.settings.connect_timeout,
                ..PoolLimits::default()
            };
            Rc::new(ConnectionPool::new(address, limits))
        });
        Rc::clone(pool)
    }
}

/// The header by which the target reports its spans under the span of the attempt.
fn attempt_header(job: &str, attempt: AttemptId) -> Option<HeaderValue> {
    let job = job.parse::<TraceParent>().ok()?;
    let context = attempt_context(job, attempt);
    HeaderValue::try_from(context.to_string()).ok()
}

fn encode<M>(path: &'static str, message: &M) -> ClientRequest
where
    M: Serialize,
{
    ClientRequest::post(Uri::from_static(path), BodyFormat::Json, message)
        .expect("target messages have text keys and encode as JSON")
}

struct StartExchange {
    pool: Rc<ConnectionPool>,
    request: ClientRequest,
    options: RequestOptions,
}

impl StartExchange {
    async fn run(self, target: TargetIndex, attempt: AttemptId) -> EngineEvent {
        if self.options.fresh_connection {
            // Otherwise every second attempt would add a connection, up to the target's limit.
            self.pool.close_oldest_idle();
        }
        let result = self.pool.request(&self.request, &self.options).await;
        match decode_answer::<StartAnswer>(result) {
            Ok(answer) => EngineEvent::StartAnswered { target, answer },
            Err(sent) => EngineEvent::StartFailed {
                attempt,
                written: sent == SentState::MaybeSent,
            },
        }
    }
}

struct StateExchange {
    pool: Rc<ConnectionPool>,
    command: StateCommand,
    request: ClientRequest,
    options: RequestOptions,
}

impl StateExchange {
    async fn run(self, target: TargetIndex) -> EngineEvent {
        let command = self.command;
        let result = self.pool.request(&self.request, &self.options).await;
        match decode_answer::<StateAnswer>(result) {
            Ok(answer) => EngineEvent::StatesAnswered {
                target,
                command,
                answer,
            },
            Err(_) => EngineEvent::StatesFailed { target, command },
        }
    }
}

/// An answer that cannot be read proves nothing about the attempt, so it counts as lost.
fn decode_answer<A>(result: Result<ClientResponse, ClientError>) -> Result<A, SentState>
where
    A: serde::de::DeserializeOwned,
{
    let response = result.map_err(|error| error.sent)?;
    if response.status != StatusCode::OK {
        return Err(SentState::MaybeSent);
    }
    response
        .decode(BodyFormat::Json)
        .map_err(|_| SentState::MaybeSent)
}
