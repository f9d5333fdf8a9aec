//! The objects that tickets change, and their names.

use std::fmt;
use std::str::FromStr;

use filbertpitch_types::prelude::*;
use filbertpitch_types::text::ParseError;
use serde::{Serialize, Serializer};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::spec::{LimitSpec, ServiceSpec, TargetSpec, TeamSpec};

/// Identifies one object; `service/NAME`, `target/NAME`, `team/NAME` or `limits` in text.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum ObjectName {
    /// A service.
    Service(ServiceName),
    /// A target.
    Target(TargetName),
    /// A team.
    Team(TeamName),
    /// The limits, a single object without a name of its own.
    Limits,
}

impl FromStr for ObjectName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.split_once('/') {
            Some(("service", name)) => name.parse().map(Self::Service),
            Some(("target", name)) => name.parse().map(Self::Target),
            Some(("team", name)) => name.parse().map(Self::Team),
            None if text == "limits" => Ok(Self::Limits),
            _ => {
                let reason = "expected service/NAME, target/NAME, team/NAME or limits";
                Err(ParseError::new("object name", text, reason))
            }
        }
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Target(name) => write!(f, "target/{name}"),
            Self::Team(name) => write!(f, "team/{name}"),
            Self::Limits => f.write_str("limits"),
        }
    }
}

/// The full new state of one object, or `None` if the object is removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectChange {
    /// A service.
    Service(ServiceName, Option<ServiceSpec>),
    /// A target.
    Target(TargetName, Option<TargetSpec>),
    /// A team.
    Team(TeamName, Option<TeamSpec>),
    /// The limits; their removal restores the defaults.
    Limits(Option<LimitSpec>),
}

impl ObjectChange {
    /// The object that changes.
    pub fn name(&self) -> ObjectName {
        match self {
            Self::Service(name, _) => ObjectName::Service(name.clone()),
            Self::Target(name, _) => ObjectName::Target(name.clone()),
            Self::Team(name, _) => ObjectName::Team(name.clone()),
            Self::Limits(_) => ObjectName::Limits,
        }
    }

    /// Whether the object is removed.
    pub fn is_removal(&self) -> bool {
        matches!(
            self,
            Self::Service(_, None)
                | Self::Target(_, None)
                | Self::Team(_, None)
                | Self::Limits(None)
        )
    }
}

/// The value of the key `limits` in a ticket; the limits object has no name of its own.
pub(crate) const LIMITS_SCOPE: &str = "global";

/// The key that names an object in a ticket.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum ObjectKey<'a> {
    Service(&'a ServiceName),
    Target(&'a TargetName),
    Team(&'a TeamName),
    Limits(&'static str),
}

/// An object as written in a ticket: its key, then either its state or `removed`.
#[derive(Serialize)]
struct ObjectEntry<'a, S> {
    #[serde(flatten)]
    key: ObjectKey<'a>,
    #[serde(flatten)]
    state: Option<&'a S>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    removed: bool,
}

impl<'a, S> ObjectEntry<'a, S> {
    fn new(key: ObjectKey<'a>, state: &'a Option<S>) -> Self {
        Self {
            key,
            state: state.as_ref(),
            removed: state.is_none(),
        }
    }
}

impl Serialize for ObjectChange {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match self {
            Self::Service(name, state) => {
                ObjectEntry::new(ObjectKey::Service(name), state).serialize(serializer)
            }
            Self::Target(name, state) => {
                ObjectEntry::new(ObjectKey::Target(name), state).serialize(serializer)
            }
            Self::Team(name, state) => {
                ObjectEntry::new(ObjectKey::Team(name), state).serialize(serializer)
            }
            Self::Limits(state) => {
                ObjectEntry::new(ObjectKey::Limits(LIMITS_SCOPE), state).serialize(serializer)
            }
        }
    }
}
