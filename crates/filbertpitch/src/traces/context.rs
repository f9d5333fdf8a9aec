//! The W3C `traceparent` header.

use std::fmt;
use std::str::FromStr;

use filbertpitch_types::text::ParseError;
use filbertpitch_types::trace::{SpanNumber, TraceNumber};
use opentelemetry::trace::{SpanContext, SpanId, TraceFlags, TraceId, TraceState};

/// The header that carries a [`TraceParent`].
pub const TRACE_HEADER: &str = "traceparent";

/// The version that the specification forbids.
const INVALID_VERSION: &str = "ff";

/// A span as its remote children see it, in the form of the `traceparent` header.
///
/// The propagator of the library is not used because it accepts ids of any length and reports no
/// reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceParent {
    /// The trace.
    pub trace: TraceId,
    /// The span.
    pub span: SpanId,
    /// Whether the spans of the trace are recorded.
    pub sampled: bool,
}

impl TraceParent {
    /// The context of the span.
    pub fn span_context(&self, remote: bool) -> SpanContext {
        let flags = TraceFlags::default().with_sampled(self.sampled);
        SpanContext::new(self.trace, self.span, flags, remote, TraceState::NONE)
    }
}

impl FromStr for TraceParent {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = |reason| ParseError::new(TRACE_HEADER, text, reason);
        let mut parts = text.split('-');
        let mut next = || parts.next().ok_or_else(|| error("a part is missing"));
        let (version, trace, span, flags) = (next()?, next()?, next()?, next()?);
        hex_byte(version).ok_or_else(|| error("the version is not two hexadecimal digits"))?;
        if version == INVALID_VERSION {
            return Err(error("the version is not valid"));
        }
        // Later versions may append parts; their first four parts keep this meaning.
        if version == "00" && parts.next().is_some() {
            return Err(error("version 00 has four parts"));
        }
        let trace = trace
            .parse::<TraceNumber>()
            .map_err(|_| error("the trace id is not 32 hexadecimal digits, or zero"))?;
        let span = span
            .parse::<SpanNumber>()
            .map_err(|_| error("the parent id is not 16 hexadecimal digits, or zero"))?;
        let flags =
            hex_byte(flags).ok_or_else(|| error("the flags are not two hexadecimal digits"))?;
        Ok(Self {
            trace: TraceId::from(trace.0),
            span: SpanId::from(span.0),
            sampled: TraceFlags::new(flags).is_sampled(),
        })
    }
}

fn hex_byte(text: &str) -> Option<u8> {
    let allowed = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let valid = text.len() == 2 && text.bytes().all(allowed);
    valid.then(|| u8::from_str_radix(text, 16).ok()).flatten()
}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{}-{}-{flags:02x}", self.trace, self.span)
    }
}
