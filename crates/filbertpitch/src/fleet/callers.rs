//! The requests of clients, and the balancer's question whether this VM takes connections.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_fleet::engine::{FleetEngine, FleetEvent};
use filbertpitch_platform::callers::{self, CallerRequest, JobOperation};
use filbertpitch_types::fleet::PeerState;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use http::StatusCode;

use super::driver::FleetDriver;

/// How long a request waits for a VM that is starting. A start takes a few hundred milliseconds on a small
/// VM, and a client that is refused does not return sooner.
const START_WAIT: Duration = Duration::from_secs(1);

/// How often a waiting request looks whether the VM has started.
const START_POLL: Duration = Duration::from_millis(20);

/// Answers clients.
pub(super) struct CallerHandler {
    driver: Rc<FleetDriver>,
}

impl CallerHandler {
    pub(super) fn new(driver: Rc<FleetDriver>) -> Self {
        Self { driver }
    }

    /// Waits until this VM has a configuration and knows its targets, or for too long.
    async fn await_start(&self) {
        let mut waited = Duration::ZERO;
        let starting = |engine: &FleetEngine| engine.state() == PeerState::Starting;
        while waited < START_WAIT && self.driver.inspect(starting) {
            monoio::time::sleep(START_POLL).await;
            waited += START_POLL;
        }
    }

    async fn submit(&self, call: &CallerRequest, request: &ServerRequest) -> ServerResponse {
        let found = self.driver.inspect(|engine| {
            let found = engine.catalog().match_request(&call.host, request.path())?;
            Some((found.queue, found.rest.parse::<JobId>()))
        });
        let (queue, id) = match found {
            None => return callers::unknown_queue_response(),
            Some((_, Err(error))) => return callers::invalid_response(&error.to_string()),
            Some((queue, Ok(id))) => (queue, id),
        };
        let order = match callers::read_job(id, request) {
            Ok(order) => order,
            Err(error) => return callers::invalid_response(&error.to_string()),
        };
        let patience = call.client_timeout;
        let reply = self.driver.submit(|caller| FleetEvent::JobSubmitted {
            caller,
            queue,
            spec: order,
            client_timeout: patience,
        });
        match reply.await {
            Some(reply) => callers::job_response(reply),
            None => ServerResponse::empty(StatusCode::BAD_GATEWAY),
        }
    }

    /// Answers about a job or, without an id, about a queue.
    fn look(&self, call: &CallerRequest, path: &str) -> ServerResponse {
        self.driver.inspect(|engine| {
            let Some(found) = engine.catalog().match_request(&call.host, path) else {
                return callers::unknown_queue_response();
            };
            if found.rest.is_empty() {
                return callers::pending_jobs_response(engine.waiting_jobs(found.queue));
            }
            let job = found.rest.parse::<JobId>().ok();
            match job.and_then(|id| engine.job_started(id)) {
                Some(started) => callers::active_job_response(started),
                None => callers::unknown_job_response(),
            }
        })
    }

    fn cancel(&self, call: &CallerRequest, path: &str) -> ServerResponse {
        let id = self.driver.inspect(|engine| {
            let found = engine.catalog().match_request(&call.host, path)?;
            Some(found.rest.parse::<JobId>().ok())
        });
        let Some(id) = id else {
            return callers::unknown_queue_response();
        };
        let live = id.filter(|id| {
            self.driver
                .inspect(|engine| engine.job_started(*id).is_some())
        });
        match live {
            Some(id) => {
                self.driver.feed(FleetEvent::JobCancelled(id));
                callers::cancelled_response()
            }
            None => callers::unknown_job_response(),
        }
    }
}

impl RequestHandler for CallerHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        self.await_start().await;
        let configured = self
            .driver
            .inspect(|engine| engine.catalog().version().is_some());
        if !configured {
            return callers::not_ready_response();
        }
        let Some(call) = callers::read_request(&request) else {
            return ServerResponse::empty(StatusCode::METHOD_NOT_ALLOWED);
        };
        match call.operation {
            JobOperation::Submit => self.submit(&call, &request).await,
            JobOperation::Query => self.look(&call, request.path()),
            JobOperation::Cancel => self.cancel(&call, request.path()),
        }
    }

    /// The answer to a submission is all that its client wants.
    fn cancels_on_disconnect(&self) -> bool {
        true
    }
}

/// Tells the balancer whether this VM takes new connections.
pub(super) struct ReadyHandler {
    driver: Rc<FleetDriver>,
}

impl ReadyHandler {
    pub(super) fn new(driver: Rc<FleetDriver>) -> Self {
        Self { driver }
    }
}

impl RequestHandler for ReadyHandler {
    async fn handle(&self, _: ServerRequest) -> ServerResponse {
        let ready = self.driver.inspect(|engine| engine.state()) == PeerState::Ready;
        ServerResponse::empty(match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    }
}
