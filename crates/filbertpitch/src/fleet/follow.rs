//! Follows the platform's store: the configuration, the list of targets, and other entry VMs.
//!
//! Each follower reads the newest state once and then the changes. When changes were removed before
//! they were read, or the store was away, it reads the newest state again.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_fleet::engine::{FleetEngine, FleetEvent};
use filbertpitch_fleet::listing::{FeedGap, ListEntry, ListFollower};
use filbertpitch_platform::closed_zones::read_zone_change;
use filbertpitch_platform::configuration::{CONFIGURATION_KEY, read_configuration};
use filbertpitch_platform::listing::read_target;
use filbertpitch_platform::store::{
    FEED_TOPIC, KeyedRecord, OPERATOR_TOPIC, ReadResult, StoreError, TARGET_TOPIC, VM_TOPIC,
    decode_value, encode_value,
};
use filbertpitch_types::fleet::{ListRecord, PeerObservation, PeerRecord, TargetChange, ZoneRead};
use filbertpitch_types::prelude::*;
use slog::b;

use super::node::FleetNode;
use crate::events::LogEvent;

/// How long a read of the configuration waits for a change. A connection that has gone silent is
/// noticed after this time and the margin of a read.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// The age of the latest read of the configuration from which the next one does not wait for a change: a
/// wait and the margin of a read.
const STALE_READ_AGE: Duration = Duration::from_secs(2);

/// The time between reads of the list of targets. Targets write every second or two, so that a
/// read that waits for a change would return at once nearly always.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);

/// The key of the feed of changes in the list of targets.
const FEED_KEY: &str = "changes";

/// How long the feed is waited for before a VM reads the list itself: one read of the list and an answer
/// of a slow store. A target that drains must get no work two seconds later.
const FEED_WAIT: Duration = Duration::from_millis(800);

/// A random part of that time, so that VMs do not all turn to the list at once.
const FEED_SPREAD: Duration = Duration::from_millis(300);

/// The time between reads of the list of entry VMs. New VMs make themselves known directly.
const VM_INTERVAL: Duration = Duration::from_secs(3);

/// The time between renewals of this VM's record.
const RECORD_INTERVAL: Duration = Duration::from_secs(9);

/// The time between reads and announcements while some VM is not heard.
const WITNESS_INTERVAL: Duration = Duration::from_millis(400);

/// The time before a failed call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Whether the feed of changes has brought what there is to know.
enum FeedState {
    Moved,
    Still,
}

/// What a follower keeps: the topic, and whether the store answers.
struct TopicState {
    topic: &'static str,
    reachable: bool,
}

impl TopicState {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            reachable: true,
        }
    }

    /// Logs a change of reachability.
    fn note(&mut self, node: &FleetNode, error: Option<&StoreError>) {
        let reachable = error.is_none();
        if reachable == std::mem::replace(&mut self.reachable, reachable) {
            return;
        }
        match error {
            Some(error) => {
                let text = error.to_string();
                node.log().record(
                    LogEvent::StoreUnreachable,
                    b!("topic" => self.topic, "error" => &text),
                );
            }
            None => node
                .log()
                .record(LogEvent::StoreReachable, b!("topic" => self.topic)),
        }
    }
}

impl FleetNode {
    /// Keeps the configuration and the closed zones in force up to date. Runs forever.
    pub(super) async fn follow_configuration(self: Rc<Self>) {
        let mut state = TopicState::new(OPERATOR_TOPIC);
        loop {
            let requested_at = self.driver().now().time;
            match self.store().newest(OPERATOR_TOPIC).await {
                Ok(newest) => {
                    state.note(&self, None);
                    self.apply_zones(
                        &newest.records,
                        ZoneRead {
                            through: newest.next,
                            complete: true,
                            requested_at,
                            ..ZoneRead::default()
                        },
                    );
                    self.apply_configuration(&newest.records);
                    self.read_configurations(&mut state, newest.next).await;
                }
                Err(error) => {
                    state.note(&self, Some(&error));
                    monoio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Reads changes until some were missed.
    async fn read_configurations(&self, state: &mut TopicState, mut next: LogOffset) {
        let mut read_at = self.driver().now().time;
        loop {
            let requested_at = self.driver().now().time;
            // After a pause or an outage, the response must not wait for a change: starts may wait for it.
            let wait = match requested_at.since(read_at) < STALE_READ_AGE {
                true => CONFIGURATION_WAIT,
                false => Duration::ZERO,
            };
            match self.store().read(OPERATOR_TOPIC, next, wait).await {
                Ok(ReadResult::Records { records, next: end }) => {
                    state.note(self, None);
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
                    monoio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
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
            match read_configuration(value) {
                Ok(configuration) => {
                    let configuration = Rc::new(configuration);
                    let event = FleetEvent::Configured(Rc::clone(&configuration));
                    self.driver().feed(event);
                    let in_force = self.driver().inspect(|engine| {
                        let active = engine.catalog().configuration();
                        active.is_some_and(|active| Rc::ptr_eq(active, &configuration))
                    });
                    if in_force {
                        self.keep_published(value);
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

    /// Keeps the list of targets up to date. Runs forever.
    pub(super) async fn follow_targets(self: Rc<Self>) {
        let mut state = TopicState::new(TARGET_TOPIC);
        let mut list = ListFollower::default();
        loop {
            // The feed is looked up first, so that it does not end after the list that is read.
            let read = async {
                let feed = self.store().newest(FEED_TOPIC).await?;
                let list = self.store().newest(TARGET_TOPIC).await?;
                Ok((feed.next, list))
            };
            match read.await {
                Ok((feed, newest)) => {
                    state.note(&self, None);
                    let entries = newest.records.iter().map(read_entry).collect();
                    self.change_targets(list.apply_list(entries, newest.next));
                    self.confirm_list();
                    self.follow_feed(&mut state, &mut list, feed).await;
                }
                Err(error) => {
                    state.note(&self, Some(&error));
                    monoio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
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

    /// Follows the feed of changes, from `next` on, until some changes were missed. When the feed stands
    /// still, this VM reads the list itself and tries to go on with the feed.
    async fn follow_feed(&self, state: &mut TopicState, list: &mut ListFollower, next: LogOffset) {
        let mut next = next;
        let mut publishing = false;
        loop {
            if publishing {
                monoio::time::sleep(LISTING_INTERVAL).await;
            } else {
                let spread = FEED_SPREAD.mul_f64(rand::random::<f64>());
                match self.read_feed(list, &mut next, FEED_WAIT + spread).await {
                    Ok(FeedState::Moved) => {
                        self.confirm_list();
                        state.note(self, None);
                        continue;
                    }
                    Ok(FeedState::Still) => {}
                    Err(error) => {
                        state.note(self, Some(&error));
                        monoio::time::sleep(RETRY_INTERVAL).await;
                    }
                }
            }
            match self.read_list(list).await {
                Ok(true) => state.note(self, None),
                Ok(false) => return,
                Err(error) => {
                    state.note(self, Some(&error));
                    continue;
                }
            }
            match self.publish_feed(list, next).await {
                Ok(Some(end)) => {
                    next = end;
                    publishing = true;
                }
                // Another VM goes on with the feed.
                Ok(None) => publishing = false,
                Err(error) => {
                    state.note(self, Some(&error));
                    publishing = false;
                }
            }
        }
    }

    /// Waits for records of the feed and takes them over.
    async fn read_feed(
        &self,
        list: &mut ListFollower,
        next: &mut LogOffset,
        wait: Duration,
    ) -> Result<FeedState, StoreError> {
        let records = match self.store().read(FEED_TOPIC, *next, wait).await? {
            ReadResult::Records { records, next: end } => {
                *next = end;
                records
            }
            ReadResult::Expired => {
                *next = self.store().newest(FEED_TOPIC).await?.next;
                return Ok(FeedState::Still);
            }
        };
        if records.is_empty() {
            return Ok(FeedState::Still);
        }
        let mut followed = FeedState::Moved;
        for record in &records {
            // A record that cannot be read leaves a gap.
            let Some(feed) = record.value.as_ref().and_then(|value| decode_value(value)) else {
                continue;
            };
            match list.apply_feed(feed, read_record) {
                Ok(notices) => self.change_targets(notices),
                Err(FeedGap) => followed = FeedState::Still,
            }
        }
        Ok(followed)
    }

    /// Reads the list itself from where it is known. False if that part is not kept any more.
    async fn read_list(&self, list: &mut ListFollower) -> Result<bool, StoreError> {
        let read = self
            .store()
            .read(TARGET_TOPIC, list.through(), Duration::ZERO);
        match read.await? {
            ReadResult::Records { records, next } => {
                let entries = records.iter().map(read_entry).collect();
                self.change_targets(list.apply_changes(entries, next));
                self.confirm_list();
                Ok(true)
            }
            ReadResult::Expired => Ok(false),
        }
    }

    /// Goes on with the feed, which this VM has read up to `end`. Returns its new end; nothing if another
    /// VM has gone on with it.
    async fn publish_feed(
        &self,
        list: &mut ListFollower,
        end: LogOffset,
    ) -> Result<Option<LogOffset>, StoreError> {
        let record = list.next_record();
        let Some(value) = encode_value(&record) else {
            return Ok(None);
        };
        let published = self
            .store()
            .publish_if_unchanged(FEED_TOPIC, FEED_KEY, &value, end);
        let published = published.await?;
        if published.is_some() {
            list.mark_published(record.through);
        }
        Ok(published)
    }

    /// Makes this VM known and finds the others. Runs forever.
    ///
    /// While some VM is not heard, both are done often: a VM that makes itself known again is alive,
    /// even if it is cut off from this one.
    pub(super) async fn follow_vms(self: Rc<Self>) {
        let mut state = TopicState::new(VM_TOPIC);
        let mut announced = false;
        let mut written_at = TimePoint(0);
        let mut next = None;
        loop {
            let witness = self.driver().inspect(FleetEngine::needs_record_renewal);
            let now = self.driver().now();
            if witness || !announced || now.time.since(written_at) >= RECORD_INTERVAL {
                announced = self.announce(&mut state, now.wall).await;
                written_at = now.time;
            }
            match self.read_vms(&mut next).await {
                Ok(peers) => {
                    state.note(&self, None);
                    self.driver().feed(FleetEvent::PeersFound(peers));
                }
                Err(error) => state.note(&self, Some(&error)),
            }
            let calm = announced && state.reachable;
            self.wait_for_alarm(if calm { VM_INTERVAL } else { RETRY_INTERVAL })
                .await;
        }
    }

    /// The records of entry VMs that were written since `next`, or the newest of each VM if some were
    /// missed.
    async fn read_vms(
        &self,
        next: &mut Option<LogOffset>,
    ) -> Result<Vec<PeerObservation>, StoreError> {
        if let Some(from) = *next {
            match self.store().read(VM_TOPIC, from, Duration::ZERO).await? {
                ReadResult::Records { records, next: end } => {
                    *next = Some(end);
                    return Ok(read_sightings(&records));
                }
                ReadResult::Expired => *next = None,
            }
        }
        let newest = self.store().newest(VM_TOPIC).await?;
        *next = Some(newest.next);
        Ok(read_sightings(&newest.records))
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

/// Reads the records of entry VMs. A damaged record names none.
fn read_sightings(records: &[KeyedRecord]) -> Vec<PeerObservation> {
    let sightings = records.iter().filter_map(|record| {
        Some(PeerObservation {
            record: decode_value::<PeerRecord>(record.value.as_ref()?)?,
            revision: record.offset.0,
        })
    });
    sightings.collect()
}

fn read_entry(record: &KeyedRecord) -> ListEntry {
    let offset = record.offset;
    let value = record.value.as_ref();
    let record = ListRecord {
        key: record.key.clone(),
        value: value.map(|value| std::str::from_utf8(value).unwrap_or_default().into()),
    };
    ListEntry {
        offset,
        change: read_record(&record),
        record,
    }
}

fn read_record(record: &ListRecord) -> Option<TargetChange> {
    read_target(&record.key, record.value.as_deref().map(str::as_bytes))
}
