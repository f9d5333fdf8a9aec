//! The finished spans of one VM, bounded in memory.

use std::collections::VecDeque;
use std::future::{Future, ready};
use std::sync::{Mutex, MutexGuard, PoisonError};

use filbertpitch_types::trace::TraceNumber;
use filbertpitch_types::units::ByteSize;
use opentelemetry::trace::TraceId;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};

use super::record::span_bytes;

/// The most recent finished spans.
#[derive(Debug)]
pub struct SpanRing {
    limit: ByteSize,
    bytes: u64,
    spans: VecDeque<SpanData>,
}

impl SpanRing {
    /// An empty ring that uses at most `limit` for its spans.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            bytes: 0,
            spans: VecDeque::new(),
        }
    }

    /// Adds a span in place of the oldest ones. A span that exceeds the limit alone is dropped.
    pub fn push(&mut self, span: SpanData) {
        self.bytes += span_bytes(&span);
        self.spans.push_back(span);
        while self.bytes > self.limit.0 {
            let Some(oldest) = self.spans.pop_front() else {
                break;
            };
            self.bytes -= span_bytes(&oldest);
        }
    }

    /// The spans of a trace, oldest first.
    pub fn of_trace(&self, trace: TraceNumber) -> impl Iterator<Item = &SpanData> {
        let trace = TraceId::from(trace.0);
        let spans = self.spans.iter();
        spans.filter(move |span| span.span_context.trace_id() == trace)
    }

    /// The memory of the spans, estimated.
    pub fn bytes(&self) -> ByteSize {
        ByteSize(self.bytes)
    }

    /// How many spans are kept.
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    /// Whether no span is kept.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }
}

/// Exports spans to a [`SpanRing`].
///
/// The mutex is never contended on the one thread of the loop; the exporter's interface demands a
/// type that can be shared between threads.
#[derive(Debug)]
pub struct RingExporter(Mutex<SpanRing>);

impl RingExporter {
    /// An exporter to an empty ring with this limit.
    pub fn new(limit: ByteSize) -> Self {
        Self(Mutex::new(SpanRing::new(limit)))
    }

    /// Gives access to the ring.
    pub fn ring(&self) -> MutexGuard<'_, SpanRing> {
        // A panic while the lock is held leaves a ring that can still be read.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SpanExporter for RingExporter {
    fn export(&self, batch: Vec<SpanData>) -> impl Future<Output = OTelSdkResult> + Send {
        let mut ring = self.ring();
        for span in batch {
            ring.push(span);
        }
        ready(Ok(()))
    }
}
