//! What is wrong with a fleet configuration.

use std::fmt;

use filbertpitch_platform::configuration::{FieldMessage, field_path};
use filbertpitch_types::configuration::ConfigurationField;
use serde::Serialize;

/// Whether VMs apply a configuration in spite of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingSeverity {
    /// VMs ignore the configuration, or the comparison is not with the expected version.
    Error,
    /// VMs apply the configuration, and a part of it does not work as it is written.
    Warning,
}

impl fmt::Display for FindingSeverity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// The kinds of findings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The field cannot be decoded.
    Invalid,
    /// The version is not higher than the one in force.
    VersionNotNewer,
    /// The VM has another version in force than the one that was named.
    OtherVersionInForce,
    /// VMs use another value.
    ReplacedValue,
    /// Another queue has the same name.
    RepeatedName,
    /// No job can have this host and path prefix.
    NeverMatched,
    /// All requests go to another queue.
    Shadowed,
    /// Some job ids go to another queue, which rejects them.
    PartlyShadowed,
    /// All jobs of the queue are refused because advice is not supported.
    AdviceUnsupported,
    /// The service of the queue is not listed.
    ServiceNotListed,
    /// The service has no queue.
    ServiceWithoutQueue,
    /// The service has no target that accepts runs.
    ServiceWithoutTarget,
    /// The entry of a target cannot be decoded.
    TargetUnreadable,
    /// The priority has no weight of its own.
    PriorityWithoutWeight,
    /// The objective is shorter than the run time.
    StretchBelowOne,
    /// The objective is the run time alone, so that every job is late.
    ObjectiveWithoutSlack,
    /// A time-out ends at once.
    TimeoutZero,
    /// Idle connections are closed before a request head on them would be.
    IdleBelowHeadTimeout,
    /// The head of a job's request exceeds the limit.
    HeadLimitTooSmall,
    /// No job fits into a request body.
    BodyLimitTooSmall,
}

impl FindingKind {
    /// The severity of all findings of this kind.
    pub fn severity(self) -> FindingSeverity {
        match self {
            Self::Invalid | Self::VersionNotNewer | Self::OtherVersionInForce => {
                FindingSeverity::Error
            }
            _ => FindingSeverity::Warning,
        }
    }
}

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationFinding {
    /// Whether VMs apply the configuration nevertheless.
    pub severity: FindingSeverity,
    /// The kind of mistake.
    pub kind: FindingKind,
    /// The field, for example `routes[2].host`; empty if the finding is about the whole file.
    pub field: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
}

impl ConfigurationFinding {
    /// A finding about a field.
    pub(super) fn new(kind: FindingKind, field: ConfigurationField, message: String) -> Self {
        Self {
            severity: kind.severity(),
            kind,
            field: field_path(field),
            message: message.into(),
        }
    }

    /// A finding of the decoder.
    pub fn decoded(kind: FindingKind, found: FieldMessage) -> Self {
        Self {
            severity: kind.severity(),
            kind,
            field: found.field,
            message: found.message,
        }
    }
}

impl fmt::Display for ConfigurationFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.severity)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}
