//! Decides which requests are traced, and records their spans.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, SystemTime};

use filbertpitch_dispatch::engine::AttemptTrace;
use filbertpitch_types::prelude::*;
use filbertpitch_types::trace::{SpanRecord, TraceNumber};
use futures_util::FutureExt;
use opentelemetry::trace::{SpanId, SpanKind, Status};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_sdk::trace::{
    IdGenerator, RandomIdGenerator, Sampler, SamplingDecision, ShouldSample, SpanData, SpanEvents,
    SpanExporter, SpanLinks,
};

use super::context::TraceParent;
use super::record::span_record;
use super::ring::{RingExporter, SpanRing};
use crate::settings::SampleRatio;

/// The instrumentation scope of all spans.
const SCOPE: &str = "filbertpitch";

/// A span that has not ended.
#[derive(Clone, Debug)]
pub struct OpenSpan {
    name: &'static str,
    kind: SpanKind,
    context: TraceParent,
    parent: SpanId,
    parent_is_remote: bool,
    start: SystemTime,
}

impl OpenSpan {
    /// The span as its children see it.
    pub fn context(&self) -> TraceParent {
        self.context
    }

    /// The `traceparent` for children of the span.
    pub fn traceparent(&self) -> Box<str> {
        self.context.to_string().into()
    }
}

/// Records the spans of one process.
#[derive(Debug)]
pub struct TraceRecorder {
    ids: RandomIdGenerator,
    /// Absent if no request is sampled on its own.
    sampler: Option<Sampler>,
    scope: InstrumentationScope,
    exporter: RingExporter,
}

impl TraceRecorder {
    /// A recorder that samples `ratio` of the requests whose caller does not decide, and keeps
    /// spans of `limit` bytes.
    pub fn new(ratio: SampleRatio, limit: ByteSize) -> Self {
        let fraction = ratio.as_fraction();
        Self {
            ids: RandomIdGenerator::default(),
            sampler: (fraction > 0.0).then_some(Sampler::TraceIdRatioBased(fraction)),
            scope: InstrumentationScope::builder(SCOPE).build(),
            exporter: RingExporter::new(limit),
        }
    }

    /// Begins the span of a request from outside, unless it is not sampled.
    ///
    /// A valid header decides by its flag. A header that is not valid counts as absent, as the
    /// specification demands, and the request gets a trace of its own.
    pub fn admit(&self, name: &'static str, header: Option<&str>) -> Option<OpenSpan> {
        match header.and_then(|text| text.parse::<TraceParent>().ok()) {
            Some(parent) if parent.sampled => Some(self.span(name, SpanKind::Server, parent, true)),
            Some(_) => None,
            None => self.sample(name),
        }
    }

    /// Begins a root span if the sampler selects it.
    fn sample(&self, name: &'static str) -> Option<OpenSpan> {
        let sampler = self.sampler.as_ref()?;
        let root = self.root(name, SpanKind::Server);
        let trace = root.context.trace;
        let result = sampler.should_sample(None, trace, name, &SpanKind::Server, &[], &[]);
        (result.decision == SamplingDecision::RecordAndSample).then_some(root)
    }

    /// Begins a trace.
    pub fn root(&self, name: &'static str, kind: SpanKind) -> OpenSpan {
        let parent = TraceParent {
            trace: self.ids.new_trace_id(),
            span: SpanId::INVALID,
            sampled: true,
        };
        self.span(name, kind, parent, false)
    }

    /// Begins a span under one of this process. `None` if the text is not a valid parent.
    pub fn child(&self, name: &'static str, kind: SpanKind, parent: &str) -> Option<OpenSpan> {
        let parent = parent.parse::<TraceParent>().ok()?;
        let remote = kind == SpanKind::Server;
        let sampled = parent.sampled;
        sampled.then(|| self.span(name, kind, parent, remote))
    }

    fn span(
        &self,
        name: &'static str,
        kind: SpanKind,
        parent: TraceParent,
        remote: bool,
    ) -> OpenSpan {
        OpenSpan {
            name,
            kind,
            context: TraceParent {
                span: self.ids.new_span_id(),
                ..parent
            },
            parent: parent.span,
            parent_is_remote: remote,
            start: SystemTime::now(),
        }
    }

    /// Ends a span now.
    pub fn finish(&self, span: OpenSpan, attributes: Vec<KeyValue>) {
        self.export(span, SystemTime::now(), attributes);
    }

    /// Records the queue, the attempt and the run at the target of an ended attempt. `now` is the
    /// current time of the clock that the trace uses.
    pub fn record_attempt(&self, trace: &AttemptTrace, target: &TargetName, now: TimePoint) {
        let Ok(job) = trace.traceparent.parse::<TraceParent>() else {
            return;
        };
        let wall = SystemTime::now();
        let at = |time: TimePoint| wall - now.since(time);
        let (queued, sent, ended) = (at(trace.queued_at), at(trace.sent_at), at(trace.ended_at));
        let task = KeyValue::new("task", i64::from(trace.attempt.task.0));
        let queue = OpenSpan {
            start: queued,
            ..self.span("queue", SpanKind::Internal, job, false)
        };
        self.export(queue, sent, vec![task.clone()]);
        let attempt = OpenSpan {
            start: sent,
            context: attempt_context(job, trace.attempt),
            ..self.span("attempt", SpanKind::Client, job, false)
        };
        let run = self.run_span(&attempt, trace, ended);
        let attributes = vec![
            task,
            KeyValue::new("attempt", i64::from(trace.attempt.attempt.0)),
            KeyValue::new("target", target.to_string()),
            KeyValue::new("end", trace.end),
        ];
        self.export(attempt, ended, attributes);
        if let Some((run, end)) = run {
            let target = KeyValue::new("target", target.to_string());
            self.export(run, end, vec![target]);
        }
    }

    /// The run at the target, in the middle of its attempt: the target reports how long it ran,
    /// and the network takes about the same time in both directions.
    fn run_span(
        &self,
        attempt: &OpenSpan,
        trace: &AttemptTrace,
        ended: SystemTime,
    ) -> Option<(OpenSpan, SystemTime)> {
        if trace.run_time == Duration::ZERO {
            return None;
        }
        let elapsed = trace.ended_at.since(trace.sent_at);
        let margin = elapsed.saturating_sub(trace.run_time) / 2;
        let end = ended - margin;
        let span = OpenSpan {
            start: end - trace.run_time.min(elapsed),
            ..self.span("target", SpanKind::Server, attempt.context, true)
        };
        Some((span, end))
    }

    fn export(&self, span: OpenSpan, end: SystemTime, attributes: Vec<KeyValue>) {
        let data = SpanData {
            span_context: span.context.span_context(false),
            parent_span_id: span.parent,
            parent_span_is_remote: span.parent_is_remote,
            span_kind: span.kind,
            name: span.name.into(),
            start_time: span.start,
            end_time: end,
            attributes,
            dropped_attributes_count: 0,
            events: SpanEvents::default(),
            links: SpanLinks::default(),
            status: Status::Unset,
            instrumentation_scope: self.scope.clone(),
        };
        let exported = self.exporter.export(vec![data]).now_or_never();
        debug_assert!(exported.is_some(), "the ring exports without waiting");
    }

    /// The spans of a trace that are still kept, oldest first.
    pub fn spans(&self, trace: TraceNumber) -> Vec<SpanRecord> {
        let ring = self.exporter.ring();
        ring.of_trace(trace).map(span_record).collect()
    }

    /// Reads the ring.
    pub fn inspect<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&SpanRing) -> T,
    {
        look(&self.exporter.ring())
    }
}

/// The span of an attempt, as the target sees it.
///
/// Its id follows from the attempt's, so that neither the engine nor the loop needs to remember it
/// between the start and the end.
pub fn attempt_context(job: TraceParent, attempt: AttemptId) -> TraceParent {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    TraceParent {
        // Zero is not a valid id.
        span: SpanId::from(hasher.finish().max(1)),
        ..job
    }
}
