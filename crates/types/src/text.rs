//! The error for text that does not parse as an identifier or a unit.

use std::fmt;

/// Text that does not parse as the expected type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// What was expected, for example "team name".
    pub expected: &'static str,
    /// The invalid text, truncated.
    pub found: Box<str>,
    /// Why the text is invalid.
    pub reason: &'static str,
}

impl ParseError {
    /// The maximum length of the invalid text in an error, in characters.
    const FOUND_LIMIT: usize = 64;

    /// Creates an error for `found`, which is not a valid `expected`.
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
