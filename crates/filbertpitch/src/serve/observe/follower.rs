//! Notes of the log follower as log events.

use filbertpitch_config::event::FollowerEvent;
use filbertpitch_config::follower::LogFollower;
use filbertpitch_config::verdict::RecordVerdict;
use filbertpitch_types::prelude::*;
use slog::b;

use super::NodeObserver;
use crate::events::LogEvent;

impl NodeObserver {
    /// Logs what the follower noted since the last call.
    pub(in crate::serve) fn see_follower(&self, follower: &mut LogFollower) {
        for note in follower.take_events() {
            self.see_note(&note);
        }
        if follower.has_state() && !self.has_configuration.replace(true) {
            let next = follower.next_offset().0;
            self.log.record(
                LogEvent::ConfigurationLoaded,
                b!("next" => next, "from" => "history"),
            );
        }
    }

    fn see_note(&self, note: &FollowerEvent) {
        let text = note.to_string();
        let detail = |event| self.log.record(event, b!("detail" => &text));
        match note {
            FollowerEvent::Verdict {
                offset,
                verdict,
                replayed,
            } => self.see_verdict(*offset, verdict, *replayed),
            FollowerEvent::Expired { .. } => detail(LogEvent::RecordsLost),
            FollowerEvent::SnapshotInstalled { next } => self.loaded(*next, "snapshot"),
            FollowerEvent::PeerStateAdopted { next } => self.loaded(*next, "peer"),
            FollowerEvent::NoUsableSnapshot { .. } => detail(LogEvent::SnapshotMissing),
            FollowerEvent::SnapshotUnusable { .. } => detail(LogEvent::SnapshotUnusable),
            FollowerEvent::SnapshotMismatch { .. } => detail(LogEvent::ConfigurationDiverged),
            FollowerEvent::LogBehind { .. } => detail(LogEvent::LogInconsistent),
        }
    }

    fn loaded(&self, next: LogOffset, from: &'static str) {
        self.has_configuration.set(true);
        self.log.record(
            LogEvent::ConfigurationLoaded,
            b!("next" => next.0, "from" => from),
        );
    }

    /// Tickets that were decided before this VM started are not news, so a replay logs only
    /// faults.
    fn see_verdict(&self, offset: LogOffset, verdict: &RecordVerdict, replayed: bool) {
        let offset = offset.0;
        match verdict {
            RecordVerdict::Accepted { .. }
            | RecordVerdict::Rejected { .. }
            | RecordVerdict::Snapshot { .. }
                if replayed => {}
            RecordVerdict::Accepted { ticket, .. } => self.log.record(
                LogEvent::TicketApplied,
                b!("ticket" => ticket.0, "offset" => offset),
            ),
            RecordVerdict::Rejected { ticket, reason, .. } => {
                let reason = reason.to_string();
                self.log.record(
                    LogEvent::TicketRejected,
                    b!("ticket" => ticket.0, "offset" => offset, "reason" => &reason),
                );
            }
            RecordVerdict::Snapshot { next, .. } => self.log.record(
                LogEvent::SnapshotRead,
                b!("offset" => offset, "next" => next.0),
            ),
            RecordVerdict::Malformed { explanation } => self.log.record(
                LogEvent::RecordMalformed,
                b!("offset" => offset, "reason" => &**explanation),
            ),
            RecordVerdict::OutOfOrder { expected } => self.log.record(
                LogEvent::LogInconsistent,
                b!("offset" => offset, "expected" => expected.0),
            ),
        }
    }
}
