//! Identifiers as newtypes. `Display` and `FromStr` give the text form that URLs and logs use. Names
//! and composed identifiers are serialized as that text, numbers as plain integers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::text::ParseError;
use crate::time::WallTime;

/// The longest name or client-chosen key, in bytes.
pub const NAME_LIMIT: usize = 64;

fn check_name(expected: &'static str, text: &str) -> Result<(), ParseError> {
    if text.is_empty() {
        return Err(ParseError::new(expected, text, "it is empty"));
    }
    if text.len() > NAME_LIMIT {
        return Err(ParseError::new(expected, text, "it exceeds 64 bytes"));
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if !text.bytes().all(allowed) {
        let reason = "only letters, digits, `-`, `_` and `.` are allowed";
        return Err(ParseError::new(expected, text, reason));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_name($expected, text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A team: a customer with a quota.
    TeamName, "team name"
);
name_type!(
    /// A service that operators create and targets serve.
    ServiceName, "service name"
);
name_type!(
    /// A kind of work within a service.
    KindName, "kind name"
);
name_type!(
    /// A target: a back end that runs tasks.
    TargetName, "target name"
);
name_type!(
    /// An availability zone.
    ZoneName, "availability zone name"
);
name_type!(
    /// A queue of jobs, as the operator named it.
    QueueName, "queue name"
);
name_type!(
    /// A VM, as named by the platform; the name stays the same across restarts of the process.
    VmName, "VM name"
);
name_type!(
    /// A random value that identifies a change ticket: log records with the same nonce are repeated
    /// appends of one ticket, not different tickets.
    TicketNonce, "ticket nonce"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty), $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows this one.
            ///
            /// # Panics
            /// When the number space is exhausted.
            pub fn next(self) -> Self {
                Self(self.0.checked_add(1).expect("number space exhausted"))
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseError::new($expected, text, "it is not a whole number in range"))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type!(
    /// The number of a change ticket, chosen by the operator.
    TicketNumber(u64), "ticket number"
);
number_type!(
    /// The position of a record in a stream of the platform's log.
    LogOffset(u64), "log offset"
);
number_type!(
    /// The number of a job, unique within one incarnation.
    JobNumber(u64), "job number"
);
number_type!(
    /// The index of a task within its job, counted from 0.
    TaskIndex(u16), "task index"
);
number_type!(
    /// The number of an attempt to run a task, counted from 0.
    AttemptNumber(u8), "attempt number"
);
number_type!(
    /// The number of a run of a task, counted from 1. A target accepts a run of a task only if its
    /// number is higher than those of all runs of that task which have ended or were stopped there.
    RunNumber(u32), "run number"
);
number_type!(
    /// A token that increases with each change of the lease holder of a target. A target refuses
    /// requests whose token is lower than the highest that the target has seen.
    FencingToken(u64), "fencing token"
);
number_type!(
    /// Identifies an instance of a target process by its start time, in milliseconds since the Unix
    /// epoch.
    TargetBoot(u64), "target start time"
);
number_type!(
    /// A target's monotonic clock, in milliseconds since an origin of its own.
    TargetTime(u64), "target clock time"
);
number_type!(
    /// The version of a published configuration. Versions increase, not always by one.
    ConfigVersion(u64), "configuration version"
);
number_type!(
    /// The number of an epoch, counted from 0. An epoch is a time interval of an incarnation by which
    /// submissions are grouped, so that their answers can be evicted together.
    EpochNumber(u32), "epoch number"
);

number_type!(
    /// How often a VM has declared a peer lost. With each loss the VM drops all work that it did for
    /// the peer, so the count tells requests from before a loss from later ones.
    LossCount(u32), "loss count"
);

number_type!(
    /// Identifies an envelope among those that a VM has sent to one peer.
    EnvelopeNumber(u64), "envelope number"
);

/// Identifies an incarnation, which is one process of an entry VM, by 64 random bits that are chosen
/// when the process starts. A restart on the same VM is another incarnation.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct IncarnationId(pub u64);

impl FromStr for IncarnationId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("incarnation", text, "it is not 16 hexadecimal digits");
        let hexadecimal = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hexadecimal {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One attempt of one incarnation to run one task.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct AttemptId {
    /// The incarnation that owns the job.
    pub incarnation: IncarnationId,
    /// The job, numbered by that incarnation.
    pub job: JobNumber,
    /// The task within the job.
    pub task: TaskIndex,
    /// Counts the attempts of the task.
    pub attempt: AttemptNumber,
}

impl FromStr for AttemptId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("attempt", text, "expected INCARNATION-JOB-TASK-ATTEMPT");
        let mut parts = text.split('-');
        let mut part = || parts.next().ok_or_else(error);
        let id = Self {
            incarnation: part()?.parse().map_err(|_| error())?,
            job: part()?.parse().map_err(|_| error())?,
            task: part()?.parse().map_err(|_| error())?,
            attempt: part()?.parse().map_err(|_| error())?,
        };
        match parts.next() {
            None => Ok(id),
            Some(_) => Err(error()),
        }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}-{}-{}-{}",
            self.incarnation, self.job, self.task, self.attempt
        )
    }
}

/// The first part of a prefixed [`SubmissionId`]. It identifies the owner of the submission, which is
/// the one process that may start its tasks, and the epoch of the owner in which the prefix was issued.
///
/// The prefix contains the owner's address, so any VM can forward a resubmission to the owner
/// without a lookup, even while the platform is unreachable.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct OwnerPrefix {
    /// The availability zone of the owner.
    pub zone: ZoneName,
    /// The address on which the owner serves callers and peers.
    pub address: SocketAddr,
    /// The incarnation of the owner.
    pub incarnation: IncarnationId,
    /// The epoch in which the prefix was issued.
    pub epoch: EpochNumber,
}

impl FromStr for OwnerPrefix {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("prefix", text, "expected ZONE~IP:PORT~INCARNATION~EPOCH");
        let parts = text.split('~').collect::<Vec<_>>();
        let [zone, address, incarnation, epoch] = parts[..] else {
            return Err(error());
        };
        Ok(Self {
            zone: zone.parse()?,
            address: address.parse().map_err(|_| error())?,
            incarnation: incarnation.parse()?,
            epoch: epoch.parse()?,
        })
    }
}

impl fmt::Display for OwnerPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}~{}~{}~{}",
            self.zone, self.address, self.incarnation, self.epoch
        )
    }
}

/// Identifies a submission, which is a client's request to run one job. A client that sends the
/// request again uses the same identifier.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum SubmissionId {
    /// A submission owned by the process that the prefix identifies; `PREFIX~KEY` in text.
    Prefixed {
        /// Identifies the owner.
        prefix: OwnerPrefix,
        /// The key that the client chose.
        key: Box<str>,
    },
    /// A submission without a prefix. The process whose claim of the key is first in the platform's
    /// log owns the submission; `KEY@FIRST_SUBMITTED_UNIX_MS` in text.
    Bare {
        /// The key that the client chose.
        key: Box<str>,
        /// When the client first sent the submission; the same on every resubmission.
        first_submitted: WallTime,
    },
}

impl SubmissionId {
    /// The prefix, or `None` for a bare key.
    pub fn prefix(&self) -> Option<&OwnerPrefix> {
        match self {
            Self::Prefixed { prefix, .. } => Some(prefix),
            Self::Bare { .. } => None,
        }
    }
}

impl FromStr for SubmissionId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if let Some((prefix, key)) = text.rsplit_once('~') {
            check_name("submission key", key)?;
            return Ok(Self::Prefixed {
                prefix: prefix.parse()?,
                key: key.into(),
            });
        }
        let Some((key, first_submitted)) = text.rsplit_once('@') else {
            let reason = "expected PREFIX~KEY or KEY@FIRST_SUBMITTED_UNIX_MS";
            return Err(ParseError::new("submission", text, reason));
        };
        check_name("submission key", key)?;
        Ok(Self::Bare {
            key: key.into(),
            first_submitted: first_submitted.parse()?,
        })
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefixed { prefix, key } => write!(f, "{prefix}~{key}"),
            Self::Bare {
                key,
                first_submitted,
            } => write!(f, "{key}@{first_submitted}"),
        }
    }
}
