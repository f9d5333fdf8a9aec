//! Counters and histograms of an entry VM of a fleet, served over HTTP in the text format of
//! Prometheus.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

use filbertpitch_fleet::engine::{FleetCounters, FleetEngine, FleetNotice};
use filbertpitch_types::fleet::JobReply;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use http::{HeaderValue, StatusCode};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::node::FleetNode;

/// The path of the configuration in force, in the form in which the operator publishes it.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";

/// The smallest bucket of the histograms, in seconds; each further one is twice as large.
const SMALLEST_BUCKET: f64 = 0.005;
const BUCKETS: u16 = 12;

/// The label of a metric that exists for each kind of targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

/// The label of a metric that exists for each topic of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TopicLabels {
    topic: &'static str,
}

/// The label of a metric that exists for each reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// The histograms and what is measured outside the engine.
#[derive(Debug)]
pub struct FleetMetrics {
    store_failures: Family<TopicLabels, Counter>,
    stalled_pages: Family<TopicLabels, Counter>,
    left_out: Family<ReasonLabels, Counter>,
    /// 1 if the newest record of the configuration cannot be used.
    configuration_unusable: Gauge,
    /// The time of the latest successful call for each topic.
    store_reads: RefCell<BTreeMap<&'static str, TimePoint>>,
    answered: Histogram,
    placed: Histogram,
    refused: Histogram,
    abandonment_noticed: Histogram,
}

impl Default for FleetMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKETS));
        Self {
            store_failures: Family::default(),
            stalled_pages: Family::default(),
            left_out: Family::default(),
            configuration_unusable: Gauge::default(),
            store_reads: RefCell::default(),
            answered: histogram(),
            placed: histogram(),
            refused: histogram(),
            abandonment_noticed: histogram(),
        }
    }
}

impl FleetMetrics {
    /// Takes over what a notice measures.
    pub(super) fn see_notice(&self, notice: &FleetNotice) {
        match notice {
            FleetNotice::JobAnswered {
                reply: JobReply::Completed,
                took,
                ..
            } => self.answered.observe(took.as_secs_f64()),
            FleetNotice::JobAnswered {
                reply: JobReply::Rejected { .. },
                took,
                ..
            } => self.refused.observe(took.as_secs_f64()),
            FleetNotice::JobRejected { .. } => self.refused.observe(0.0),
            FleetNotice::JobAbandoned { noticed_within, .. } => {
                self.abandonment_noticed
                    .observe(noticed_within.as_secs_f64());
            }
            FleetNotice::TaskPlaced { waited, .. } => self.placed.observe(waited.as_secs_f64()),
            _ => {}
        }
    }

    /// Records a successful call to the store.
    pub(super) fn see_store_read(&self, topic: &'static str, now: TimePoint) {
        self.store_reads.borrow_mut().insert(topic, now);
    }

    /// Counts a failed call to the store.
    pub(super) fn see_store_failure(&self, topic: &'static str) {
        self.store_failures
            .get_or_create(&TopicLabels { topic })
            .inc();
    }

    /// Counts a page that does not lead to a later one.
    pub(super) fn see_stalled_page(&self, topic: &'static str) {
        self.stalled_pages
            .get_or_create(&TopicLabels { topic })
            .inc();
    }

    /// Notes whether the newest record of the configuration can be used.
    pub(super) fn see_configuration(&self, usable: bool) {
        self.configuration_unusable.set(i64::from(!usable));
    }

    /// Counts entries of the list of targets that were left out for a reason.
    pub(super) fn see_left_out(&self, reason: &'static str, entries: u64) {
        self.left_out
            .get_or_create(&ReasonLabels { reason })
            .inc_by(entries);
    }

    fn register_store(&self, registry: &mut Registry, now: TimePoint) {
        registry.register(
            "store_failures",
            "Calls to the platform's store without a usable response, each of which is repeated",
            self.store_failures.clone(),
        );
        registry.register(
            "store_pages_stalled",
            "Pages of the platform's store without a later key although the store has more, each of which is repeated",
            self.stalled_pages.clone(),
        );
        registry.register(
            "list_entries_left_out",
            "Entries of the list of targets that were not used or not sent to other VMs",
            self.left_out.clone(),
        );
        registry.register(
            "configuration_unusable",
            "Whether the newest record of the configuration cannot be used, so that a former one is in force",
            self.configuration_unusable.clone(),
        );
        let ages = Family::<TopicLabels, Gauge<f64, AtomicU64>>::default();
        for (topic, read_at) in self.store_reads.borrow().iter() {
            let age = now.since(*read_at).as_secs_f64();
            ages.get_or_create(&TopicLabels { topic }).set(age);
        }
        registry.register_with_unit(
            "store_read_age",
            "Since the latest successful call for a topic of the platform's store",
            Unit::Seconds,
            ages,
        );
    }

    /// All metrics as text.
    fn page(&self, engine: &FleetEngine, now: TimePoint) -> String {
        let mut registry = Registry::with_prefix("filbertpitch");
        register_counters(&mut registry, &engine.counters());
        register_gauges(&mut registry, engine);
        self.register_store(&mut registry, now);
        registry.register_with_unit(
            "job_time",
            "From the arrival of a completed job to its answer",
            Unit::Seconds,
            self.answered.clone(),
        );
        registry.register_with_unit(
            "place_time",
            "From the arrival of a job to the request to run one of its tasks",
            Unit::Seconds,
            self.placed.clone(),
        );
        registry.register_with_unit(
            "refused_time",
            "From the arrival of a rejected job to its answer",
            Unit::Seconds,
            self.refused.clone(),
        );
        registry.register_with_unit(
            "abandonment_notice_time",
            "From the last time at which the client of an abandoned job was known to wait to its removal",
            Unit::Seconds,
            self.abandonment_noticed.clone(),
        );
        let mut page = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut page, &registry);
        page
    }
}

fn register_counters(registry: &mut Registry, counters: &FleetCounters) {
    let values = [
        (
            "jobs_accepted",
            "Jobs that were accepted",
            counters.jobs_accepted,
        ),
        (
            "jobs_completed",
            "Jobs answered as completed",
            counters.jobs_completed,
        ),
        (
            "jobs_failed",
            "Jobs answered as failed",
            counters.jobs_failed,
        ),
        (
            "jobs_rejected",
            "Jobs rejected; nothing of them has run",
            counters.jobs_rejected,
        ),
        (
            "jobs_rejected_zone_closed",
            "Rejected jobs that only targets of closed zones could run",
            counters.jobs_rejected_zone_closed,
        ),
        (
            "jobs_refused",
            "Jobs refused on arrival because the capacity is insufficient",
            counters.jobs_refused,
        ),
        (
            "jobs_shed",
            "Accepted jobs dropped, before anything of them has run, because the capacity is insufficient",
            counters.jobs_shed,
        ),
        (
            "jobs_unknown",
            "Jobs given up after parts may have run",
            counters.jobs_unknown,
        ),
        (
            "jobs_abandoned",
            "Jobs whose client has left",
            counters.jobs_abandoned,
        ),
        (
            "tasks_placed",
            "Requests to holders to run a task",
            counters.tasks_placed,
        ),
        (
            "tasks_refused",
            "Tasks that a holder did not run",
            counters.tasks_refused,
        ),
        (
            "starts_sent",
            "Start orders to targets",
            counters.starts_sent,
        ),
        (
            "starts_lost",
            "Start orders without an answer",
            counters.starts_lost,
        ),
        (
            "starts_refused",
            "Start orders that a target refused",
            counters.starts_refused,
        ),
        ("looks_sent", "Looks at targets", counters.polls_sent),
        ("looks_lost", "Looks without an answer", counters.polls_lost),
        (
            "probes_sent",
            "Probes of targets of other VMs",
            counters.probes_sent,
        ),
        ("runs_done", "Runs that were done", counters.runs_done),
        (
            "runs_not_done",
            "Runs that ended otherwise",
            counters.runs_not_done,
        ),
        (
            "runs_outlived",
            "Runs that a target had although they had counted as over",
            counters.runs_outlived,
        ),
        (
            "offers_sent",
            "Offers of room to other VMs",
            counters.offers_sent,
        ),
        (
            "envelopes_sent",
            "Envelopes to other VMs",
            counters.envelopes_sent,
        ),
        (
            "client_examinations",
            "Examinations of the connections of clients, each with one system call",
            counters.examinations,
        ),
        (
            "targets_claimed",
            "Targets that were claimed",
            counters.targets_claimed,
        ),
        (
            "targets_fenced",
            "Targets found with another holder",
            counters.targets_fenced,
        ),
        (
            "targets_crashed",
            "Held targets that crashed while they had runs",
            counters.targets_crashed,
        ),
        (
            "jobs_given_up",
            "Jobs given up because a task crashes its targets",
            counters.jobs_given_up,
        ),
        (
            "jobs_forwarded",
            "Jobs forwarded to another VM of the zone",
            counters.jobs_forwarded,
        ),
        (
            "jobs_received",
            "Jobs that another VM of the zone has forwarded",
            counters.jobs_received,
        ),
        (
            "forwardings_failed",
            "Forwarded jobs without an answer of the receiver",
            counters.forwardings_failed,
        ),
        (
            "capacities_learned",
            "Smaller capacities of targets that a peer has reported",
            counters.capacities_learned,
        ),
    ];
    for (name, help, value) in values {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    }
}

fn register_gauges(registry: &mut Registry, engine: &FleetEngine) {
    let view = engine.view();
    let values = [
        ("live_jobs", "Jobs without an answer", view.live_jobs),
        (
            "waiting_tasks",
            "Tasks that wait for room",
            view.waiting_tasks,
        ),
        (
            "held_targets",
            "Targets that this VM holds",
            view.held_targets,
        ),
        ("held_runs", "Runs on held targets", view.held_runs),
        (
            "live_peers",
            "Other entry VMs that are heard",
            view.live_peers,
        ),
        (
            "listed_targets",
            "Targets in the platform's list",
            view.listed_targets,
        ),
        (
            "closed_zones",
            "Availability zones that the operator has closed",
            view.closed_zones,
        ),
        (
            "lateness_us",
            "How late timers are handled, in microseconds",
            usize::try_from(view.lateness.as_micros()).unwrap_or(usize::MAX),
        ),
    ];
    for (name, help, value) in values {
        let gauge = Gauge::<i64>::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(name, help, gauge);
    }
    let speeds = Family::<KindLabels, Gauge<f64, AtomicU64>>::default();
    for (kind, factor) in engine.kind_speeds().known() {
        let kind = kind.to_owned();
        speeds.get_or_create(&KindLabels { kind }).set(factor);
    }
    registry.register(
        "kind_run_time_factor",
        "The factor of a kind of targets on run times, as learned",
        speeds,
    );
    if let Some(version) = view.version {
        let gauge = Gauge::<i64>::default();
        gauge.set(i64::try_from(version.0).unwrap_or(i64::MAX));
        registry.register("configuration_version", "The configuration in force", gauge);
    }
}

/// Serves the metrics and the configuration in force.
pub(super) struct MetricsHandler {
    node: Rc<FleetNode>,
}

impl MetricsHandler {
    pub(super) fn new(node: Rc<FleetNode>) -> Self {
        Self { node }
    }

    fn metrics(&self) -> ServerResponse {
        let metrics = self.node.metrics();
        let now = self.node.driver().now().time;
        let page = self
            .node
            .driver()
            .inspect(|engine| metrics.page(engine, now));
        ServerResponse {
            content_type: Some(HeaderValue::from_static(
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
            )),
            body: page.into(),
            ..ServerResponse::empty(StatusCode::OK)
        }
    }

    fn configuration(&self) -> ServerResponse {
        match self.node.published_configuration() {
            Some(body) => ServerResponse {
                content_type: Some(HeaderValue::from_static("application/json")),
                body,
                ..ServerResponse::empty(StatusCode::OK)
            },
            None => ServerResponse::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_ready",
                "no configuration is in force yet",
            ),
        }
    }
}

impl RequestHandler for MetricsHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        match request.path() {
            "/metrics" => self.metrics(),
            CONFIGURATION_PATH => self.configuration(),
            _ => ServerResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}
