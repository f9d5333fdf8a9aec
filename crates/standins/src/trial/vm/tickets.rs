//! The configuration, from the log or from peers; follows `serve/platform.rs`, `serve/peers.rs` and
//! `serve/lifecycle.rs`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::follower::ReadStep;
use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_types::peer::PeerHeartbeat;
use filbertpitch_types::platform::TICKET_STREAM;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::LifecycleState;

use super::super::message::{ExchangeId, Failure, Request, Response, VmCall};
use super::platform::READ_MARGIN;
use super::{EntryVm, PEER_TIMEOUT, VmTimer};

/// How often a starting VM looks for a configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest pause of the follower.
const PAUSE_FLOOR: Duration = Duration::from_millis(1);
/// The most records that one peer answer carries.
const RECORD_LIMIT: usize = 256;

impl EntryVm {
    pub(super) fn await_configuration(&mut self) {
        if self.life != LifecycleState::Starting {
            return;
        }
        if !self.has_configuration() {
            return self.wake_after(POLL_INTERVAL, VmTimer::Life);
        }
        self.publish_configuration();
        self.set_life(LifecycleState::Ready);
    }

    pub(super) fn read_tickets(&mut self) {
        let now = self.clock.time;
        match self.follower.next_read(now) {
            ReadStep::Read(read) => {
                let request = Request::Read {
                    stream: TICKET_STREAM,
                    from: read.from,
                    limit: read.limit,
                    wait: read.wait,
                };
                let timeout = read.wait + READ_MARGIN;
                let log = self.settings.log;
                self.send(log, request, timeout, VmCall::FollowTickets);
            }
            ReadStep::InFlight => unreachable!("one task follows the stream"),
            ReadStep::NotBefore(time) => {
                let pause = time.since(now).max(PAUSE_FLOOR);
                self.wake_after(pause, VmTimer::FollowTickets);
            }
        }
    }

    pub(super) fn end_ticket_read(&mut self, result: Result<Response, Failure>) {
        let now = self.clock.time;
        match result {
            Ok(Response::Read(answer)) => self.follower.on_read(now, &answer),
            Ok(Response::Gone(answer)) => self.follower.on_expired(now, &answer),
            _ => self.follower.on_read_failed(now),
        }
        self.publish_configuration();
        self.read_tickets();
    }

    fn publish_configuration(&mut self) {
        if !self.follower.has_state() {
            return;
        }
        let configuration = self.follower.configuration();
        if !Rc::ptr_eq(self.engine.catalog().configuration(), &configuration) {
            self.feed(EngineEvent::ConfigurationChanged(configuration));
        }
    }

    /// Takes tickets from a peer that has read further.
    pub(super) fn catch_up_from(&mut self, peer: &PeerHeartbeat) {
        let next = self.follower.next_offset();
        if peer.config_next <= next || !peer.ready {
            return;
        }
        if !self.has_configuration() {
            return self.load_state_from(peer.address);
        }
        let call = VmCall::Records(peer.address);
        self.send(peer.address, Request::Records(next), PEER_TIMEOUT, call);
    }

    fn load_state_from(&mut self, address: SocketAddr) {
        self.send(address, Request::State, PEER_TIMEOUT, VmCall::State);
    }

    pub(super) fn end_records(&mut self, address: SocketAddr, result: Result<Response, Failure>) {
        let Ok(Response::Records(transfer)) = result else {
            return;
        };
        if self.follower.on_records(&transfer) == 0 {
            return self.load_state_from(address);
        }
        self.publish_configuration();
    }

    pub(super) fn end_state(&mut self, result: Result<Response, Failure>) {
        let Ok(Response::State(transfer)) = result else {
            return;
        };
        if let Some(transfer) = *transfer {
            self.follower.on_state(&transfer);
            self.publish_configuration();
        }
    }

    pub(super) fn answer_state(&mut self, exchange: ExchangeId) {
        let transfer = Box::new(self.follower.state_transfer());
        self.reply(exchange, Response::State(transfer));
    }

    pub(super) fn answer_records(&mut self, exchange: ExchangeId, from: LogOffset) {
        let transfer = self.follower.record_transfer(from, RECORD_LIMIT);
        self.reply(exchange, Response::Records(Box::new(transfer)));
    }
}
