//! A model of the platform's log, and random ticket histories over a small set of objects, so that
//! numbers, nonces, references and addresses often collide.

#![allow(dead_code, reason = "each test binary uses another part")]

use std::time::Duration;

use filbertpitch_config::fold::ConfigState;
use filbertpitch_config::follower::{FollowerSettings, LogFollower, ReadStep};
use filbertpitch_config::object::{ObjectChange, ObjectName};
use filbertpitch_config::read::LogRead;
use filbertpitch_config::record::{RecordBody, snapshot_body, ticket_body};
use filbertpitch_config::snapshot::{SnapshotRecord, StateDigest};
use filbertpitch_config::spec::{KindSpec, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_types::platform::{LogRecord, ReadAnswer};
use filbertpitch_types::prelude::*;
use proptest::collection::{btree_map, btree_set, vec};
use proptest::option;
use proptest::prelude::*;

/// The log: offsets from 0, one record per millisecond, an expired prefix.
#[derive(Clone, Default)]
pub struct ModelLog {
    pub records: Vec<LogRecord>,
    pub first: usize,
    pub now: WallTime,
    pub retention: Duration,
}

impl ModelLog {
    pub fn append(&mut self, body: &str) -> LogOffset {
        let offset = LogOffset(self.records.len() as u64);
        self.now = self.now + Duration::from_millis(1);
        let appended_at = self.now;
        let body = body.into();
        self.records.push(LogRecord {
            offset,
            appended_at,
            body,
        });
        offset
    }

    /// Returns the answer, or the answer of status 410 as an error.
    pub fn read(&self, read: LogRead) -> Result<ReadAnswer, ReadAnswer> {
        let from = usize::try_from(read.from.0).unwrap();
        let records = self.records.iter().skip(from).take(read.limit as usize);
        let mut answer = ReadAnswer {
            first: LogOffset(self.first as u64),
            next: LogOffset(self.records.len() as u64),
            now: self.now,
            retention_ms: self.retention.as_millis() as u64,
            records: records.cloned().collect(),
        };
        if from >= self.first {
            return Ok(answer);
        }
        answer.records.clear();
        Err(answer)
    }

    /// Folds every record, expired or not.
    pub fn full_fold(&self) -> ConfigState {
        fold(&self.records)
    }
}

pub fn fold(records: &[LogRecord]) -> ConfigState {
    let mut state = ConfigState::default();
    for record in records {
        state.apply(record);
    }
    state
}

pub fn state_text(state: &ConfigState) -> String {
    serde_json::to_string(state).unwrap()
}

pub fn small_reads(limit: u32) -> FollowerSettings {
    FollowerSettings {
        read_limit: limit,
        ..FollowerSettings::default()
    }
}

/// Performs one read of the follower, waiting as long as it asks.
pub fn read_once(follower: &mut LogFollower, log: &ModelLog, now: &mut TimePoint) {
    let read = loop {
        match follower.next_read(*now) {
            ReadStep::Read(read) => break read,
            ReadStep::NotBefore(due) => *now = due,
            ReadStep::InFlight => panic!("the last read was answered"),
        }
    };
    match log.read(read) {
        Ok(answer) => follower.on_read(*now, &answer),
        Err(answer) => follower.on_expired(*now, &answer),
    }
}

/// Lets the follower read often enough to read the whole log several times.
pub fn catch_up(follower: &mut LogFollower, log: &ModelLog, now: &mut TimePoint) {
    for _ in 0..4 * log.records.len() + 8 {
        read_once(follower, log, now);
    }
}

pub fn name<T>(prefix: &str, index: u32) -> T
where
    T: std::str::FromStr<Err = filbertpitch_types::text::ParseError>,
{
    format!("{prefix}{index}").parse().unwrap()
}

/// Every object that a random history can touch.
pub fn all_objects() -> Vec<ObjectName> {
    let services = (0..3).map(|index| ObjectName::Service(name("s", index)));
    let targets = (0..4).map(|index| ObjectName::Target(name("t", index)));
    let teams = (0..2).map(|index| ObjectName::Team(name("m", index)));
    services
        .chain(targets)
        .chain(teams)
        .chain([ObjectName::Limits])
        .collect()
}

fn any_service() -> impl Strategy<Value = ServiceSpec> {
    let kinds = btree_map((0..2u32).prop_map(|index| name("k", index)), 0..3u64, 0..3);
    let kinds = kinds.prop_map(|kinds| {
        let kind = |millis| KindSpec {
            typical: Duration::from_millis(millis + 1),
        };
        kinds
            .into_iter()
            .map(|(name, millis)| (name, kind(millis)))
            .collect()
    });
    kinds.prop_map(|kinds| ServiceSpec {
        kinds,
        max_attempts: 3,
        retry_percent: 10,
    })
}

fn any_target() -> impl Strategy<Value = TargetSpec> {
    let kinds = btree_set((0..2u32).prop_map(|index| name("k", index)), 1..3);
    let takes = btree_map((0..3u32).prop_map(|index| name("s", index)), kinds, 1..3);
    (1..5u16, takes).prop_map(|(port, takes)| TargetSpec {
        zone: name("z", 0),
        address: ([10, 0, 0, 1], port).into(),
        slots: 8,
        connections: 64,
        takes,
    })
}

fn any_change() -> impl Strategy<Value = ObjectChange> {
    let state = 0.7;
    prop_oneof![
        4 => (0..3u32, option::weighted(state, any_service()))
            .prop_map(|(index, spec)| ObjectChange::Service(name("s", index), spec)),
        4 => (0..4u32, option::weighted(state, any_target()))
            .prop_map(|(index, spec)| ObjectChange::Target(name("t", index), spec)),
        1 => (0..2u32, option::weighted(state, Just(TeamSpec::default())))
            .prop_map(|(index, spec)| ObjectChange::Team(name("m", index), spec)),
        1 => Just(ObjectChange::Limits(None)),
    ]
}

/// A ticket with a number near `base`; tickets of one history sometimes share nonces.
pub fn any_ticket(base: u64) -> impl Strategy<Value = ChangeTicket> {
    (base..base + 8, 0..400u32, vec(any_change(), 1..4)).prop_map(|(number, nonce, objects)| {
        ChangeTicket {
            number: TicketNumber(number),
            nonce: name("n", nonce),
            author: "operator".into(),
            objects,
        }
    })
}

/// One step of a history, before offsets are known.
#[derive(Clone, Debug)]
pub enum HistoryStep {
    Ticket(ChangeTicket),
    Repeated(prop::sample::Index),
    Malformed(String),
    /// A snapshot of the state this many records earlier.
    Snapshot(usize),
    /// A snapshot of an empty configuration with a wrong digest.
    DamagedSnapshot,
}

pub fn any_history(length: usize) -> impl Strategy<Value = Vec<HistoryStep>> {
    let step = |position: u64| {
        prop_oneof![
            12 => any_ticket(1 + position / 2).prop_map(HistoryStep::Ticket),
            2 => any::<prop::sample::Index>().prop_map(HistoryStep::Repeated),
            1 => ".{0,20}".prop_map(HistoryStep::Malformed),
            2 => (0..4usize).prop_map(HistoryStep::Snapshot),
            1 => Just(HistoryStep::DamagedSnapshot),
        ]
    };
    let steps = (0..length as u64).map(step).collect::<Vec<_>>();
    (0..=length, steps).prop_map(|(length, mut steps)| {
        steps.truncate(length);
        steps
    })
}

pub fn build_log(steps: &[HistoryStep]) -> ModelLog {
    let mut log = ModelLog::default();
    for step in steps {
        let body = match step {
            HistoryStep::Ticket(ticket) => ticket_body(ticket),
            HistoryStep::Repeated(_) if log.records.is_empty() => continue,
            HistoryStep::Repeated(index) => index.get(&log.records).body.clone(),
            HistoryStep::Malformed(text) => text.as_str().into(),
            HistoryStep::Snapshot(lag) => {
                let taken = log.records.len().saturating_sub(*lag);
                snapshot_body(&SnapshotRecord::take(&fold(&log.records[..taken]), log.now))
            }
            HistoryStep::DamagedSnapshot => {
                let mut empty = ConfigState::default();
                for _ in &log.records {
                    empty.apply_body(RecordBody::Malformed("".into()));
                }
                let mut snapshot = SnapshotRecord::take(&empty, log.now);
                snapshot.digest = StateDigest::of(&ConfigState::default());
                snapshot_body(&snapshot)
            }
        };
        log.append(&body);
    }
    log
}
