//! Spans as messages and their size in memory.

use std::time::{SystemTime, UNIX_EPOCH};

use filbertpitch_types::trace::{SpanNumber, SpanRecord};
use opentelemetry::trace::SpanId;
use opentelemetry::{KeyValue, Value};
use opentelemetry_sdk::trace::SpanData;

/// The memory of a span beside its texts, in bytes.
const SPAN_BYTES: usize = size_of::<SpanData>();

/// The memory of a span, estimated in bytes.
pub(super) fn span_bytes(span: &SpanData) -> u64 {
    let attributes = span.attributes.iter().map(attribute_bytes).sum::<usize>();
    let bytes = SPAN_BYTES + span.name.len() + attributes;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

fn attribute_bytes(attribute: &KeyValue) -> usize {
    let text = match &attribute.value {
        Value::String(text) => text.as_str().len(),
        _ => 0,
    };
    size_of::<KeyValue>() + text
}

/// The message for a span.
pub(super) fn span_record(span: &SpanData) -> SpanRecord {
    let attributes = span.attributes.iter().map(|attribute| {
        let key = attribute.key.as_str().into();
        (key, attribute.value.as_str().into())
    });
    let duration = span.end_time.duration_since(span.start_time);
    SpanRecord {
        span: SpanNumber(u64::from_be_bytes(span.span_context.span_id().to_bytes())),
        parent: parent_number(span.parent_span_id),
        name: span.name.as_ref().into(),
        start_us: micros_since_epoch(span.start_time),
        duration_us: micros(duration.unwrap_or_default()),
        attributes: attributes.collect(),
    }
}

fn parent_number(parent: SpanId) -> Option<SpanNumber> {
    let known = parent != SpanId::INVALID;
    known.then(|| SpanNumber(u64::from_be_bytes(parent.to_bytes())))
}

fn micros_since_epoch(time: SystemTime) -> u64 {
    micros(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn micros(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
