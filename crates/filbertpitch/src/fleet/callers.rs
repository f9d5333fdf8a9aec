//! The requests of clients, and the balancer's question whether this VM takes connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbertpitch_dispatch::entity::KindIndex;
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::cancellation::CancelOutcome;
use filbertpitch_fleet::engine::{FleetEngine, FleetEvent};
use filbertpitch_platform::callers::{self, CallerRequest, JobOperation};
use filbertpitch_types::fleet::{ClientTimeout, JobSpec, PeerState};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use http::StatusCode;

use super::driver::FleetDriver;
use super::forwarding::{self, ForwardOutcome};

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

    /// Submits a job to this VM, or forwards it to another one. `arrived` is when the request was read.
    async fn submit(
        &self,
        call: &CallerRequest,
        request: &ServerRequest,
        arrived: Instant,
    ) -> ServerResponse {
        let job = match self.driver.inspect(|engine| {
            let found = engine.catalog().match_request(&call.host, request.path())?;
            Some(found.rest.parse::<JobId>())
        }) {
            None => return callers::unknown_queue_response(),
            Some(Err(error)) => return callers::invalid_response(&error.to_string()),
            Some(Ok(job)) => job,
        };
        let outcome = forwarding::forward(&self.driver, job, call, request, arrived).await;
        let client_timeout = match outcome {
            None => ClientTimeout::from(call.client_timeout),
            Some(ForwardOutcome::Relayed(response)) => return response,
            Some(ForwardOutcome::Replied(reply)) => return callers::job_response(reply),
            Some(ForwardOutcome::TakenBack) => ClientTimeout {
                stated: call.client_timeout,
                remaining: call.client_timeout.saturating_sub(arrived.elapsed()),
            },
        };
        let submitted = submit_job(
            &self.driver,
            &call.host,
            request.path(),
            request,
            |caller, job| FleetEvent::JobSubmitted {
                caller,
                queue: job.queue,
                spec: job.spec,
                client_timeout,
            },
        );
        submitted
            .await
            .unwrap_or_else(callers::unknown_queue_response)
    }

    /// Answers about a job or, without an id, about a queue.
    async fn look(&self, call: &CallerRequest, path: &str) -> ServerResponse {
        match forwarding::look(&self.driver, call, path).await {
            Some(response) => response,
            None => look(&self.driver, &call.host, path),
        }
    }

    /// Cancels a job, whichever VM coordinates it.
    async fn cancel(&self, call: &CallerRequest, path: &str) -> ServerResponse {
        let id = self.driver.inspect(|engine| {
            let found = engine.catalog().match_request(&call.host, path)?;
            Some(found.rest.parse::<JobId>().ok())
        });
        let id = match id {
            None => return callers::unknown_queue_response(),
            Some(None) => return callers::unknown_job_response(),
            Some(Some(id)) => id,
        };
        if self.driver.forwarder().cancel(id) {
            return callers::cancelled_response();
        }
        match self.driver.cancel(id).await {
            CancelOutcome::Cancelled => callers::cancelled_response(),
            CancelOutcome::UnknownJob => callers::unknown_job_response(),
            CancelOutcome::Unconfirmed => callers::unconfirmed_cancel_response(),
        }
    }
}

/// A decoded job, to be submitted to the engine.
pub(super) struct DecodedJob {
    pub(super) queue: KindIndex,
    pub(super) spec: JobSpec,
}

/// Submits the job in the body of `request` to the engine and waits for the reply. `path` is the path of
/// the client's request to `host`. Returns `None` if no queue has this host and path.
pub(super) async fn submit_job<F>(
    driver: &Rc<FleetDriver>,
    host: &str,
    path: &str,
    request: &ServerRequest,
    event: F,
) -> Option<ServerResponse>
where
    F: FnOnce(CallerToken, DecodedJob) -> FleetEvent,
{
    let (queue, id) = driver.inspect(|engine| {
        let found = engine.catalog().match_request(host, path)?;
        Some((found.queue, found.rest.parse::<JobId>()))
    })?;
    let spec = match id.map(|id| callers::read_job(id, request)) {
        Ok(Ok(spec)) => spec,
        Ok(Err(error)) => return Some(callers::invalid_response(&error.to_string())),
        Err(error) => return Some(callers::invalid_response(&error.to_string())),
    };
    let job = DecodedJob { queue, spec };
    let reply = driver.submit(request.connection, |caller| event(caller, job));
    let reply = reply.await;
    Some(match reply {
        Some(reply) => callers::job_response(reply),
        None => ServerResponse::empty(StatusCode::BAD_GATEWAY),
    })
}

/// Answers about a job of this VM or, without an id, about a queue.
pub(super) fn look(driver: &FleetDriver, host: &str, path: &str) -> ServerResponse {
    driver.inspect(|engine| {
        let Some(found) = engine.catalog().match_request(host, path) else {
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

impl RequestHandler for CallerHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let arrived = Instant::now();
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
            JobOperation::Submit => self.submit(&call, &request, arrived).await,
            JobOperation::Query => self.look(&call, request.path()).await,
            JobOperation::Cancel => self.cancel(&call, request.path()).await,
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
