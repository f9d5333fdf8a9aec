//! Bare submission keys; follows `serve/claims.rs`.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_dispatch::claim::{ClaimBatch, ClaimStatus, ClaimTable};
use filbertpitch_types::peer::ForwardCommand;
use filbertpitch_types::platform::CLAIM_STREAM;
use filbertpitch_types::prelude::*;

use super::super::message::{ExchangeId, Failure, Request, Response, VmCall};
use super::platform::{APPEND_TIMEOUT, READ_MARGIN, STREAM_LIMIT, STREAM_RETRY, STREAM_WAIT};
use super::{EntryVm, VmTimer};

/// How long a caller waits for its key to be claimed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long keys are collected before a batch is appended.
pub(super) const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Claims and the callers that wait for them.
pub struct ClaimDesk {
    table: ClaimTable,
    waiting: BTreeMap<ExchangeId, ForwardCommand>,
    appending: bool,
    woken: bool,
}

impl ClaimDesk {
    /// A desk for a table.
    pub fn new(table: ClaimTable) -> Self {
        Self {
            table,
            waiting: BTreeMap::new(),
            appending: false,
            woken: false,
        }
    }
}

impl EntryVm {
    pub(super) fn answer_bare(&mut self, caller: ExchangeId, command: ForwardCommand) {
        let status = self.claim_status(command.submission());
        let may_claim = matches!(command, ForwardCommand::Submit(_));
        if status != ClaimStatus::Unclaimed || !may_claim {
            return self.answer_claimed(caller, command, Some(status));
        }
        self.claims.table.queue_claim(command.submission().clone());
        self.claims.waiting.insert(caller, command);
        self.wake_after(CLAIM_TIMEOUT, VmTimer::ClaimTimeout(caller));
        self.claims.woken = true;
        self.wake_appends();
    }

    pub(super) fn claim_status(&self, submission: &SubmissionId) -> ClaimStatus {
        self.claims.table.status(submission, self.clock.wall)
    }

    pub(super) fn give_up_claim(&mut self, caller: ExchangeId) {
        if let Some(command) = self.claims.waiting.remove(&caller) {
            self.answer_claimed(caller, command, None);
        }
    }

    fn wake_appends(&mut self) {
        if !self.claims.appending && self.claims.woken {
            self.claims.appending = true;
            self.claims.woken = false;
            self.wake_after(BATCH_DELAY, VmTimer::AppendClaims);
        }
    }

    pub(super) fn append_next_claims(&mut self) {
        let owner = self.own_prefix();
        let Some(batch) = self.claims.table.take_batch(owner) else {
            self.claims.appending = false;
            return self.wake_appends();
        };
        let body = serde_json::to_string(&batch).expect("a claim batch encodes as JSON");
        let request = Request::Append {
            stream: CLAIM_STREAM,
            body: body.into(),
        };
        let log = self.settings.log;
        self.send(log, request, APPEND_TIMEOUT, VmCall::AppendClaims);
    }

    pub(super) fn read_claims(&mut self) {
        let request = Request::Read {
            stream: CLAIM_STREAM,
            from: self.claims.table.next(),
            limit: STREAM_LIMIT,
            wait: STREAM_WAIT,
        };
        let timeout = STREAM_WAIT + READ_MARGIN;
        let log = self.settings.log;
        self.send(log, request, timeout, VmCall::FollowClaims);
    }

    pub(super) fn end_claim_read(&mut self, result: Result<Response, Failure>) {
        let pause = match result {
            Ok(Response::Read(answer)) => {
                let retention = Duration::from_millis(answer.retention_ms);
                let table = &mut self.claims.table;
                table.limit_window(retention);
                table.apply(&answer.records, answer.next, decode_batch);
                table.remove_expired(self.clock.wall);
                for record in &answer.records {
                    if let Some(batch) = decode_batch(&record.body) {
                        self.notify_claimed(&batch);
                    }
                }
                Duration::ZERO
            }
            Ok(Response::Gone(answer)) => {
                self.claims.table.skip_to(answer.first);
                Duration::ZERO
            }
            _ => STREAM_RETRY,
        };
        self.wake_after(pause, VmTimer::FollowClaims);
    }

    fn notify_claimed(&mut self, batch: &ClaimBatch) {
        let waiting = self.claims.waiting.iter();
        let claimed = waiting.filter(|(_, command)| batch.keys.contains(command.submission()));
        for caller in claimed.map(|(&caller, _)| caller).collect::<Vec<_>>() {
            if let Some(command) = self.claims.waiting.remove(&caller) {
                let status = self.claim_status(command.submission());
                self.answer_claimed(caller, command, Some(status));
            }
        }
    }
}

fn decode_batch(body: &str) -> Option<ClaimBatch> {
    serde_json::from_str(body).ok()
}
