//! Heartbeats, and what peers ask of this VM; follows `serve/peers.rs`.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_dispatch::membership::HandoverSource;
use filbertpitch_types::peer::{HandoverNotice, HandoverRequest, PeerHeartbeat};

use super::super::message::{ExchangeId, Failure, Request, Response, VmCall, handover_notice};
use super::{EntryVm, PEER_TIMEOUT, VmTimer};

/// How often the peer table is asked for due heartbeats.
const HEARTBEAT_TICK: Duration = Duration::from_millis(100);

impl EntryVm {
    pub(super) fn send_heartbeats(&mut self) {
        self.peers.set_config_next(self.follower.next_offset());
        for address in self.peers.due_heartbeats(self.clock.time) {
            let hello = Request::Hello(self.peers.own_heartbeat());
            self.send(address, hello, PEER_TIMEOUT, VmCall::Heartbeat(address));
        }
        self.refresh_fleet();
        self.wake_after(HEARTBEAT_TICK, VmTimer::Heartbeats);
    }

    pub(super) fn end_heartbeat(&mut self, address: SocketAddr, result: Result<Response, Failure>) {
        match result {
            Ok(Response::Hello(hello)) => {
                self.peers
                    .heartbeat_answered(self.clock.time, address, &hello);
                self.catch_up_from(&hello);
            }
            _ => self.peers.heartbeat_failed(address),
        }
        self.refresh_fleet();
    }

    pub(super) fn answer_hello(&mut self, exchange: ExchangeId, hello: &PeerHeartbeat) {
        self.peers.heartbeat_received(self.clock.time, hello);
        let own = self.peers.own_heartbeat();
        self.reply(exchange, Response::Hello(own));
    }

    pub(super) fn answer_handover(&mut self, exchange: ExchangeId, handover: HandoverRequest) {
        self.feed(EngineEvent::OutcomesImported(handover.answers));
        if handover.last {
            let to = self.incarnation;
            let notice = handover_notice(handover.from, to, self.settings.address);
            self.note_handover(&notice, Duration::ZERO);
        }
        self.reply(exchange, Response::Taken);
    }

    pub(super) fn note_handover(&mut self, notice: &HandoverNotice, age: Duration) {
        let source = HandoverSource::Direct { age };
        self.peers.record_handover(self.clock.time, notice, source);
    }
}
