//! Decides how a VM reads the platform's store: time-outs, retries, and what to read next of the list
//! of targets.
//!
//! All reads of all VMs share the bandwidth of the store. A read that is abandoned and started again
//! makes a slow store slower, so a whole read continues at the page that is missing, time-outs and
//! delays grow with each failure, and only one VM reads the changes of the list for all others.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// How long a VM waits for the feed before it claims the feed: an interval between two records and the
/// response time of a slow store. A target that drains must get no work two seconds later.
pub const FEED_WAIT: Duration = Duration::from_millis(800);

/// The longest random addition to [`FEED_WAIT`], so that not all VMs append a claim at once.
pub const FEED_SPREAD: Duration = Duration::from_millis(300);

/// The time between reads of the list by the VM that publishes the feed. Targets write every second or
/// two, so that a read that waits for a change would return at once nearly always.
pub const LISTING_INTERVAL: Duration = Duration::from_millis(500);

/// The response time of a small read of a store that is not busy: connecting, round trips between zones
/// and a VM that waits for its turn on a shared processor.
const CALM_RESPONSE: Duration = Duration::from_millis(50);

/// The upper bound of the delay before a whole read for each unit of time by which the first small read was
/// late. With less, a simulated fleet of 1,000 VMs that start at once did not settle on each store.
const START_FACTOR: u32 = 60;

/// The upper bound of that delay, for a first read that was late for another reason.
const MAX_START_DELAY: Duration = Duration::from_secs(20);

/// The limit of one read of changes: what the platform returns at most.
const MAX_READ_BYTES: u32 = 1 << 20;

/// The least limit of one read of changes. The limit is halved with each failure, so that a read makes
/// progress whatever share of the bandwidth it gets.
const MIN_READ_BYTES: u32 = 64 << 10;

/// The time without a byte of a large response after which the store is asked whether it answers at all. It
/// doubles with each lost response, in case the store prepares the response for longer.
const QUIET_LIMIT: Duration = Duration::from_millis(800);

/// The upper bound of that time.
const MAX_QUIET_LIMIT: Duration = Duration::from_millis(6400);

/// Failed claims in a row after which a VM reads the list for itself. One failure may be a lost
/// response; without a claim nobody publishes.
const CLAIM_FAILURES: u32 = 2;

/// Responses in a row that do not lead to a later page, after which a whole read ends without the other pages.
/// The first ones may be due to a store that is being replaced.
const STALLED_PAGES: u32 = 3;

/// The most pages of a whole read: more than a store of 400 MB has whose records are as short as possible.
const MAX_PAGES: u32 = 1 << 16;

/// The memory that the records of a whole read may take. A VM has some 256 MB; the entries of 30,000 targets take
/// half of this.
const MAX_WHOLE_BYTES: usize = 32 << 20;

/// Reads of changes after a whole read that has ended without all pages. Each target renews its entry in
/// this time, six seconds, and an entry that is not renewed is removed by the platform.
const RENEWAL_READS: u32 = 12;

/// Time-outs, delays and pacing of one series of reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadSettings {
    /// The time-out of a read while none has failed, in addition to the wait that the read asks for.
    pub first_timeout: Duration,
    /// The upper bound of the time-out, which doubles with each failure.
    pub max_timeout: Duration,
    /// The upper bound of the delay after the first failure.
    pub first_delay: Duration,
    /// The highest upper bound of the delay; the bound doubles with each failure.
    pub max_delay: Duration,
    /// The response time up to which the next page is requested at once. A page takes 70 ms on the
    /// slowest link of a VM.
    pub unpaced_response: Duration,
    /// The upper bound of the delay between two pages. It must exceed the time that one page of each VM
    /// takes, 6 s with 1,000 VMs at 40 MB/s.
    pub max_pacing: Duration,
}

impl Default for ReadSettings {
    /// Settings of small reads. A connection that has gone silent in an outage costs one time-out and
    /// one delay after the outage, which must stay near two seconds together.
    fn default() -> Self {
        Self {
            first_timeout: Duration::from_millis(800),
            max_timeout: Duration::from_millis(1600),
            first_delay: Duration::from_millis(300),
            max_delay: Duration::from_millis(600),
            unpaced_response: Duration::from_millis(100),
            max_pacing: Duration::from_secs(20),
        }
    }
}

impl ReadSettings {
    /// Settings of reads of the changes of the list. They start as small reads; after a pause of the
    /// feed there may be as much to read as in a whole read.
    pub fn changes() -> Self {
        Self {
            max_timeout: Duration::from_millis(6400),
            ..Self::default()
        }
    }

    /// Settings of whole reads. When all VMs start at once, a page waits for the pages of all others,
    /// and an abandoned page makes that wait longer.
    pub fn whole() -> Self {
        Self {
            first_timeout: Duration::from_millis(3200),
            max_timeout: Duration::from_millis(6400),
            max_delay: Duration::from_millis(2400),
            ..Self::default()
        }
    }
}

/// The time-out and the delays of one series of reads. The delays are random below an upper bound
/// (full jitter); the caller passes a number from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct ReadSchedule {
    settings: ReadSettings,
    failures: u32,
}

impl ReadSchedule {
    /// A schedule without failures.
    pub fn new(settings: ReadSettings) -> Self {
        Self {
            settings,
            failures: 0,
        }
    }

    /// The time-out of the next read, in addition to the wait that it asks for.
    pub fn timeout(&self) -> Duration {
        let timeout = self.settings.first_timeout;
        doubled(timeout, self.failures).min(self.settings.max_timeout)
    }

    /// The failures since the latest success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failed read. Returns the delay before it is repeated.
    pub fn record_failure(&mut self, random: f64) -> Duration {
        let bound = doubled(self.settings.first_delay, self.failures);
        self.failures = self.failures.saturating_add(1);
        bound.min(self.settings.max_delay).mul_f64(random)
    }

    /// Records a response. Returns the delay before the next page of the same series.
    ///
    /// A slow response means that other VMs wait for the store as well. The delay grows with the square
    /// of the response time, so that the reads in progress stay bounded whatever the number of VMs.
    pub fn record_response(&mut self, response_time: Duration, random: f64) -> Duration {
        self.failures = 0;
        let unpaced = self.settings.unpaced_response;
        if response_time <= unpaced {
            return Duration::ZERO;
        }
        let excess = response_time.saturating_sub(unpaced);
        let bound = excess.mul_f64(excess.as_secs_f64() / unpaced.as_secs_f64());
        bound.min(self.settings.max_pacing).mul_f64(random)
    }
}

fn doubled(base: Duration, doublings: u32) -> Duration {
    base.saturating_mul(1_u32.checked_shl(doublings).unwrap_or(u32::MAX))
}

/// A page of the newest records of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordPage<Record> {
    /// The records.
    pub records: Vec<Record>,
    /// The memory that the records take, in bytes.
    pub bytes: usize,
    /// The end of the topic when the page was read.
    pub end: LogOffset,
    /// The key after which the next page starts; `None` on the last page.
    pub next_after: Option<Box<str>>,
}

/// What a whole read has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeRead<Record> {
    /// The records.
    pub records: Vec<Record>,
    /// The offset at which reading continues.
    pub through: LogOffset,
    /// Whether all pages were read.
    pub complete: bool,
}

/// Collects the pages of a whole read. A failed page is requested again; earlier pages are kept.
#[derive(Clone, Debug)]
pub struct PageReader<Record> {
    records: Vec<Record>,
    through: Option<LogOffset>,
    after: Option<Box<str>>,
    pages: u32,
    bytes: usize,
    /// Responses in a row that did not lead to a later page.
    stalls: u32,
}

impl<Record> Default for PageReader<Record> {
    fn default() -> Self {
        Self {
            records: Vec::new(),
            through: None,
            after: None,
            pages: 0,
            bytes: 0,
            stalls: 0,
        }
    }
}

impl<Record> PageReader<Record> {
    /// The key after which the missing page starts; `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Adds the missing page. Returns what was read if it is the last page, if there are implausibly many, or
    /// if the records take too much memory; those of the page are then left out.
    pub fn add_page(&mut self, page: RecordPage<Record>) -> Option<WholeRead<Record>> {
        // Pages are not a snapshot: changes since the first page must be read again.
        self.through.get_or_insert(page.end);
        self.bytes = self.bytes.saturating_add(page.bytes);
        if self.bytes > MAX_WHOLE_BYTES {
            return Some(self.finish(false));
        }
        self.records.extend(page.records);
        self.after = page.next_after;
        self.pages += 1;
        self.stalls = 0;
        let complete = self.after.is_none();
        (complete || self.pages >= MAX_PAGES).then(|| self.finish(complete))
    }

    /// Records a response that does not lead to a later page, of a topic that ends at `end`. Returns what was
    /// read if there were so many in a row that the other pages cannot be expected.
    pub fn record_stall(&mut self, end: LogOffset) -> Option<WholeRead<Record>> {
        self.through.get_or_insert(end);
        self.stalls += 1;
        (self.stalls >= STALLED_PAGES).then(|| self.finish(false))
    }

    fn finish(&mut self, complete: bool) -> WholeRead<Record> {
        let reader = std::mem::take(self);
        WholeRead {
            records: reader.records,
            through: reader.through.unwrap_or_default(),
            complete,
        }
    }
}

/// A call to the store that keeps the list of targets up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    /// Look up the end of the feed, and start a whole read at its first page.
    FindFeed,
    /// Read the missing page of the whole list.
    ReadPage,
    /// Read the feed, and wait that long for a record.
    ReadFeed(Duration),
    /// Append a record to the feed that says that this VM is going to read the list.
    ClaimFeed,
    /// Read the list from where it is known, up to this offset if one is given.
    ReadChanges(Option<LogOffset>),
    /// Append the changes to the feed.
    PublishChanges,
    /// Drop the targets that have not been seen since a whole read ended without all pages. Not a call to the
    /// store.
    DropUnseen,
}

/// What a read of the feed has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedProgress {
    /// The list is known up to the end of the feed.
    Moved,
    /// There was no record.
    Still,
    /// Another VM is going to read the list.
    Claimed,
    /// The records start after the known part of the list. The list is missing up to this offset.
    Gap(LogOffset),
}

/// The result of a [`ListCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// The call got no usable response.
    Failed,
    /// The response was lost while the store answered a later call.
    Stalled,
    /// The end of the feed is known.
    FeedFound,
    /// A page was read; whether it was the last one.
    PageRead(bool),
    /// The feed was read.
    FeedRead(FeedProgress),
    /// Records of the feed have expired before they were read.
    FeedExpired,
    /// The feed had the expected end and this VM's record was appended, or another VM was faster.
    FeedAppended(bool),
    /// The list is known up to this offset; `more` if the response was full.
    ChangesRead {
        /// The offset.
        through: LogOffset,
        /// Whether there is more to read.
        more: bool,
    },
    /// Records of the list have expired before they were read.
    ChangesExpired,
    /// A page did not lead to a later one.
    PageStalled,
    /// The whole read has ended without all pages.
    PagesEnded,
    /// The targets that were not seen have been dropped.
    UnseenDropped,
}

/// The next call, its time-out without the wait for records, and the delay before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// The call.
    pub call: ListCall,
    /// The delay before the call.
    pub delay: Duration,
    /// The time-out of the call. With a `quiet_limit`, it holds only while bytes of the response arrive.
    pub timeout: Duration,
    /// For a call whose response may be large: the time without a byte after which a probe is sent.
    pub quiet_limit: Option<Duration>,
    /// The largest response to a read of the list that is likely to arrive in that time.
    pub max_bytes: u32,
}

/// Decides which call keeps the list of targets up to date.
#[derive(Clone, Debug)]
pub struct ListReads {
    call: ListCall,
    delay: Duration,
    publishing: bool,
    /// The latest read of the list has not reached its end.
    more_changes: bool,
    claim_failures: u32,
    /// Responses in a row that were lost while the store answered later calls.
    stalls: u32,
    /// Reads of changes that are left of those after a whole read that ended without all pages.
    renewal_reads: u32,
    whole: ReadSchedule,
    changes: ReadSchedule,
    small: ReadSchedule,
}

impl Default for ListReads {
    fn default() -> Self {
        Self {
            call: ListCall::FindFeed,
            delay: Duration::ZERO,
            publishing: false,
            more_changes: false,
            claim_failures: 0,
            stalls: 0,
            renewal_reads: 0,
            whole: ReadSchedule::new(ReadSettings::whole()),
            changes: ReadSchedule::new(ReadSettings::changes()),
            small: ReadSchedule::default(),
        }
    }
}

impl ListReads {
    /// Starts with a whole read. `response_time` is that of the first read of the configuration: a slow
    /// response to a small read means that many VMs start at once, and their first pages would keep the
    /// store busy for longer than the time-outs of other reads.
    pub fn new(response_time: Duration, random: f64) -> Self {
        let excess = response_time.saturating_sub(CALM_RESPONSE);
        let bound = excess.saturating_mul(START_FACTOR);
        Self {
            delay: bound.min(MAX_START_DELAY).mul_f64(random),
            ..Self::default()
        }
    }

    /// The next call.
    pub fn next_call(&self) -> PlannedCall {
        let schedule = match self.call {
            ListCall::FindFeed | ListCall::ReadPage => &self.whole,
            ListCall::ReadChanges(_) => &self.changes,
            _ => &self.small,
        };
        let is_large = matches!(
            self.call,
            ListCall::FindFeed | ListCall::ReadPage | ListCall::ReadChanges(_)
        );
        PlannedCall {
            call: self.call,
            delay: self.delay,
            timeout: schedule.timeout(),
            quiet_limit: is_large.then(|| doubled(QUIET_LIMIT, self.stalls).min(MAX_QUIET_LIMIT)),
            max_bytes: (MAX_READ_BYTES >> schedule.failures().min(u32::BITS - 1))
                .max(MIN_READ_BYTES),
        }
    }

    /// Records the result of the call. `response_time` is the time that it took; `random` is a number
    /// from 0 to 1.
    pub fn record_outcome(&mut self, outcome: ListOutcome, response_time: Duration, random: f64) {
        self.delay = Duration::ZERO;
        let usual_wait = FEED_WAIT + FEED_SPREAD.mul_f64(random);
        self.stalls = match outcome {
            ListOutcome::Stalled => self.stalls.saturating_add(1),
            ListOutcome::Failed => self.stalls,
            _ => 0,
        };
        self.call = match outcome {
            ListOutcome::Failed => self.record_failure(random),
            ListOutcome::Stalled => self.call,
            ListOutcome::FeedFound => ListCall::ReadPage,
            ListOutcome::PageRead(last) => {
                let delay = self.whole.record_response(response_time, random);
                if last {
                    ListCall::ReadFeed(usual_wait)
                } else {
                    self.delay = delay;
                    ListCall::ReadPage
                }
            }
            ListOutcome::PageStalled => self.record_failure(random),
            ListOutcome::PagesEnded => {
                self.whole.record_response(Duration::ZERO, random);
                self.renewal_reads = RENEWAL_READS;
                ListCall::ReadChanges(None)
            }
            ListOutcome::UnseenDropped => ListCall::ReadFeed(usual_wait),
            ListOutcome::FeedRead(progress) => {
                self.small.record_response(response_time, random);
                match progress {
                    FeedProgress::Moved => {
                        self.claim_failures = 0;
                        ListCall::ReadFeed(usual_wait)
                    }
                    FeedProgress::Claimed => ListCall::ReadFeed(usual_wait),
                    FeedProgress::Gap(through) => ListCall::ReadChanges(Some(through)),
                    FeedProgress::Still if self.claim_failures >= CLAIM_FAILURES => {
                        ListCall::ReadChanges(None)
                    }
                    FeedProgress::Still => ListCall::ClaimFeed,
                }
            }
            ListOutcome::FeedExpired => {
                // Nothing but the store's next response ends these reads.
                self.delay = self.small.record_failure(random);
                ListCall::ReadFeed(usual_wait)
            }
            ListOutcome::FeedAppended(appended) => {
                self.claim_failures = 0;
                match (appended, self.call) {
                    (true, ListCall::ClaimFeed) => {
                        self.publishing = true;
                        ListCall::ReadChanges(None)
                    }
                    (true, _) => {
                        if !self.more_changes {
                            self.delay = LISTING_INTERVAL;
                        }
                        ListCall::ReadChanges(None)
                    }
                    (false, _) => {
                        self.publishing = false;
                        ListCall::ReadFeed(usual_wait)
                    }
                }
            }
            ListOutcome::ChangesRead { through, more } => {
                self.changes.record_response(response_time, random);
                self.more_changes = more;
                match self.call {
                    ListCall::ReadChanges(Some(until)) if through < until && more => self.call,
                    // The feed has no renewals that change nothing, so the list itself is read.
                    _ if self.renewal_reads > 0 => {
                        if !more {
                            self.renewal_reads -= 1;
                            self.delay = LISTING_INTERVAL;
                        }
                        match self.renewal_reads {
                            0 => ListCall::DropUnseen,
                            _ => ListCall::ReadChanges(None),
                        }
                    }
                    _ if self.publishing => ListCall::PublishChanges,
                    _ => {
                        // Without this, a VM whose claims failed for a while would never claim again.
                        self.claim_failures = self.claim_failures.min(CLAIM_FAILURES - 1);
                        ListCall::ReadFeed(usual_wait)
                    }
                }
            }
            ListOutcome::ChangesExpired => {
                self.publishing = false;
                self.renewal_reads = 0;
                self.delay = self.changes.record_failure(random);
                ListCall::FindFeed
            }
        };
    }

    fn record_failure(&mut self, random: f64) -> ListCall {
        let schedule = match self.call {
            ListCall::FindFeed | ListCall::ReadPage => &mut self.whole,
            ListCall::ReadChanges(_) => &mut self.changes,
            _ => &mut self.small,
        };
        self.delay = schedule.record_failure(random);
        match self.call {
            // It is not known how long the feed has been still, so the next read must not wait.
            ListCall::ReadFeed(_) => ListCall::ReadFeed(Duration::ZERO),
            ListCall::ClaimFeed => {
                self.claim_failures = self.claim_failures.saturating_add(1);
                ListCall::ReadFeed(Duration::ZERO)
            }
            // The record may have been appended nevertheless; the feed shows it.
            ListCall::PublishChanges => {
                self.publishing = false;
                ListCall::ReadFeed(Duration::ZERO)
            }
            call => call,
        }
    }
}
