//! Orders to targets that run tasks under leases, and their answers.
//!
//! A target keeps running what it was given until the lease ends, which is one moment for all of
//! its runs. Each order carries the holder's fencing token.

use std::rc::Rc;
use std::time::Duration;

use crate::prelude::*;

/// How a call to a target is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// The time for the answer.
    pub timeout: Duration,
    /// Whether established connections may be at fault.
    pub fresh_connection: bool,
}

/// Tells a target to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRequest {
    /// The run.
    pub run: RunName,
    /// The job's payload.
    pub payload: Rc<str>,
    /// When the order becomes void, and the least end of the lease, on the target's clock.
    pub lease_end: TargetTime,
    /// The holder's token.
    pub token: FencingToken,
}

/// Why a target did not start a run. It has done nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// Another holder has a higher token.
    Fenced,
    /// The run number is not higher than one that was stopped or has ended.
    OldRun,
    /// The order was void when it arrived.
    Late,
    /// There is not enough room.
    NoCapacity,
    /// The target is not allowed to run the step.
    NotAllowed,
    /// Another life of the target, or another target, has answered.
    OtherInstance,
    /// The target is unhealthy.
    Unhealthy,
    /// The target does not understand the order.
    Invalid,
}

impl StartRefusal {
    /// The reason as a word for logs.
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

/// What became of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Accepted(Option<TargetTime>),
    /// The run was not started.
    Refused(StartRefusal, Option<TargetTime>),
    /// The order was certainly not received.
    NotSent,
    /// There was no answer in time; the order may be carried out until it becomes void.
    TimedOut,
    /// The connection has failed, or the answer does not tell; the order may be carried out until it
    /// becomes void.
    ConnectionLost,
}

/// Tells a target to stop a run, also one that has not arrived yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// The run.
    pub run: RunName,
    /// The holder's token.
    pub token: FencingToken,
}

/// What became of a stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The run ends soon, or will never start.
    Accepted,
    /// Another holder has a higher token.
    Fenced,
    /// Another life of the target has answered; it does not run what the former one ran.
    OtherInstance,
    /// There was no answer in time.
    TimedOut,
    /// The connection has failed, or the answer does not tell.
    ConnectionLost,
}

/// Asks a target for its runs, and may extend the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The holder's token.
    pub token: FencingToken,
    /// Ends up to this number need not be reported again.
    pub acked_through: u64,
    /// The new end of the lease, on the target's clock; unchanged if absent.
    pub lease_end: Option<TargetTime>,
    /// How long the target may wait for an end before it answers.
    pub wait: Duration,
}

/// A run that a target reports as running.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningEntry {
    /// The run.
    pub run: RunName,
    /// The processor time in use, as the target estimates it.
    pub load: Option<f64>,
}

/// A run that a target reports as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedEntry {
    /// Numbers the ends of one life of the target from 1.
    pub number: u64,
    /// The run.
    pub run: RunName,
    /// How it ended.
    pub end: RunEnd,
}

/// A target's runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReport {
    /// The time on the target's clock.
    pub time: Option<TargetTime>,
    /// Which life of the target this is.
    pub boot: Option<TargetBoot>,
    /// What runs.
    pub running: Vec<RunningEntry>,
    /// What has ended since the last acknowledged end, in ascending order of the numbers.
    pub ended: Vec<EndedEntry>,
}

/// What became of a look.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// The target has reported.
    Report(PollReport),
    /// Another holder has a higher token.
    Fenced,
    /// Another life of the target, or another target, has answered.
    OtherInstance,
    /// There was no answer in time.
    TimedOut,
    /// The connection has failed, or the answer tells nothing.
    ConnectionLost,
}
