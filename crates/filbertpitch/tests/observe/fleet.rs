//! Two entry VMs, a log, a VM list and targets in one process and on one thread.

use std::cell::RefCell;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use filbertpitch::events::{EventLog, LogGuard};
use filbertpitch::serve::{EntryLife, NodeSettings, Starting};
use filbertpitch::settings::LogLevel;
use filbertpitch_config::object::ObjectChange;
use filbertpitch_config::record::ticket_body;
use filbertpitch_config::spec::{KindSpec, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_dispatch::membership::MembershipSettings;
use filbertpitch_standins::http::log_host::{LogControl, LogHost};
use filbertpitch_standins::http::vm_host::{VmControl, VmHost};
use filbertpitch_standins::log_model::{LogModel, LogSettings};
use filbertpitch_standins::vm_model::VmModel;
use filbertpitch_types::platform::{AppendRequest, VmEntry, VmRole, VmState};
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::VmStatus;
use filbertpitch_types::target::{AttemptOutcome, LoadReport, StartAnswer, StartRequest};
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ClientResponse, ServerRequest, ServerResponse};
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits};
use futures_channel::oneshot;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

const ZONE: &str = "dharan";
const TIMEOUT: Duration = Duration::from_secs(15);

/// The `traceparent` headers of the starts that the targets received.
pub type TargetParents = Rc<RefCell<Vec<Option<String>>>>;

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A target that ends every task at once.
struct InstantTarget(TargetParents);

impl RequestHandler for InstantTarget {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let header = request.header("traceparent").map(str::to_owned);
        self.0.borrow_mut().push(header);
        let start: StartRequest = request.decode(BodyFormat::Json).unwrap();
        monoio::time::sleep(Duration::from_millis(5)).await;
        let answer = StartAnswer {
            attempt: start.attempt,
            verdict: AttemptOutcome::Done {
                output: "done".into(),
                run_time: Duration::from_millis(4),
            },
            load: LoadReport {
                slots: 8,
                boot: 1,
                ..LoadReport::default()
            },
        };
        ServerResponse::json(StatusCode::OK, &answer)
    }
}

/// An address that nothing uses. Each has an IP address of its own, so that no outgoing connection
/// of another test can take its port before the server binds to it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes()[3];
    let ip = Ipv4Addr::new(127, process.max(1), high, low);
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn serve<H>(handler: H) -> SocketAddr
where
    H: RequestHandler + 'static,
{
    let any = "127.0.0.1:0".parse().unwrap();
    let server = HttpServer::bind(any, ServerLimits::default()).unwrap();
    let address = server.local_addr().unwrap();
    let stop = server.stop_handle();
    monoio::spawn(async move {
        server.run(handler).await;
        drop(stop);
    });
    address
}

/// Waits until a condition holds, and fails if it does not within the time.
pub async fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let start = std::time::Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "{what}: not in time");
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A running entry VM.
#[derive(Clone)]
pub struct RunningVm {
    address: SocketAddr,
    pool: Rc<ConnectionPool>,
    output: SharedOutput,
    status: Rc<dyn Fn() -> VmStatus>,
}

impl RunningVm {
    pub async fn request(&self, path: &str) -> ClientResponse {
        let request = ClientRequest::new(Method::GET, path.parse().unwrap());
        let options = RequestOptions::default();
        self.pool.request(&request, &options).await.unwrap()
    }

    pub async fn get<T>(&self, path: &str) -> T
    where
        T: DeserializeOwned,
    {
        self.request(path).await.decode(BodyFormat::Json).unwrap()
    }

    pub async fn post<T>(&self, path: &str, body: &T, parent: Option<&str>) -> ClientResponse
    where
        T: Serialize,
    {
        let target = path.parse().unwrap();
        let mut request = ClientRequest::post(target, BodyFormat::Json, body).unwrap();
        if let Some(parent) = parent {
            let name = HeaderName::from_static("traceparent");
            request = request.with_header(name, HeaderValue::from_str(parent).unwrap());
        }
        let options = RequestOptions {
            timeout: TIMEOUT,
            ..RequestOptions::default()
        };
        self.pool.request(&request, &options).await.unwrap()
    }

    pub fn node_status(&self) -> VmStatus {
        (self.status)()
    }

    /// A prefix of this address with another incarnation.
    pub fn address_prefix(&self, incarnation: &str) -> String {
        format!("{ZONE}~{}~{incarnation}~0", self.address)
    }

    /// The names of the events that were logged.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8(self.output.0.lock().unwrap().clone()).unwrap();
        // The last line may be only half written.
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        let names = complete.lines().map(|line| {
            let value: serde_json::Value = serde_json::from_str(line).unwrap();
            value["name"].as_str().unwrap_or_default().to_owned()
        });
        names.collect()
    }

    pub async fn await_events(&self, names: &[&str]) {
        eventually(&format!("events {names:?}"), || {
            let events = self.events();
            names
                .iter()
                .all(|name| events.iter().any(|event| event == name))
        })
        .await;
    }
}

/// Two entry VMs and what surrounds them.
pub struct Fleet {
    pub vms: [RunningVm; 2],
    pub target_parents: TargetParents,
    log: SocketAddr,
    list: SocketAddr,
    targets: Vec<(TargetName, SocketAddr)>,
    metrics: UdpSocket,
    stop: Option<oneshot::Sender<()>>,
    stopped: Option<oneshot::Receiver<bool>>,
    _guards: Vec<LogGuard>,
}

impl Fleet {
    /// Starts four targets and the targets in `down`, which do not respond.
    pub async fn start(down: &[&str]) -> Self {
        let target_parents = TargetParents::default();
        let up = (0..4).map(|number| {
            let address = serve(InstantTarget(target_parents.clone()));
            (format!("target-{number}").parse().unwrap(), address)
        });
        let down = down
            .iter()
            .map(|name| (name.parse().unwrap(), free_address()));
        let targets = up.chain(down).collect::<Vec<(TargetName, _)>>();
        let addresses = [free_address(), free_address()];
        let log = serve(LogHost::new(LogModel::new(LogSettings::default())));
        let entries = addresses
            .iter()
            .enumerate()
            .map(|(number, &address)| VmEntry {
                name: format!("entry-{number}").parse().unwrap(),
                address,
                zone: ZONE.parse().unwrap(),
                role: VmRole::Entry,
                state: VmState::Live,
            });
        let list = serve(VmHost::new(VmModel::new(entries.collect(), Duration::ZERO)));
        let metrics = UdpSocket::bind("127.0.0.1:0").unwrap();
        metrics.set_nonblocking(true).unwrap();
        append(log, &ticket_body(&ticket(1, &targets))).await;
        let settings = addresses.map(|address| NodeSettings {
            vm_list: Some(list),
            vm_list_interval: Duration::from_millis(100),
            drain_notice: Duration::from_millis(300),
            metrics: Some(metrics.local_addr().unwrap()),
            metrics_interval: Duration::from_millis(100),
            membership: MembershipSettings {
                heartbeat_interval: Duration::from_millis(100),
                ..MembershipSettings::default()
            },
            ..NodeSettings::new(address, ZONE.parse().unwrap(), log)
        });
        let (stop, stop_received) = oneshot::channel();
        let (sender, stopped) = oneshot::channel();
        let mut guards = Vec::new();
        let mut outputs = Vec::new();
        let mut waits = [None, Some((stop_received, sender))];
        let mut vms = Vec::new();
        for (position, settings) in settings.into_iter().enumerate() {
            let output = SharedOutput::default();
            let (events, guard) = EventLog::start(output.clone(), LogLevel::Info);
            guards.push(guard);
            outputs.push(output.clone());
            let address = settings.listen;
            let incarnation = IncarnationId(rand::random());
            let starting = EntryLife::<Starting>::start(settings, incarnation, events).unwrap();
            let node = starting.node();
            let wait = waits[position].take();
            monoio::spawn(async move {
                let ready = starting.load_configuration().await;
                match wait {
                    None => drop(ready.serve_until(std::future::pending()).await),
                    Some((stop, done)) => {
                        let draining = ready.serve_until(async { _ = stop.await }).await;
                        let _ = done.send(draining.finish().await);
                    }
                }
            });
            vms.push(RunningVm {
                address,
                pool: Rc::new(ConnectionPool::new(address, PoolLimits::default())),
                output,
                status: Rc::new(move || node.status()),
            });
        }
        let vms = <[RunningVm; 2]>::try_from(vms).ok().unwrap();
        eventually("two live VMs", || {
            vms.iter().all(|vm| {
                let status = vm.node_status();
                let live = |peer: &filbertpitch_types::status::PeerStatus| {
                    peer.state == filbertpitch_types::status::PeerState::Live
                };
                status.state == filbertpitch_types::status::LifecycleState::Ready
                    && status.peers.iter().any(live)
                    && status.targets.iter().all(|target| target.share > 0)
            })
        })
        .await;
        Self {
            vms,
            target_parents,
            log,
            list,
            targets,
            metrics,
            stop: Some(stop),
            stopped: Some(stopped),
            _guards: guards,
        }
    }

    /// The metric lines that arrived since the last call.
    pub fn take_metrics(&self) -> Vec<String> {
        let mut lines = Vec::new();
        let mut buffer = vec![0; 65_536];
        while let Ok(length) = self.metrics.recv(&mut buffer) {
            let text = std::str::from_utf8(&buffer[..length]).unwrap();
            lines.extend(text.lines().map(str::to_owned));
        }
        lines
    }

    /// Appends a ticket with this number and all objects.
    pub async fn append_ticket(&self, number: u64) {
        append(self.log, &ticket_body(&ticket(number, &self.targets))).await;
    }

    pub async fn append(&self, body: &str) {
        append(self.log, body).await;
    }

    /// Makes log and VM list fail, or work again.
    pub async fn set_outage(&self, outage: bool) {
        let log = LogControl {
            outage: Some(outage),
            ..LogControl::default()
        };
        post(self.log, "/control", &log).await;
        let list = VmControl {
            outage: Some(outage),
            ..VmControl::default()
        };
        post(self.list, "/control", &list).await;
    }

    /// Stops the second VM as planned.
    pub async fn stop_second(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
        assert!(self.stopped.take().unwrap().await.unwrap());
    }
}

async fn post<T>(address: SocketAddr, path: &'static str, body: &T)
where
    T: Serialize,
{
    let pool = ConnectionPool::new(address, PoolLimits::default());
    let target = path.parse().unwrap();
    let request = ClientRequest::post(target, BodyFormat::Json, body).unwrap();
    let options = RequestOptions::default();
    let response = pool.request(&request, &options).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
}

async fn append(log: SocketAddr, body: &str) {
    let append = AppendRequest { body: body.into() };
    post(log, "/v1/streams/tickets/records", &append).await;
}

fn ticket(number: u64, targets: &[(TargetName, SocketAddr)]) -> ChangeTicket {
    let service = "order-desk".parse::<ServiceName>().unwrap();
    let kind = "stock-check".parse::<KindName>().unwrap();
    let typical = Duration::from_millis(50);
    let spec = ServiceSpec {
        kinds: [(kind.clone(), KindSpec { typical })].into(),
        max_attempts: 3,
        retry_percent: 10,
    };
    let objects = targets.iter().map(|(name, address)| {
        let spec = TargetSpec {
            zone: ZONE.parse().unwrap(),
            address: *address,
            slots: 8,
            connections: 64,
            takes: [(service.clone(), [kind.clone()].into())].into(),
        };
        ObjectChange::Target(name.clone(), Some(spec))
    });
    let fixed = [
        ObjectChange::Service(service.clone(), Some(spec)),
        ObjectChange::Team("mill-east".parse().unwrap(), Some(TeamSpec::default())),
    ];
    ChangeTicket {
        number: TicketNumber(number),
        nonce: format!("test-{:016x}", rand::random::<u64>())
            .parse()
            .unwrap(),
        author: "test".into(),
        objects: fixed.into_iter().chain(objects).collect(),
    }
}
