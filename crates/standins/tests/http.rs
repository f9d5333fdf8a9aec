//! Guards the stand-ins as HTTP processes: the protocol, the control endpoints and the faults of
//! connections, which the models do not cover.

use std::time::{Duration, Instant};

use filbertpitch_standins::declare::TargetGroup;
use filbertpitch_standins::http::log_host::LogHost;
use filbertpitch_standins::http::target_control::{LedgerPage, TargetControl};
use filbertpitch_standins::http::target_pool::TargetServers;
use filbertpitch_standins::http::vm_host::VmHost;
use filbertpitch_standins::log_model::{LogModel, LogSettings};
use filbertpitch_standins::plan::expected_output;
use filbertpitch_standins::vm_model::VmModel;
use filbertpitch_standins::world::{WorldName, WorldProfile};
use filbertpitch_types::platform::{AppendAnswer, ReadAnswer, VmList};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, RefusalReason, StartAnswer, StartRequest};
use filbertpitch_wire::client::{
    ClientError, ClientErrorKind, ConnectionPool, PoolLimits, RequestOptions, SentState,
};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ClientResponse};
use filbertpitch_wire::runtime::run;
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits};
use http::{Method, StatusCode};
use serde::Serialize;
use serde_json::json;

/// Starts one target and returns clients of it and of its control endpoint.
fn start_target() -> (ConnectionPool, ConnectionPool) {
    let world = WorldProfile::named(WorldName::Sajha);
    let group = TargetGroup {
        kinds_per_target: world.kinds.len(),
        world,
        listen: "127.0.0.1:0".parse().unwrap(),
        count: 1,
        first: 0,
        slots: 8,
        connections: 64,
    };
    let servers = TargetServers::bind(group.served()).unwrap();
    let pool = |address| ConnectionPool::new(address, PoolLimits::default());
    let pools = (
        pool(servers.addresses()[0]),
        pool(servers.control_addresses()[0]),
    );
    monoio::spawn(servers.serve());
    pools
}

fn start_server<Host>(host: Host) -> ConnectionPool
where
    Host: RequestHandler + 'static,
{
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default());
    let server = server.unwrap();
    let address = server.local_addr().unwrap();
    let handle = server.stop_handle();
    monoio::spawn(async move {
        server.run(host).await;
        drop(handle);
    });
    ConnectionPool::new(address, PoolLimits::default())
}

async fn send(
    pool: &ConnectionPool,
    request: &ClientRequest,
    timeout: Duration,
) -> Result<ClientResponse, ClientError> {
    let options = RequestOptions {
        timeout,
        ..RequestOptions::default()
    };
    pool.request(request, &options).await
}

async fn post<Message>(
    pool: &ConnectionPool,
    path: &str,
    message: &Message,
) -> Result<ClientResponse, ClientError>
where
    Message: Serialize,
{
    let request = ClientRequest::post(path.parse().unwrap(), BodyFormat::Json, message).unwrap();
    send(pool, &request, Duration::from_secs(2)).await
}

async fn get(pool: &ConnectionPool, path: &str) -> ClientResponse {
    let request = ClientRequest::new(Method::GET, path.parse().unwrap());
    send(pool, &request, Duration::from_secs(2)).await.unwrap()
}

fn start(job: u64, input: &str) -> StartRequest {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    StartRequest {
        attempt: AttemptId {
            incarnation: IncarnationId(1),
            job: JobNumber(job),
            task: TaskIndex(0),
            attempt: AttemptNumber(0),
        },
        service: "order-desk".parse().unwrap(),
        kind: "stock-check".parse().unwrap(),
        input: input.into(),
        lease_until: WallTime(now.unwrap().as_millis() as u64 + 60_000),
        resume_from: None,
    }
}

async fn verdict(pool: &ConnectionPool, request: &StartRequest) -> AttemptOutcome {
    let response = post(pool, "/v1/tasks", request).await.unwrap();
    let answer = response.decode::<StartAnswer>(BodyFormat::Json).unwrap();
    assert_eq!(answer.attempt, request.attempt);
    answer.verdict
}

async fn control(pool: &ConnectionPool, control: TargetControl) {
    let response = post(pool, "/control", &control).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
}

async fn ledger(pool: &ConnectionPool) -> LedgerPage {
    get(pool, "/control/ledger")
        .await
        .decode(BodyFormat::Json)
        .unwrap()
}

/// Two requests for one attempt must share a run, and a stop must fence an unseen attempt.
#[test]
fn target_joins_and_fences_over_http() {
    run(async {
        let (pool, admin) = start_target();
        let input = "run=50ms output=abc";
        let request = start(1, input);
        let begun = Instant::now();
        let pair = (verdict(&pool, &request), verdict(&pool, &request));
        let (first, second) = futures_util::future::join(pair.0, pair.1).await;
        assert!(begun.elapsed() >= Duration::from_millis(50));
        let expected = AttemptOutcome::Done {
            output: expected_output(input),
            run_time: Duration::from_millis(50),
        };
        assert_eq!((&first, &second), (&expected, &expected));
        let fenced = start(2, "run=1ms");
        let stop = json!({ "attempts": [fenced.attempt] });
        post(&pool, "/v1/stop", &stop).await.unwrap();
        let reason = RefusalReason::Fenced;
        assert_eq!(
            verdict(&pool, &fenced).await,
            AttemptOutcome::Refused { reason }
        );
        assert_eq!(ledger(&admin).await.total, 1);
    })
    .unwrap();
}

/// The fault of section 1.4: established connections stop responding while new ones work.
#[test]
fn silenced_connections_stay_open_and_new_ones_work() {
    run(async {
        let (pool, admin) = start_target();
        let running = start(1, "run=100ms");
        let request = ClientRequest::post("/v1/tasks".parse().unwrap(), BodyFormat::Json, &running);
        let request = request.unwrap();
        let waiting = send(&pool, &request, Duration::from_millis(500));
        let silence = async {
            monoio::time::sleep(Duration::from_millis(30)).await;
            control(&admin, TargetControl::SilenceOpenConnections {}).await;
        };
        let (waited, ()) = futures_util::future::join(waiting, silence).await;
        assert_eq!(waited.unwrap_err().kind, ClientErrorKind::TimedOut);
        let fresh = ConnectionPool::new(pool.address(), PoolLimits::default());
        assert!(matches!(
            verdict(&fresh, &running).await,
            AttemptOutcome::Done { .. }
        ));
        assert_eq!(ledger(&admin).await.total, 1);
    })
    .unwrap();
}

/// A dead target must close connections without an answer, then come back empty.
#[test]
fn dead_target_closes_connections_and_restarts_empty() {
    run(async {
        let (pool, admin) = start_target();
        let running = start(1, "run=10s");
        let die = async {
            monoio::time::sleep(Duration::from_millis(30)).await;
            control(&admin, TargetControl::Die { down: None }).await;
        };
        let waiting = post(&pool, "/v1/tasks", &running);
        let (waited, ()) = futures_util::future::join(waiting, die).await;
        let error = waited.unwrap_err();
        assert_eq!(
            (error.kind, error.sent),
            (ClientErrorKind::Closed, SentState::MaybeSent)
        );
        let refused = post(&pool, "/v1/tasks", &running).await.unwrap_err();
        assert_eq!(
            (refused.kind, refused.sent),
            (ClientErrorKind::Refused, SentState::NotSent)
        );
        control(&admin, TargetControl::Restart {}).await;
        monoio::time::sleep(Duration::from_millis(100)).await;
        let check = json!({ "holder": running.attempt.incarnation, "lease_until": 0,
            "attempts": [running.attempt] });
        let response = post(&pool, "/v1/check", &check).await.unwrap();
        let states = String::from_utf8(response.body.to_vec()).unwrap();
        assert!(states.contains("unknown"), "{states}");
        assert_eq!(ledger(&admin).await.total, 1);
    })
    .unwrap();
}

/// A frozen target must hold requests and answer them after the thaw.
#[test]
fn frozen_target_answers_after_the_thaw() {
    run(async {
        let (pool, admin) = start_target();
        let length = Some(Duration::from_millis(200));
        control(&admin, TargetControl::Freeze { length }).await;
        let begun = Instant::now();
        let answer = verdict(&pool, &start(1, "run=1ms")).await;
        assert!(matches!(answer, AttemptOutcome::Done { .. }));
        assert!(begun.elapsed() >= Duration::from_millis(200));
    })
    .unwrap();
}

/// The log's protocol, including an append that takes effect without an answer.
#[test]
fn log_serves_the_platform_protocol() {
    run(async {
        let pool = start_server(LogHost::new(LogModel::new(LogSettings::default())));
        let path = "/v1/streams/tickets/records";
        let body = json!({ "body": "a" });
        let appended = post(&pool, path, &body).await.unwrap();
        let appended = appended.decode::<AppendAnswer>(BodyFormat::Json).unwrap();
        assert_eq!(appended.offset, LogOffset(0));
        post(&pool, "/control", &json!({ "lose_answers": 1 }))
            .await
            .unwrap();
        let lost = post(&pool, path, &body).await.unwrap_err();
        assert_eq!(
            (lost.kind, lost.sent),
            (ClientErrorKind::Closed, SentState::MaybeSent)
        );
        let waiting = format!("{path}?from=2&wait_ms=2000");
        let append = async {
            monoio::time::sleep(Duration::from_millis(50)).await;
            post(&pool, path, &body).await.unwrap();
        };
        let (read, ()) = futures_util::future::join(get(&pool, &waiting), append).await;
        let read = read.decode::<ReadAnswer>(BodyFormat::Json).unwrap();
        assert_eq!(read.records[0].offset, LogOffset(2));
        post(&pool, "/control", &json!({ "outage": true }))
            .await
            .unwrap();
        let refused = post(&pool, path, &body).await.unwrap();
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let control = json!({ "outage": false, "retention": "0ms" });
        post(&pool, "/control", &control).await.unwrap();
        assert_eq!(get(&pool, path).await.status, StatusCode::GONE);
    })
    .unwrap();
}

/// The list must show changes only after the lag.
#[test]
fn vm_list_changes_over_http() {
    run(async {
        let pool = start_server(VmHost::new(VmModel::new(Vec::new(), Duration::ZERO)));
        let vm = json!({ "name": "target-1", "address": "127.0.0.1:7300", "zone": "a",
            "role": "target", "state": "live" });
        post(&pool, "/control/add", &vm).await.unwrap();
        let list = get(&pool, "/v1/vms")
            .await
            .decode::<VmList>(BodyFormat::Json)
            .unwrap();
        assert_eq!(list.vms[0].name.as_str(), "target-1");
        post(&pool, "/control", &json!({ "lag": "150ms" }))
            .await
            .unwrap();
        let name = json!({ "name": "target-1" });
        post(&pool, "/control/remove", &name).await.unwrap();
        let list = get(&pool, "/v1/vms")
            .await
            .decode::<VmList>(BodyFormat::Json)
            .unwrap();
        assert_eq!(list.vms.len(), 1);
        monoio::time::sleep(Duration::from_millis(200)).await;
        let list = get(&pool, "/v1/vms")
            .await
            .decode::<VmList>(BodyFormat::Json)
            .unwrap();
        assert!(list.vms.is_empty());
    })
    .unwrap();
}
