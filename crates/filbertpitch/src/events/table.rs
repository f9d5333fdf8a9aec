//! The table of events.

use slog::Level;

/// The first number of the events that occur for each request. They may be written more often than
/// others.
const FIRST_REQUEST_EVENT: u16 = 900;

/// What the catalogue says about an event.
#[derive(Clone, Copy, Debug)]
pub struct EventSpec {
    /// The number, unique for ever.
    pub number: u16,
    /// The name in log lines.
    pub name: &'static str,
    /// How severe it is.
    pub level: Level,
    /// What has happened.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

macro_rules! log_events {
    ($($number:literal $variant:ident $name:literal $level:ident $meaning:literal $action:literal;)+) => {
        /// An event that can be logged.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum LogEvent {
            $(#[doc = $meaning] $variant,)+
        }

        impl LogEvent {
            /// All events in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// What the catalogue says about the event.
            pub fn spec(self) -> EventSpec {
                match self {
                    $(Self::$variant => EventSpec {
                        number: $number,
                        name: $name,
                        level: Level::$level,
                        meaning: $meaning,
                        action: $action,
                    },)+
                }
            }
        }
    };
}

log_events! {
    100 ProcessStarting "process_starting" Info
        "The process has read its settings and starts."
        "None.";
    101 ProcessReady "process_ready" Info
        "The VM has loaded a configuration and takes new work."
        "None.";
    102 ProcessDraining "process_draining" Info
        "The VM was told to stop; it takes no new work and finishes work in progress."
        "None.";
    103 ProcessStopped "process_stopped" Info
        "Work in progress has ended, outcomes are handed over, and the process exits."
        "None.";
    104 DrainTimedOut "drain_timed_out" Warning
        "Work in progress did not end within the drain time-out; its callers get no response."
        "Raise `lifecycle.drain_timeout` if tasks regularly run longer.";
    105 StartFailed "start_failed" Critical
        "The process cannot start, for example because its address is in use."
        "Correct what the event names and start the process again.";
    106 LinesSuppressed "lines_suppressed" Warning
        "Lines of an event were left out because it occurred too often."
        "See the event that `suppressed` names; the metrics count all occurrences.";
    107 SettingsReloaded "settings_reloaded" Info
        "The settings file was read again, on SIGHUP or because it has changed."
        "None; only `seed_peers` takes effect without a restart.";
    108 SettingsUnreadable "settings_unreadable" Warning
        "The settings file cannot be read again; the settings in force stay."
        "Correct what the event names; `check` shows all findings.";
    109 ReloadUnavailable "reload_unavailable" Warning
        "SIGHUP cannot be received; changes of the settings file need a restart."
        "Check the limit on open files.";
    110 ProcessPaused "process_paused" Warning
        "The process was not scheduled for a while; what it believed is reviewed."
        "Check the VM if this repeats.";
    200 ConfigurationLoaded "configuration_loaded" Info
        "A configuration was loaded from the log or from a peer."
        "None.";
    201 TicketApplied "ticket_applied" Info
        "A ticket is in effect on this VM."
        "None.";
    202 TicketRejected "ticket_rejected" Warning
        "A ticket in the log is not valid; every VM rejects it for the same reason."
        "Tell its author the reason; `ticket show` repeats it.";
    203 LogUnreachable "log_unreachable" Warning
        "The log cannot be read; tickets wait and bare keys are not accepted."
        "Check the log service if the state lasts for longer than a minute.";
    204 LogReachable "log_reachable" Info
        "The log can be read again."
        "None.";
    205 RecordsLost "records_lost" Error
        "Records were removed from the log before this VM read them; it asks its peers."
        "Raise the retention of the log if this repeats.";
    206 SnapshotRead "snapshot_read" Info
        "A snapshot of the configuration was appended to the log."
        "None.";
    207 ListUnreachable "list_unreachable" Warning
        "The platform's list of VMs cannot be read; the last list stays in use."
        "Check the platform if the state lasts for longer than a minute.";
    208 ListReachable "list_reachable" Info
        "The platform's list of VMs can be read again."
        "None.";
    209 SnapshotUnusable "snapshot_unusable" Warning
        "A snapshot in the log is damaged or for a different log; it is ignored."
        "Check the version of the VM that appended it.";
    210 SnapshotMissing "snapshot_missing" Error
        "The log keeps neither a usable snapshot nor the whole history; peers are asked."
        "Start a VM that has the configuration, or apply a ticket with all objects.";
    211 ConfigurationDiverged "configuration_diverged" Critical
        "A snapshot in the log differs from the configuration that this VM has computed."
        "Compare the versions of the VMs; replace the VM whose digest differs from the others.";
    212 RecordMalformed "record_malformed" Warning
        "A record in the log is neither a ticket nor a snapshot; it is ignored."
        "Find out which program appended it.";
    213 LogInconsistent "log_inconsistent" Error
        "The log has returned records out of order or ends before records that were read."
        "Check the log service; it may have lost records.";
    214 SnapshotPublished "snapshot_published" Info
        "This VM has appended a snapshot of the configuration to the log."
        "None.";
    215 ConfigurationApplied "configuration_applied" Info
        "A published configuration is in effect on this VM."
        "None.";
    216 StoreUnreachable "store_unreachable" Warning
        "The platform's store does not answer; what was read from it stays in use. `unread_ms` is the time since the latest successful call for the topic."
        "Check the platform if the state lasts for longer than a minute.";
    217 StoreReachable "store_reachable" Info
        "The platform's store answers again, after `failures` failed calls and `unread_ms` without a successful one."
        "None.";
    218 RecordUnreadable "record_unreadable" Warning
        "A record in the platform's store cannot be read; it is ignored."
        "Find out which program wrote it.";
    219 PageStalled "page_stalled" Warning
        "A page of a topic in the platform's store has no key later than `after` although the store has more; it is requested again. With `given_up`, the earlier pages are used, and the rest follows as it is written again."
        "Look for keys in the topic that are not text, and remove them.";
    220 EntriesLeftOut "entries_left_out" Warning
        "Entries in the list of targets are left out, because they name no target to use (`unusable`; `key` is the first), because all together take too much memory (`memory`), or because a record of the feed would be too large (`feed`). Logged once for each reason; the metric counts all."
        "Find out which program wrote them, and remove them.";
    221 ValuesReplaced "values_replaced" Warning
        "VMs use other values than some of the configuration `version`: `values` in all, `first` is one of them."
        "Run `filbertpitch check`, which lists them; publish values that VMs hold.";
    300 PeerLive "peer_live" Info
        "Another entry VM responds to heartbeats."
        "None.";
    301 PeerSilent "peer_silent" Warning
        "Another entry VM does not respond; its slot shares go to the remaining VMs."
        "None if the VM was replaced; otherwise check it and the network.";
    302 PeerReplaced "peer_replaced" Info
        "Another incarnation responds at the address of an entry VM."
        "None.";
    303 HandoverSent "handover_sent" Info
        "The outcomes of this VM were handed over to another one."
        "None.";
    304 HandoverReceived "handover_received" Info
        "This VM keeps the outcomes of another one that stops."
        "None.";
    305 HandoverFailed "handover_failed" Error
        "No VM took the outcomes; resubmissions get the response that the outcome is unknown."
        "Check why the other VMs of the availability zone were not reachable.";
    306 PeerLeaving "peer_leaving" Info
        "Another entry VM has announced that it stops."
        "None.";
    400 TargetEjected "target_ejected" Warning
        "A target fails far more often than its peers and gets no tasks."
        "Check the target; it is probed and returns by itself when it works.";
    401 TargetReinstated "target_reinstated" Info
        "A target that was ejected works again."
        "None.";
    402 TargetLeaving "target_leaving" Info
        "A target leaves and gets no new tasks."
        "None.";
    403 TargetUnreachable "target_unreachable" Warning
        "A target does not respond on new connections."
        "Check the target and the network.";
    404 ConnectionStalled "connection_stalled" Warning
        "An established connection does not respond although a new one works; it was closed."
        "Check the network path if this repeats for one target.";
    405 ProtocolViolated "protocol_violated" Error
        "A target or another VM sent a response that the protocol does not allow."
        "Check the version of the software that the event names.";
    406 TargetProbed "target_probed" Info
        "A target that was ejected gets one task at a time to find out whether it works."
        "None.";
    407 TargetReachable "target_reachable" Info
        "A target that did not respond responds again."
        "None.";
    410 ZoneClosed "zone_closed" Warning
        "The operator has closed an availability zone: its targets get no new tasks. `age_ms` is the time since the first VM has read the record."
        "None; if `age_ms` exceeds 3000, check the links between the VMs.";
    411 ZoneOpened "zone_opened" Info
        "The operator has opened an availability zone again."
        "None.";
    500 SubmissionRefused "submission_refused" Warning
        "A submission was refused with an unknown outcome: its epoch is closed or its owner is gone."
        "None; `reason` names the case.";
    501 OutcomesDiscarded "outcomes_discarded" Warning
        "An epoch ended or was closed early because the outcomes reached their memory limit."
        "Raise `outcomes.byte_limit`, or reduce the size of outputs.";
    502 OutcomeUnknown "outcome_unknown" Warning
        "It cannot be learned what became of an attempt."
        "Check the target; the caller of a task that may not be repeated has to find out itself.";
    600 OverloadStarted "overload_started" Warning
        "The VM rejects work because its queues are full or deadlines cannot be met."
        "Add targets if the state lasts for longer than a burst.";
    601 OverloadEnded "overload_ended" Info
        "The VM accepts all work again."
        "None.";
    602 RetriesExhausted "retries_exhausted" Warning
        "The retry budget of a service is used up; failed tasks are not tried again."
        "Look for targets that fail.";
    700 MetricsFailed "metrics_failed" Warning
        "Metrics cannot be sent."
        "Check `observability.metrics`.";
    800 TargetClaimed "target_claimed" Info
        "This VM holds a target and alone gives it orders."
        "None.";
    801 TargetReleased "target_released" Info
        "This VM does not hold a target any more; `reason` says why."
        "None; if many targets are `fenced` again and again, check the clocks of the VMs.";
    802 TargetRestarted "target_restarted" Warning
        "A target has started anew; what ran on it is lost."
        "Check the target if this repeats.";
    803 TargetUnlisted "target_unlisted" Info
        "A target is draining or no longer listed and gets no new tasks."
        "None.";
    804 LoadSampled "load_sampled" Info
        "How full the targets are that this VM holds, once a second."
        "Add targets if `open_m` stays near zero while tasks wait.";
    805 TargetCrashed "target_crashed" Warning
        "Nothing listens at the address of a held target, or it has started anew; it had runs."
        "Look for `task_suspected` with the same target, and at the target if there is none.";
    806 KindSpeedLearned "kind_speed_learned" Info
        "The speed of a kind of targets is known, or has changed by a quarter; `factor_percent` is its run time relative to the mean."
        "None; if it changes often, compare the targets of the kind.";
    807 CapacityLearned "capacity_learned" Info
        "This VM cannot read the list of targets, and another one has reported a smaller capacity of a target; `cores_m` is what this VM uses at most, `age_ms` how long ago the other VM had read the list."
        "Check the connection to the platform's store.";
    900 JobAccepted "job_accepted" Info
        "A job was accepted."
        "None.";
    901 JobAnswered "job_answered" Info
        "A job was answered; `outcome` says how."
        "None.";
    902 JobRejected "job_rejected" Info
        "A job was not accepted; nothing of it has run. `reason` and `wait_ms` say why."
        "Add targets if `overloaded` or `over_share` last for longer than a burst.";
    903 JobAbandoned "job_abandoned" Info
        "The client of a job has closed its connection; the job's tasks are stopped."
        "None.";
    904 TaskPlaced "task_placed" Info
        "The holder of a target was asked to run a task."
        "None.";
    905 PlaceRefused "place_refused" Info
        "The holder did not run a task; it is placed again."
        "None; `reason` says why.";
    906 StartRefused "start_refused" Info
        "A target did not start a run; the task is placed again."
        "Check the target if `reason` is `unhealthy` again and again.";
    907 RunEnded "run_ended" Info
        "A run has ended without being done; `end` says how."
        "Look for other runs on the same target.";
    908 RunOrphaned "run_orphaned" Info
        "It is not known whether a run goes on; unless its holder is heard of, the task is placed again after `over_in_ms`."
        "None; `reason` says why.";
    909 RunReassigned "run_reassigned" Info
        "Another VM has found a run on a target and is its holder from now on."
        "None.";
    910 TaskSuspected "task_suspected" Warning
        "A target has crashed while it had a task; the task is tried alone, or its job is given up."
        "If `given_up`, tell the owner of the job: the task crashes the targets that start it.";
    911 JobShed "job_shed" Info
        "An accepted job was dropped before any of its tasks was started, because capacity has become insufficient."
        "Add targets if this lasts for longer than a burst; `reason` and `waited_ms` say why and after which time.";
    914 JobForwarded "job_forwarded" Info
        "This VM handles its events late and has forwarded a new job to a VM of its zone; `lateness_ms` says how late."
        "Raise the processor time of the VM if this lasts for longer than a burst.";
    915 ForwardingFailed "forwarding_failed" Info
        "The receiver of a forwarded job has given no answer; `end` says whether this VM coordinates the job (`not_taken`, `not_sent`) or the client was told that the outcome is unknown (`broken`)."
        "None; check the receiver if this repeats.";
    916 RunOutlived "run_outlived" Warning
        "A target has a run that this VM had reported as over `over_for_ms` ago, because its lease or its start request had expired or the target had not listed it. A bound on which the product relies did not hold; the task may have run twice."
        "Report it with the log of this VM. Check whether the clock of the target runs more than 2% slow.";
    917 DuplicateRun "duplicate_run" Warning
        "A target that this VM holds runs two runs of one task. The run that this VM has not requested there is stopped."
        "None if the target has just restarted under its name; otherwise report it with the log of this VM.";
}

impl EventSpec {
    /// Whether the event occurs for each request.
    pub fn per_request(&self) -> bool {
        self.number >= FIRST_REQUEST_EVENT
    }
}
