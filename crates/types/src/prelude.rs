//! The types that nearly every module needs.

pub use crate::ids::{
    AttemptId, AttemptNumber, EpochNumber, IncarnationId, JobNumber, KindName, LogOffset,
    OwnerPrefix, ServiceName, SubmissionId, TargetName, TaskIndex, TeamName, TicketNonce,
    TicketNumber, ZoneName,
};
pub use crate::outcome::{FailureReason, JobOutcome, NotRunReason, TaskOutcome, UnknownReason};
pub use crate::time::{TimePoint, WallTime};
pub use crate::units::{ByteSize, TaskRate, TeamWeight};
