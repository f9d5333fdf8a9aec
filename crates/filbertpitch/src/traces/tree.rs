//! The spans of one request as a tree.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::time::Duration;

use filbertpitch_types::trace::{SpanNumber, SpanRecord, TraceNumber};
use serde::Serialize;

use crate::cli::TextTable;

/// A span with the process that recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlacedSpan {
    /// The address of the VM, or `client`.
    pub process: Box<str>,
    /// The span.
    #[serde(flatten)]
    pub span: SpanRecord,
}

/// The spans of one trace. Displays as a table with one line per span.
#[derive(Clone, Debug, Serialize)]
pub struct SpanTree {
    /// The trace.
    pub trace: TraceNumber,
    /// The spans, each before its children and siblings in the order of their start.
    pub spans: Vec<PlacedSpan>,
    #[serde(skip)]
    depths: Vec<usize>,
}

impl SpanTree {
    /// Arranges spans, in any order and possibly with duplicates. Spans whose parent was not
    /// recorded become roots.
    pub fn new(trace: TraceNumber, spans: Vec<PlacedSpan>) -> Self {
        let mut arrangement = Arrangement::new(spans);
        let roots = arrangement.roots();
        for root in roots {
            arrangement.visit(root, 0);
        }
        arrangement.visit_cycles();
        Self {
            trace,
            depths: arrangement.depths,
            spans: arrangement.ordered,
        }
    }

    fn start(&self) -> u64 {
        let starts = self.spans.iter().map(|placed| placed.span.start_us);
        starts.min().unwrap_or_default()
    }

    fn length(&self) -> Duration {
        let ends = self.spans.iter();
        let ends = ends.map(|placed| placed.span.start_us.saturating_add(placed.span.duration_us));
        let end = ends.max().unwrap_or_default();
        Duration::from_micros(end.saturating_sub(self.start()))
    }
}

/// Siblings follow their start. An empty wait in the queue starts together with the attempt that
/// follows it, so the one that ends first comes first.
fn order_of(placed: &PlacedSpan) -> (u64, u64, SpanNumber) {
    let span = &placed.span;
    (span.start_us, span.duration_us, span.span)
}

/// Spans that are being arranged.
struct Arrangement {
    waiting: BTreeMap<SpanNumber, PlacedSpan>,
    children: BTreeMap<SpanNumber, Vec<SpanNumber>>,
    ordered: Vec<PlacedSpan>,
    depths: Vec<usize>,
}

impl Arrangement {
    fn new(spans: Vec<PlacedSpan>) -> Self {
        let mut waiting = BTreeMap::new();
        for placed in spans {
            waiting.entry(placed.span.span).or_insert(placed);
        }
        let mut children = BTreeMap::<_, Vec<_>>::new();
        let mut by_start = waiting.values().collect::<Vec<&PlacedSpan>>();
        by_start.sort_by_key(|placed| order_of(placed));
        for placed in by_start {
            if let Some(parent) = placed.span.parent {
                children.entry(parent).or_default().push(placed.span.span);
            }
        }
        Self {
            waiting,
            children,
            ordered: Vec::new(),
            depths: Vec::new(),
        }
    }

    fn roots(&self) -> Vec<SpanNumber> {
        let ids = self.waiting.keys().collect::<HashSet<_>>();
        let is_root = |placed: &&PlacedSpan| {
            let parent = placed.span.parent.as_ref();
            parent.is_none_or(|parent| !ids.contains(parent))
        };
        let mut roots = self.waiting.values().filter(is_root).collect::<Vec<_>>();
        roots.sort_by_key(|placed| order_of(placed));
        roots.iter().map(|placed| placed.span.span).collect()
    }

    /// Moves a span and its descendants to the result. It does not recurse, because the depth
    /// comes from messages.
    fn visit(&mut self, root: SpanNumber, depth: usize) {
        let mut pending = vec![(root, depth)];
        while let Some((id, depth)) = pending.pop() {
            let Some(placed) = self.waiting.remove(&id) else {
                continue;
            };
            self.ordered.push(placed);
            self.depths.push(depth);
            let children = self.children.get(&id).into_iter().flatten().rev();
            pending.extend(children.map(|child| (*child, depth + 1)));
        }
    }

    /// Spans that are their own ancestors have no root; they are shown nevertheless.
    fn visit_cycles(&mut self) {
        while let Some(&id) = self.waiting.keys().next() {
            self.visit(id, 0);
        }
    }
}

impl fmt::Display for SpanTree {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (trace, count, length) = (self.trace, self.spans.len(), millis(self.length()));
        writeln!(f, "trace {trace}: {count} spans, {length}")?;
        let start = self.start();
        let mut table = TextTable::new(&["OFFSET", "DURATION", "SPAN", "PROCESS", "DETAIL"]);
        for (placed, depth) in self.spans.iter().zip(&self.depths) {
            let span = &placed.span;
            table.add(&[
                millis(Duration::from_micros(span.start_us - start)),
                millis(Duration::from_micros(span.duration_us)),
                format!("{}{}", "  ".repeat(*depth), clean(&span.name)),
                clean(&placed.process),
                detail(span, *depth),
            ]);
        }
        table.fmt(f)
    }
}

fn detail(span: &SpanRecord, depth: usize) -> String {
    let pairs = span.attributes.iter();
    let mut words = pairs
        .map(|(key, value)| format!("{}={}", clean(key), clean(value)))
        .collect::<Vec<_>>();
    if let (Some(parent), 0) = (span.parent, depth) {
        words.push(format!("(parent {parent} not recorded)"));
    }
    words.join(" ")
}

/// Replaces control characters, so that an attribute cannot change the terminal.
fn clean(text: &str) -> String {
    text.chars()
        .map(|character| match character.is_control() {
            true => ' ',
            false => character,
        })
        .collect()
}

fn millis(duration: Duration) -> String {
    format!("{:.3}ms", duration.as_secs_f64() * 1e3)
}
