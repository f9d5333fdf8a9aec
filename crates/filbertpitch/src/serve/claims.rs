//! Bare submission keys: claims appended to the log in batches.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::claim::{ClaimBatch, ClaimStatus, ClaimTable};
use filbertpitch_types::platform::{AppendRequest, CLAIM_STREAM};
use filbertpitch_types::prelude::*;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;

use super::node::EntryNode;
use super::platform::{pause_after_outage, stream_read};
use crate::log_client::{ReadOutcome, append_record, read_stream};

/// How long a caller waits for its key to be claimed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long keys are collected before a batch is appended. The log takes several hundred appends
/// a second from all VMs together.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// The claims of a node and the callers that wait for them.
pub struct ClaimDesk {
    table: RefCell<ClaimTable>,
    waiters: RefCell<HashMap<SubmissionId, Vec<oneshot::Sender<()>>>>,
    wake: mpsc::UnboundedSender<()>,
    woken: RefCell<Option<mpsc::UnboundedReceiver<()>>>,
}

impl ClaimDesk {
    /// A desk for a table.
    pub fn new(table: ClaimTable) -> Self {
        let (wake, woken) = mpsc::unbounded();
        Self {
            table: RefCell::new(table),
            waiters: RefCell::default(),
            wake,
            woken: RefCell::new(Some(woken)),
        }
    }

    fn notify(&self, batch: &ClaimBatch) {
        let mut waiters = self.waiters.borrow_mut();
        for key in &batch.keys {
            for waiter in waiters.remove(key).unwrap_or_default() {
                // The caller may have stopped waiting.
                let _ = waiter.send(());
            }
        }
    }
}

impl EntryNode {
    /// Who owns a bare key; claims it if nobody does and `may_claim`. `None` while the log cannot
    /// be reached.
    pub(super) async fn claim_owner(
        self: &Rc<Self>,
        submission: &SubmissionId,
        may_claim: bool,
    ) -> Option<ClaimStatus> {
        let status = self.claim_status(submission);
        if status != ClaimStatus::Unclaimed || !may_claim {
            return Some(status);
        }
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiters = self.claims.waiters.borrow_mut();
            waiters.entry(submission.clone()).or_default().push(sender);
        }
        self.claims
            .table
            .borrow_mut()
            .queue_claim(submission.clone());
        // The receiver lives as long as the claim task.
        let _ = self.claims.wake.unbounded_send(());
        let claimed = monoio::time::timeout(CLAIM_TIMEOUT, receiver).await;
        match claimed {
            Ok(Ok(())) => Some(self.claim_status(submission)),
            _ => None,
        }
    }

    /// Who owns a bare key, as far as the stream has been read.
    pub(super) fn claim_status(&self, submission: &SubmissionId) -> ClaimStatus {
        let wall = self.now().wall;
        self.claims.table.borrow().status(submission, wall)
    }

    /// Appends wanted keys in batches. Runs forever.
    pub(super) async fn run_claim_appends(self: Rc<Self>) {
        let pool = self.pool(self.settings().log);
        let traffic = &self.observer().traffic;
        let woken = self.claims.woken.borrow_mut().take();
        let mut woken = woken.expect("one task appends claims");
        while woken.next().await.is_some() {
            loop {
                // Also between two batches, because the log's append rate is shared by all VMs.
                monoio::time::sleep(BATCH_DELAY).await;
                let owner = self.own_prefix();
                let batch = self.claims.table.borrow_mut().take_batch(owner);
                let Some(batch) = batch else {
                    break;
                };
                let body = serde_json::to_string(&batch).expect("a claim batch encodes as JSON");
                // Whether the append took effect shows when the stream is read. If it did not,
                // the caller's time-out ends the wait, and a resubmission claims again.
                let append = AppendRequest { body: body.into() };
                let _ = append_record(traffic, &pool, CLAIM_STREAM, &append).await;
            }
        }
    }

    /// Follows the claim stream. Runs forever.
    pub(super) async fn run_claim_reads(self: Rc<Self>) {
        let pool = self.pool(self.settings().log);
        let traffic = &self.observer().traffic;
        loop {
            let next = self.claims.table.borrow().next();
            match read_stream(traffic, &pool, CLAIM_STREAM, &stream_read(next)).await {
                ReadOutcome::Read(answer) => {
                    let wall = self.now().wall;
                    {
                        let mut table = self.claims.table.borrow_mut();
                        table.limit_window(Duration::from_millis(answer.retention_ms));
                        table.apply(&answer.records, answer.next, decode_batch);
                        table.remove_expired(wall);
                    }
                    for record in &answer.records {
                        if let Some(batch) = decode_batch(&record.body) {
                            self.claims.notify(&batch);
                        }
                    }
                }
                ReadOutcome::Expired(answer) => {
                    self.claims.table.borrow_mut().skip_to(answer.first);
                }
                ReadOutcome::Outage => pause_after_outage().await,
            }
        }
    }
}

fn decode_batch(body: &str) -> Option<ClaimBatch> {
    serde_json::from_str(body).ok()
}
