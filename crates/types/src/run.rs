//! Identifiers and end states of task runs on targets that run tasks under leases.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::ids::RunNumber;
use crate::text::ParseError;

/// A job identifier chosen by the client: 16 lower-case hexadecimal digits in text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("job id", text, "it is not 16 lower-case hex digits");
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(digit) {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A task of a job; `JOB.OCCURRENCE.STEP.INDEX` in text.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Which repetition of the job, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The task within the step, counted from 0.
    pub index: u16,
}

impl FromStr for TaskName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("task name", text, "expected JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or_else(error);
        let name = Self {
            job: part()?.parse()?,
            occurrence: part()?.parse().map_err(|_| error())?,
            step: part()?.parse().map_err(|_| error())?,
            index: part()?.parse().map_err(|_| error())?,
        };
        match parts.next() {
            None => Ok(name),
            Some(_) => Err(error()),
        }
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunName {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: RunNumber,
}

impl fmt::Display for RunName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The task or the target failed.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// Another member of the gang ended.
    #[serde(rename = "broken")]
    GangBroken,
    /// The other members of the gang were not started in time.
    #[serde(rename = "alone")]
    GangIncomplete,
}

impl fmt::Display for RunEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        })
    }
}
