//! Follows the ticket stream without doing any I/O.
//!
//! The caller performs the reads that the follower asks for and passes it the answers, along with
//! states and records from peers. While the log retains its next offset, the follower folds record
//! by record. Otherwise it scans the retained records for the newest usable snapshot and continues
//! at the offset of the snapshot's state, which may be lower than the offset of the snapshot record.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::peer::{RecordTransfer, StateTransfer};
use filbertpitch_types::platform::{LogRecord, ReadAnswer};
use filbertpitch_types::prelude::*;

use crate::event::FollowerEvent;
use crate::fold::ConfigState;
use crate::policy::{OldestNeeded, RetentionView};
use crate::read::LogRead;
use crate::recent::RecentRecords;
use crate::record::{RecordBody, snapshot_body};
use crate::scan::SnapshotScan;
use crate::snapshot::{SnapshotRecord, StateDigest};
use crate::spec::Configuration;
use crate::verdict::RecordVerdict;

/// Settings for the reads of the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// The maximum number of records per read.
    pub read_limit: u32,
    /// How long a read may wait for new records.
    pub wait: Duration,
    /// The pause after a read without new records, in case the log does not wait for new records.
    pub idle_pause: Duration,
    /// The pause after the first failed read; the pause doubles with each further failure.
    pub retry_first: Duration,
    /// The maximum pause after a failed read. The pause delays tickets after an outage, and tickets
    /// must take effect within 2 s.
    pub retry_limit: Duration,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            read_limit: 256,
            wait: Duration::from_secs(1),
            idle_pause: Duration::from_millis(100),
            retry_first: Duration::from_millis(100),
            retry_limit: Duration::from_secs(1),
        }
    }
}

/// What the caller should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Perform this read and report the result.
    Read(LogRead),
    /// A read is in flight.
    InFlight,
    /// Call again at this time.
    NotBefore(TimePoint),
}

/// The result of offering the state of a peer to the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferOutcome {
    /// The offered state replaced the follower's state.
    Adopted,
    /// The offered state is not newer than the follower's state.
    NotAhead,
    /// The transfer does not contain a valid snapshot for its offset.
    Unusable,
}

#[derive(Debug)]
enum FollowPhase {
    Folding,
    Scanning(SnapshotScan),
}

/// Follows the ticket stream for one VM.
#[derive(Debug)]
pub struct LogFollower {
    settings: FollowerSettings,
    phase: FollowPhase,
    state: ConfigState,
    /// Whether the state was ever complete: at the end of the log, or at least as recent as that of
    /// a peer.
    has_state: bool,
    in_force: Rc<Configuration>,
    recent: RecentRecords,
    events: Vec<FollowerEvent>,
    in_flight: bool,
    due: TimePoint,
    failures: u32,
    last_read: Option<TimePoint>,
    behind_reported: bool,
    /// The log's clock and retention at the last read that reached the end of the log.
    caught_up: Option<(WallTime, Duration)>,
    oldest: OldestNeeded,
}

impl LogFollower {
    /// Creates a follower without a state that reads from the beginning of the stream.
    pub fn new(settings: FollowerSettings) -> Self {
        Self {
            settings,
            phase: FollowPhase::Folding,
            state: ConfigState::default(),
            has_state: false,
            in_force: Rc::default(),
            recent: RecentRecords::default(),
            events: Vec::new(),
            in_flight: false,
            due: TimePoint::default(),
            failures: 0,
            last_read: None,
            behind_reported: false,
            caught_up: None,
            oldest: OldestNeeded::Nothing,
        }
    }

    /// Creates a follower without a state that searches for a snapshot from an offset on, and in
    /// older records only if none is found.
    pub fn starting_at(settings: FollowerSettings, offset: LogOffset) -> Self {
        Self {
            phase: FollowPhase::Scanning(SnapshotScan::new(offset)),
            ..Self::new(settings)
        }
    }

    /// Returns what to read next. A returned read must be followed by exactly one call of
    /// [`Self::on_read`], [`Self::on_expired`] or [`Self::on_read_failed`].
    pub fn next_read(&mut self, now: TimePoint) -> ReadStep {
        if self.in_flight {
            return ReadStep::InFlight;
        }
        if now < self.due {
            return ReadStep::NotBefore(self.due);
        }
        self.in_flight = true;
        ReadStep::Read(LogRead {
            from: self.position(),
            limit: self.settings.read_limit,
            wait: self.settings.wait,
        })
    }

    /// Processes the answer to a read.
    pub fn on_read(&mut self, now: TimePoint, answer: &ReadAnswer) {
        let position = self.position();
        if answer.first > position {
            return self.on_expired(now, answer);
        }
        self.record_contact(now);
        match &mut self.phase {
            FollowPhase::Folding => self.fold_answer(answer),
            FollowPhase::Scanning(_) => self.handle_scan_answer(answer),
        }
        self.activate_configuration();
        let moved = self.position() != position;
        self.due = match moved {
            true => now,
            false => now + self.settings.idle_pause,
        };
    }

    /// Processes an answer with status 410: the requested offset is no longer retained.
    pub fn on_expired(&mut self, now: TimePoint, answer: &ReadAnswer) {
        self.record_contact(now);
        let first = answer.first;
        let needed = self.state.next_offset();
        self.due = now;
        match &mut self.phase {
            FollowPhase::Folding if needed < first => {
                self.events.push(FollowerEvent::Expired { needed, first });
                self.phase = FollowPhase::Scanning(SnapshotScan::new(first));
            }
            FollowPhase::Scanning(scan) if scan.next_offset() < first => {
                scan.skip_expired(first);
            }
            // A peer's state or records moved the position in the meantime, or the answers of the log
            // are inconsistent.
            _ => self.due = now + self.settings.idle_pause,
        }
    }

    /// Handles a read that failed or timed out.
    pub fn on_read_failed(&mut self, now: TimePoint) {
        self.in_flight = false;
        let doublings = self.failures.min(16);
        let pause = self.settings.retry_first * (1 << doublings);
        self.due = now + pause.min(self.settings.retry_limit);
        self.failures = self.failures.saturating_add(1);
    }

    /// Replaces the state by that of a peer if the peer's state is newer.
    pub fn on_state(&mut self, transfer: &StateTransfer) -> TransferOutcome {
        let RecordBody::Snapshot(snapshot) = RecordBody::parse(&transfer.snapshot) else {
            return TransferOutcome::Unusable;
        };
        let next = snapshot.state.next_offset();
        if next != transfer.next || snapshot.verify(None).is_err() {
            return TransferOutcome::Unusable;
        }
        // Peers only offer complete states, so a local state that is at least as recent is complete.
        self.has_state = true;
        let ahead = next > self.state.next_offset();
        if ahead {
            self.replace_state(snapshot.state);
            if self.oldest == OldestNeeded::Nothing {
                self.oldest = OldestNeeded::Unknown;
            }
            self.events.push(FollowerEvent::PeerStateAdopted { next });
        }
        self.activate_configuration();
        match ahead {
            true => TransferOutcome::Adopted,
            false => TransferOutcome::NotAhead,
        }
    }

    /// Applies records from a peer as long as they continue the state without a gap. Returns the
    /// number of applied records.
    pub fn on_records(&mut self, transfer: &RecordTransfer) -> usize {
        let before = self.state.next_offset();
        self.fold_records(&transfer.records);
        let next = self.state.next_offset();
        if let FollowPhase::Scanning(scan) = &self.phase
            && next > before
            && next >= scan.started()
        {
            self.phase = FollowPhase::Folding;
        }
        self.activate_configuration();
        usize::try_from(next.0 - before.0).unwrap_or(usize::MAX)
    }

    /// The configuration in force; empty until the state is complete for the first time.
    pub fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(&self.in_force)
    }

    /// Whether the state was ever complete, so that the VM may serve requests.
    pub fn has_state(&self) -> bool {
        self.has_state
    }

    /// The folded state, which can be newer than the configuration in force while catching up.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// The offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.state.next_offset()
    }

    /// The time since the last successful read of the log, or `None` if there was none.
    pub fn read_age(&self, now: TimePoint) -> Option<Duration> {
        self.last_read.map(|read| now.since(read))
    }

    /// Takes the events since the last call, in order.
    pub fn take_events(&mut self) -> impl Iterator<Item = FollowerEvent> + use<> {
        std::mem::take(&mut self.events).into_iter()
    }

    /// The state for transfer to a peer, or `None` until the state is complete.
    pub fn state_transfer(&self) -> Option<StateTransfer> {
        let as_of = self.caught_up.map_or(WallTime(0), |(log_now, _)| log_now);
        self.has_state.then(|| StateTransfer {
            next: self.state.next_offset(),
            snapshot: snapshot_body(&SnapshotRecord::take(&self.state, as_of)),
        })
    }

    /// At most `limit` records from an offset on for a peer; empty if they are no longer stored.
    pub fn record_transfer(&self, from: LogOffset, limit: usize) -> RecordTransfer {
        let records = self.recent.since(from).into_iter().flatten();
        RecordTransfer {
            records: records.take(limit).cloned().collect(),
        }
    }

    /// The input for the snapshot policy, or `None` while the VM cannot publish a snapshot.
    pub fn retention_view(&self) -> Option<RetentionView> {
        let (log_now, retention) = self.caught_up?;
        let able = self.has_state && matches!(self.phase, FollowPhase::Folding);
        able.then_some(RetentionView {
            log_now,
            retention,
            oldest: self.oldest,
        })
    }

    /// The body of a snapshot record to append, or `None` while the VM cannot publish one.
    pub fn snapshot_record(&self) -> Option<Box<str>> {
        let view = self.retention_view()?;
        Some(snapshot_body(&SnapshotRecord::take(
            &self.state,
            view.log_now,
        )))
    }

    fn position(&self) -> LogOffset {
        match &self.phase {
            FollowPhase::Folding => self.state.next_offset(),
            FollowPhase::Scanning(scan) => scan.next_offset(),
        }
    }

    fn record_contact(&mut self, now: TimePoint) {
        self.in_flight = false;
        self.failures = 0;
        self.last_read = Some(now);
    }

    fn fold_answer(&mut self, answer: &ReadAnswer) {
        self.fold_records(&answer.records);
        let next = self.state.next_offset();
        if next > answer.next && !self.behind_reported {
            let end = answer.next;
            self.events.push(FollowerEvent::LogBehind { end, next });
        }
        self.behind_reported = next > answer.next;
        if next >= answer.next {
            self.has_state = true;
            let retention = Duration::from_millis(answer.retention_ms);
            self.caught_up = Some((answer.now, retention));
        }
    }

    fn fold_records(&mut self, records: &[LogRecord]) {
        for record in records {
            if record.offset < self.state.next_offset() {
                continue;
            }
            let verdict = self.fold_record(record);
            let stop = matches!(verdict, RecordVerdict::OutOfOrder { .. });
            self.events.push(FollowerEvent::Verdict {
                offset: record.offset,
                verdict,
                replayed: !self.has_state,
            });
            if stop {
                return;
            }
        }
    }

    fn fold_record(&mut self, record: &LogRecord) -> RecordVerdict {
        if record.offset != self.state.next_offset() {
            return self.state.apply(record);
        }
        let body = RecordBody::parse(&record.body);
        if let RecordBody::Snapshot(snapshot) = &body {
            self.check_snapshot(record, snapshot);
        }
        let verdict = self.state.apply_body(body);
        self.recent.push(record);
        if self.oldest == OldestNeeded::Nothing {
            self.oldest = OldestNeeded::Since(record.appended_at);
        }
        verdict
    }

    /// Compares a snapshot with the local state before its record.
    fn check_snapshot(&mut self, record: &LogRecord, snapshot: &SnapshotRecord) {
        let offset = record.offset;
        if let Err(problem) = snapshot.verify(Some(offset)) {
            let event = FollowerEvent::SnapshotUnusable { offset, problem };
            self.events.push(event);
            return;
        }
        if let Some(theirs) = self.digest_after_replay(snapshot) {
            let ours = self.state.digest();
            if theirs != ours {
                self.events.push(FollowerEvent::SnapshotMismatch {
                    offset,
                    ours,
                    theirs,
                });
                return;
            }
        }
        let since = snapshot.as_of.min(record.appended_at);
        self.oldest = match self.oldest {
            OldestNeeded::Since(known) => OldestNeeded::Since(known.max(since)),
            OldestNeeded::Nothing | OldestNeeded::Unknown => OldestNeeded::Since(since),
        };
    }

    /// The digest of the snapshot's state after applying the records up to the local state's offset,
    /// if these records are still stored.
    fn digest_after_replay(&self, snapshot: &SnapshotRecord) -> Option<StateDigest> {
        let from = snapshot.state.next_offset();
        if from == self.state.next_offset() {
            return Some(snapshot.digest);
        }
        let mut state = snapshot.state.clone();
        for record in self.recent.since(from)? {
            state.apply(record);
        }
        Some(state.digest())
    }

    fn handle_scan_answer(&mut self, answer: &ReadAnswer) {
        if let FollowPhase::Scanning(scan) = &mut self.phase
            && scan.read(answer, &mut self.events)
        {
            self.finish_scan(answer.first);
        }
    }

    /// Decides how to continue when the scan has reached the end of the log.
    fn finish_scan(&mut self, first: LogOffset) {
        let ours = self.state.next_offset();
        let FollowPhase::Scanning(scan) = &mut self.phase else {
            return;
        };
        if let Some(found) = scan.take_usable(first, ours) {
            let next = found.state.next_offset();
            self.replace_state(found.state);
            self.oldest = OldestNeeded::Since(found.as_of);
            self.events.push(FollowerEvent::SnapshotInstalled { next });
        } else if ours >= first {
            self.phase = FollowPhase::Folding;
        } else if scan.started() > first {
            *scan = SnapshotScan::new(first);
        } else if scan.report_once() {
            self.events.push(FollowerEvent::NoUsableSnapshot { first });
        }
    }

    fn replace_state(&mut self, state: ConfigState) {
        self.state = state;
        self.recent.clear();
        self.caught_up = None;
        self.phase = FollowPhase::Folding;
    }

    fn activate_configuration(&mut self) {
        if self.has_state && !Rc::ptr_eq(&self.in_force, self.state.configuration()) {
            self.in_force = Rc::clone(self.state.configuration());
        }
    }
}
