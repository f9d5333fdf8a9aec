//! The table of metrics.

use std::fmt;

/// How a metric behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only grows; the increase is sent.
    Counter,
    /// It is a current value.
    Gauge,
}

impl fmt::Display for MetricKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
        })
    }
}

/// What the catalogue says about a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricSpec {
    /// The name after the part that names the VM.
    pub name: &'static str,
    /// How it behaves.
    pub kind: MetricKind,
    /// What it counts or measures.
    pub unit: &'static str,
    /// What it means.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($($variant:ident $name:literal $kind:ident $unit:literal $meaning:literal;)+) => {
        /// A metric.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum MetricName {
            $(#[doc = $meaning] $variant,)+
        }

        impl MetricName {
            /// All metrics in the order of the catalogue.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// What the catalogue says about the metric.
            pub fn spec(self) -> MetricSpec {
                match self {
                    $(Self::$variant => MetricSpec {
                        name: $name,
                        kind: MetricKind::$kind,
                        unit: $unit,
                        meaning: $meaning,
                    },)+
                }
            }
        }
    };
}

metrics! {
    JobsLive "jobs.live" Gauge "jobs" "Jobs without an answer.";
    JobsAccepted "jobs.accepted" Counter "jobs" "Jobs accepted.";
    JobsRejected "jobs.rejected" Counter "jobs" "Jobs rejected as not run.";
    JobsComplete "jobs.complete" Counter "jobs" "Jobs that completed.";
    JobsFailed "jobs.failed" Counter "jobs" "Jobs that failed with certain outcomes.";
    JobsUnknown "jobs.unknown" Counter "jobs" "Jobs with an unknown outcome.";
    JobsJoined "jobs.joined" Counter "jobs" "Submissions that joined a live or finished job.";
    RejectedNoTarget "rejections.no_capable_target" Counter "jobs"
        "Jobs rejected because no target can run one of their kinds.";
    RejectedService "rejections.unknown_service" Counter "jobs"
        "Jobs rejected because the service does not exist.";
    RejectedTeam "rejections.unknown_team" Counter "jobs"
        "Jobs rejected because the team does not exist.";
    RejectedDeadline "rejections.deadline_unreachable" Counter "jobs"
        "Jobs rejected because their deadline could not be met.";
    RejectedQuota "rejections.quota_exceeded" Counter "jobs"
        "Jobs rejected because of the quota of their team.";
    RejectedQueue "rejections.queue_full" Counter "jobs"
        "Jobs rejected because the queue of the VM was full.";
    RejectedDraining "rejections.draining" Counter "jobs"
        "Jobs rejected because the VM is stopping.";
    RejectedCancelled "rejections.cancelled" Counter "jobs"
        "Jobs cancelled before any of their tasks started.";
    RejectedJobFailed "rejections.job_failed" Counter "jobs"
        "Jobs that failed before any of their tasks started.";
    TasksQueued "tasks.queued" Gauge "tasks" "Tasks in the queue.";
    TasksRunning "tasks.running" Gauge "tasks"
        "Attempts that may be running, including throttled ones.";
    SlotsOwned "slots.owned" Gauge "slots" "Slots that belong to this VM.";
    SlotsUsed "slots.used" Gauge "slots" "Slots that attempts of this VM hold, borrowed ones included.";
    Starts "starts" Counter "requests" "Start requests to targets.";
    Retries "retries" Counter "starts" "Starts of tasks that may have run before.";
    RefusedBusy "refusals.busy" Counter "starts" "Starts refused because all slots were taken.";
    RefusedLeaving "refusals.leaving" Counter "starts" "Starts refused because the target leaves.";
    RefusedKind "refusals.unknown_kind" Counter "starts"
        "Starts refused because the target cannot run the kind.";
    RefusedFenced "refusals.fenced" Counter "starts"
        "Starts refused because a stop arrived before them.";
    RefusedExpired "refusals.expired" Counter "starts"
        "Starts refused because their lease had run out.";
    Checks "state_requests.check" Counter "requests"
        "Checks of attempts; messages beyond one request and one response per task.";
    Stops "state_requests.stop" Counter "requests"
        "Stops of attempts; messages beyond one request and one response per task.";
    Throttles "state_requests.throttle" Counter "requests"
        "Throttles of attempts; messages beyond one request and one response per task.";
    LateAnswers "late_answers" Counter "responses"
        "Responses about attempts that were no longer current; they are discarded.";
    Uncertain "attempts.uncertain" Counter "attempts"
        "Attempts whose connection was lost or stopped responding.";
    Throttled "attempts.throttled" Counter "attempts" "Attempts that were moved to the background.";
    Ejections "targets.ejections" Counter "ejections"
        "Ejections of targets, including those after a failed probe.";
    TargetsEjected "targets.ejected" Gauge "targets" "Targets that are ejected or probed.";
    QueueDelayMedian "queue_delay.p50" Gauge "us" "Median time in the queue of the tasks started.";
    QueueDelayTail "queue_delay.p99" Gauge "us" "99th percentile of the time in the queue.";
    QueueDelayMax "queue_delay.max" Gauge "us" "Longest time in the queue.";
    ResponseMedian "response_time.p50" Gauge "us"
        "Median time from a submission to its answer, for jobs that this VM owns.";
    ResponseTail "response_time.p99" Gauge "us" "99th percentile of the time to the answer.";
    ResponseMax "response_time.max" Gauge "us" "Longest time to the answer.";
    SubmissionsKept "submissions.kept" Gauge "submissions" "Submissions that are remembered.";
    SubmissionBytes "submissions.bytes" Gauge "bytes" "Memory of the remembered submissions.";
    ConfigOffset "config.offset" Gauge "offset" "The offset of the ticket stream to read next.";
    ConfigTicket "config.ticket" Gauge "number" "The highest ticket number in force; 0 if none.";
    LogAge "log.age" Gauge "ms"
        "Time since the log was last read, or since the start of the process.";
    PeersLive "peers.live" Gauge "VMs" "Other entry VMs whose heartbeats arrive.";
    TraceSpans "traces.spans" Gauge "spans" "Finished spans that are kept.";
    TraceBytes "traces.bytes" Gauge "bytes" "Memory of the finished spans.";
    CpuTime "process.cpu" Counter "ms" "CPU time of the process in user and kernel mode.";
    ResidentBytes "process.resident" Gauge "bytes" "Resident memory of the process.";
    HeartbeatSent "traffic.heartbeat.sent" Counter "bytes" "Heartbeat messages sent.";
    HeartbeatReceived "traffic.heartbeat.received" Counter "bytes" "Heartbeat messages received.";
    LogSent "traffic.log.sent" Counter "bytes" "Messages sent to the log.";
    LogReceived "traffic.log.received" Counter "bytes" "Messages received from the log.";
    ListSent "traffic.vm_list.sent" Counter "bytes" "Messages sent to the VM list.";
    ListReceived "traffic.vm_list.received" Counter "bytes" "Messages received from the VM list.";
}
