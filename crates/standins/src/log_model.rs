//! The platform's append-only log service.
//!
//! Appends are serialized at a limited rate and answered after the latency of a synced write. A
//! record can take effect although its answer is lost, which callers must expect.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use filbertpitch_types::platform::{LogRecord, ReadAnswer};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The most records that one read returns.
pub const READ_LIMIT: usize = 1_000;

/// How the log behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// The most appends per second over all streams.
    pub append_rate: u32,
    /// The time from a synced append's turn to its answer.
    pub append_latency: Duration,
    /// Appends that would wait longer than this for their turn are refused.
    pub append_backlog: Duration,
    /// How long a read takes.
    pub read_latency: Duration,
    /// How long records are kept.
    pub retention: Duration,
    /// The probability that the answer to an append that took effect is lost, 0 to 1.
    pub lost_answer_probability: f64,
    /// The latency of reads and appends in slow mode.
    pub slow_latency: Duration,
    /// The seed of lost answers.
    pub seed: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            append_rate: 300,
            append_latency: Duration::from_millis(5),
            append_backlog: Duration::from_secs(1),
            read_latency: Duration::from_micros(500),
            retention: Duration::from_secs(24 * 3600),
            lost_answer_probability: 0.0,
            slow_latency: Duration::from_secs(2),
            seed: 1,
        }
    }
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record takes effect, and the answer is sent, at `at`.
    Stored {
        /// Where the record is.
        offset: LogOffset,
        /// When the answer is sent.
        at: TimePoint,
    },
    /// The record takes effect at `at` and the connection then fails without an answer.
    AnswerLost {
        /// Where the record is, for checks by tests only.
        offset: LogOffset,
        /// When the connection fails.
        at: TimePoint,
    },
    /// The append rate is exceeded; nothing was stored.
    Throttled,
    /// The log is unavailable; nothing was stored.
    Unavailable,
}

/// The result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The records.
    Records(ReadAnswer),
    /// The requested offset is no longer kept; the answer contains no records.
    Gone(ReadAnswer),
    /// The log is unavailable.
    Unavailable,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    visible_at: TimePoint,
    record: LogRecord,
}

#[derive(Clone, Debug, Default)]
struct RecordStream {
    first: u64,
    records: VecDeque<StoredRecord>,
}

impl RecordStream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, visible_at: TimePoint, appended_at: WallTime, body: Box<str>) -> LogOffset {
        let offset = LogOffset(self.next());
        let record = LogRecord {
            offset,
            appended_at,
            body,
        };
        self.records.push_back(StoredRecord { visible_at, record });
        offset
    }

    fn drop_expired(&mut self, clock: ClockReading, retention: Duration) {
        let expired = |stored: &StoredRecord| {
            stored.visible_at <= clock.time && stored.record.appended_at + retention <= clock.wall
        };
        while self.records.front().is_some_and(expired) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// The records visible at `now`; records become visible in order.
    fn visible(&self, now: TimePoint) -> usize {
        self.records
            .partition_point(|stored| stored.visible_at <= now)
    }
}

/// The log service.
#[derive(Clone, Debug)]
pub struct LogModel {
    settings: LogSettings,
    streams: BTreeMap<Box<str>, RecordStream>,
    next_turn: TimePoint,
    last_visible: TimePoint,
    outage: bool,
    slow: bool,
    answers_to_lose: u32,
    rng: ChaCha8Rng,
}

impl LogModel {
    /// An empty log.
    ///
    /// # Panics
    /// When the append rate is zero.
    pub fn new(settings: LogSettings) -> Self {
        assert!(settings.append_rate > 0, "the append rate must not be zero");
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            settings,
            streams: BTreeMap::new(),
            next_turn: TimePoint::default(),
            last_visible: TimePoint::default(),
            outage: false,
            slow: false,
            answers_to_lose: 0,
            rng,
        }
    }

    /// Starts or ends an outage. Appends accepted before it keep their effect.
    pub fn set_outage(&mut self, outage: bool) {
        self.outage = outage;
    }

    /// Turns slow mode on or off.
    pub fn set_slow(&mut self, slow: bool) {
        self.slow = slow;
    }

    /// Loses the answers of the next `count` appends.
    pub fn lose_answers(&mut self, count: u32) {
        self.answers_to_lose = count;
    }

    /// Sets the probability that an answer is lost, 0 to 1.
    pub fn set_lost_answer_probability(&mut self, probability: f64) {
        self.settings.lost_answer_probability = probability.clamp(0.0, 1.0);
    }

    /// Sets how long records are kept.
    pub fn set_retention(&mut self, retention: Duration) {
        self.settings.retention = retention;
    }

    /// How long a read takes at present.
    pub fn read_latency(&self) -> Duration {
        match self.slow {
            true => self.settings.slow_latency,
            false => self.settings.read_latency,
        }
    }

    /// Appends a record.
    pub fn append(&mut self, clock: ClockReading, stream: &str, body: Box<str>) -> AppendResult {
        if self.outage {
            return AppendResult::Unavailable;
        }
        let turn = self.next_turn.max(clock.time);
        let wait = turn.since(clock.time);
        if wait > self.settings.append_backlog {
            return AppendResult::Throttled;
        }
        self.next_turn = turn + Duration::from_secs(1) / self.settings.append_rate;
        // A change of latency must not make a later record visible before an earlier one.
        let at = (turn + self.append_latency()).max(self.last_visible);
        self.last_visible = at;
        let appended_at = clock.wall + at.since(clock.time);
        let records = self.streams.entry(stream.into()).or_default();
        let offset = records.push(at, appended_at, body);
        match self.loses_answer() {
            true => AppendResult::AnswerLost { offset, at },
            false => AppendResult::Stored { offset, at },
        }
    }

    fn append_latency(&self) -> Duration {
        match self.slow {
            true => self.settings.slow_latency,
            false => self.settings.append_latency,
        }
    }

    fn loses_answer(&mut self) -> bool {
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return true;
        }
        self.rng.random_bool(self.settings.lost_answer_probability)
    }

    /// Reads up to `limit` records from offset `from` on.
    pub fn read(
        &mut self,
        clock: ClockReading,
        stream: &str,
        from: LogOffset,
        limit: usize,
    ) -> ReadResult {
        if self.outage {
            return ReadResult::Unavailable;
        }
        let retention = self.settings.retention;
        let empty = RecordStream::default();
        let records = match self.streams.get_mut(stream) {
            Some(records) => {
                records.drop_expired(clock, retention);
                records
            }
            None => &empty,
        };
        let visible = records.visible(clock.time);
        let mut answer = ReadAnswer {
            first: LogOffset(records.first),
            next: LogOffset(records.first + visible as u64),
            now: clock.wall,
            retention_ms: u64::try_from(retention.as_millis()).unwrap_or(u64::MAX),
            records: Vec::new(),
        };
        if from < answer.first {
            return ReadResult::Gone(answer);
        }
        let skipped = usize::try_from(from.0 - records.first).unwrap_or(usize::MAX);
        let wanted = records.records.iter().take(visible).skip(skipped);
        let wanted = wanted.take(limit.min(READ_LIMIT));
        answer.records = wanted.map(|stored| stored.record.clone()).collect();
        ReadResult::Records(answer)
    }

    /// When a reader waiting for records at or after `from` should read again: the time at which
    /// the next such record becomes visible, or `None` if none was appended yet.
    pub fn next_visible(&self, stream: &str, from: LogOffset) -> Option<TimePoint> {
        let records = self.streams.get(stream)?;
        let position = usize::try_from(from.0.saturating_sub(records.first)).ok()?;
        records
            .records
            .get(position)
            .map(|stored| stored.visible_at)
    }
}
