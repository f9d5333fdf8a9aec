//! Re-exports of the types that nearly every module uses.

pub use crate::ids::{
    AttemptId, AttemptNumber, ConfigVersion, EnvelopeNumber, EpochNumber, FencingToken,
    IncarnationId, JobNumber, KindName, LogOffset, LossCount, OwnerPrefix, QueueName, RunNumber,
    ServiceName, SubmissionId, TargetBoot, TargetName, TargetTime, TaskIndex, TeamName,
    TicketNonce, TicketNumber, VmName, ZoneName,
};
pub use crate::outcome::{FailureReason, JobOutcome, NotRunReason, TaskOutcome, UnknownReason};
pub use crate::resources::{GpuCount, MemoryMib, MilliCores, ResourceVector};
pub use crate::run::{JobId, RunEnd, RunName, TaskName};
pub use crate::time::{TimePoint, WallTime};
pub use crate::units::{ByteSize, TaskRate, TeamWeight};
