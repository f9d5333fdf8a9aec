//! Builds the target of a request from values that other programs may have chosen.

use std::fmt::{self, Display, Write as _};

use http::Uri;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// All bytes that are encoded: everything but the unreserved characters of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The target is longer than a URI may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetTooLong;

impl Display for TargetTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the target of the request is too long")
    }
}

impl std::error::Error for TargetTooLong {}

/// The target of a request: a path and the parameters of its query, percent-encoded.
#[derive(Clone, Debug)]
pub struct RequestTarget {
    text: String,
    has_query: bool,
}

impl RequestTarget {
    /// Starts with a path, which is not encoded.
    pub fn new(path: &'static str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Appends a segment to the path. Segments precede all parameters.
    pub fn with_segment<Value>(mut self, value: Value) -> Self
    where
        Value: Display,
    {
        debug_assert!(!self.has_query);
        self.text.push('/');
        self.push_encoded(value);
        self
    }

    /// Appends a parameter to the query. `name` is not encoded.
    pub fn with_parameter<Value>(mut self, name: &'static str, value: Value) -> Self
    where
        Value: Display,
    {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        self.push_encoded(value);
        self
    }

    /// The target.
    ///
    /// # Errors
    /// If it is longer than a URI may be, 64 KiB.
    pub fn build(self) -> Result<Uri, TargetTooLong> {
        self.text.parse().map_err(|_| TargetTooLong)
    }

    fn push_encoded<Value>(&mut self, value: Value)
    where
        Value: Display,
    {
        let value = value.to_string();
        // Writing to a string cannot fail.
        let _ = write!(self.text, "{}", utf8_percent_encode(&value, RESERVED));
    }
}
