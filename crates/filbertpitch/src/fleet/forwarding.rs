//! Jobs that one entry VM forwards to another: the exchange at the first VM, and the receiver's answer.
//!
//! The request of the client is sent on unchanged, with its host, its path and the time that the client
//! still waits in headers. Closing the connection cancels the job at the receiver.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbertpitch_fleet::engine::{FleetEvent, ForwardOrigin, JobRoute};
use filbertpitch_fleet::job_routing::ForwardingEnd;
use filbertpitch_platform::callers::{self, CallerRequest};
use filbertpitch_types::fleet::{ClientTimeout, JobReply};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::{
    ClientError, ConnectionPool, PoolLimits, RequestOptions, SentState,
};
use filbertpitch_wire::message::{ClientRequest, ClientResponse, ServerRequest, ServerResponse};
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{Either, LocalBoxFuture, Shared, WeakShared, select};
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode, Uri};

use super::callers::{look as look_here, submit_job};
use super::driver::FleetDriver;

/// Where jobs are forwarded. The number changes with the headers.
pub(super) const JOB_PATH: &str = "/peer/job/2";

/// The host of the client's request.
const HOST_HEADER: &str = "filbertpitch-job-host";
/// The path of the client's request.
const PATH_HEADER: &str = "filbertpitch-job-path";
/// The time-out of the client as it has stated it, in milliseconds.
const STATED_TIMEOUT_HEADER: &str = "filbertpitch-job-stated-timeout";
/// How long the client still waits, in milliseconds.
const TIMEOUT_HEADER: &str = "filbertpitch-job-timeout";
/// The VM that forwards the job: incarnation, time of sending, loss count and name, separated by spaces.
const ORIGIN_HEADER: &str = "filbertpitch-job-origin";

/// The receiver does not coordinate the job and has started nothing. Clients never get this status.
const NOT_TAKEN: StatusCode = StatusCode::MISDIRECTED_REQUEST;

/// The time for a new connection to a VM of the same zone. Later, the first VM coordinates the job.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The most connections to one VM, each with one job.
const CONNECTIONS: usize = 64;

/// The longest time for an answer, which is that of a job coordinated by this VM.
const MAX_EXCHANGE_TIME: Duration = Duration::from_secs(60);

/// The time for the answer to a question about a forwarded job.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// What has become of a forwarded job.
#[derive(Clone, Debug)]
pub(super) enum ForwardOutcome {
    /// The receiver has answered.
    Relayed(ServerResponse),
    /// This VM answers, because the outcome is unknown or the job was cancelled.
    Replied(JobReply),
    /// The receiver has certainly not started the job; this VM coordinates it.
    TakenBack,
}

/// An open exchange. Each client that waits for the job holds a clone; the connection closes when the
/// last one leaves.
type JobExchange = Shared<LocalBoxFuture<'static, ForwardOutcome>>;

struct OpenExchange {
    exchange: WeakShared<LocalBoxFuture<'static, ForwardOutcome>>,
    receiver: SocketAddr,
    /// Ends the exchange with a reply, once.
    end: Option<oneshot::Sender<JobReply>>,
}

/// The open exchanges of this VM, and the connections for them.
#[derive(Default)]
pub(super) struct JobForwarder {
    pools: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
    exchanges: RefCell<HashMap<JobId, OpenExchange>>,
    /// The number of requests of other VMs that wait for their response.
    received: Cell<usize>,
}

impl JobForwarder {
    /// The number of requests of other VMs that wait for their response.
    pub(super) fn received_requests(&self) -> usize {
        self.received.get()
    }

    fn pool(&self, address: SocketAddr) -> Rc<ConnectionPool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address).or_insert_with(|| {
            let limits = PoolLimits {
                connections: CONNECTIONS,
                connect_timeout: CONNECT_TIMEOUT,
                ..PoolLimits::default()
            };
            Rc::new(ConnectionPool::new(address, limits))
        });
        Rc::clone(pool)
    }

    /// The open exchange of a job.
    fn find(&self, job: JobId) -> Option<JobExchange> {
        let exchanges = self.exchanges.borrow();
        exchanges.get(&job)?.exchange.upgrade()
    }

    /// The receiver of a job whose exchange is open.
    fn receiver(&self, job: JobId) -> Option<SocketAddr> {
        let exchanges = self.exchanges.borrow();
        Some(exchanges.get(&job)?.receiver)
    }

    /// Ends an exchange whose receiver is lost: the outcome of the job is unknown.
    pub(super) fn end(&self, job: JobId) {
        self.close(job, JobReply::Unknown);
    }

    /// Cancels a forwarded job. Returns false if no exchange of the job is open.
    pub(super) fn cancel(&self, job: JobId) -> bool {
        self.close(job, JobReply::Cancelled)
    }

    fn close(&self, job: JobId, reply: JobReply) -> bool {
        let mut exchanges = self.exchanges.borrow_mut();
        let end = exchanges.get_mut(&job).and_then(|open| open.end.take());
        // The exchange may have ended in the same moment.
        end.is_some_and(|end| end.send(reply).is_ok())
    }
}

/// Reports the end of an exchange to the engine, also if its clients leave.
struct ExchangeGuard {
    driver: Rc<FleetDriver>,
    job: JobId,
    end: ForwardingEnd,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let forwarder = self.driver.forwarder();
        forwarder.exchanges.borrow_mut().remove(&self.job);
        self.driver.feed(FleetEvent::ForwardingEnded {
            job: self.job,
            end: self.end,
        });
    }
}

/// Counts a request of another VM until its response is written or its connection is closed.
struct ReceivedGuard(Rc<FleetDriver>);

impl ReceivedGuard {
    fn new(driver: &Rc<FleetDriver>) -> Self {
        let received = &driver.forwarder().received;
        received.set(received.get() + 1);
        Self(Rc::clone(driver))
    }
}

impl Drop for ReceivedGuard {
    fn drop(&mut self) {
        let received = &self.0.forwarder().received;
        received.set(received.get() - 1);
    }
}

/// Forwards a new job if this VM is short of processor time, or joins the open exchange of the job.
/// Returns `None` if this VM coordinates the job.
pub(super) async fn forward(
    driver: &Rc<FleetDriver>,
    job: JobId,
    call: &CallerRequest,
    request: &ServerRequest,
    arrived: Instant,
) -> Option<ForwardOutcome> {
    let _client = driver.clients().add_forwarded(request.connection, job);
    if let Some(exchange) = driver.forwarder().find(job) {
        return Some(exchange.await);
    }
    let route = driver.route(job)?;
    let exchange = open_exchange(driver, job, &route, call, request, arrived);
    Some(exchange.await)
}

fn open_exchange(
    driver: &Rc<FleetDriver>,
    job: JobId,
    route: &JobRoute,
    call: &CallerRequest,
    request: &ServerRequest,
    arrived: Instant,
) -> JobExchange {
    let guard = ExchangeGuard {
        driver: Rc::clone(driver),
        job,
        end: ForwardingEnd::Abandoned,
    };
    let remaining = call.client_timeout.saturating_sub(arrived.elapsed());
    let remaining = remaining.min(MAX_EXCHANGE_TIME);
    let forwarded = forwarded_request(call, request, route, remaining);
    let pool = driver.forwarder().pool(route.address);
    let (end, ended) = oneshot::channel();
    let exchange = run_exchange(guard, pool, forwarded, remaining, ended);
    let exchange = exchange.boxed_local().shared();
    if let Some(weak) = exchange.downgrade() {
        let open = OpenExchange {
            exchange: weak,
            receiver: route.address,
            end: Some(end),
        };
        let mut exchanges = driver.forwarder().exchanges.borrow_mut();
        exchanges.insert(job, open);
    }
    exchange
}

async fn run_exchange(
    mut guard: ExchangeGuard,
    pool: Rc<ConnectionPool>,
    request: Option<ClientRequest>,
    timeout: Duration,
    ended: oneshot::Receiver<JobReply>,
) -> ForwardOutcome {
    let Some(request) = request else {
        guard.end = ForwardingEnd::NotSent;
        return ForwardOutcome::TakenBack;
    };
    let options = RequestOptions {
        timeout,
        ..RequestOptions::default()
    };
    let response = pin!(pool.request(&request, &options));
    // The end comes first: a client that was told that its job is cancelled must not learn that the job
    // is complete, and the job must not be taken back.
    let result = match select(ended, response).await {
        Either::Right((result, _)) => result,
        Either::Left((Ok(JobReply::Cancelled), _)) => {
            return ForwardOutcome::Replied(JobReply::Cancelled);
        }
        Either::Left((_, response)) => match response.now_or_never() {
            Some(result) => result,
            None => {
                guard.end = ForwardingEnd::Broken;
                pool.close_idle();
                return ForwardOutcome::Replied(JobReply::Unknown);
            }
        },
    };
    // Connections that their receiver has closed would otherwise use up descriptors.
    pool.prune();
    guard.end = exchange_end(&result);
    match result {
        Ok(response) if !guard.end.is_taken_back() => ForwardOutcome::Relayed(relayed(response)),
        Ok(_) => ForwardOutcome::TakenBack,
        Err(_) => {
            // Established connections may be silent although new ones work.
            pool.close_idle();
            match guard.end.is_taken_back() {
                true => ForwardOutcome::TakenBack,
                false => ForwardOutcome::Replied(JobReply::Unknown),
            }
        }
    }
}

fn exchange_end(result: &Result<ClientResponse, ClientError>) -> ForwardingEnd {
    match result {
        Ok(response) if response.status == NOT_TAKEN => ForwardingEnd::NotTaken,
        Ok(_) => ForwardingEnd::Answered,
        Err(error) if error.sent == SentState::NotSent => ForwardingEnd::NotSent,
        Err(_) => ForwardingEnd::Broken,
    }
}

/// The request to the receiver; `None` if the client's request cannot be expressed in headers.
fn forwarded_request(
    call: &CallerRequest,
    request: &ServerRequest,
    route: &JobRoute,
    remaining: Duration,
) -> Option<ClientRequest> {
    let forwarded = peer_request(Method::POST, &call.host, request.path())?
        .with_header(
            HeaderName::from_static(TIMEOUT_HEADER),
            header_millis(remaining.saturating_sub(route.relay_time)),
        )
        .with_header(
            HeaderName::from_static(STATED_TIMEOUT_HEADER),
            header_millis(call.client_timeout),
        )
        .with_header(
            HeaderName::from_static(ORIGIN_HEADER),
            write_origin(&route.origin)?,
        );
    let content_type = request.headers.get(CONTENT_TYPE).cloned();
    Some(ClientRequest {
        content_type,
        body: request.body.clone(),
        ..forwarded
    })
}

fn header_millis(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

fn read_millis(request: &ServerRequest, header: &str) -> Option<Duration> {
    let millis = request.header(header)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn peer_request(method: Method, host: &str, path: &str) -> Option<ClientRequest> {
    let request = ClientRequest::new(method, Uri::from_static(JOB_PATH));
    let host = HeaderValue::try_from(host).ok()?;
    let path = HeaderValue::try_from(path).ok()?;
    let request = request.with_header(HeaderName::from_static(HOST_HEADER), host);
    Some(request.with_header(HeaderName::from_static(PATH_HEADER), path))
}

fn write_origin(origin: &ForwardOrigin) -> Option<HeaderValue> {
    let ForwardOrigin {
        vm,
        incarnation,
        sent_at,
        losses,
    } = origin;
    let text = format!(
        "{} {} {} {}",
        incarnation.0,
        sent_at.0,
        losses.0,
        vm.as_str()
    );
    HeaderValue::try_from(text).ok()
}

fn read_origin(text: &str) -> Option<ForwardOrigin> {
    let mut parts = text.splitn(4, ' ');
    Some(ForwardOrigin {
        incarnation: IncarnationId(parts.next()?.parse().ok()?),
        sent_at: TimePoint(parts.next()?.parse().ok()?),
        losses: LossCount(parts.next()?.parse().ok()?),
        vm: parts.next()?.parse().ok()?,
    })
}

/// The response of the receiver as the response to the client.
fn relayed(response: ClientResponse) -> ServerResponse {
    let retry_after = response.headers.get(RETRY_AFTER).cloned();
    ServerResponse {
        status: response.status,
        content_type: response.headers.get(CONTENT_TYPE).cloned(),
        headers: retry_after
            .map(|value| (RETRY_AFTER, value))
            .into_iter()
            .collect(),
        body: response.body,
    }
}

/// Asks the receiver of a forwarded job about it. Returns `None` if the job is not forwarded.
pub(super) async fn look(
    driver: &Rc<FleetDriver>,
    call: &CallerRequest,
    path: &str,
) -> Option<ServerResponse> {
    let job = driver.inspect(|engine| {
        let found = engine.catalog().match_request(&call.host, path)?;
        found.rest.parse::<JobId>().ok()
    })?;
    let forwarder = driver.forwarder();
    let pool = forwarder.pool(forwarder.receiver(job)?);
    let request = peer_request(Method::GET, &call.host, path)?;
    let options = RequestOptions {
        timeout: QUERY_TIMEOUT,
        ..RequestOptions::default()
    };
    let response = pool.request(&request, &options).await;
    Some(match response {
        // The job is on its way to the receiver.
        Ok(response)
            if response.status == StatusCode::GONE && forwarder.receiver(job).is_some() =>
        {
            callers::active_job_response(false)
        }
        Ok(response) if response.status != NOT_TAKEN => relayed(response),
        _ => ServerResponse::empty(StatusCode::BAD_GATEWAY),
    })
}

/// Answers a VM that forwards a job, or asks about one.
pub(super) async fn answer_peer(
    driver: &Rc<FleetDriver>,
    request: &ServerRequest,
) -> ServerResponse {
    let not_taken = || ServerResponse::empty(NOT_TAKEN);
    let host = request.header(HOST_HEADER);
    let (Some(host), Some(path)) = (host, request.header(PATH_HEADER)) else {
        return not_taken();
    };
    match request.method {
        Method::GET => look_here(driver, host, path),
        Method::POST => {
            let _guard = ReceivedGuard::new(driver);
            let response = receive_job(driver, request, host, path).await;
            response.unwrap_or_else(not_taken)
        }
        _ => not_taken(),
    }
}

/// Coordinates a job that another VM has forwarded. Returns `None` if this VM does not take it.
async fn receive_job(
    driver: &Rc<FleetDriver>,
    request: &ServerRequest,
    host: &str,
    path: &str,
) -> Option<ServerResponse> {
    let origin = read_origin(request.header(ORIGIN_HEADER)?)?;
    let client_timeout = ClientTimeout {
        stated: read_millis(request, STATED_TIMEOUT_HEADER)?,
        remaining: read_millis(request, TIMEOUT_HEADER)?,
    };
    let forwarded_at = origin.sent_at;
    let origin = driver.admit(&origin)?;
    let job = driver.inspect(|engine| {
        let found = engine.catalog().match_request(host, path)?;
        found.rest.parse::<JobId>().ok()
    })?;
    if driver.forwarder().receiver(job).is_some() {
        // The job is coordinated by a third VM, and is forwarded only once.
        return None;
    }
    submit_job(driver, host, path, request, |caller, job| {
        FleetEvent::JobReceived {
            origin,
            forwarded_at,
            caller,
            queue: job.queue,
            spec: job.spec,
            client_timeout,
        }
    })
    .await
}
