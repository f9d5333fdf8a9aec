//! The platform's log and VM list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::follower::ReadStep;
use filbertpitch_config::read::LogRead;
use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_types::peer::HandoverNotice;
use filbertpitch_types::platform::{HANDOVER_STREAM, TICKET_STREAM, VmList};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::RequestOptions;
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::ClientRequest;
use http::{Method, StatusCode, Uri};

use super::node::EntryNode;
use super::traffic::TrafficClass;
use crate::log_client::{ReadOutcome, read_stream};

/// How long a read of a stream of ours waits for new records.
const STREAM_WAIT: Duration = Duration::from_secs(5);
/// The pause after a failed read of a stream of ours.
const STREAM_RETRY: Duration = Duration::from_millis(500);
/// The most records per read of a stream of ours.
const STREAM_LIMIT: u32 = 256;

impl EntryNode {
    /// Follows the ticket stream. Runs forever.
    pub(super) async fn run_follower(self: Rc<Self>) {
        let pool = self.pool(self.settings().log);
        let traffic = &self.observer().traffic;
        loop {
            let step = self.follower.borrow_mut().next_read(self.now().time);
            let read = match step {
                ReadStep::Read(read) => read,
                ReadStep::InFlight => unreachable!("one task follows the stream"),
                ReadStep::NotBefore(time) => {
                    let pause = time.since(self.now().time);
                    monoio::time::sleep(pause.max(Duration::from_millis(1))).await;
                    continue;
                }
            };
            let outcome = read_stream(traffic, &pool, TICKET_STREAM, &read).await;
            let now = self.now().time;
            let reachable = !matches!(outcome, ReadOutcome::Outage);
            self.observer().see_log(reachable);
            match outcome {
                ReadOutcome::Read(answer) => self.follower.borrow_mut().on_read(now, &answer),
                ReadOutcome::Expired(answer) => self.follower.borrow_mut().on_expired(now, &answer),
                ReadOutcome::Outage => self.follower.borrow_mut().on_read_failed(now),
            }
            self.publish_configuration();
        }
    }

    /// Hands a changed configuration to the engine.
    pub(super) fn publish_configuration(self: &Rc<Self>) {
        self.observer()
            .see_follower(&mut self.follower.borrow_mut());
        let configuration = {
            let follower = self.follower.borrow();
            if !follower.has_state() {
                return;
            }
            follower.configuration()
        };
        let known = self
            .driver()
            .inspect(|engine| Rc::clone(engine.catalog().configuration()));
        if !Rc::ptr_eq(&known, &configuration) {
            let event = EngineEvent::ConfigurationChanged(configuration);
            self.driver().feed(event);
        }
    }

    /// Reads the VM list. Runs forever.
    pub(super) async fn run_vm_list(self: Rc<Self>) {
        let Some(address) = self.settings().vm_list else {
            return;
        };
        loop {
            let list = self.read_vm_list(address).await;
            self.observer().see_list(list.is_some());
            if let Some(list) = list {
                let now = self.now().time;
                self.peers.borrow_mut().set_list(now, &list);
                self.refresh_fleet();
                self.driver().feed(EngineEvent::VmListRead(list));
            }
            monoio::time::sleep(self.settings().vm_list_interval).await;
        }
    }

    async fn read_vm_list(&self, address: SocketAddr) -> Option<VmList> {
        let request = ClientRequest::new(Method::GET, Uri::from_static("/v1/vms"));
        let options = RequestOptions {
            timeout: self.settings().peer_timeout,
            ..RequestOptions::default()
        };
        let pool = self.pool(address);
        let traffic = &self.observer().traffic;
        let exchange = traffic.request(TrafficClass::VmList, &pool, &request, &options);
        let response = exchange.await.ok()?;
        if response.status != StatusCode::OK {
            return None;
        }
        response.decode(BodyFormat::Json).ok()
    }

    /// Follows the announcements of handovers. Runs forever.
    pub(super) async fn run_handovers(self: Rc<Self>) {
        let pool = self.pool(self.settings().log);
        let traffic = &self.observer().traffic;
        let mut next = LogOffset(0);
        loop {
            let read = stream_read(next);
            match read_stream(traffic, &pool, HANDOVER_STREAM, &read).await {
                ReadOutcome::Read(answer) => {
                    for record in &answer.records {
                        next = record.offset.next();
                        let age = answer.now.since(record.appended_at);
                        if let Ok(notice) = serde_json::from_str::<HandoverNotice>(&record.body) {
                            self.note_handover(&notice, age);
                        }
                    }
                }
                ReadOutcome::Expired(answer) => next = answer.first,
                ReadOutcome::Outage => monoio::time::sleep(STREAM_RETRY).await,
            }
        }
    }
}

/// A read of a stream of ours from `from` on.
pub(super) fn stream_read(from: LogOffset) -> LogRead {
    LogRead {
        from,
        limit: STREAM_LIMIT,
        wait: STREAM_WAIT,
    }
}

/// The pause after a failed read of a stream of ours.
pub(super) async fn pause_after_outage() {
    monoio::time::sleep(STREAM_RETRY).await;
}
