//! The VM list and the handover stream; follows `serve/platform.rs`.

use std::time::Duration;

use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_types::peer::HandoverNotice;
use filbertpitch_types::platform::HANDOVER_STREAM;

use super::super::message::{Failure, Request, Response, VmCall};
use super::{EntryVm, PEER_TIMEOUT, VmTimer};

/// How long a read of a stream waits for new records.
pub(super) const STREAM_WAIT: Duration = Duration::from_secs(5);
/// The time beyond a read's own wait in which the log must answer.
pub(super) const READ_MARGIN: Duration = Duration::from_secs(2);
/// The time for an append.
pub(super) const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The most records per read of a stream.
pub(super) const STREAM_LIMIT: u32 = 256;
/// The pause after a failed read of a stream.
pub(super) const STREAM_RETRY: Duration = Duration::from_millis(500);
/// How often the VM list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

impl EntryVm {
    pub(super) fn read_vm_list(&mut self) {
        let list = self.settings.list;
        self.send(list, Request::List, PEER_TIMEOUT, VmCall::VmList);
    }

    pub(super) fn end_vm_list(&mut self, result: Result<Response, Failure>) {
        if let Ok(Response::List(list)) = result {
            self.peers.set_list(self.clock.time, &list);
            self.refresh_fleet();
            self.feed(EngineEvent::VmListRead(list));
        }
        self.wake_after(LIST_INTERVAL, VmTimer::VmList);
    }

    pub(super) fn read_handovers(&mut self) {
        let request = Request::Read {
            stream: HANDOVER_STREAM,
            from: self.next_handover,
            limit: STREAM_LIMIT,
            wait: STREAM_WAIT,
        };
        let timeout = STREAM_WAIT + READ_MARGIN;
        let log = self.settings.log;
        self.send(log, request, timeout, VmCall::FollowHandovers);
    }

    pub(super) fn end_handover_read(&mut self, result: Result<Response, Failure>) {
        let pause = match result {
            Ok(Response::Read(answer)) => {
                for record in &answer.records {
                    self.next_handover = record.offset.next();
                    let age = answer.now.since(record.appended_at);
                    if let Ok(notice) = serde_json::from_str::<HandoverNotice>(&record.body) {
                        self.note_handover(&notice, age);
                    }
                }
                Duration::ZERO
            }
            Ok(Response::Gone(answer)) => {
                self.next_handover = answer.first;
                Duration::ZERO
            }
            _ => STREAM_RETRY,
        };
        self.wake_after(pause, VmTimer::FollowHandovers);
    }
}
