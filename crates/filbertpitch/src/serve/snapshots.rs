//! Snapshots of the configuration on the ticket stream.
//!
//! The log keeps records for a limited time. Any VM appends the whole state before the oldest
//! record that a new VM would need expires; two VMs doing so at once is harmless.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::policy::SnapshotPolicy;
use filbertpitch_types::platform::{AppendRequest, TICKET_STREAM};
use slog::b;

use super::node::EntryNode;
use crate::events::LogEvent;
use crate::log_client::append_record;

/// How often the age of the oldest needed record is looked at.
const SNAPSHOT_TICK: Duration = Duration::from_secs(1);

impl EntryNode {
    /// Appends snapshots when they are due. Runs forever.
    pub(super) async fn run_snapshots(self: Rc<Self>) {
        let mut policy = SnapshotPolicy::new(rand::random());
        loop {
            monoio::time::sleep(SNAPSHOT_TICK).await;
            let now = self.now().time;
            let view = self.follower.borrow().retention_view();
            if view.is_some_and(|view| policy.is_due(now, &view)) {
                policy.attempted(now);
                self.append_snapshot().await;
            }
        }
    }

    async fn append_snapshot(&self) {
        let record = self.follower.borrow().snapshot_record();
        let Some(body) = record else {
            return;
        };
        let bytes = body.len();
        let pool = self.pool(self.settings().log);
        let traffic = &self.observer().traffic;
        let append = AppendRequest { body };
        // After a lost answer the policy tries again, unless the snapshot shows up meanwhile.
        if let Ok(answer) = append_record(traffic, &pool, TICKET_STREAM, &append).await {
            let offset = answer.offset.0;
            let log = &self.observer().log;
            let values = b!("offset" => offset, "bytes" => bytes);
            log.record(LogEvent::SnapshotPublished, values);
        }
    }
}
