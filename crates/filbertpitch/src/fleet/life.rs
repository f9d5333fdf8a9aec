//! The life of an entry VM of a fleet: starting, ready, draining.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_fleet::engine::{FleetEngine, FleetEvent};
use filbertpitch_types::fleet::PeerState;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::server::{
    ConnectionWatch, HttpServer, KeepAliveHandle, RequestHandler, ServerLimits, StopHandle,
};
use futures_channel::oneshot;
use futures_util::future::FusedFuture;
use slog::b;

use super::callers::{CallerHandler, ReadyHandler};
use super::metrics::MetricsHandler;
use super::node::FleetNode;
use super::peers::PeerHandler;
use crate::events::{EventLog, LogEvent};
use crate::settings::{FleetNodeSettings, load_fleet_settings};
use crate::signals::ReloadSignals;

/// How often a waiting state looks at the node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often the settings file is compared with what was read, in case it changes without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);

/// How long a stopping VM still accepts connections: until the balancer has missed it twice, at one
/// question a second.
const NOTICE_TIME: Duration = Duration::from_millis(2600);

/// The time before the end of the grace period in which the process ends in any case.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// How long the servers may take to write their last responses.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// It has no configuration yet.
pub struct Starting;

/// It takes jobs.
pub struct Ready;

/// An entry VM of a fleet in state `State`.
pub struct FleetLife<State> {
    node: Rc<FleetNode>,
    settings: FleetNodeSettings,
    callers: RunningServer,
    _state: State,
}

struct RunningServer {
    stop: StopHandle,
    retire: KeepAliveHandle,
    done: oneshot::Receiver<()>,
}

impl RunningServer {
    fn start<H>(
        address: SocketAddr,
        limits: ServerLimits,
        watch: &Rc<ConnectionWatch>,
        handler: H,
    ) -> io::Result<Self>
    where
        H: RequestHandler + 'static,
    {
        let server = HttpServer::bind(address, limits)?;
        let server = server.with_connection_watch(Rc::clone(watch));
        let stop = server.stop_handle();
        let retire = server.keep_alive_handle();
        let (finished, done) = oneshot::channel();
        monoio::spawn(async move {
            server.run(handler).await;
            // The receiver is gone when the process is already exiting.
            let _ = finished.send(());
        });
        Ok(Self { stop, retire, done })
    }
}

impl FleetLife<Starting> {
    /// Binds the servers and starts the background tasks. `file` is read again when it changes.
    ///
    /// # Errors
    /// When an address cannot be bound, or the operating system cannot create an event queue.
    pub fn start(
        settings: FleetNodeSettings,
        file: PathBuf,
        incarnation: IncarnationId,
        log: EventLog,
    ) -> io::Result<Self> {
        let watch = ConnectionWatch::new()?;
        let (node, timer_events) = FleetNode::new(&settings, incarnation, Rc::clone(&watch), log);
        let driver = node.driver();
        let limits = ServerLimits::default();
        let callers = CallerHandler::new(Rc::clone(driver));
        let callers =
            RunningServer::start(settings.listen.callers, limits.clone(), &watch, callers)?;
        let ready = ReadyHandler::new(Rc::clone(driver));
        keep_running(RunningServer::start(
            settings.listen.ready,
            limits.clone(),
            &watch,
            ready,
        )?);
        let peers = PeerHandler::new(Rc::clone(driver));
        keep_running(RunningServer::start(
            settings.listen.peers,
            limits.clone(),
            &watch,
            peers,
        )?);
        if let Some(address) = settings.listen.metrics {
            let metrics = MetricsHandler::new(Rc::clone(&node));
            keep_running(RunningServer::start(address, limits, &watch, metrics)?);
        }
        monoio::spawn(Rc::clone(driver).run_timer(timer_events));
        driver.feed(FleetEvent::SeedsFound(settings.seed_peers.clone()));
        monoio::spawn(Rc::clone(&node).follow_vms());
        monoio::spawn(Rc::clone(&node).follow_configuration());
        monoio::spawn(Rc::clone(&node).follow_targets());
        monoio::spawn(run_reloads(Rc::clone(&node), settings.clone(), file));
        Ok(Self {
            node,
            settings,
            callers,
            _state: Starting,
        })
    }

    /// Waits for a configuration and for the list of targets.
    pub async fn load(self) -> FleetLife<Ready> {
        while self.node.driver().inspect(FleetEngine::state) == PeerState::Starting {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        FleetLife {
            node: self.node,
            settings: self.settings,
            callers: self.callers,
            _state: Ready,
        }
    }
}

impl FleetLife<Ready> {
    /// Serves until `stop` completes; then gives the targets away, finishes what was accepted and
    /// returns whether all of it ended in time.
    pub async fn serve_until<F>(mut self, stop: F) -> bool
    where
        F: Future<Output = ()>,
    {
        stop.await;
        let started = self.node.driver().now().time;
        self.node.log().record(LogEvent::ProcessDraining, b!());
        self.callers.retire.disable();
        let limit = self.settings.stop_grace.saturating_sub(GRACE_MARGIN);
        let ends_at = started + limit;
        self.node
            .driver()
            .feed(FleetEvent::DrainStarted { ends_at });
        monoio::time::sleep(NOTICE_TIME.min(limit)).await;
        // Idle connections are closed now: a request that came later could not be finished.
        self.callers.stop.stop();
        let elapsed = self.node.driver().now().time.since(started);
        let left = limit.saturating_sub(elapsed);
        let finishing = self.finish_jobs();
        let mut finished = monoio::time::timeout(left, finishing).await.is_ok();
        if !finished {
            // Whoever still waits gets a response instead of a connection that ends.
            self.node.driver().feed(FleetEvent::DrainExpired);
            let closing = monoio::time::timeout(CLOSE_TIME, self.finish_jobs()).await;
            finished = closing.is_ok();
        }
        self.node.log().report_suppressed();
        finished
    }

    /// Waits until the clients of this VM and the VMs that have forwarded jobs to it have their answers.
    async fn finish_jobs(&mut self) {
        if !self.callers.done.is_terminated() {
            // An error means that the server has ended.
            let _ = (&mut self.callers.done).await;
        }
        while self.node.driver().forwarder().received_requests() > 0 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Lets a server run until the process ends.
fn keep_running(server: RunningServer) {
    // Dropping the last handle would stop it.
    std::mem::forget(server.stop);
}

/// Reads the settings file again on SIGHUP and when it has changed. Runs forever.
async fn run_reloads(node: Rc<FleetNode>, settings: FleetNodeSettings, file: PathBuf) {
    let current = RefCell::new(settings);
    let Ok(mut signals) = ReloadSignals::register() else {
        node.log().record(LogEvent::ReloadUnavailable, b!());
        return;
    };
    loop {
        let signal = monoio::time::timeout(RELOAD_INTERVAL, signals.next()).await;
        let signalled = signal.is_ok();
        match load_fleet_settings(&file) {
            Ok(settings) => {
                let changed = settings != *current.borrow();
                if changed || signalled {
                    let seeds = settings.seed_peers.len();
                    node.log().record(
                        LogEvent::SettingsReloaded,
                        b!("signal" => signalled, "changed" => changed, "seeds" => seeds),
                    );
                }
                if changed {
                    let seeds = settings.seed_peers.clone();
                    node.driver().feed(FleetEvent::SeedsFound(seeds));
                    *current.borrow_mut() = settings;
                }
            }
            Err(findings) => {
                let text = findings.to_string();
                node.log()
                    .record(LogEvent::SettingsUnreadable, b!("error" => &text));
            }
        }
    }
}
