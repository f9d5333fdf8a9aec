//! The error returned when text does not parse as an identifier or a unit.

use std::fmt;

/// Text that does not parse as the named type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// What was expected, for example "team name".
    pub expected: &'static str,
    /// The offending text, shortened.
    pub found: Box<str>,
    /// Why the text was refused.
    pub reason: &'static str,
}

impl ParseError {
    /// The longest part of the offending text that an error repeats, in characters.
    const FOUND_LIMIT: usize = 64;

    /// Describes `found` as not being an `expected`.
    pub fn new(expected: &'static str, found: &str, reason: &'static str) -> Self {
        let found = found.chars().take(Self::FOUND_LIMIT).collect::<String>();
        Self {
            expected,
            found: found.into(),
            reason,
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a valid {}: {}",
            self.found, self.expected, self.reason
        )
    }
}

impl std::error::Error for ParseError {}
