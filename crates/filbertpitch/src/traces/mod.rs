//! Distributed traces: one span per hop of a sampled request.
//!
//! Spans and ids are those of OpenTelemetry. Finished spans stay in a bounded ring on the VM that
//! recorded them, because a VM must not depend on a collector; `filbertpitch trace` brings the
//! spans of one request together.

mod context;
mod record;
mod recorder;
mod ring;
mod tree;

pub use context::{TRACE_HEADER, TraceParent};
pub use recorder::{OpenSpan, TraceRecorder, attempt_context};
pub use ring::{RingExporter, SpanRing};
pub use tree::{PlacedSpan, SpanTree};
