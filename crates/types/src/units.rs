//! Sizes, rates and durations with their text representations and serde adapters.

use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;
use std::time::Duration;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::text::ParseError;

/// The maximum duration in settings, tickets and requests: 30 days.
pub const DURATION_LIMIT: Duration = Duration::from_secs(30 * 24 * 3600);

/// Splits text into a number and the unit that follows it.
fn split_unit(text: &str) -> (&str, &str) {
    let end = text
        .find(|character: char| !(character.is_ascii_digit() || character == '.'))
        .unwrap_or(text.len());
    text.split_at(end)
}

/// A duration that is written as a number with the unit `us`, `ms`, `s`, `m` or `h`.
///
/// To use this type as a serde adapter, put `#[serde_as(as = "DurationText")]` on a [`Duration`]
/// field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationText(pub Duration);

impl FromStr for DurationText {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = |reason| ParseError::new("duration", text, reason);
        let (number, unit) = split_unit(text);
        let micros_per_unit = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            "h" => 3600e6,
            "" => return Err(error("the unit is missing: us, ms, s, m or h")),
            _ => return Err(error("the unit is not us, ms, s, m or h")),
        };
        let number: f64 = number
            .parse()
            .map_err(|_| error("it does not start with a number of zero or more"))?;
        let micros = number * micros_per_unit;
        if micros > DURATION_LIMIT.as_micros() as f64 {
            return Err(error("it exceeds 30 days"));
        }
        Ok(Self(Duration::from_micros(micros.round() as u64)))
    }
}

impl fmt::Display for DurationText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros();
        if !micros.is_multiple_of(1_000) {
            write!(f, "{micros}us")
        } else if !micros.is_multiple_of(1_000_000) {
            write!(f, "{}ms", micros / 1_000)
        } else {
            write!(f, "{}s", micros / 1_000_000)
        }
    }
}

impl serde_with::SerializeAs<Duration> for DurationText {
    fn serialize_as<S>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(&Self(*source))
    }
}

impl<'de> serde_with::DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = <std::borrow::Cow<'de, str> as serde::Deserialize>::deserialize(deserializer)?;
        let DurationText(duration) = text.parse().map_err(serde::de::Error::custom)?;
        Ok(duration)
    }
}

/// A size in bytes; `B`, `KiB`, `MiB` or `GiB` in text.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// A size in KiB.
    pub const fn kib(count: u64) -> Self {
        Self(count << 10)
    }

    /// A size in MiB.
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }
}

impl std::ops::Add for ByteSize {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl FromStr for ByteSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = |reason| ParseError::new("size", text, reason);
        let (number, unit) = split_unit(text);
        let shift = match unit {
            "B" => 0,
            "KiB" => 10,
            "MiB" => 20,
            "GiB" => 30,
            _ => return Err(error("the unit is not B, KiB, MiB or GiB")),
        };
        let number: u64 = number
            .parse()
            .map_err(|_| error("it does not start with a whole number"))?;
        number
            .checked_mul(1 << shift)
            .map(Self)
            .ok_or_else(|| error("it is too large"))
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (shift, unit) = match self.0.trailing_zeros() {
            _ if self.0 == 0 => (0, "B"),
            30.. => (30, "GiB"),
            20.. => (20, "MiB"),
            10.. => (10, "KiB"),
            _ => (0, "B"),
        };
        write!(f, "{}{unit}", self.0 >> shift)
    }
}

/// A rate of task starts per second; `300/s` in text.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct TaskRate(pub NonZeroU32);

impl FromStr for TaskRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let reason = "expected a whole number above zero with the unit /s";
        text.strip_suffix("/s")
            .and_then(|number| number.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseError::new("rate", text, reason))
    }
}

impl fmt::Display for TaskRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A team's weight in fair queueing; a team of weight 2 gets twice the share of a team of weight 1.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct TeamWeight(pub NonZeroU32);

impl Default for TeamWeight {
    fn default() -> Self {
        Self(NonZeroU32::MIN)
    }
}

impl FromStr for TeamWeight {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let reason = "it is not a whole number above zero";
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new("team weight", text, reason))
    }
}

impl fmt::Display for TeamWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
