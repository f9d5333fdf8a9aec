//! Requests to targets that run tasks under leases, and their results.
//!
//! A target has one lease for all of its runs and stops them when the lease ends. Each request
//! carries the holder's fencing token.

use std::rc::Rc;
use std::time::Duration;

use crate::prelude::*;

/// Options of one call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// How long to wait for the response.
    pub timeout: Duration,
    /// Whether to open a new connection because the established ones may be broken.
    pub fresh_connection: bool,
}

/// Tells a target to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRequest {
    /// The name of the run.
    pub run: RunName,
    /// The job's payload.
    pub payload: Rc<str>,
    /// The time on the target's clock at which the request expires. If the run starts, the lease
    /// lasts at least until then.
    pub lease_end: TargetTime,
    /// The fencing token of the holder.
    pub token: FencingToken,
}

/// Why a target did not start a run. The request had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// Another holder has a higher token.
    Fenced,
    /// The run number is not higher than that of a run that was stopped or has ended.
    OldRun,
    /// The request had expired when it arrived.
    Late,
    /// The target has not enough free capacity.
    NoCapacity,
    /// The target is not allowed to run the step.
    NotAllowed,
    /// Another instance of the target, or another target, has responded.
    OtherInstance,
    /// The target is unhealthy.
    Unhealthy,
    /// The target cannot interpret the request.
    Invalid,
}

impl StartRefusal {
    /// The name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old_run",
            Self::Late => "late",
            Self::NoCapacity => "no_room",
            Self::NotAllowed => "not_allowed",
            Self::OtherInstance => "other_life",
            Self::Unhealthy => "unhealthy",
            Self::Invalid => "invalid",
        }
    }
}

/// The result of a run request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The target has the run. Contains the time on the target's clock if the response states it.
    Accepted(Option<TargetTime>),
    /// The run was not started. Contains the time on the target's clock if the response states it.
    Refused(StartRefusal, Option<TargetTime>),
    /// The request was certainly not received.
    NotSent,
    /// No response arrived in time; the run may still start until the request expires.
    TimedOut,
    /// The connection failed, or the response was inconclusive; the run may still start until the
    /// request expires.
    ConnectionLost,
}

/// Tells a target to stop a run, including one whose run request has not arrived yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// The name of the run.
    pub run: RunName,
    /// The fencing token of the holder.
    pub token: FencingToken,
}

/// The result of a stop request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The target stops the run, or will never start it.
    Accepted,
    /// Another holder has a higher token.
    Fenced,
    /// Another instance of the target has responded; the runs of the previous instance are gone.
    OtherInstance,
    /// No response arrived in time.
    TimedOut,
    /// The connection failed, or the response was inconclusive.
    ConnectionLost,
}

/// Asks a target for the state of its runs, and may renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The fencing token of the holder.
    pub token: FencingToken,
    /// Acknowledges all ended runs up to this number, so they need not be reported again.
    pub acked_through: u64,
    /// The new end of the lease on the target's clock; the lease is not renewed if absent.
    pub lease_end: Option<TargetTime>,
    /// How long the target may wait for a run to end before it responds.
    pub wait: Duration,
}

/// A run that a target reports as running.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningEntry {
    /// The name of the run.
    pub run: RunName,
    /// The processor time in use, as estimated by the target.
    pub load: Option<f64>,
}

/// A run that a target reports as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedEntry {
    /// The number of the entry among the ended runs of this instance of the target, from 1.
    pub number: u64,
    /// The name of the run.
    pub run: RunName,
    /// How the run ended.
    pub end: RunEnd,
}

/// The running and recently ended runs of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReport {
    /// The time on the target's clock.
    pub time: Option<TargetTime>,
    /// Identifies the instance of the target.
    pub boot: Option<TargetBoot>,
    /// The active runs.
    pub running: Vec<RunningEntry>,
    /// The runs that ended after the last acknowledged one, in ascending order of the numbers.
    pub ended: Vec<EndedEntry>,
}

/// The result of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// The target sent a report.
    Report(PollReport),
    /// Another holder has a higher token.
    Fenced,
    /// Another instance of the target, or another target, has responded.
    OtherInstance,
    /// No response arrived in time.
    TimedOut,
    /// Nothing listens at the address of the target.
    ConnectionRefused,
    /// The connection failed, or the response was inconclusive.
    ConnectionLost,
}
