//! The client's part of a traced submission.

use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::prelude::*;
use filbertpitch_types::trace::TraceNumber;
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;
use serde::Serialize;

use crate::cli::VmClient;
use crate::cli::trace::collect;
use crate::settings::SampleRatio;
use crate::traces::{OpenSpan, PlacedSpan, SpanTree, TraceRecorder};

/// The memory for the one span of the client.
const CLIENT_TRACE_BYTES: ByteSize = ByteSize::kib(64);
/// The name of this process in the tree.
const CLIENT: &str = "client";

/// The span of a submission.
pub(super) struct ClientTrace {
    recorder: TraceRecorder,
    span: OpenSpan,
}

impl ClientTrace {
    /// Begins a trace.
    pub(super) fn begin() -> Self {
        let recorder = TraceRecorder::new(SampleRatio::default(), CLIENT_TRACE_BYTES);
        let span = recorder.root("submit", SpanKind::Client);
        Self { recorder, span }
    }

    /// The id of the trace.
    pub(super) fn number(&self) -> TraceNumber {
        TraceNumber(u128::from_be_bytes(self.span.context().trace.to_bytes()))
    }

    /// The header for the request. It asks every VM to record its spans.
    pub(super) fn header(&self) -> Box<str> {
        self.span.traceparent()
    }

    /// Ends the span.
    pub(super) fn end(self, answer: &JobAnswer) -> EndedTrace {
        let number = self.number();
        let outcome = KeyValue::new("outcome", answer.outcome.to_string());
        self.recorder.finish(self.span, vec![outcome]);
        let spans = self.recorder.spans(number).into_iter();
        let spans = spans.map(|span| PlacedSpan {
            process: CLIENT.into(),
            span,
        });
        EndedTrace {
            number,
            spans: spans.collect(),
        }
    }
}

/// A trace whose client has its response.
pub(super) struct EndedTrace {
    number: TraceNumber,
    spans: Vec<PlacedSpan>,
}

impl EndedTrace {
    /// Adds the spans of the VMs that were named and of the owner of the submission.
    pub(super) async fn into_tree(
        mut self,
        mut clients: Vec<VmClient>,
        answer: &JobAnswer,
    ) -> SpanTree {
        if let Some(owner) = answer.submission.prefix().map(|prefix| prefix.address)
            && clients.iter().all(|client| client.address() != owner)
        {
            clients.push(VmClient::new(owner));
        }
        let collected = collect(&clients, self.number).await;
        self.spans.extend(collected.spans);
        SpanTree::new(self.number, self.spans)
    }
}

/// The response of a traced submission as JSON.
#[derive(Serialize)]
pub(super) struct TracedAnswer<'a> {
    #[serde(flatten)]
    pub(super) answer: &'a JobAnswer,
    pub(super) trace: &'a SpanTree,
}
