//! The trace header, sampling, the ring of spans and the tree.

use std::time::{Duration, SystemTime};

use filbertpitch::settings::SampleRatio;
use filbertpitch::traces::{
    OpenSpan, PlacedSpan, RingExporter, SpanTree, TraceParent, TraceRecorder,
};
use filbertpitch_dispatch::engine::AttemptTrace;
use filbertpitch_types::prelude::*;
use filbertpitch_types::trace::{SpanNumber, SpanRecord, TraceNumber};
use opentelemetry::trace::{SpanId, SpanKind, Status, TraceId};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_sdk::trace::{SpanData, SpanEvents, SpanLinks};
use proptest::prelude::*;
use test_case::test_case;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const SPAN: &str = "b7ad6b7169203331";

fn recorder(ratio: &str) -> TraceRecorder {
    TraceRecorder::new(ratio.parse::<SampleRatio>().unwrap(), ByteSize::mib(1))
}

fn number(span: &OpenSpan) -> TraceNumber {
    span.context().trace.to_string().parse().unwrap()
}

/// Guards against spans under a parent that the sender did not mean.
#[test_case("", false; "empty")]
#[test_case("00", false; "no ids")]
#[test_case("00-T-S-01", true; "sampled")]
#[test_case("00-T-S-00", true; "not sampled")]
#[test_case("00-T-S-03", true; "further flags")]
#[test_case("00-T-S-01-x", false; "too many parts")]
#[test_case("cc-T-S-01", true; "later version")]
#[test_case("cc-T-S-01-x", true; "later version with more parts")]
#[test_case("ff-T-S-01", false; "forbidden version")]
#[test_case("0-T-S-01", false; "short version")]
#[test_case("00-T-S-1", false; "short flags")]
#[test_case("00-T-S", false; "no flags")]
#[test_case("00-T-S-0G", false; "flags not hexadecimal")]
#[test_case("00-T-S-+1", false; "flags with a sign")]
#[test_case("00-00000000000000000000000000000000-S-01", false; "zero trace id")]
#[test_case("00-T-0000000000000000-01", false; "zero parent id")]
#[test_case("00-0AF7651916CD43DD8448EB211C80319C-S-01", false; "upper case")]
#[test_case("00-f7651916cd43dd8448eb211c80319c-S-01", false; "short trace id")]
#[test_case("00-T-ad6b7169203331-01", false; "short parent id")]
#[test_case(" 00-T-S-01", false; "leading space")]
fn traceparent(pattern: &str, valid: bool) {
    let text = pattern.replace('T', TRACE).replace('S', SPAN);
    let parsed = text.parse::<TraceParent>();
    assert_eq!(parsed.is_ok(), valid, "{text}: {parsed:?}");
    if let Ok(parent) = parsed {
        assert_eq!(parent.trace.to_string(), TRACE);
        assert_eq!(parent.span.to_string(), SPAN);
        assert_eq!(
            parent.sampled,
            text.contains("-01") || text.ends_with("-03")
        );
    }
}

proptest! {
    /// Guards against a panic on arbitrary input, and against a text form that is not read back.
    #[test]
    fn traceparent_survives_arbitrary_text(text in "[0-9a-g+-]{0,60}", trace: u128, span: u64, sampled: bool) {
        let _ = text.parse::<TraceParent>();
        let parent = TraceParent {
            trace: TraceId::from(trace.max(1)),
            span: SpanId::from(span.max(1)),
            sampled,
        };
        prop_assert_eq!(parent.to_string().parse::<TraceParent>().unwrap(), parent);
    }
}

/// Guards against a VM that overrides the caller, and against malformed headers that disable the
/// sampling of the VM.
#[test_case("0%", Some("01"), true; "caller wants it")]
#[test_case("100%", Some("00"), false; "caller refuses it")]
#[test_case("0%", None, false; "nobody wants it")]
#[test_case("100%", None, true; "the VM wants it")]
#[test_case("0%", Some("xx"), false; "malformed counts as absent")]
#[test_case("100%", Some("xx"), true; "malformed starts a new trace")]
fn sampling(ratio: &str, flags: Option<&str>, sampled: bool) {
    let header = flags.map(|flags| format!("00-{TRACE}-{SPAN}-{flags}"));
    let span = recorder(ratio).admit("entry", header.as_deref());
    assert_eq!(span.is_some(), sampled);
    if let (Some(span), Some("01")) = (span, flags) {
        assert_eq!(span.context().trace.to_string(), TRACE);
        assert_ne!(
            span.context().span.to_string(),
            SPAN,
            "it is a span of its own"
        );
    }
}

/// Guards against a ratio that is not kept.
#[test]
fn sampling_follows_the_ratio() {
    let recorder = recorder("1%");
    let sampled = (0..100_000).filter(|_| recorder.admit("entry", None).is_some());
    // Six standard deviations of a binomial distribution around 1,000.
    let count = sampled.count();
    assert!((811..=1189).contains(&count), "{count}");
}

fn span_data(trace: u128, text: usize) -> SpanData {
    let context = TraceParent {
        trace: TraceId::from(trace),
        span: SpanId::from(1),
        sampled: true,
    };
    SpanData {
        span_context: context.span_context(false),
        parent_span_id: SpanId::INVALID,
        parent_span_is_remote: false,
        span_kind: SpanKind::Internal,
        name: "queue".into(),
        start_time: SystemTime::now(),
        end_time: SystemTime::now(),
        attributes: vec![KeyValue::new("text", "x".repeat(text))],
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: Status::Unset,
        instrumentation_scope: InstrumentationScope::default(),
    }
}

/// Guards against memory that grows with the number or the size of spans.
#[test]
fn ring_is_bounded() {
    let limit = ByteSize::kib(64);
    let exporter = RingExporter::new(limit);
    for trace in 1..=10_000 {
        exporter.ring().push(span_data(trace, trace as usize % 512));
        assert!(exporter.ring().bytes() <= limit);
    }
    let ring = exporter.ring();
    assert!(ring.len() > 50, "{} spans are kept", ring.len());
    assert_eq!(ring.of_trace(TraceNumber(10_000)).count(), 1);
    assert_eq!(ring.of_trace(TraceNumber(1)).count(), 0);
    drop(ring);
    exporter.ring().push(span_data(1, 1 << 20));
    let ring = exporter.ring();
    assert!(ring.is_empty() && ring.bytes() == ByteSize(0));
}

fn attempt_trace(parent: &OpenSpan) -> AttemptTrace {
    AttemptTrace {
        traceparent: parent.traceparent(),
        attempt: AttemptId {
            incarnation: IncarnationId(1),
            job: JobNumber(2),
            task: TaskIndex(3),
            attempt: AttemptNumber(0),
        },
        target: 0.into(),
        queued_at: TimePoint(1_000),
        sent_at: TimePoint(4_000),
        ended_at: TimePoint(60_000),
        run_time: Duration::from_millis(50),
        end: "done",
    }
}

/// Guards against spans that are not linked, or that do not cover the times of their hop.
#[test]
fn attempt_gives_linked_spans() {
    let recorder = recorder("100%");
    let entry = recorder.admit("entry", None).unwrap();
    let trace = number(&entry);
    let target = "worker-1".parse().unwrap();
    recorder.record_attempt(&attempt_trace(&entry), &target, TimePoint(70_000));
    let spans = recorder.spans(trace);
    let find = |name: &str| spans.iter().find(|span| &*span.name == name).unwrap();
    let (queue, attempt, run) = (find("queue"), find("attempt"), find("target"));
    let entry = SpanNumber(u64::from_be_bytes(entry.context().span.to_bytes()));
    assert_eq!(queue.parent, Some(entry));
    assert_eq!(attempt.parent, Some(entry));
    assert_eq!(run.parent, Some(attempt.span));
    assert_eq!((queue.duration_us, attempt.duration_us), (3_000, 56_000));
    assert_eq!(run.duration_us, 50_000);
    assert_eq!(attempt.start_us - queue.start_us, 3_000);
    assert_eq!(run.start_us - attempt.start_us, 3_000);
    assert_eq!(&*attempt.attributes["target"], "worker-1");
    assert_eq!(&*attempt.attributes["end"], "done");
}

fn placed(span: u64, parent: Option<u64>, name: &str, start: u64, length: u64) -> PlacedSpan {
    PlacedSpan {
        process: "10.0.0.1:7400".into(),
        span: SpanRecord {
            span: SpanNumber(span),
            parent: parent.map(SpanNumber),
            name: name.into(),
            start_us: start,
            duration_us: length,
            attributes: [("end".into(), "done\u{1b}[2J".into())].into(),
        },
    }
}

fn names(tree: &SpanTree) -> Vec<&str> {
    tree.spans.iter().map(|placed| &*placed.span.name).collect()
}

/// Guards against an order in which a hop cannot be found, and against terminal control by a
/// target.
#[test]
fn tree_output() {
    let spans = vec![
        placed(4, Some(2), "attempt", 3_500, 50_000),
        placed(2, Some(1), "entry", 2_000, 55_000),
        placed(1, None, "submit", 1_000, 60_250),
        placed(3, Some(2), "queue", 2_500, 1_000),
        placed(3, Some(2), "queue", 2_500, 1_000),
    ];
    let tree = SpanTree::new(TraceNumber(0xaa), spans);
    assert_eq!(names(&tree), ["submit", "entry", "queue", "attempt"]);
    let text = tree.to_string();
    let lines = text.lines().collect::<Vec<_>>();
    assert_eq!(
        lines[0],
        "trace 000000000000000000000000000000aa: 4 spans, 60.250ms"
    );
    let words = |line: usize| lines[line].split_whitespace().collect::<Vec<_>>();
    assert_eq!(words(2)[..3], ["0.000ms", "60.250ms", "submit"]);
    assert_eq!(words(4)[..3], ["1.500ms", "1.000ms", "queue"]);
    let indent = |name: &str| text.lines().find_map(|line| line.find(name)).unwrap();
    assert_eq!(indent("entry"), indent("submit") + 2);
    assert_eq!(indent("attempt"), indent("submit") + 4);
    assert!(!text.contains('\u{1b}'), "{text:?}");
}

/// Guards against spans that vanish because a VM did not respond, and against endless loops on
/// spans from a faulty VM.
#[test]
fn tree_shows_every_span() {
    let spans = vec![
        placed(5, Some(9), "owner", 10, 1),
        placed(6, Some(5), "queue", 11, 1),
        placed(7, Some(8), "attempt", 12, u64::MAX),
        placed(8, Some(7), "target", 13, 1),
        placed(10, Some(10), "entry", 14, 1),
    ];
    let tree = SpanTree::new(TraceNumber(1), spans);
    assert_eq!(
        names(&tree),
        ["owner", "queue", "attempt", "target", "entry"]
    );
    let text = tree.to_string();
    assert!(
        text.contains("(parent 0000000000000009 not recorded)"),
        "{text}"
    );
}
