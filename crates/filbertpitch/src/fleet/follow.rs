//! Follows the platform's store: the configuration, the list of targets, and other entry VMs.
//!
//! Each follower reads the newest state once and then the changes. When changes were removed before
//! they were read, or the store was away, it reads the newest state again.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpitch_fleet::engine::{FleetEngine, FleetEvent};
use filbertpitch_fleet::listing::{
    FeedGap, LeftOut, ListEntry, ListFollower, claim_record, is_claim,
};
use filbertpitch_fleet::stall_watch::{StallWatch, WatchSettings, WatchStep};
use filbertpitch_fleet::store_reads::{
    FeedProgress, ListCall, ListOutcome, ListReads, PageReader, PlannedCall, ReadSchedule,
    RecordPage, WholeRead,
};
use filbertpitch_platform::closed_zones::read_zone_change;
use filbertpitch_platform::configuration::{CONFIGURATION_KEY, FieldMessage, decode_configuration};
use filbertpitch_platform::listing::read_target;
use filbertpitch_platform::store::{
    FEED_TOPIC, KeyedRecord, NewestPage, OPERATOR_TOPIC, ReadOptions, ReadResult, StoreClient,
    StoreError, TARGET_TOPIC, VM_TOPIC, decode_value, encode_value,
};
use filbertpitch_types::fleet::{
    FeedRecord, ListRecord, PeerObservation, PeerRecord, TargetChange, ZoneRead,
};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::ReceivedBytes;
use futures_util::future::{Either, select};
use slog::b;

use super::node::FleetNode;
use crate::events::LogEvent;

/// How long a read of the configuration waits for a change. A connection that has gone silent is
/// noticed after this time and the margin of a read.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// The age of the latest read of the configuration from which the next one does not wait for a change: a
/// wait and the margin of a read.
const STALE_READ_AGE: Duration = Duration::from_secs(2);

/// The key of the feed of changes in the list of targets.
const FEED_KEY: &str = "changes";

/// The time between reads of the list of entry VMs. New VMs make themselves known directly.
const VM_INTERVAL: Duration = Duration::from_secs(3);

/// The time between renewals of this VM's record.
const RECORD_INTERVAL: Duration = Duration::from_secs(9);

/// The time between reads and announcements while some VM is not heard.
const WITNESS_INTERVAL: Duration = Duration::from_millis(400);

/// The time before a failed round of [`FleetNode::follow_vms`] is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// How often a follower looks whether the configuration has been read.
const FIRST_READ_POLL: Duration = Duration::from_millis(10);

/// Failed reads in a row after which the newest configuration is read instead of all that were missed.
const FAILURES_BEFORE_NEWEST: u32 = 2;

/// The memory of a record that is kept of a page, beside its key and its value: the decoded form of both.
const RECORD_BYTES: usize = 512;

/// The most that a read takes whose response is not known to be lost.
const MAX_READ_TIME: Duration = Duration::from_secs(60);

/// What a follower keeps: the topic, and whether the store answers.
struct TopicState {
    topic: &'static str,
    reachable: bool,
    read_at: TimePoint,
    failures: u64,
}

impl TopicState {
    fn new(topic: &'static str, now: TimePoint) -> Self {
        Self {
            topic,
            reachable: true,
            read_at: now,
            failures: 0,
        }
    }

    /// Counts the call and logs a change of reachability.
    fn note(&mut self, node: &FleetNode, error: Option<&StoreError>) {
        let now = node.driver().now().time;
        let unread = now.since(self.read_at);
        let reachable = error.is_none();
        if reachable {
            self.read_at = now;
            node.metrics().see_store_read(self.topic, now);
        } else {
            self.failures += 1;
            node.metrics().see_store_failure(self.topic);
        }
        if reachable == std::mem::replace(&mut self.reachable, reachable) {
            return;
        }
        let unread_ms = u64::try_from(unread.as_millis()).unwrap_or(u64::MAX);
        match error {
            Some(error) => {
                let text = error.to_string();
                node.log().record(
                    LogEvent::StoreUnreachable,
                    b!("topic" => self.topic, "error" => &text, "unread_ms" => unread_ms),
                );
            }
            None => {
                let failures = std::mem::take(&mut self.failures);
                node.log().record(
                    LogEvent::StoreReachable,
                    b!("topic" => self.topic, "failures" => failures, "unread_ms" => unread_ms),
                );
            }
        }
    }
}

/// The newest record of each key that the operator publishes.
struct OperatorRead {
    whole: WholeRead<KeyedRecord>,
    /// When the first page was requested.
    requested_at: TimePoint,
}

/// What a page has brought to a whole read.
enum PageAdded<Record> {
    /// Another page is missing.
    More,
    /// The page does not lead on; it is requested again.
    Stalled,
    /// The whole read has ended.
    Ended(WholeRead<Record>),
}

/// What a VM knows of the list of targets, and where it reads on.
#[derive(Default)]
struct ListPosition {
    list: ListFollower,
    pages: PageReader<ListEntry>,
    /// The offset in the feed.
    feed: LogOffset,
    unusable: UnusableEntries,
    /// What has been reported of the entries that were left out.
    reported: LeftOut,
    unusable_reported: u64,
}

/// The entries of the list that name no target to use.
#[derive(Default)]
struct UnusableEntries {
    count: u64,
    first_key: Option<Box<str>>,
}

impl UnusableEntries {
    /// Reads a record of the list, and counts it unless it can be used.
    fn read(&mut self, record: &KeyedRecord) -> Option<ListEntry> {
        let entry = read_entry(record);
        let change = entry.as_ref().and_then(|entry| entry.change.as_ref());
        if matches!(change, None | Some(TargetChange::Unreadable(_))) {
            self.count += 1;
            self.first_key.get_or_insert_with(|| record.key.clone());
        }
        entry
    }
}

/// Where a VM reads on in the records of entry VMs, and from when on after a failure.
#[derive(Default)]
struct VmReads {
    next: Option<LogOffset>,
    pages: PageReader<PeerObservation>,
    schedule: ReadSchedule,
    due: TimePoint,
}

impl FleetNode {
    /// Keeps the configuration and the closed zones in force up to date. Runs forever.
    pub(super) async fn follow_configuration(self: Rc<Self>) {
        let mut state = TopicState::new(OPERATOR_TOPIC, self.driver().now().time);
        let mut schedule = ReadSchedule::default();
        loop {
            let read = self.read_operator(&mut schedule, &mut state).await;
            let whole = read.whole;
            self.apply_zones(
                &whole.records,
                ZoneRead {
                    through: whole.through,
                    complete: whole.complete,
                    requested_at: read.requested_at,
                    ..ZoneRead::default()
                },
            );
            self.apply_configuration(&whole.records);
            self.read_configurations(&mut schedule, &mut state, whole.through)
                .await;
        }
    }

    /// Adds a page to a whole read, or counts and logs that it does not lead on. `read` decodes a record; what
    /// it does not return is not kept.
    fn add_page<Record, Read>(
        &self,
        topic: &'static str,
        pages: &mut PageReader<Record>,
        page: Result<NewestPage, StoreError>,
        read: Read,
    ) -> Result<PageAdded<Record>, StoreError>
    where
        Read: FnMut(&KeyedRecord) -> Option<Record>,
    {
        let end = match page {
            Ok(page) => {
                let whole = pages.add_page(read_page(page, read));
                return Ok(whole.map_or(PageAdded::More, PageAdded::Ended));
            }
            Err(StoreError::NoProgress(end)) => end,
            Err(error) => return Err(error),
        };
        let after = pages.after().unwrap_or_default().to_owned();
        let whole = pages.record_stall(end);
        self.metrics().see_stalled_page(topic);
        self.log().record(
            LogEvent::PageStalled,
            b!("topic" => topic, "after" => &after, "given_up" => whole.is_some()),
        );
        Ok(whole.map_or(PageAdded::Stalled, PageAdded::Ended))
    }

    /// Reads the newest record of each key that the operator publishes. A failed page is repeated until
    /// it succeeds; earlier pages are kept.
    async fn read_operator(
        &self,
        schedule: &mut ReadSchedule,
        state: &mut TopicState,
    ) -> OperatorRead {
        let mut pages = PageReader::default();
        let mut first_requested_at = None;
        loop {
            let requested_at = self.driver().now().time;
            let page = self.configuration_store().newest_page(
                OPERATOR_TOPIC,
                pages.after(),
                schedule.timeout(),
            );
            let page = page.await;
            state.note(self, page.as_ref().err());
            let response_time = self.driver().now().time.since(requested_at);
            let added = self.add_page(OPERATOR_TOPIC, &mut pages, page, read_operator_record);
            let (added, delay) = match added {
                Ok(added @ PageAdded::Stalled) => (added, schedule.record_failure(rand::random())),
                Ok(added) => {
                    first_requested_at.get_or_insert(requested_at);
                    let delay = schedule.record_response(response_time, rand::random());
                    (added, delay)
                }
                Err(_) => (PageAdded::More, schedule.record_failure(rand::random())),
            };
            if let PageAdded::Ended(whole) = added {
                self.note_configuration_read(response_time);
                return OperatorRead {
                    whole,
                    requested_at: first_requested_at.unwrap_or(requested_at),
                };
            }
            monoio::time::sleep(delay).await;
        }
    }

    /// Waits for the first read of the configuration, which must not wait for larger reads. Returns its
    /// response time.
    async fn wait_for_first_read(&self) -> Duration {
        loop {
            match self.first_response() {
                Some(response_time) => return response_time,
                None => monoio::time::sleep(FIRST_READ_POLL).await,
            }
        }
    }

    /// Reads changes until some were missed.
    async fn read_configurations(
        &self,
        schedule: &mut ReadSchedule,
        state: &mut TopicState,
        mut next: LogOffset,
    ) {
        let mut read_at = self.driver().now().time;
        while schedule.failures() < FAILURES_BEFORE_NEWEST {
            let requested_at = self.driver().now().time;
            // After a failure, a pause or an outage, the response must not wait for a change: starts may
            // wait for it.
            let recent = requested_at.since(read_at) < STALE_READ_AGE;
            let wait = match recent && schedule.failures() == 0 {
                true => CONFIGURATION_WAIT,
                false => Duration::ZERO,
            };
            let options = ReadOptions {
                wait,
                timeout: schedule.timeout(),
                ..ReadOptions::default()
            };
            let store = self.configuration_store();
            match self.watch(store, OPERATOR_TOPIC, next, &options).await {
                Ok(ReadResult::Records {
                    records, next: end, ..
                }) => {
                    state.note(self, None);
                    schedule.record_response(Duration::ZERO, rand::random());
                    read_at = requested_at;
                    self.apply_zones(
                        &records,
                        ZoneRead {
                            through: end,
                            requested_at,
                            ..ZoneRead::default()
                        },
                    );
                    self.apply_configuration(&records);
                    next = end;
                }
                Ok(ReadResult::Expired) => return,
                Err(error) => {
                    state.note(self, Some(&error));
                    monoio::time::sleep(schedule.record_failure(rand::random())).await;
                }
            }
        }
    }

    /// Reads records, and waits for the first one even if the store does not: otherwise a read that waits for
    /// a change would be repeated at once.
    async fn watch(
        &self,
        store: &StoreClient,
        topic: &'static str,
        from: LogOffset,
        options: &ReadOptions,
    ) -> Result<ReadResult, StoreError> {
        let requested_at = self.driver().now().time;
        let read = store.read_with(topic, from, options).await?;
        if let ReadResult::Records { next, .. } = &read
            && *next == from
        {
            let waited = self.driver().now().time.since(requested_at);
            monoio::time::sleep(options.wait.saturating_sub(waited)).await;
        }
        Ok(read)
    }

    /// Applies the records of closed zones of a read; `read` gets the changes. The caller applies the
    /// configuration of the same read afterwards, so that a VM that starts takes no jobs before it knows
    /// the zones.
    fn apply_zones(&self, records: &[KeyedRecord], mut read: ZoneRead) {
        for record in records {
            match read_zone_change(record) {
                None => {}
                Some(Ok(change)) => read.changes.push(change),
                Some(Err(error)) => {
                    let text = error.to_string();
                    self.log().record(
                        LogEvent::RecordUnreadable,
                        b!("topic" => OPERATOR_TOPIC, "key" => &*record.key, "error" => &text),
                    );
                }
            }
        }
        self.driver().feed(FleetEvent::ZonesRead(read));
    }

    fn apply_configuration(&self, records: &[KeyedRecord]) {
        let published = records
            .iter()
            .filter(|record| &*record.key == CONFIGURATION_KEY);
        for value in published.filter_map(|record| record.value.as_ref()) {
            let decoded = decode_configuration(value);
            self.metrics().see_configuration(decoded.is_ok());
            match decoded {
                Ok(decoded) => {
                    let configuration = Rc::new(decoded.configuration);
                    let event = FleetEvent::Configured(Rc::clone(&configuration));
                    self.driver().feed(event);
                    let in_force = self.driver().inspect(|engine| {
                        let active = engine.catalog().configuration();
                        active.is_some_and(|active| Rc::ptr_eq(active, &configuration))
                    });
                    if in_force {
                        self.keep_published(value);
                        self.report_replaced(configuration.version, &decoded.replaced);
                    }
                }
                Err(error) => {
                    let text = error.to_string();
                    self.log().record(
                        LogEvent::RecordUnreadable,
                        b!("topic" => OPERATOR_TOPIC, "key" => CONFIGURATION_KEY, "error" => &text),
                    );
                }
            }
        }
    }

    /// Logs that VMs use other values than those of a configuration.
    fn report_replaced(&self, version: ConfigVersion, replaced: &[FieldMessage]) {
        let Some(first) = replaced.first() else {
            return;
        };
        let first = first.to_string();
        self.log().record(
            LogEvent::ValuesReplaced,
            b!("version" => version.0, "values" => replaced.len(), "first" => &first),
        );
    }

    /// Keeps the list of targets up to date. Runs forever.
    pub(super) async fn follow_targets(self: Rc<Self>) {
        let mut position = ListPosition::default();
        let first_response = self.wait_for_first_read().await;
        let mut reads = ListReads::new(first_response, rand::random());
        let mut state = TopicState::new(TARGET_TOPIC, self.driver().now().time);
        loop {
            let planned = reads.next_call();
            if !planned.delay.is_zero() {
                monoio::time::sleep(planned.delay).await;
            }
            let started_at = self.driver().now().time;
            let outcome = match planned.quiet_limit {
                Some(quiet_limit) => {
                    let settings = WatchSettings {
                        timeout: planned.timeout,
                        quiet_limit,
                    };
                    self.watch_list_call(&planned, settings, &mut position, &mut state)
                        .await
                }
                None => {
                    let options = ReadOptions {
                        timeout: planned.timeout,
                        ..ReadOptions::default()
                    };
                    self.perform_list_call(&planned, &mut position, &options)
                        .await
                }
            };
            state.note(&self, outcome.as_ref().err());
            let outcome = match outcome {
                Ok(outcome) => outcome,
                Err(StoreError::Stalled) => ListOutcome::Stalled,
                Err(_) => ListOutcome::Failed,
            };
            self.report_left_out(&mut position);
            let response_time = self.driver().now().time.since(started_at);
            reads.record_outcome(outcome, response_time, rand::random());
        }
    }

    /// Performs a call whose response may be large. While no byte of it arrives, probes show whether the store
    /// answers.
    async fn watch_list_call(
        &self,
        planned: &PlannedCall,
        settings: WatchSettings,
        position: &mut ListPosition,
        state: &mut TopicState,
    ) -> Result<ListOutcome, StoreError> {
        let now = || self.driver().now().time;
        let received = ReceivedBytes::default();
        let options = ReadOptions {
            timeout: MAX_READ_TIME,
            received: Some(received.clone()),
            ..ReadOptions::default()
        };
        let known_through = position.list.through();
        let mut watch = StallWatch::new(now(), settings);
        let mut call = pin!(self.perform_list_call(planned, position, &options));
        loop {
            match watch.next_step(now(), received.get()) {
                WatchStep::Wait(time) => {
                    let wait = pin!(monoio::time::sleep(time));
                    if let Either::Left((outcome, _)) = select(call.as_mut(), wait).await {
                        return outcome;
                    }
                }
                WatchStep::Probe(timeout) => {
                    let probe = pin!(self.store().probe(TARGET_TOPIC, known_through, timeout));
                    let answer = match select(call.as_mut(), probe).await {
                        Either::Left((outcome, _)) => return outcome,
                        Either::Right((answer, _)) => answer,
                    };
                    if let Err(error) = &answer {
                        state.note(self, Some(error));
                    }
                    let (answered, count) = (answer.is_ok(), received.get());
                    if watch.record_probe(now(), answered, count, rand::random()) {
                        return Err(StoreError::Stalled);
                    }
                }
                WatchStep::GiveUp => return Err(StoreError::TooSlow),
            }
        }
    }

    /// Performs a call; `options` are those of its reads.
    async fn perform_list_call(
        &self,
        planned: &PlannedCall,
        position: &mut ListPosition,
        options: &ReadOptions,
    ) -> Result<ListOutcome, StoreError> {
        match planned.call {
            // The feed is looked up first, so that it does not end after the list that is read.
            ListCall::FindFeed => {
                position.feed = self.find_feed_end(options).await?;
                position.pages = PageReader::default();
                Ok(ListOutcome::FeedFound)
            }
            ListCall::ReadPage => {
                let after = position.pages.after();
                let page = self.store().newest_page_with(TARGET_TOPIC, after, options);
                let page = page.await;
                let (list, unusable) = (&position.list, &mut position.unusable);
                let read = |record: &KeyedRecord| {
                    let entry = unusable.read(record)?;
                    let new = entry.change.as_ref().is_some_and(|it| list.concerns(it));
                    new.then_some(entry)
                };
                match self.add_page(TARGET_TOPIC, &mut position.pages, page, read)? {
                    PageAdded::More => Ok(ListOutcome::PageRead(false)),
                    PageAdded::Stalled => Ok(ListOutcome::PageStalled),
                    PageAdded::Ended(whole) => Ok(self.apply_whole(&mut position.list, whole)),
                }
            }
            ListCall::DropUnseen => {
                self.change_targets(position.list.drop_unseen());
                Ok(ListOutcome::UnseenDropped)
            }
            ListCall::ReadFeed(wait) => {
                let options = ReadOptions {
                    wait,
                    ..options.clone()
                };
                self.read_feed(position, &options).await
            }
            ListCall::ReadChanges(until) => {
                let missing = until.map_or(u64::MAX, |until| position.list.missing_bytes(until));
                let bytes = missing.min(u64::from(planned.max_bytes));
                let options = ReadOptions {
                    max_kib: u32::try_from(bytes.div_ceil(1 << 10))
                        .unwrap_or(u32::MAX)
                        .max(1),
                    ..options.clone()
                };
                let outcome = self.read_list(position, &options).await?;
                if let ListOutcome::ChangesRead {
                    through,
                    more: false,
                } = outcome
                    && until.is_some_and(|until| through < until)
                {
                    self.skip_feed_record(position);
                }
                Ok(outcome)
            }
            ListCall::ClaimFeed => self.append_feed(position, &claim_record()).await,
            ListCall::PublishChanges => {
                let record = position.list.next_record();
                let outcome = self.append_feed(position, &record).await?;
                if outcome == ListOutcome::FeedAppended(true) {
                    position.list.mark_published(record.through);
                }
                Ok(outcome)
            }
        }
    }

    /// Counts the entries that were left out, and logs the first one of each reason.
    fn report_left_out(&self, position: &mut ListPosition) {
        let left_out = position.list.left_out();
        let reported = std::mem::replace(&mut position.reported, left_out);
        let unusable = position.unusable.count;
        let unusable_reported = std::mem::replace(&mut position.unusable_reported, unusable);
        let first_key = position.unusable.first_key.as_deref().unwrap_or_default();
        let counts = [
            ("unusable", first_key, unusable_reported, unusable),
            ("memory", "", reported.for_memory, left_out.for_memory),
            ("feed", "", reported.from_feed, left_out.from_feed),
        ];
        for (reason, key, before, now) in counts {
            if now == before {
                continue;
            }
            self.metrics().see_left_out(reason, now - before);
            if before == 0 {
                self.log().record(
                    LogEvent::EntriesLeftOut,
                    b!("topic" => TARGET_TOPIC, "reason" => reason, "key" => key, "entries" => now),
                );
            }
        }
    }

    fn apply_whole(&self, list: &mut ListFollower, whole: WholeRead<ListEntry>) -> ListOutcome {
        let entries = whole.records;
        if !whole.complete {
            self.change_targets(list.apply_part(entries, whole.through));
            return ListOutcome::PagesEnded;
        }
        self.change_targets(list.apply_list(entries, whole.through));
        self.confirm_list();
        ListOutcome::PageRead(true)
    }

    fn change_targets(&self, notices: Vec<TargetChange>) {
        if !notices.is_empty() {
            self.driver().feed(FleetEvent::TargetsChanged(notices));
        }
    }

    /// Tells the engine that it knows the list to its present end.
    fn confirm_list(&self) {
        self.driver().feed(FleetEvent::TargetsListed);
    }

    async fn find_feed_end(&self, options: &ReadOptions) -> Result<LogOffset, StoreError> {
        let page = self.store().newest_page_with(FEED_TOPIC, None, options);
        match page.await {
            Ok(page) => Ok(page.end),
            // Only the end counts.
            Err(StoreError::NoProgress(end)) => Ok(end),
            Err(error) => Err(error),
        }
    }

    /// Waits for records of the feed and takes them over up to the first gap.
    async fn read_feed(
        &self,
        position: &mut ListPosition,
        options: &ReadOptions,
    ) -> Result<ListOutcome, StoreError> {
        let read = self.watch(self.store(), FEED_TOPIC, position.feed, options);
        let (records, end) = match read.await? {
            ReadResult::Records { records, next, .. } => (records, next),
            ReadResult::Expired => {
                position.feed = self.find_feed_end(options).await?;
                return Ok(ListOutcome::FeedExpired);
            }
        };
        let mut progress = match records.is_empty() {
            true => FeedProgress::Still,
            false => FeedProgress::Claimed,
        };
        for record in &records {
            // A record that cannot be read leaves a gap before the next one.
            let Some(feed) = record
                .value
                .as_ref()
                .and_then(|value| decode_value::<FeedRecord>(value))
            else {
                continue;
            };
            let (from, claims) = (feed.from, is_claim(&feed));
            match position.list.apply_feed(feed, read_record) {
                Ok(notices) => self.change_targets(notices),
                Err(FeedGap) => {
                    // The record is read again once the part before it is known.
                    position.feed = record.offset;
                    return Ok(ListOutcome::FeedRead(FeedProgress::Gap(from)));
                }
            }
            if !claims {
                progress = FeedProgress::Moved;
            }
        }
        position.feed = end;
        if progress == FeedProgress::Moved {
            self.confirm_list();
        }
        Ok(ListOutcome::FeedRead(progress))
    }

    /// Skips the record of the feed that starts after the end of the list: it would be a gap for ever. What it
    /// may contain is found in the list.
    fn skip_feed_record(&self, position: &mut ListPosition) {
        position.feed = position.feed.next();
        self.log().record(
            LogEvent::RecordUnreadable,
            b!("topic" => FEED_TOPIC, "key" => FEED_KEY, "error" => "it starts after the end of the list"),
        );
    }

    /// Reads the list itself from where it is known.
    async fn read_list(
        &self,
        position: &mut ListPosition,
        options: &ReadOptions,
    ) -> Result<ListOutcome, StoreError> {
        let ListPosition { list, unusable, .. } = position;
        let from = list.through();
        let mut read = self.store().read_with(TARGET_TOPIC, from, options).await;
        if let Err(StoreError::NoProgress(_)) = read {
            // The next record may be longer than the limit.
            let options = ReadOptions {
                max_kib: ReadOptions::default().max_kib,
                ..options.clone()
            };
            read = self.store().read_with(TARGET_TOPIC, from, &options).await;
        }
        match read? {
            ReadResult::Records { records, next, end } => {
                let entries = records.iter().filter_map(|record| unusable.read(record));
                let entries = entries.collect();
                self.change_targets(list.apply_changes(entries, next));
                let more = next < end;
                if !more {
                    self.confirm_list();
                }
                let through = list.through();
                Ok(ListOutcome::ChangesRead { through, more })
            }
            ReadResult::Expired => Ok(ListOutcome::ChangesExpired),
        }
    }

    /// Appends a record to the feed, unless another VM has gone on with it.
    async fn append_feed(
        &self,
        position: &mut ListPosition,
        record: &FeedRecord,
    ) -> Result<ListOutcome, StoreError> {
        let Some(value) = encode_value(record) else {
            return Ok(ListOutcome::FeedAppended(false));
        };
        let published =
            self.store()
                .publish_if_unchanged(FEED_TOPIC, FEED_KEY, &value, position.feed);
        let published = published.await?;
        if let Some(end) = published {
            position.feed = end;
        }
        Ok(ListOutcome::FeedAppended(published.is_some()))
    }

    /// Makes this VM known and finds the others. Runs forever.
    ///
    /// While some VM is not heard, both are done often: a VM that makes itself known again is alive,
    /// even if it is cut off from this one.
    pub(super) async fn follow_vms(self: Rc<Self>) {
        let mut state = TopicState::new(VM_TOPIC, self.driver().now().time);
        let mut announced = false;
        let mut written_at = TimePoint(0);
        let mut reads = VmReads::default();
        loop {
            let witness = self.driver().inspect(FleetEngine::needs_record_renewal);
            let now = self.driver().now();
            if witness || !announced || now.time.since(written_at) >= RECORD_INTERVAL {
                announced = self.announce(&mut state, now.wall).await;
                written_at = now.time;
            }
            if self.first_response().is_none() {
                let first_read = self.wait_for_first_read();
                if monoio::time::timeout(RETRY_INTERVAL, first_read)
                    .await
                    .is_err()
                {
                    continue;
                }
            }
            // Announcements go on while reads are delayed: other VMs rely on them.
            let now = self.driver().now().time;
            if now >= reads.due {
                match self.read_vms(&mut reads).await {
                    Ok(peers) => {
                        state.note(&self, None);
                        reads.schedule.record_response(Duration::ZERO, 0.0);
                        self.driver().feed(FleetEvent::PeersFound(peers));
                    }
                    Err(error) => {
                        state.note(&self, Some(&error));
                        let delay = reads.schedule.record_failure(rand::random());
                        reads.due = self.driver().now().time + delay;
                    }
                }
            }
            let calm = announced && state.reachable;
            self.wait_for_alarm(if calm { VM_INTERVAL } else { RETRY_INTERVAL })
                .await;
        }
    }

    /// The records of entry VMs that were written since the latest read, or the newest of each VM if some
    /// were missed.
    async fn read_vms(&self, reads: &mut VmReads) -> Result<Vec<PeerObservation>, StoreError> {
        let timeout = reads.schedule.timeout();
        if let Some(from) = reads.next {
            let options = ReadOptions {
                timeout,
                ..ReadOptions::default()
            };
            match self.store().read_with(VM_TOPIC, from, &options).await? {
                ReadResult::Records { records, next, .. } => {
                    reads.next = Some(next);
                    return Ok(records.iter().filter_map(read_sighting).collect());
                }
                ReadResult::Expired => reads.next = None,
            }
        }
        loop {
            let after = reads.pages.after();
            let page = self.store().newest_page(VM_TOPIC, after, timeout).await;
            match self.add_page(VM_TOPIC, &mut reads.pages, page, read_sighting)? {
                PageAdded::More => {}
                // The caller repeats the page after a delay.
                PageAdded::Stalled => return Ok(Vec::new()),
                PageAdded::Ended(whole) => {
                    reads.next = Some(whole.through);
                    return Ok(whole.records);
                }
            }
        }
    }

    /// Waits, but not for long while some VM is not heard.
    async fn wait_for_alarm(&self, limit: Duration) {
        let mut waited = Duration::ZERO;
        while waited < limit {
            monoio::time::sleep(WITNESS_INTERVAL).await;
            waited += WITNESS_INTERVAL;
            if self.driver().inspect(FleetEngine::needs_record_renewal) {
                return;
            }
        }
    }

    async fn announce(&self, state: &mut TopicState, written_at: WallTime) -> bool {
        let record = PeerRecord {
            identity: self.identity().clone(),
            written_at,
        };
        let Some(value) = encode_value(&record) else {
            return false;
        };
        let key = record.identity.vm.as_str();
        match self.store().publish(VM_TOPIC, key, &value).await {
            Ok(()) => true,
            Err(error) => {
                state.note(self, Some(&error));
                false
            }
        }
    }
}

/// Reads the record of an entry VM. A damaged record names none.
fn read_sighting(record: &KeyedRecord) -> Option<PeerObservation> {
    Some(PeerObservation {
        record: decode_value::<PeerRecord>(record.value.as_ref()?)?,
        revision: record.offset.0,
    })
}

/// A record of the operator if this system knows its key.
fn read_operator_record(record: &KeyedRecord) -> Option<KeyedRecord> {
    let known = &*record.key == CONFIGURATION_KEY || read_zone_change(record).is_some();
    known.then(|| record.clone())
}

fn read_page<Record, Read>(page: NewestPage, mut read: Read) -> RecordPage<Record>
where
    Read: FnMut(&KeyedRecord) -> Option<Record>,
{
    let mut records = Vec::new();
    let mut bytes = 0;
    for record in &page.records {
        if let Some(kept) = read(record) {
            bytes += RECORD_BYTES + record_bytes(record);
            records.push(kept);
        }
    }
    RecordPage {
        records,
        bytes,
        end: page.end,
        next_after: page.next_after,
    }
}

fn record_bytes(record: &KeyedRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}

/// Reads a record of the list. `None` if its key is not the name of a target.
fn read_entry(record: &KeyedRecord) -> Option<ListEntry> {
    let value = record.value.as_ref();
    let change = read_target(&record.key, value.map(|value| &value[..]))?;
    let text = match change {
        TargetChange::Listed(_) => value.and_then(|value| std::str::from_utf8(value).ok()),
        TargetChange::Removed(_) => None,
        // What another writer has stored is of no use to other VMs, and may be large.
        TargetChange::Unreadable(_) => Some(""),
    };
    Some(ListEntry {
        offset: record.offset,
        record: ListRecord {
            key: record.key.clone(),
            value: text.map(Into::into),
        },
        change: Some(change),
    })
}

fn read_record(record: &ListRecord) -> Option<TargetChange> {
    read_target(&record.key, record.value.as_deref().map(str::as_bytes))
}
