//! Values that occur only in settings.

use std::fmt;
use std::str::FromStr;

use filbertpitch_types::text::ParseError;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The least severe events that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only events after which the process cannot continue.
    Critical,
    /// Also failures that need an operator.
    Error,
    /// Also conditions that may need an operator.
    Warning,
    /// Also changes of state.
    #[default]
    Info,
    /// Everything.
    Debug,
}

impl LogLevel {
    /// The same level in the logging library.
    pub fn as_slog(self) -> slog::Level {
        match self {
            Self::Critical => slog::Level::Critical,
            Self::Error => slog::Level::Error,
            Self::Warning => slog::Level::Warning,
            Self::Info => slog::Level::Info,
            Self::Debug => slog::Level::Debug,
        }
    }
}

/// The share of jobs that are traced; `1%` in text.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, PartialOrd, SerializeDisplay, DeserializeFromStr,
)]
pub struct SampleRatio(f64);

impl SampleRatio {
    /// The share between 0 and 1.
    pub fn as_fraction(self) -> f64 {
        self.0
    }
}

impl FromStr for SampleRatio {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let reason = "expected a percentage from 0% to 100%";
        text.strip_suffix('%')
            .and_then(|number| number.parse::<f64>().ok())
            .filter(|percent| (0.0..=100.0).contains(percent))
            .map(|percent| Self(percent / 100.0))
            .ok_or_else(|| ParseError::new("ratio", text, reason))
    }
}

impl fmt::Display for SampleRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0 * 100.0)
    }
}
