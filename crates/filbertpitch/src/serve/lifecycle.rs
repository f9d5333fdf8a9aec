//! The life of an entry VM: starting, ready, draining, stopped.
//!
//! Each state is a type, so that a VM cannot take work before it has a configuration and cannot
//! hand its outcomes over before its work has ended.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::engine::{DispatchEngine, EngineEvent};
use filbertpitch_dispatch::handover::split_answers;
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::{HandoverNotice, HandoverRequest, PeerHeartbeat};
use filbertpitch_types::platform::{AppendRequest, HANDOVER_STREAM};
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::LifecycleState;
use filbertpitch_wire::server::{HttpServer, StopHandle};
use futures_channel::oneshot;
use slog::b;

use super::node::EntryNode;
use super::router::NodeRouter;
use super::settings::NodeSettings;
use crate::events::{EventLog, LogEvent};
use crate::log_client::append_record;

/// How often a waiting state looks at the node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often idle connections are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// How long stopped work is awaited after the time for draining.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(3);

/// It serves health checks and peers, and has no configuration yet.
pub struct Starting;
/// It takes new work.
pub struct Ready;
/// It finishes what it accepted.
pub struct Draining;

/// An entry VM in state `State`.
pub struct EntryLife<State> {
    node: Rc<EntryNode>,
    server: RunningServer,
    _state: State,
}

struct RunningServer {
    stop: StopHandle,
    done: oneshot::Receiver<()>,
}

impl<State> EntryLife<State> {
    /// The VM, for status.
    pub fn node(&self) -> Rc<EntryNode> {
        Rc::clone(&self.node)
    }
}

impl EntryLife<Starting> {
    /// Binds the server and starts the background tasks.
    ///
    /// # Errors
    /// When the listen address cannot be bound.
    pub fn start(
        settings: NodeSettings,
        incarnation: IncarnationId,
        log: EventLog,
    ) -> io::Result<Self> {
        let server = HttpServer::bind(settings.listen, settings.server.clone())?;
        let (node, timer_events) = EntryNode::new(settings, incarnation, log);
        let stop = server.stop_handle();
        let (finished, done) = oneshot::channel();
        let router = NodeRouter::new(Rc::clone(&node));
        monoio::spawn(async move {
            server.run(router).await;
            // The receiver is gone when the process is already exiting.
            let _ = finished.send(());
        });
        monoio::spawn(Rc::clone(node.driver()).run_timer(timer_events));
        monoio::spawn(Rc::clone(&node).run_follower());
        monoio::spawn(Rc::clone(&node).run_vm_list());
        monoio::spawn(Rc::clone(&node).run_heartbeats());
        monoio::spawn(Rc::clone(&node).run_snapshots());
        monoio::spawn(Rc::clone(&node).run_handovers());
        monoio::spawn(Rc::clone(&node).run_claim_appends());
        monoio::spawn(Rc::clone(&node).run_claim_reads());
        monoio::spawn(Rc::clone(&node).run_observation());
        monoio::spawn(run_pruning(Rc::clone(&node)));
        Ok(Self {
            node,
            server: RunningServer { stop, done },
            _state: Starting,
        })
    }

    /// Waits for a configuration, from the log or from a peer.
    pub async fn load_configuration(self) -> EntryLife<Ready> {
        while !self.node.has_configuration() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        self.node.publish_configuration();
        self.node.set_life(LifecycleState::Ready);
        EntryLife {
            node: self.node,
            server: self.server,
            _state: Ready,
        }
    }
}

impl EntryLife<Ready> {
    /// Serves until `stop` completes, then takes no new work.
    pub async fn serve_until<F>(self, stop: F) -> EntryLife<Draining>
    where
        F: Future<Output = ()>,
    {
        stop.await;
        self.node.set_life(LifecycleState::Draining);
        EntryLife {
            node: self.node,
            server: self.server,
            _state: Draining,
        }
    }
}

impl EntryLife<Draining> {
    /// Finishes the work in progress, hands the outcomes over and closes the server.
    ///
    /// Returns whether all work ended within the time for draining.
    pub async fn finish(mut self) -> bool {
        let settings = self.node.settings().clone();
        // New work is still accepted for a moment, because the balancer learns late that the VM
        // is no longer ready, and refusing that work would cut requests short.
        monoio::time::sleep(settings.drain_notice).await;
        self.node.driver().feed(EngineEvent::DrainStarted);
        let end = self.node.now().time + settings.drain_timeout;
        let drained = self.wait_until_idle(settings.drain_timeout).await;
        if !drained {
            self.node.driver().feed(EngineEvent::DrainExpired);
            self.wait_until_idle(EXPIRY_TIMEOUT).await;
        }
        self.hand_over().await;
        self.node.set_life(LifecycleState::Stopped);
        self.node.observer().log.report_suppressed();
        self.server.stop.stop();
        // Requests that were forwarded to other owners are answered when those answer.
        let left = end.since(self.node.now().time).max(settings.peer_timeout);
        let done = &mut self.server.done;
        let mut closed = monoio::time::timeout(left, &mut *done).await.is_ok();
        if !closed {
            self.node.forwards.close();
            let closing = monoio::time::timeout(settings.peer_timeout, done).await;
            closed = closing.is_ok();
        }
        drained && closed
    }

    async fn wait_until_idle(&self, limit: Duration) -> bool {
        let end = self.node.now().time + limit;
        while !self.node.driver().inspect(DispatchEngine::is_idle) {
            if self.node.now().time >= end {
                return false;
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Gives the finished outcomes to another VM, of this availability zone if possible.
    async fn hand_over(&self) {
        let answers = self.node.driver().inspect(|engine| {
            let finished = engine.submissions().answers();
            finished
                .map(|answer| JobAnswer::clone(answer))
                .collect::<Vec<_>>()
        });
        if answers.is_empty() {
            return;
        }
        let count = answers.len();
        let parts = split_answers(answers);
        let log = &self.node.observer().log;
        for peer in self.candidates() {
            if self.send_outcomes(&peer, &parts).await {
                self.announce(&peer).await;
                let address = peer.address.to_string();
                log.record(
                    LogEvent::HandoverSent,
                    b!("to" => &address, "outcomes" => count),
                );
                return;
            }
        }
        log.record(LogEvent::HandoverFailed, b!("outcomes" => count));
    }

    fn candidates(&self) -> Vec<PeerHeartbeat> {
        let now = self.node.now().time;
        let peers = self.node.peers.borrow();
        let mut candidates = peers.live_peers(now).cloned().collect::<Vec<_>>();
        candidates.retain(|peer| peer.ready && !peer.leaving);
        let home = &self.node.settings().zone;
        candidates.sort_by_key(|peer| (peer.zone != *home, peer.address));
        candidates
    }

    async fn send_outcomes(&self, peer: &PeerHeartbeat, parts: &[Vec<JobAnswer>]) -> bool {
        let count = parts.len();
        for (index, part) in parts.iter().enumerate() {
            let request = HandoverRequest {
                from: self.node.incarnation(),
                answers: part.clone(),
                last: index + 1 == count,
            };
            let path = "/peer/handover";
            let answer = self.node.ask_peer::<_, ()>(peer.address, path, &request);
            if answer.await.is_none() {
                return false;
            }
        }
        true
    }

    async fn announce(&self, peer: &PeerHeartbeat) {
        let notice = HandoverNotice {
            from: self.node.incarnation(),
            to: peer.incarnation,
            address: peer.address,
        };
        self.node.note_handover(&notice, Duration::ZERO);
        let body = serde_json::to_string(&notice).expect("a notice encodes as JSON");
        let pool = self.node.pool(self.node.settings().log);
        // While the log is down, the successor's heartbeats announce the handover.
        let append = AppendRequest { body: body.into() };
        let traffic = &self.node.observer().traffic;
        let _ = append_record(traffic, &pool, HANDOVER_STREAM, &append).await;
    }
}

async fn run_pruning(node: Rc<EntryNode>) {
    loop {
        monoio::time::sleep(PRUNE_INTERVAL).await;
        node.prune_pools();
        node.driver().prune_targets();
    }
}
