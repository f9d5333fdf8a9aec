//! The ticket stream as the command line reads it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::eyre;
use filbertpitch_config::fold::ConfigState;
use filbertpitch_config::follower::{FollowerSettings, LogFollower, ReadStep};
use filbertpitch_config::read::LogRead;
use filbertpitch_types::platform::{LogRecord, TICKET_STREAM};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::{ConnectionPool, PoolLimits};

use super::super::{CommandError, ExitStatus};
use crate::log_client::{ReadOutcome, read_stream};
use crate::serve::ControlTraffic;

/// How long a command waits for the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest wait of one read.
const READ_WAIT: Duration = Duration::from_millis(500);
/// The most records per read when all records are wanted.
const SCAN_LIMIT: u32 = 256;

/// Folds the ticket stream like an entry VM does.
pub struct TicketReader {
    pool: ConnectionPool,
    traffic: ControlTraffic,
    follower: LogFollower,
    started: Instant,
    answered: bool,
}

impl TicketReader {
    /// A reader of the log at `log`.
    pub fn new(log: SocketAddr) -> Self {
        let settings = FollowerSettings {
            wait: READ_WAIT,
            ..FollowerSettings::default()
        };
        Self {
            pool: ConnectionPool::new(log, PoolLimits::default()),
            traffic: ControlTraffic::default(),
            follower: LogFollower::new(settings),
            started: Instant::now(),
            answered: false,
        }
    }

    /// The connections to the log.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// The bytes exchanged with the log.
    pub fn traffic(&self) -> &ControlTraffic {
        &self.traffic
    }

    /// The folded state.
    pub fn state(&self) -> &ConfigState {
        self.follower.state()
    }

    /// The time since the reader was created.
    pub fn now(&self) -> TimePoint {
        let micros = self.started.elapsed().as_micros();
        TimePoint(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Reads to the end of the stream.
    ///
    /// # Errors
    /// When the log does not answer in time, or does not keep enough to compute the state.
    pub async fn catch_up(&mut self) -> Result<(), CommandError> {
        self.read_until(|follower| follower.has_state()).await
    }

    /// Reads until the state includes the record at `offset`.
    ///
    /// # Errors
    /// When the log does not answer in time.
    pub async fn pass(&mut self, offset: LogOffset) -> Result<(), CommandError> {
        self.read_until(|follower| follower.next_offset() > offset)
            .await
    }

    async fn read_until<F>(&mut self, reached: F) -> Result<(), CommandError>
    where
        F: Fn(&LogFollower) -> bool,
    {
        let end = self.now() + LOG_TIMEOUT;
        while !reached(&self.follower) {
            if self.now() >= end {
                return Err(self.not_reached());
            }
            self.step().await;
        }
        Ok(())
    }

    /// Why the state could not be computed in time.
    fn not_reached(&self) -> CommandError {
        let log = self.pool.address();
        if !self.answered || self.follower.has_state() {
            return log_unreachable(log);
        }
        CommandError::failed(eyre!(
            "the log at {log} keeps neither the whole history of tickets nor a usable snapshot"
        ))
    }

    async fn step(&mut self) {
        let read = match self.follower.next_read(self.now()) {
            ReadStep::Read(read) => read,
            ReadStep::InFlight => unreachable!("reads are made one after the other"),
            ReadStep::NotBefore(time) => {
                let pause = time.since(self.now());
                monoio::time::sleep(pause.max(Duration::from_millis(1))).await;
                return;
            }
        };
        let outcome = read_stream(&self.traffic, &self.pool, TICKET_STREAM, &read).await;
        let now = self.now();
        self.answered |= !matches!(outcome, ReadOutcome::Outage);
        match outcome {
            ReadOutcome::Read(answer) => self.follower.on_read(now, &answer),
            ReadOutcome::Expired(answer) => self.follower.on_expired(now, &answer),
            ReadOutcome::Outage => self.follower.on_read_failed(now),
        }
    }

    /// All records that the log keeps.
    ///
    /// # Errors
    /// When the log does not answer.
    pub async fn records(&self) -> Result<Vec<LogRecord>, CommandError> {
        let mut records = Vec::new();
        let mut from = LogOffset(0);
        loop {
            let read = LogRead {
                from,
                limit: SCAN_LIMIT,
                wait: Duration::ZERO,
            };
            match read_stream(&self.traffic, &self.pool, TICKET_STREAM, &read).await {
                ReadOutcome::Read(answer) if answer.records.is_empty() => return Ok(records),
                ReadOutcome::Read(answer) => {
                    records.extend(answer.records);
                    from = records.last().map_or(from, |record| record.offset.next());
                }
                ReadOutcome::Expired(answer) => from = answer.first,
                ReadOutcome::Outage => return Err(log_unreachable(self.pool.address())),
            }
        }
    }
}

fn log_unreachable(log: SocketAddr) -> CommandError {
    let report = eyre!("nothing at {log} answers as the log does");
    CommandError::new(ExitStatus::Unreachable, report)
}
