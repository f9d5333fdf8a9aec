//! Heartbeats, and what peers ask of this VM.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_dispatch::membership::HandoverSource;
use filbertpitch_types::peer::{
    HandoverNotice, HandoverRequest, PeerHeartbeat, RecordTransfer, StateTransfer,
};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::RequestOptions;
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ServerRequest, ServerResponse};
use http::{StatusCode, Uri};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::b;

use super::node::EntryNode;
use super::traffic::TrafficClass;
use crate::events::LogEvent;

/// How often the peer table is asked for due heartbeats.
const HEARTBEAT_TICK: Duration = Duration::from_millis(100);
/// Where heartbeats are sent.
const HELLO_PATH: &str = "/peer/hello";
/// The most records that one peer answer carries.
const RECORD_LIMIT: usize = 256;

impl EntryNode {
    /// Sends heartbeats. Runs forever.
    pub(super) async fn run_heartbeats(self: Rc<Self>) {
        loop {
            let now = self.now().time;
            let config_next = self.follower.borrow().next_offset();
            let due = {
                let mut peers = self.peers.borrow_mut();
                peers.set_config_next(config_next);
                peers.due_heartbeats(now)
            };
            for address in due {
                monoio::spawn(Rc::clone(&self).send_heartbeat(address));
            }
            self.refresh_fleet();
            monoio::time::sleep(HEARTBEAT_TICK).await;
        }
    }

    async fn send_heartbeat(self: Rc<Self>, address: SocketAddr) {
        let hello = self.peers.borrow().own_heartbeat();
        let answer = self
            .ask_peer::<_, PeerHeartbeat>(address, HELLO_PATH, &hello)
            .await;
        let now = self.now().time;
        match answer {
            Some(answer) => {
                self.peers
                    .borrow_mut()
                    .heartbeat_answered(now, address, &answer);
                self.catch_up_from(&answer).await;
            }
            None => self.peers.borrow_mut().heartbeat_failed(address),
        }
        self.refresh_fleet();
    }

    /// Takes tickets from a peer that has read further, for example because this VM is cut off
    /// from the log.
    async fn catch_up_from(self: &Rc<Self>, peer: &PeerHeartbeat) {
        let next = self.follower.borrow().next_offset();
        if peer.config_next <= next || !peer.ready {
            return;
        }
        if !self.has_configuration() {
            return self.load_state_from(peer.address).await;
        }
        let path = "/peer/records";
        let answer = self.ask_peer::<_, RecordTransfer>(peer.address, path, &next);
        let Some(transfer) = answer.await else {
            return;
        };
        let applied = self.follower.borrow_mut().on_records(&transfer);
        if applied == 0 {
            return self.load_state_from(peer.address).await;
        }
        self.publish_configuration();
    }

    async fn load_state_from(self: &Rc<Self>, address: SocketAddr) {
        let answer = self.ask_peer::<_, Option<StateTransfer>>(address, "/peer/state", &());
        let Some(Some(transfer)) = answer.await else {
            return;
        };
        self.follower.borrow_mut().on_state(&transfer);
        self.publish_configuration();
    }

    /// Sends a message to a peer and decodes its answer.
    pub(super) async fn ask_peer<M, A>(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: &M,
    ) -> Option<A>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let target = Uri::from_static(path);
        let request = ClientRequest::post(target, BodyFormat::MessagePack, message).ok()?;
        let options = RequestOptions {
            timeout: self.settings().peer_timeout,
            ..RequestOptions::default()
        };
        let pool = self.pool(address);
        let response = match path {
            HELLO_PATH => {
                let traffic = &self.observer().traffic;
                let exchange = traffic.request(TrafficClass::Heartbeat, &pool, &request, &options);
                exchange.await.ok()?
            }
            _ => pool.request(&request, &options).await.ok()?,
        };
        if response.status != StatusCode::OK {
            return None;
        }
        response.decode(BodyFormat::MessagePack).ok()
    }

    /// Answers `POST /peer/hello`.
    pub(super) fn answer_hello(&self, request: &ServerRequest) -> ServerResponse {
        let Ok(hello) = request.decode::<PeerHeartbeat>(BodyFormat::MessagePack) else {
            return ServerResponse::empty(StatusCode::BAD_REQUEST);
        };
        let now = self.now().time;
        self.peers.borrow_mut().heartbeat_received(now, &hello);
        let own = self.peers.borrow().own_heartbeat();
        let response = encoded(&own);
        let traffic = &self.observer().traffic;
        traffic.answered(TrafficClass::Heartbeat, request, &response);
        response
    }

    /// Answers `POST /peer/state`.
    pub(super) fn answer_state(&self) -> ServerResponse {
        encoded(&self.follower.borrow().state_transfer())
    }

    /// Answers `POST /peer/records`.
    pub(super) fn answer_records(&self, request: &ServerRequest) -> ServerResponse {
        let Ok(from) = request.decode::<LogOffset>(BodyFormat::MessagePack) else {
            return ServerResponse::empty(StatusCode::BAD_REQUEST);
        };
        let transfer = self.follower.borrow().record_transfer(from, RECORD_LIMIT);
        encoded(&transfer)
    }

    /// Answers `POST /peer/handover`.
    pub(super) fn answer_handover(&self, request: &ServerRequest) -> ServerResponse {
        let Ok(handover) = request.decode::<HandoverRequest>(BodyFormat::MessagePack) else {
            return ServerResponse::empty(StatusCode::BAD_REQUEST);
        };
        let from = handover.from.to_string();
        let outcomes = handover.answers.len();
        let event = EngineEvent::OutcomesImported(handover.answers);
        self.driver().feed(event);
        if handover.last {
            let notice = HandoverNotice {
                from: handover.from,
                to: self.incarnation(),
                address: self.settings().advertise,
            };
            self.note_handover(&notice, Duration::ZERO);
            self.observer().log.record(
                LogEvent::HandoverReceived,
                b!("from" => &from, "last_part" => outcomes),
            );
        }
        encoded(&())
    }

    /// Records that another process took over the outcomes of a stopped one.
    pub(super) fn note_handover(&self, notice: &HandoverNotice, age: Duration) {
        let now = self.now().time;
        let source = HandoverSource::Direct { age };
        self.peers.borrow_mut().record_handover(now, notice, source);
    }
}

fn encoded<M>(message: &M) -> ServerResponse
where
    M: Serialize,
{
    ServerResponse::encoded(StatusCode::OK, BodyFormat::MessagePack, message)
}
