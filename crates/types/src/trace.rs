//! Spans of traced requests, as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::text::ParseError;

/// Parses lower-case hexadecimal digits of a fixed length that are not all zero, as W3C Trace
/// Context requires for both ids.
fn parse_hex(expected: &'static str, text: &str, digits: usize) -> Result<u128, ParseError> {
    let error = |reason| ParseError::new(expected, text, reason);
    let allowed = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != digits || !text.bytes().all(allowed) {
        return Err(error(
            "the number of lower-case hexadecimal digits is wrong",
        ));
    }
    match u128::from_str_radix(text, 16) {
        Ok(0) => Err(error("it is zero")),
        Ok(number) => Ok(number),
        Err(_) => Err(error("it is not a hexadecimal number")),
    }
}

/// The id of a trace: 32 hexadecimal digits, not all zero.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TraceNumber(pub u128);

impl FromStr for TraceNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        parse_hex("trace id", text, 32).map(Self)
    }
}

impl fmt::Display for TraceNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The id of a span within a trace: 16 hexadecimal digits, not all zero.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct SpanNumber(pub u64);

impl FromStr for SpanNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = parse_hex("span id", text, 16)?;
        Ok(Self(u64::try_from(number).expect("16 digits are 64 bits")))
    }
}

impl fmt::Display for SpanNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One finished span.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanRecord {
    /// The id of the span.
    pub span: SpanNumber,
    /// The parent span; absent at the root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<SpanNumber>,
    /// The stage that the span covers: `submit`, `entry`, `forward`, `owner`, `queue`, `attempt` or
    /// `target`.
    pub name: Box<str>,
    /// The start of the span, in microseconds since the Unix epoch, by the clock of the process that
    /// recorded the span.
    pub start_us: u64,
    /// The duration of the span, in microseconds.
    pub duration_us: u64,
    /// Additional attributes of the span.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attributes: BTreeMap<Box<str>, Box<str>>,
}

/// The answer to `GET /v1/traces/TRACE_ID`: the spans that one VM has stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceAnswer {
    /// The id of the trace.
    pub trace: TraceNumber,
    /// The address of the VM.
    pub address: SocketAddr,
    /// The spans of the trace on this VM, in the order in which they ended.
    pub spans: Vec<SpanRecord>,
}
